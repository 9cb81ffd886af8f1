// The estimated size of jobs in the cluster state, compared with the heap that they really take,
// and its upkeep while jobs change. docs/design.md 10.1.
#include "state/job_memory.hpp"
#include "state/cluster_state_fixture.hpp"
#include "support/heap_usage.hpp"

using namespace aniseline;

TEST_GROUP(JobMemoryTests) {
  ClusterStateFixture fixture;
  static constexpr int jobs = 50;

  // Returns the heap that a copy of the state takes beyond that of a state without jobs.
  std::uint64_t heapOfJobs() const {
    const ClusterStateFixture empty;
    const auto before = heapBytesInUse();
    auto copyOfEmpty = std::make_unique<ClusterState>(empty.clusterState);
    const auto between = heapBytesInUse();
    auto copy = std::make_unique<ClusterState>(fixture.clusterState);
    return (heapBytesInUse() - between) - (between - before);
  }
  // The estimate must not be below the real size, and not so far above it that memory is wasted.
  void checkEstimate() const {
    const std::uint64_t heap = heapOfJobs();
    const std::uint64_t estimate = fixture.clusterState.estimatedJobBytes();
    CHECK(estimate >= heap);
    CHECK(estimate < 5 * heap);
  }
  std::uint64_t recomputedBytes() const {
    std::uint64_t bytes = 0;
    for (const auto& [id, job] : fixture.clusterState.jobs())
      bytes += estimateJobBytes(job);
    return bytes;
  }
  void submitJobs(std::size_t tasks, std::size_t payloadBytes) {
    for (int number = 0; number < jobs; ++number) {
      JobSubmission job;
      job.id = JobId{"job" + std::to_string(number)};
      job.queue = QueueName{"q"};
      job.payload = std::string(payloadBytes, 'p');
      job.steps = {ClusterStateFixture::step(tasks), ClusterStateFixture::step(tasks)};
      job.steps[1].name = "second";
      job.steps[1].dependencies.assign(20, "");
      fixture.apply(JobAccepted{std::move(job)});
    }
  }
};

TEST(JobMemoryTests, coversWaitingTasks) {
  submitJobs(84, 0);
  checkEstimate();
}
TEST(JobMemoryTests, coversLongTexts) {
  submitJobs(1, 4000);
  checkEstimate();
}
TEST(JobMemoryTests, coversRunningTasks) {
  submitJobs(10, 20);
  fixture.registerWorker("m", {4'000'000});
  fixture.planAndRun();
  CHECK(fixture.clusterState.attempts().size() >= 300);
  checkEstimate();
}
// A short text for a whole job becomes one copy for each order to start a task: 18 jobs of 4 KB
// took the controllers to 748 MB.
TEST(JobMemoryTests, coversOrdersThatWorkersHaveNotConfirmed) {
  submitJobs(10, 4000);
  fixture.registerWorker("m", {4'000'000});
  fixture.plan();
  CHECK(fixture.clusterState.workers().at(WorkerId{"m"}).unappliedOrders.size() >= 300);
  checkEstimate();
}
TEST(JobMemoryTests, coversEndedAndCompactedJobs) {
  submitJobs(10, 20);
  JobsExpired expired;
  for (int number = 0; number < jobs; ++number) {
    expired.compacted.push_back(JobId{"job" + std::to_string(number)});
    fixture.apply(JobCancelled{expired.compacted.back()});
  }
  checkEstimate();
  const auto before = fixture.clusterState.estimatedJobBytes();
  fixture.apply(expired);
  checkEstimate();
  CHECK(fixture.clusterState.estimatedJobBytes() < before / 2);
}

// The sum is updated with each change, and restored with the state.
TEST(JobMemoryTests, sumFollowsJobsThroughTheirLives) {
  fixture.registerWorker("m");
  LONGS_EQUAL(0, fixture.clusterState.estimatedJobBytes());
  fixture.submit("job", {ClusterStateFixture::step(3)});
  fixture.submit("timed", {ClusterStateFixture::step(2)}, "q",
                 Timetable{ClusterTime{1}, Duration{1000}, 2});
  LONGS_EQUAL(recomputedBytes(), fixture.clusterState.estimatedJobBytes());
  const auto beforeFiring = fixture.clusterState.estimatedJobBytes();
  fixture.apply(OccurrenceFired{JobId{"timed"}});
  LONGS_EQUAL(recomputedBytes(), fixture.clusterState.estimatedJobBytes());
  // The room of the first open occurrence was counted with the timetable.
  CHECK(fixture.clusterState.estimatedJobBytes() < beforeFiring + 200);
  const auto restored = unpack<ClusterState>(pack(fixture.clusterState));
  LONGS_EQUAL(recomputedBytes(), restored.value().estimatedJobBytes());
  fixture.apply(JobCancelled{JobId{"timed"}});
  fixture.apply(JobCancelled{JobId{"job"}});
  LONGS_EQUAL(recomputedBytes(), fixture.clusterState.estimatedJobBytes());
  JobsExpired expired;
  expired.jobs = {JobId{"job"}, JobId{"timed"}, JobId{"timed@0"}};
  fixture.apply(expired);
  LONGS_EQUAL(0, fixture.clusterState.estimatedJobBytes());
}
