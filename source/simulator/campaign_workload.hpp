// The jobs of a campaign: a mix of short and long work, gangs, timetables and cancels, submitted
// over its whole duration. Draws come from the campaign's own random numbers, in a fixed order:
// recorded seeds rest on it. docs/design.md 12.3.
#ifndef ANISELINE_SIMULATOR_CAMPAIGN_WORKLOAD_HPP
#define ANISELINE_SIMULATOR_CAMPAIGN_WORKLOAD_HPP
#include "simulator/simulated_cluster.hpp"

namespace aniseline {

// The tasks of a job's only step, all alike.
struct StepShape {
  std::size_t tasks = 1;
  std::uint32_t cores = 1;
  std::uint64_t memoryMb = 256;
  std::int64_t requestedMs = 1000;  // as the job states it
  std::int64_t actualMs = 100;      // as the simulated workers run it
  bool gang = false;
};
JobSubmission singleStepJob(const std::string& id, const std::string& queue,
                            const StepShape& shape);

class CampaignWorkload {
 public:
  // The cluster and the random numbers outlive this. Jobs come over `duration` ms of virtual time.
  CampaignWorkload(SimulatedCluster& cluster, Random& random, std::int64_t duration)
      : cluster(cluster), random(random), duration(duration) {}

  // Jobs for workers that sync with the leader themselves.
  void scheduleStandardJobs();
  // Jobs for workers that are called: labels, preferred racks, limits a worker, gangs, checkpoints,
  // long-running work, timetables that overlap, tasks that always fail and tasks that never fit.
  void scheduleCalledWorkerJobs();
  // Many jobs at once, some of which no worker could ever hold.
  void submitFlood();

 private:
  using SubmitJob = void (CampaignWorkload::*)(const std::string& id);

  // Has `submitJob` called at drawn times, `meanGap` ms apart on average, with ids that begin with
  // `prefix`.
  void scheduleEvery(double meanGap, const char* prefix, SubmitJob submitJob);
  // When the caller cancels, in ms after the acceptance; -1: never.
  std::int64_t drawCancelDelay(double share, std::int64_t longest);
  void maybeResubmit(const JobSubmission& job, double share);
  std::string drawQueue(const char* enforcing, const char* open);

  void submitProof(const std::string& id);
  void submitDieline(const std::string& id);
  void submitPlateGang(const std::string& id);
  void submitLongTasks(const std::string& id);
  void submitWithoutRetries(const std::string& id);
  void submitEndless();
  void submitNightly();

  void submitPrints(const std::string& id);
  void submitCheckpointedGang(const std::string& id);
  void submitCheckpointedTasks(const std::string& id);
  void submitLongRunning(const std::string& id);
  void submitAlwaysFailing(const std::string& id);
  void submitUnschedulable(const std::string& id);
  void submitOverlappingTimetable(std::size_t index);

  SimulatedCluster& cluster;
  Random& random;
  std::int64_t duration;
  std::map<std::string, std::size_t> jobsByPrefix;
  std::size_t floods = 0;
};

}  // namespace aniseline

#endif  // ANISELINE_SIMULATOR_CAMPAIGN_WORKLOAD_HPP
