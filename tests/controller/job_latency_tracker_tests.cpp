// Tests that reports of late jobs contain the chain of runs that delayed the end of the job.
// docs/design.md 4.8.
#include "controller/job_latency_tracker.hpp"
#include "state/cluster_state_fixture.hpp"

using namespace aniseline;

namespace {

constexpr const char* configWithTargets =
    R"({"planner":{"trials":false},"pools":{"press":{}},
      "queues":{"q":{"pool":"press","tries":3,"extend":1,"target_ms":500},"free":{"pool":"press","tries":3}}})";

StepRequest dependingOn(StepRequest step, const std::string& earlier) {
  step.dependencies = {earlier};
  return step;
}

}  // namespace

TEST_GROUP(JobLatencyTrackerTests) {
  ClusterStateFixture cluster{configWithTargets};
  LogEventSignal events;
  std::vector<log_events::JobLate> reports;
  JobLatencyTracker tracker{events};

  void setup() override {
    events.connect([this](const LogEvent& event) {
      if (const auto* late = std::get_if<log_events::JobLate>(&event))
        reports.push_back(*late);
    });
    cluster.registerWorker("a");
  }
  void endRun(const std::string& job, AttemptOutcome outcome, std::int64_t afterMs) {
    cluster.now += afterMs;
    const Event event = WorkerSynced{WorkerId{"a"}, {}, {{cluster.attempt(job), outcome}}};
    tracker.recordResults(cluster.clusterState, event, ClusterTime{cluster.now});
    cluster.apply(event);
    tracker.reportEnded(cluster.clusterState);
  }
  static StepRequest shortStep() {
    return ClusterStateFixture::step(1, 1000, {}, false, 1000);
  }
};

TEST(JobLatencyTrackerTests, lateJobReportContainsWaitAndRunTime) {
  cluster.submit("late", {shortStep()});
  cluster.now += 700;
  cluster.planAndRun();
  endRun("late", AttemptOutcome::succeeded, 1100);
  LONGS_EQUAL(1, reports.size());
  STRCMP_EQUAL("late", reports[0].job.value.c_str());
  LONGS_EQUAL(1500, reports[0].target.milliseconds);
  LONGS_EQUAL(1800, reports[0].took.milliseconds);
  LONGS_EQUAL(1, reports[0].chain.size());
  LONGS_EQUAL(700, reports[0].chain[0].waited.milliseconds);
  LONGS_EQUAL(1100, reports[0].chain[0].ran.milliseconds);
  LONGS_EQUAL(1000, reports[0].chain[0].requested.milliseconds);
}

TEST(JobLatencyTrackerTests, noReportForTimelyJobOrWithoutTarget) {
  cluster.submit("timely", {shortStep()});
  cluster.submit("free", {shortStep()}, "free");
  cluster.planAndRun();
  endRun("timely", AttemptOutcome::succeeded, 1400);
  endRun("free", AttemptOutcome::succeeded, 9000);
  LONGS_EQUAL(0, reports.size());
}

TEST(JobLatencyTrackerTests, aFailedRunIsPartOfTheChain) {
  cluster.submit("late", {shortStep()});
  cluster.planAndRun();
  endRun("late", AttemptOutcome::failed, 900);
  cluster.planAndRun();
  endRun("late", AttemptOutcome::succeeded, 1000);
  LONGS_EQUAL(1, reports.size());
  LONGS_EQUAL(2, reports[0].chain.size());
  CHECK(reports[0].chain[0].outcome == AttemptOutcome::failed);
  LONGS_EQUAL(900, reports[0].chain[0].ran.milliseconds);
  CHECK(reports[0].chain[1].outcome == AttemptOutcome::succeeded);
}

// A redundant copy that ends later must not be reported as a second end of the job.
TEST(JobLatencyTrackerTests, lateJobIsReportedOnce) {
  StepRequest redundant = shortStep();
  redundant.requirements.redundant = true;
  cluster.registerWorker("b");
  cluster.submit("late", {redundant});
  cluster.planAndRun();
  cluster.now += 9000;
  cluster.planAndRun();  // starts a copy because the first run is overdue
  const AttemptNumber copy = cluster.task("late").redundantAttempt;
  CHECK(copy.value > 0);
  endRun("late", AttemptOutcome::succeeded, 1);
  LONGS_EQUAL(1, reports.size());
  const Event event = WorkerSynced{WorkerId{"b"}, {}, {{copy, AttemptOutcome::stopped}}};
  tracker.recordResults(cluster.clusterState, event, ClusterTime{cluster.now});
  cluster.apply(event);
  tracker.reportEnded(cluster.clusterState);
  LONGS_EQUAL(1, reports.size());
}

TEST(JobLatencyTrackerTests, chainContainsRunsOfDependencies) {
  cluster.submit("late", {shortStep(), dependingOn(shortStep(), "0")});
  cluster.planAndRun();
  endRun("late", AttemptOutcome::succeeded, 1500);
  cluster.planAndRun();
  const AttemptNumber second = cluster.attempt("late", 1);
  cluster.now += 1500;
  const Event event = WorkerSynced{WorkerId{"a"}, {}, {{second, AttemptOutcome::succeeded}}};
  tracker.recordResults(cluster.clusterState, event, ClusterTime{cluster.now});
  cluster.apply(event);
  tracker.reportEnded(cluster.clusterState);
  LONGS_EQUAL(1, reports.size());
  LONGS_EQUAL(2, reports[0].chain.size());
  LONGS_EQUAL(0, reports[0].chain[0].step);
  LONGS_EQUAL(1, reports[0].chain[1].step);
  STRCMP_EQUAL("job_late", render(reports[0]).name.c_str());
}
