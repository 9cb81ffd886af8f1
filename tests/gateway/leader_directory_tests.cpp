// Tests concurrent reads and updates of the route to the leader.
#include "gateway/leader_directory.hpp"
#include <urcu.h>

#include <CppUTest/TestHarness.h>
#include <thread>
using namespace aniseline;

TEST_GROUP(LeaderDirectoryTests){};

// Run under ThreadSanitizer, this test fails if a route is freed while a thread reads it.
TEST(LeaderDirectoryTests, readersNeverSeeAFreedOrOlderRoute) {
  LeaderDirectory directory;
  std::atomic<bool> stopReaders{false};
  std::atomic<int> violations{0};
  std::vector<std::thread> readers;
  for (int count = 0; count < 3; ++count)
    readers.emplace_back([&] {
      RcuReaderRegistration reader;
      std::uint64_t lastTerm = 0;
      while (!stopReaders) {
        const auto term = directory.read([](const LeaderRoute& route) {
          return route.term.value + route.controllers.size() * 0;
        });
        if (term < lastTerm)
          ++violations;
        lastTerm = term;
      }
    });
  for (std::uint64_t term = 1; term <= 300; ++term) {
    LeaderRoute route;
    route.term = Term{term};
    route.controllers.assign(3, Address{"127.0.0.1:1"});
    CHECK(directory.publish(route));
    route.term = Term{term - 1};
    CHECK(!directory.publish(route));
  }
  stopReaders = true;
  for (auto& reader : readers)
    reader.join();
  LONGS_EQUAL(0, violations.load());
}

// Every route reply named all queues of the configuration, three times a second to each process,
// which filled links of 2 Mbit/s after the configuration had grown.
TEST(LeaderDirectoryTests, queuesThatAreKnownAreLeftOutOfARouteAndKept) {
  LeaderRoute served;
  served.term = Term{3};
  served.config = ConfigVersion{7};
  served.priorityQueues = {QueueName{"urgent"}};
  LeaderDirectory directory;
  CHECK(directory.publish(served));
  LeaderRoute shortened = served;
  shortened.omitQueuesOf(ConfigVersion{6});
  LONGS_EQUAL(1, shortened.priorityQueues.size());
  shortened.omitQueuesOf(ConfigVersion{7});
  LONGS_EQUAL(0, shortened.priorityQueues.size());
  shortened.leader = Address{"leader:1"};
  CHECK(directory.publish(shortened));
  const RcuReaderRegistration reader;
  const LeaderRoute known = directory.read([](const LeaderRoute& route) { return route; });
  STRCMP_EQUAL("leader:1", known.leader.value.c_str());
  CHECK((known.priorityQueues == std::vector<QueueName>{QueueName{"urgent"}}));
}

TEST(LeaderDirectoryTests, queuesOfANewerConfigurationReplaceThoseThatAreKnown) {
  LeaderRoute route;
  route.config = ConfigVersion{7};
  route.priorityQueues = {QueueName{"urgent"}};
  LeaderRoute older = route;
  CHECK(route.mergeNewer({{}, {}, {}, {}, ConfigVersion{8}, {QueueName{"other"}}}));
  CHECK((route.priorityQueues == std::vector<QueueName>{QueueName{"other"}}));
  CHECK(route.mergeNewer(older));
  LONGS_EQUAL(8, route.config.value);
  CHECK((route.priorityQueues == std::vector<QueueName>{QueueName{"other"}}));
}
