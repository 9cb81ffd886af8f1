// Signals that come before a daemon can handle them; in a process of its own, since they are the
// process'. docs/operations.md 4.
#include "net/signals.hpp"
#include <CppUTest/TestHarness.h>
#include <sys/wait.h>
#include <unistd.h>

using namespace aniseline;

namespace {

constexpr int bothSignalsHandled = 0;
constexpr int signalMissed = 1;

// What a daemon does between its main and its loop, with both signals at the worst time.
[[noreturn]] void startDaemonUnderSignals() {
  blockSignalsUntilHandled();
  ::raise(SIGHUP);
  ::raise(SIGTERM);
  // Lives as long as the thread's fiber scheduler.
  auto* const loop = new EventLoop;
  const StopSignal stop(*loop);
  bool reloaded = false;
  const ReloadSignal reload(*loop, [&] { reloaded = true; });
  for (int turn = 0; turn < 200 && !(stop.requested() && reloaded); ++turn)
    sleepFor(Duration{5});
  ::raise(SIGHUP);
  ::raise(SIGTERM);
  sleepFor(Duration{20});
  std::_Exit(stop.requested() && reloaded ? bothSignalsHandled : signalMissed);
}

}  // namespace

TEST_GROUP(SignalsTests){};

TEST(SignalsTests, signalsOfTheStartWaitForTheirHandlersAndComeAgainWithoutHarm) {
  const pid_t child = ::fork();
  if (child == 0)
    startDaemonUnderSignals();
  int status = 0;
  ::waitpid(child, &status, 0);
  CHECK_TRUE(WIFEXITED(status));
  LONGS_EQUAL(bothSignalsHandled, WEXITSTATUS(status));
}
