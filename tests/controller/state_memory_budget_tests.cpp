// The shares of the memory budget: what new jobs, urgent jobs and occurrences of timetables may
// take. docs/design.md 10.1.
#include "controller/job_retention.hpp"
#include "controller/state_memory_budget.hpp"
#include "state/cluster_state_fixture.hpp"
#include "state/job_memory.hpp"

using namespace aniseline;

TEST_GROUP(StateMemoryBudgetTests) {
  ClusterStateFixture fixture;
  static constexpr std::uint64_t ample = 1ull << 30;

  void setup() override {
    fixture.registerWorker("m");
  }
  const ClusterState& state() const {
    return fixture.clusterState;
  }
  void submitTimetable(std::uint32_t count, std::size_t tasks) {
    fixture.submit("timed", {ClusterStateFixture::step(tasks)}, "q",
                   Timetable{ClusterTime{1}, Duration{1000}, count});
  }
  std::uint64_t occurrenceBytes() const {
    return estimateOpenJobBytes(fixture.job("timed").submission);
  }
  // Fires occurrences of the timetable until the budget defers the next one.
  std::uint32_t fireUntilDeferred(StateMemoryBudget & budget) {
    std::uint32_t fired = 0;
    while (fixture.job("timed").firedOccurrences <
               fixture.job("timed").submission.timetable.count &&
           budget.admitsOccurrence(fixture.job("timed"), state())) {
      fixture.apply(OccurrenceFired{JobId{"timed"}});
      ++fired;
    }
    return fired;
  }
  static JobSubmission submission(const std::string& id, std::size_t tasks) {
    JobSubmission job;
    job.id = JobId{id};
    job.queue = QueueName{"q"};
    job.steps = {ClusterStateFixture::step(tasks)};
    return job;
  }
};

TEST(StateMemoryBudgetTests, occurrencesOverlapWhileThereIsMemory) {
  submitTimetable(10, 5);
  StateMemoryBudget budget(ample);
  LONGS_EQUAL(10, fireUntilDeferred(budget));
}

// All occurrences of a timetable that is behind run in the end: each that ends makes room for
// another, and none is dropped.
TEST(StateMemoryBudgetTests, timetableThatIsBehindFiresAsItsOccurrencesEnd) {
  submitTimetable(50, 2);
  StateMemoryBudget budget(state().estimatedJobBytes() + 6 * occurrenceBytes());
  for (int round = 0; round < 200 && fixture.state("timed") == "timed"; ++round) {
    fireUntilDeferred(budget);
    CHECK(fixture.job("timed").openOccurrences >= 1);
    CHECK(fixture.job("timed").openOccurrences <= 6);
    fixture.planAndRun();
    for (const auto& [number, attempt] : std::map(state().attempts()))
      fixture.endAttempt(number, AttemptOutcome::succeeded);
    ++fixture.now;
    if (auto expired = JobRetention{}.collect(state(), ClusterTime{fixture.now}, true))
      fixture.apply(*expired);
    fixture.now += 100;
  }
  LONGS_EQUAL(50, fixture.job("timed").firedOccurrences);
  STRCMP_EQUAL("finished", fixture.state("timed").c_str());
}

TEST(StateMemoryBudgetTests, firstOpenOccurrenceAlwaysFires) {
  submitTimetable(10, 5);
  StateMemoryBudget budget(1);
  LONGS_EQUAL(1, fireUntilDeferred(budget));
}

// Only one worker with four cores: occurrences whose tasks can't start don't pile up, even if there
// is memory for all of them.
TEST(StateMemoryBudgetTests, occurrencesDoNotPileUpBehindOneThatHasNotStarted) {
  submitTimetable(1000, 4);
  StateMemoryBudget budget(ample);
  const auto fired = fireUntilDeferred(budget);
  CHECK(fired >= 10);
  CHECK(fired < 50);
  LONGS_EQUAL(0, fireUntilDeferred(budget));
}

TEST(StateMemoryBudgetTests, occurrencesLeaveMemoryForJobsAndJobsForUrgentJobs) {
  fixture.submit("first", {ClusterStateFixture::step(1)});
  submitTimetable(1000, 1);
  const JobSubmission job = submission("job", 1);
  StateMemoryBudget budget(state().estimatedJobBytes() * 4);
  while (fireUntilDeferred(budget))
    fixture.planAndRun();
  CHECK(budget.admits(job, false, state()));
  for (int number = 0; budget.admits(job, false, state()); ++number)
    fixture.submit("plain" + std::to_string(number), {ClusterStateFixture::step(1)});
  CHECK(budget.admits(job, true, state()));
}

TEST(StateMemoryBudgetTests, jobFitsAnEmptyStateWhateverItsSize) {
  StateMemoryBudget budget(1);
  CHECK(budget.admits(submission("job", 2000), false, state()));
  fixture.submit("other", {ClusterStateFixture::step(1)});
  CHECK_FALSE(budget.admits(submission("job", 1), true, state()));
}

TEST(StateMemoryBudgetTests, refusalsAreCountedOnce) {
  fixture.submit("other", {ClusterStateFixture::step(1)});
  StateMemoryBudget budget(1);
  budget.admits(submission("job", 1), false, state());
  LONGS_EQUAL(1, budget.takeRefusals().rejectedJobs);
  CHECK_FALSE(budget.takeRefusals().any());
}

// Ended jobs keep their tasks for a minute, which a busy service with little memory can't afford.
TEST(StateMemoryBudgetTests, scarceMemoryDiscardsTheDetailsOfEndedJobsAtOnce) {
  fixture.submit("job", {ClusterStateFixture::step(1)});
  fixture.planAndRun();
  fixture.endAttempt("job");
  fixture.now += 1000;
  CHECK_FALSE(JobRetention{}.collect(state(), ClusterTime{fixture.now}, false).has_value());
  const auto expired = JobRetention{}.collect(state(), ClusterTime{fixture.now}, true);
  CHECK(expired.has_value());
  const auto bytesBefore = state().estimatedJobBytes();
  fixture.apply(*expired);
  CHECK(state().estimatedJobBytes() < bytesBefore);
  STRCMP_EQUAL("finished", fixture.state("job").c_str());
}

// A job that had ended while an attempt was still open kept its steps and tasks until it expired:
// the attempt kept it from being compacted, and it was not looked at again.
TEST(StateMemoryBudgetTests, jobWithAnOpenAttemptIsCompactedOnceTheAttemptIsClosed) {
  fixture.submit("job", {ClusterStateFixture::step(1)});
  fixture.planAndRun();
  fixture.submit("later", {ClusterStateFixture::step(1)});
  const AttemptNumber open = fixture.attempt("job");
  fixture.apply(WorkerUnreachable{WorkerId{"m"}, {open}});
  fixture.apply(JobCancelled{JobId{"job"}});
  fixture.apply(JobCancelled{JobId{"later"}});
  STRCMP_EQUAL("cancelled", fixture.state("job").c_str());
  LONGS_EQUAL(1, fixture.openAttempts("job"));
  JobRetention retention;
  fixture.now += 61'000;
  auto collect = [&] {
    const auto expired = retention.collect(state(), ClusterTime{fixture.now}, false);
    return expired ? expired->compacted : std::vector<JobId>{};
  };
  CHECK(collect() == std::vector<JobId>{JobId{"later"}});
  fixture.endAttempt(open, AttemptOutcome::stopped);
  const auto compacted = collect();
  CHECK(std::count(compacted.begin(), compacted.end(), JobId{"job"}) == 1);
}
