// Tests signals that arrive before a daemon can handle them. The test runs in a child process
// because signals affect the whole process. docs/operations.md 4.
#include "net/signals.hpp"
#include <CppUTest/TestHarness.h>
#include <sys/wait.h>
#include <unistd.h>

using namespace aniseline;

namespace {

constexpr int bothSignalsHandled = 0;
constexpr int signalMissed = 1;

// Performs the startup steps of a daemon, with both signals raised before they can be handled.
[[noreturn]] void startDaemonUnderSignals() {
  blockSignalsUntilHandled();
  ::raise(SIGHUP);
  ::raise(SIGTERM);
  // Never deleted, because the thread's fiber scheduler uses it until the thread ends.
  auto* const loop = new EventLoop;
  const StopSignal stop(*loop);
  bool reloaded = false;
  const ReloadSignal reload(*loop, [&] { reloaded = true; });
  for (int attempt = 0; attempt < 200 && !(stop.requested() && reloaded); ++attempt)
    sleepFor(Duration{5});
  ::raise(SIGHUP);
  ::raise(SIGTERM);
  sleepFor(Duration{20});
  std::_Exit(stop.requested() && reloaded ? bothSignalsHandled : signalMissed);
}

}  // namespace

TEST_GROUP(SignalsTests){};

TEST(SignalsTests, signalsDuringStartupAreHandledLaterAndMayRepeat) {
  const pid_t child = ::fork();
  if (child == 0)
    startDaemonUnderSignals();
  int status = 0;
  ::waitpid(child, &status, 0);
  CHECK_TRUE(WIFEXITED(status));
  LONGS_EQUAL(bothSignalsHandled, WEXITSTATUS(status));
}
