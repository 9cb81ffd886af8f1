// Tests the order in which a client contacts seeds and discovered gateways.
#include "gateway/peer_directory.hpp"

#include <CppUTest/TestHarness.h>
using namespace aniseline;

TEST_GROUP(PeerDirectoryTests) {
  PeerDirectory book{{Address{"s:1"}, Address{"s:2"}, Address{"s:3"}}, 0};
  std::string walk(int steps, std::int64_t now = 0) {
    std::string text;
    for (int step = 0; step < steps; ++step) {
      text += book.current(MonotonicTime{now}).value + " ";
      book.markFailed(MonotonicTime{now});
    }
    return text;
  }
};

TEST(PeerDirectoryTests, everySeedIsTriedAndLearnedOnesGoFirst) {
  STRCMP_EQUAL("s:1 s:2 s:3 s:1 ", walk(4).c_str());
  book.update({Address{"n:1"}, Address{"n:2"}});
  STRCMP_EQUAL("n:1 n:2 s:2 n:1 n:2 s:3 ", walk(6).c_str());
}

// If every seed has been replaced, the client contacts the discovered gateways, and retries the
// preferred gateway after a delay.
TEST(PeerDirectoryTests, survivesTheLossOfAllFirstContacts) {
  book.update({Address{"own:1"}, Address{"far:1"}});
  book.markFailed(MonotonicTime{100});
  STRCMP_EQUAL("far:1", book.current(MonotonicTime{200}).value.c_str());
  book.update({Address{"new:1"}, Address{"own:1"}, Address{"far:1"}});
  STRCMP_EQUAL("far:1", book.current(MonotonicTime{300}).value.c_str());
  STRCMP_EQUAL("new:1", book.current(MonotonicTime{10'101}).value.c_str());
}
