// Applies hundreds of large configurations while members are killed and restarted. Every restarted
// member must catch up, and the memory held by each member must stay bounded. docs/design.md 3.4.
#include "simulator/simulated_cluster.hpp"

#include <CppUTest/TestHarness.h>
using namespace aniseline;

namespace {
constexpr std::size_t changes = 300;
// The specified size of 318 KB and all limits are divided by forty, because parsing takes most of
// the time.
constexpr std::size_t queues = 150;
constexpr std::size_t retainedBytesLimit = 400'000;
constexpr std::size_t snapshotBytes = 200'000;
constexpr std::size_t unacknowledgedBytes = 25'000;
constexpr std::uint64_t seeds = 4;
// Allowance beyond the retained log and the entries until the next snapshot: one entry that exceeds
// each of these two limits, and the entries that arrive while a snapshot is packed and written.
constexpr std::size_t entryAllowance = 4;

std::string largeConfig(std::size_t number) {
  std::string text = R"({"queues":{"q":{"retries":)" + std::to_string(number % 40) + "}";
  for (std::size_t queue = 0; queue < queues; ++queue)
    text +=
        R"(,"a-queue-with-a-name-of-forty-characters-)" + std::to_string(1000 + queue) + R"(":{})";
  return text + "}}";
}

}  // namespace

TEST_GROUP(LargeConfigsTests) {
  std::size_t confirmed = 0, peakLogBytes = 0, largestEntry = 0;
  std::uint64_t version = 0;

  void measure(const RaftNode& node) {
    std::size_t bytes = 0;
    for (LogIndex index = node.logBaseIndex().next(); index <= node.lastIndex();
         index = index.next()) {
      bytes += node.entry(index).payload.size();
      largestEntry = std::max(largestEntry, node.entry(index).payload.size());
    }
    peakLogBytes = std::max(peakLogBytes, bytes);
  }
  void applyChange(SimulatedCluster & cluster, std::size_t number) {
    std::optional<int> status;
    const std::string text = largeConfig(number);
    cluster.applyConfig(
        text, version, [&](int responseStatus, const std::string&) { status = responseStatus; },
        number % 3);
    cluster.runUntilTrue([&] { return status.has_value(); }, 5000);
    for (std::size_t controllerIndex = 0; controllerIndex < cluster.controllerCount();
         ++controllerIndex)
      if (const auto* instance = cluster.controller(controllerIndex))
        measure(instance->raftNode());
    if (auto leader = cluster.leader())
      version = cluster.controller(*leader)->committed().config().version.value;
    confirmed += status == 200;
  }
  bool allControllersUpToDate(SimulatedCluster & cluster) {
    const auto leader = cluster.leader();
    if (!leader)
      return false;
    for (std::size_t controllerIndex = 0; controllerIndex < cluster.controllerCount();
         ++controllerIndex)
      if (!cluster.controller(controllerIndex))
        return false;
    for (std::size_t controllerIndex = 0; controllerIndex < cluster.controllerCount();
         ++controllerIndex)
      if (cluster.isVoter(controllerIndex) &&
          cluster.controller(controllerIndex)->committed().config().version !=
              cluster.controller(*leader)->committed().config().version)
        return false;
    return true;
  }
  void applyChangesWithRestarts(std::uint64_t seed, std::size_t voters) {
    SimulatedClusterOptions options;
    options.seed = seed;
    options.controllers = voters;
    options.controller.voterCount = voters;
    options.workers = 3;
    options.controller.raft.maxRetainedBytes = retainedBytesLimit;
    options.controller.raft.maxUnacknowledgedBytes = unacknowledgedBytes;
    options.controller.maxBytesBetweenSnapshots = snapshotBytes;
    SimulatedCluster cluster(options);
    CHECK(cluster.runUntilTrue([&] { return cluster.voterCount() == voters; }, 60'000));
    Random random(seed);
    std::size_t stoppedController = 0;
    for (std::size_t number = 1; number <= changes; ++number) {
      const std::size_t cycle = number / 40, positionInCycle = number % 40;
      // The member is away for a few changes, or for so many that only a snapshot lets it catch up.
      const std::size_t restartPosition = cycle % 2 ? 15 : 39;
      if (positionInCycle == 10) {
        stoppedController = std::size_t(random.between(0, std::int64_t(voters) - 1));
        cluster.killController(stoppedController, random.chance(0.5));
      }
      if (positionInCycle == restartPosition)
        cluster.restartController(stoppedController);
      applyChange(cluster, number);
    }
    cluster.restartController(stoppedController);
    CHECK(cluster.runUntilTrue([&] { return allControllersUpToDate(cluster); }, 30'000));
    CHECK_COMPARE(confirmed, >, changes * 9 / 10);
    CHECK_COMPARE(peakLogBytes, <=,
                  retainedBytesLimit + snapshotBytes + entryAllowance * largestEntry);
  }
};

TEST(LargeConfigsTests, threeVotersWithRestarts) {
  for (std::uint64_t seed = 1; seed <= seeds; ++seed) {
    confirmed = peakLogBytes = largestEntry = version = 0;
    applyChangesWithRestarts(seed, 3);
  }
}

TEST(LargeConfigsTests, fiveVotersWithRestarts) {
  for (std::uint64_t seed = 1; seed <= seeds; ++seed) {
    confirmed = peakLogBytes = largestEntry = version = 0;
    applyChangesWithRestarts(seed, 5);
  }
}
