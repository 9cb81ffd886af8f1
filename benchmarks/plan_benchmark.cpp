// Single plans, of many tasks and of one gang.
#include "benchmarks/benchmarks.hpp"

namespace aniseline::benchmarks {

Values measurePlan(const Sizes& sizes, std::uint64_t seed) {
  const ClusterState clusterState = presetClusterState(sizes, Random(seed));
  const auto heard = noSilence(sizes);
  Planner planner;
  Values values;
  planner.makePlan(ClusterState{}, ClusterTime{0}, heard);
  planner.makePlan(presetClusterState(Sizes{}, Random(1)), ClusterTime{0}, heard);
  values["plan_us"] = timed([&] { planner.makePlan(clusterState, ClusterTime{5000}, heard); });
  values["next_due_us"] = timed([&] { Planner::nextPlanTime(clusterState, ClusterTime{5000}); });
  return values;
}

// One gang, and room for it: the plan that starts it.
Values measureGang(const Sizes& sizes, std::uint64_t seed) {
  ClusterState clusterState = presetClusterState(sizes, Random(seed));
  JobSubmission job;
  job.id = JobId{"gang"};
  job.queue = queueName(0);
  job.steps = {
      {"together",
       {},
       true,
       std::vector<TaskRequest>(sizes.gang, TaskRequest{taskCores, 64, Duration{6000}, ""})}};
  const auto heard = noSilence(sizes);
  Planner planner;
  Values values;
  planner.makePlan(clusterState, ClusterTime{5000}, heard);
  values["plan_without_us"] =
      timed([&] { planner.makePlan(clusterState, ClusterTime{5000}, heard); });
  clusterState.apply(LogRecord{ClusterTime{5000}, JobAccepted{job}});
  Plan plan;
  values["plan_us"] =
      timed([&] { plan = planner.makePlan(clusterState, ClusterTime{5000}, heard); });
  values["parts_started"] = double(plan.record.actions.size());
  values["fold_us"] = timed([&] { clusterState.apply(LogRecord{ClusterTime{5000}, plan.record}); });
  return values;
}

}  // namespace aniseline::benchmarks
