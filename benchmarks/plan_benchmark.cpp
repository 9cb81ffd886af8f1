// Measures single plans: one over many waiting and running tasks, and one that starts a gang.
#include "benchmarks/benchmarks.hpp"

namespace aniseline::benchmarks {

Metrics measurePlan(const Sizes& sizes, std::uint64_t seed) {
  const ClusterState clusterState = presetClusterState(sizes, Random(seed));
  const auto contactAges = zeroContactAges(sizes);
  Planner planner;
  Metrics values;
  planner.makePlan(ClusterState{}, ClusterTime{0}, contactAges);
  planner.makePlan(presetClusterState(Sizes{}, Random(1)), ClusterTime{0}, contactAges);
  values["plan_us"] =
      measureCpuMicros([&] { planner.makePlan(clusterState, ClusterTime{5000}, contactAges); });
  values["next_due_us"] =
      measureCpuMicros([&] { Planner::nextPlanTime(clusterState, ClusterTime{5000}); });
  return values;
}

// Measures the plan that starts one gang in a cluster with enough free capacity for it.
Metrics measureGang(const Sizes& sizes, std::uint64_t seed) {
  ClusterState clusterState = presetClusterState(sizes, Random(seed));
  JobSubmission job;
  job.id = JobId{"gang"};
  job.queue = queueName(0);
  job.steps = {
      {"together",
       {},
       true,
       std::vector<TaskRequest>(sizes.gang, TaskRequest{taskMillicores, 64, Duration{6000}, ""})}};
  const auto contactAges = zeroContactAges(sizes);
  Planner planner;
  Metrics values;
  planner.makePlan(clusterState, ClusterTime{5000}, contactAges);
  values["plan_without_us"] =
      measureCpuMicros([&] { planner.makePlan(clusterState, ClusterTime{5000}, contactAges); });
  clusterState.apply(LogRecord{ClusterTime{5000}, JobAccepted{job}});
  Plan plan;
  values["plan_us"] = measureCpuMicros(
      [&] { plan = planner.makePlan(clusterState, ClusterTime{5000}, contactAges); });
  values["parts_started"] = double(plan.record.actions.size());
  values["fold_us"] = measureCpuMicros([&] {
    clusterState.apply(LogRecord{ClusterTime{5000}, plan.record});
  });
  return values;
}

}  // namespace aniseline::benchmarks
