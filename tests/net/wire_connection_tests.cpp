// Tests reading of wire messages on a thread that is busy with other work.
#include "net/wire_connection.hpp"
#include "support/stepping_loop.hpp"
#include <boost/asio/write.hpp>

#include <CppUTest/TestHarness.h>
using namespace aniseline;

namespace {

constexpr int messageCount = 200;

// Returns the number of steps until a reader has read messages that had all arrived before.
int stepsToReadAll(SteppingLoop& loop) {
  auto& context = loop.events().context;
  tcp::acceptor acceptor(context, tcp::endpoint(asio::ip::address_v4::loopback(), 0));
  tcp::socket sender(context);
  sender.connect(acceptor.local_endpoint());
  auto receiver = std::make_shared<tcp::socket>(context);
  acceptor.accept(*receiver);
  std::string bytes;
  for (int index = 0; index < messageCount; ++index)
    bytes += encode(WireMessage{0, RouteQuery{}});
  asio::write(sender, asio::buffer(bytes));
  int received = 0;
  auto reading = startFiber([&] {
    WireReader reader(receiver);
    for (; received < messageCount && reader.readNext(); loop.wakeUp())
      ++received;
  });
  const int steps = loop.stepUntil([&] { return received == messageCount; });
  reading.join();
  return steps;
}

}  // namespace

TEST_GROUP(WireConnectionTests){};

// A leader whose steps took long read one message of each follower in two steps, so that
// acknowledgements queued up and commits took ten times as long as a round trip (SHORT).
TEST(WireConnectionTests, aBusyLoopReadsAllMessagesThatHaveArrivedInAFewSteps) {
  int steps = 0;
  SteppingLoop::run([&](SteppingLoop& loop) { steps = stepsToReadAll(loop); });
  CHECK_TEXT(
      steps * 10 <= messageCount,
      (std::to_string(steps) + " steps for " + std::to_string(messageCount) + " messages").c_str());
}
