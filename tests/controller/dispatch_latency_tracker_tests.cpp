// Tests of the leader's report on the latency of starts, commits and reported ends.
#include "controller/dispatch_latency_tracker.hpp"
#include "state/cluster_state_fixture.hpp"

using namespace aniseline;

TEST_GROUP(DispatchLatencyTrackerTests) {
  ClusterStateFixture cluster;
  LogEventSignal events;
  std::vector<log_events::DispatchLatency> reports;
  DispatchLatencyTracker tracker{events};

  void setup() override {
    events.connect([this](const LogEvent& event) {
      if (const auto* latency = std::get_if<log_events::DispatchLatency>(&event))
        reports.push_back(*latency);
    });
    cluster.registerWorker("a");
  }
};

TEST(DispatchLatencyTrackerTests, overheadIsTheTimeFromTheOrderToTheReportedEndBeyondTheRun) {
  cluster.submit("job", {ClusterStateFixture::step(1, 1000, {}, false, 1000)});
  cluster.planAndRun();
  const Event event =
      WorkerSynced{WorkerId{"a"}, {}, {{cluster.attempt("job"), AttemptOutcome::succeeded}}};
  tracker.recordEvent(cluster.clusterState, event, ClusterTime{cluster.now + 1250});
  tracker.recordCommit(Duration{7});
  tracker.report(MonotonicTime{5000});
  LONGS_EQUAL(1, reports.size());
  LONGS_EQUAL(1, reports[0].overhead.count);
  LONGS_EQUAL(250, reports[0].overhead.median.milliseconds);
  LONGS_EQUAL(7, reports[0].commit.longest.milliseconds);
  LONGS_EQUAL(0, reports[0].wait.count);
}

TEST(DispatchLatencyTrackerTests, nothingIsReportedWithoutWork) {
  tracker.report(MonotonicTime{5000});
  CHECK(reports.empty());
}
