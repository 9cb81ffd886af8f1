// Tombstones of jobs that were cancelled before they were known: their time, their size and their
// form in stored data. docs/design.md 4.3, 9.3.
#include "cluster_state_fixture.hpp"
#include "support/heap_usage.hpp"

using namespace aniseline;

namespace {
const CancellationScope everySender = CancellationScope::ofEverySender();
const TenantName nobody{};
constexpr std::int64_t defaultRetentionMs = 3'600'000;
}  // namespace

TEST_GROUP(CancellationTombstoneTests) {
  ClusterStateFixture fixture;

  const CancellationTombstones& tombstones() const {
    return fixture.clusterState.tombstones();
  }
  void cancel(const std::string& id) {
    fixture.apply(JobCancelled{JobId{id}, everySender});
  }
};

TEST(CancellationTombstoneTests, cancellationOfKnownJobLeavesNone) {
  fixture.submit("job", {ClusterStateFixture::step(1)});
  cancel("job");
  LONGS_EQUAL(0, tombstones().size());
  STRCMP_EQUAL("cancelled", fixture.state("job").c_str());
}

// Logs of earlier versions hold no scope.
TEST(CancellationTombstoneTests, cancellationWithoutScopeLeavesNone) {
  fixture.apply(JobCancelled{JobId{"job"}});
  LONGS_EQUAL(0, tombstones().size());
}

TEST(CancellationTombstoneTests, jobThatArrivesLaterKeepsOnlyWhatAnswersQueries) {
  cancel("job");
  fixture.registerWorker("m");
  fixture.submit("job", {ClusterStateFixture::step(3), ClusterStateFixture::step(4)});
  const Job& job = fixture.job("job");
  CHECK(job.state == JobState::cancelled);
  CHECK(job.submission.steps.empty());
  CHECK(job.tasks.empty());
  LONGS_EQUAL(7, job.compactedTaskCount);
  STRCMP_EQUAL("q", job.submission.queue.value.c_str());
  LONGS_EQUAL(0, fixture.clusterState.openJobs().size());
  LONGS_EQUAL(0, fixture.clusterState.openJobsOf(QueueName{"q"}));
  LONGS_EQUAL(1, fixture.clusterState.jobsByEndTime().size());
  STRCMP_EQUAL("", fixture.plan().c_str());
  LONGS_EQUAL(0, tombstones().size());
}

TEST(CancellationTombstoneTests, repeatedCancellationRenewsTheTime) {
  cancel("job");
  fixture.now += defaultRetentionMs;
  cancel("job");
  LONGS_EQUAL(1, tombstones().size());
  fixture.now += defaultRetentionMs;
  fixture.apply(LeaderStarted{});
  CHECK(tombstones().cover(JobId{"job"}, nobody));
  fixture.now += 1;
  fixture.apply(LeaderStarted{});
  LONGS_EQUAL(0, tombstones().size());
  LONGS_EQUAL(0, tombstones().estimatedBytes());
}

TEST(CancellationTombstoneTests, scopesOfOneJobAreSeparate) {
  const auto ofNorth = CancellationScope::ofTenant(TenantName{"north"});
  const auto ofNobody = CancellationScope::ofTenant(nobody);
  fixture.apply(JobCancelled{JobId{"job"}, ofNorth});
  CHECK(tombstones().cover(JobId{"job"}, TenantName{"north"}));
  CHECK(!tombstones().cover(JobId{"job"}, TenantName{"south"}));
  CHECK(!tombstones().cover(JobId{"job"}, nobody));
  fixture.apply(JobCancelled{JobId{"job"}, ofNobody});
  CHECK(tombstones().cover(JobId{"job"}, nobody));
  LONGS_EQUAL(2, tombstones().size());
  fixture.apply(JobCancelled{JobId{"job"}, everySender});
  CHECK(tombstones().cover(JobId{"job"}, TenantName{"south"}));
}

// A state without tombstones is stored as by earlier versions, and one with them is restored whole.
TEST(CancellationTombstoneTests, stateIsRestoredWithItsTombstones) {
  const std::string without = pack(fixture.clusterState);
  cancel("one");
  cancel("two");
  const std::string with = pack(fixture.clusterState);
  CHECK(with.size() > without.size());
  auto restored = unpack<ClusterState>(with);
  CHECK(restored.has_value());
  CHECK(pack(restored.value()) == with);
  CHECK(restored.value().tombstones().cover(JobId{"two"}, nobody));
  LONGS_EQUAL(tombstones().estimatedBytes(), restored.value().tombstones().estimatedBytes());
  // The index by time is restored too.
  restored.value().apply({ClusterTime{fixture.now + defaultRetentionMs + 1}, LeaderStarted{}});
  CHECK(pack(restored.value()).size() == without.size());
}

TEST(CancellationTombstoneTests, recordWithoutScopeKeepsTheBytesOfEarlierVersions) {
  const JobId id{"0123456789abcdef"};
  CHECK(pack(JobCancelled{id}) == pack(id));
  const auto restored = unpack<JobCancelled>(pack(JobCancelled{id, everySender}));
  CHECK(restored.has_value());
  CHECK(restored.value().job == id);
  CHECK(restored.value().scope == everySender);
}

// A version that does not know the scope must not fold the record as if it had none.
TEST(CancellationTombstoneTests, recordWithScopeIsUnreadableForEarlierVersions) {
  CHECK(!unpack<JobId>(pack(JobCancelled{JobId{"0123456789abcdef"}, everySender})).has_value());
}

// The estimate must not be below the real size, and not so far above it that memory is wasted.
TEST(CancellationTombstoneTests, estimateCoversTheHeap) {
  constexpr int cancels = 2000;
  constexpr int firstNumber = 1000;  // so that all ids have the same length
  for (int number = 0; number < cancels; ++number)
    cancel("0123456789abcdef" + std::to_string(firstNumber + number));
  const ClusterStateFixture empty;
  const auto before = heapBytesInUse();
  auto copyOfEmpty = std::make_unique<ClusterState>(empty.clusterState);
  const auto between = heapBytesInUse();
  auto copy = std::make_unique<ClusterState>(fixture.clusterState);
  const std::uint64_t heap = (heapBytesInUse() - between) - (between - before);
  const std::uint64_t estimate = fixture.clusterState.estimatedJobBytes();
  CHECK(estimate >= heap);
  CHECK(estimate < 2 * heap);
}
