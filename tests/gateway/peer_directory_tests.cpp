// Tests the order in which a client contacts seeds and discovered gateways.
#include "gateway/peer_directory.hpp"

#include <CppUTest/TestHarness.h>
using namespace aniseline;

TEST_GROUP(PeerDirectoryTests) {
  PeerDirectory directory{{Address{"s:1"}, Address{"s:2"}, Address{"s:3"}}, 0};
  std::string contactOrder(int steps, std::int64_t now = 0) {
    std::string text;
    for (int step = 0; step < steps; ++step) {
      text += directory.current(MonotonicTime{now}).value + " ";
      directory.markFailed(MonotonicTime{now});
    }
    return text;
  }
};

TEST(PeerDirectoryTests, triesDiscoveredGatewaysBeforeEachSeed) {
  STRCMP_EQUAL("s:1 s:2 s:3 s:1 ", contactOrder(4).c_str());
  directory.update({Address{"n:1"}, Address{"n:2"}});
  STRCMP_EQUAL("n:1 n:2 s:2 n:1 n:2 s:3 ", contactOrder(6).c_str());
}

// If every seed has been replaced, the client contacts the discovered gateways, and retries the
// preferred gateway after a delay.
TEST(PeerDirectoryTests, survivesTheLossOfAllSeeds) {
  directory.update({Address{"own:1"}, Address{"far:1"}});
  directory.markFailed(MonotonicTime{100});
  STRCMP_EQUAL("far:1", directory.current(MonotonicTime{200}).value.c_str());
  directory.update({Address{"new:1"}, Address{"own:1"}, Address{"far:1"}});
  STRCMP_EQUAL("far:1", directory.current(MonotonicTime{300}).value.c_str());
  STRCMP_EQUAL("new:1", directory.current(MonotonicTime{10'101}).value.c_str());
}
