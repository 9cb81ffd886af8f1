// Tests that reservations respect the limit of a step's tasks on one worker. docs/design.md 7.
#include "scheduling/planner.hpp"
#include "state/cluster_state.hpp"
#include <CppUTest/TestHarness.h>

using namespace aniseline;

TEST_GROUP(MaxPerWorkerReservationTests){};

// A reserved start that exceeds the limit of a step's tasks on one worker could never take place,
// and would hold back other work.
TEST(MaxPerWorkerReservationTests, noStartIsReservedBeyondTheLimitPerWorker) {
  Capacity capacity;
  capacity.cores = 4000;
  capacity.memory = 1000;
  capacity.honoursLeases = true;
  capacity.killsOnLeaseExpiry = true;
  capacity.selfAssemblingGangs = true;
  ClusterState clusterState;
  std::int64_t now = 0;
  auto apply = [&](Event event) {
    clusterState.apply(LogRecord{ClusterTime{++now}, std::move(event)});
  };
  auto config = ClusterConfig::parse(R"({"queues":{"q":{"tries":2}}})");
  config.value().version = ConfigVersion{1};
  apply(ConfigCommitted{config.value()});
  apply(WorkerRegistered{WorkerId{"v"}, Incarnation{1}, capacity});
  JobSubmission job;
  job.id = JobId{"a"};
  job.queue = QueueName{"q"};
  job.steps = {{"only", {}, true, {TaskRequest{}, TaskRequest{}}}};
  job.steps[0].requirements.maxPerWorker = 1;
  apply(JobAccepted{job});
  Planner planner;
  CHECK(!planner.makePlan(clusterState, ClusterTime{now}, {{WorkerId{"v"}, Duration{0}}})
             .record.reservation.isActive());
  apply(WorkerRegistered{WorkerId{"w"}, Incarnation{1}, capacity});
  LONGS_EQUAL(2, planner
                     .makePlan(clusterState, ClusterTime{now},
                               {{WorkerId{"v"}, Duration{0}}, {WorkerId{"w"}, Duration{0}}})
                     .record.actions.size());
}
