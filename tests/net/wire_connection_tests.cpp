// Tests reading of wire messages on a thread that is busy with other work.
#include "net/wire_connection.hpp"
#include <boost/asio/write.hpp>
#include <thread>

#include <CppUTest/TestHarness.h>
using namespace aniseline;

namespace {

constexpr int messageCount = 200;
constexpr std::chrono::milliseconds stepTime{1};

// An event loop that does a step of work whenever a message has arrived, as a controller does.
class SteppingReader {
 public:
  // Returns the number of steps that were done until all messages were read.
  int run() {
    EventLoop& loop = *(ownLoop = std::make_unique<EventLoop>());
    tcp::acceptor acceptor(loop.context, tcp::endpoint(asio::ip::address_v4::loopback(), 0));
    tcp::socket sender(loop.context);
    sender.connect(acceptor.local_endpoint());
    auto receiver = std::make_shared<tcp::socket>(loop.context);
    acceptor.accept(*receiver);
    std::string bytes;
    for (int index = 0; index < messageCount; ++index)
      bytes += encode(WireMessage{0, RouteQuery{}});
    asio::write(sender, asio::buffer(bytes));
    auto reading = startFiber([&] { readAll(receiver); });
    while (received < messageCount)
      step();
    reading.join();
    return steps;
  }

 private:
  void readAll(const std::shared_ptr<tcp::socket>& socket) {
    WireReader reader(socket);
    while (received < messageCount && reader.readNext()) {
      ++received;
      const std::unique_lock lock(mutex);
      wakeRequested = true;
      wakeUp.notify_one();
    }
  }
  void step() {
    std::unique_lock lock(mutex);
    wakeUp.wait(lock, [this] { return wakeRequested; });
    wakeRequested = false;
    ++steps;
    const auto end = std::chrono::steady_clock::now() + stepTime;
    while (std::chrono::steady_clock::now() < end)
      continue;
  }

  std::unique_ptr<EventLoop> ownLoop;  // must outlive the thread's fiber scheduler
  int received = 0;
  int steps = 0;
  bool wakeRequested = false;
  boost::fibers::mutex mutex;
  boost::fibers::condition_variable wakeUp;
};

}  // namespace

TEST_GROUP(WireConnectionTests){};

// A leader whose steps took long read one message of each follower in two steps, so that
// acknowledgements queued up and commits took ten times as long as a round trip (SHORT).
TEST(WireConnectionTests, aBusyLoopReadsAllMessagesThatHaveArrivedInAFewSteps) {
  SteppingReader reader;
  int steps = 0;
  std::thread thread([&] { steps = reader.run(); });
  thread.join();
  CHECK_TEXT(
      steps * 10 <= messageCount,
      (std::to_string(steps) + " steps for " + std::to_string(messageCount) + " messages").c_str());
}
