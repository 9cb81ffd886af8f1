// Tests concurrent reads and updates of the route to the leader.
#include "gateway/leader_directory.hpp"
#include <urcu.h>

#include <CppUTest/TestHarness.h>
#include <thread>
using namespace aniseline;

TEST_GROUP(LeaderDirectoryTests){};

// Run under ThreadSanitizer, this test fails if a route is freed while a thread reads it.
TEST(LeaderDirectoryTests, readersNeverSeeAFreedOrOlderView) {
  LeaderDirectory board;
  std::atomic<bool> over{false};
  std::atomic<int> slips{0};
  std::vector<std::thread> readers;
  for (int count = 0; count < 3; ++count)
    readers.emplace_back([&] {
      RcuReaderRegistration reader;
      std::uint64_t seen = 0;
      while (!over) {
        const auto term = board.read(
            [](const LeaderRoute& view) { return view.term.value + view.controllers.size() * 0; });
        if (term < seen)
          ++slips;
        seen = term;
      }
    });
  for (std::uint64_t term = 1; term <= 300; ++term) {
    LeaderRoute view;
    view.term = Term{term};
    view.controllers.assign(3, Address{"127.0.0.1:1"});
    CHECK(board.publish(view));
    view.term = Term{term - 1};
    CHECK(!board.publish(view));
  }
  over = true;
  for (auto& reader : readers)
    reader.join();
  LONGS_EQUAL(0, slips.load());
}
