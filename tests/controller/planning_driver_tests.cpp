// Tests when plans are made. docs/design.md 7, 10.
#include "controller/planning_driver.hpp"
#include "state/cluster_state_fixture.hpp"

using namespace aniseline;
using std::chrono::microseconds;

TEST_GROUP(PlanningDriverTests) {
  ClusterStateFixture cluster;
  ControllerOptions options;
  LeaseManager leases{options};
  LogEventSignal events;
  PlanningDriver driver{leases, events, Duration{0}, {}};

  void setup() override {
    cluster.registerWorker("w");
    cluster.submit("job", {ClusterStateFixture::step(1, 1000)});
  }
  // Reports whether an urgent request at this time is planned at once. The plan is not applied, so
  // the next one has the same to do.
  bool plansAt(std::int64_t at) {
    const MonotonicTime now{at};
    SyncReport report;
    report.id = WorkerId{"w"};
    report.reportedAt = now;
    leases.recordReport(report, now);
    driver.requestPlan();
    driver.skipPeriod();
    return driver.run(cluster.clusterState, ClusterTime{cluster.now}, now).has_value();
  }
};

// Plans of a large cluster took most of a slow leader's time, however long each took.
TEST(PlanningDriverTests, afterALongStepTheNextPlanWaitsForThreeTimesThatLong) {
  CHECK(plansAt(1000));
  driver.recordStepTime(microseconds{10'000});
  CHECK(!plansAt(1029));
  CHECK(plansAt(1030));
}

TEST(PlanningDriverTests, afterAShortStepAnUrgentPlanIsMadeAtOnce) {
  CHECK(plansAt(1000));
  driver.recordStepTime(microseconds{200});
  CHECK(plansAt(1001));
}

TEST(PlanningDriverTests, stepsWithoutAPlanDelayNoPlan) {
  CHECK(plansAt(1000));
  driver.recordStepTime(microseconds{200});
  driver.recordStepTime(microseconds{20'000});
  CHECK(plansAt(1001));
}

TEST(PlanningDriverTests, aProcessThatWasSuspendedInAStepPlansSoonAfterwards) {
  CHECK(plansAt(1000));
  driver.recordStepTime(microseconds{10'000'000});
  CHECK(plansAt(1060));
}
