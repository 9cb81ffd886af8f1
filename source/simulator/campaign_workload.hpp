// The jobs of a campaign: a mix of short and long jobs, gangs, timetables and cancellations,
// submitted over its whole duration. They are drawn from the campaign's random generator in a fixed
// order, which recorded seeds depend on. docs/design.md 12.3.
#ifndef ANISELINE_SIMULATOR_CAMPAIGN_WORKLOAD_HPP
#define ANISELINE_SIMULATOR_CAMPAIGN_WORKLOAD_HPP
#include "simulator/simulated_cluster.hpp"

namespace aniseline {

// The tasks of a job's only step; all of them are the same.
struct StepShape {
  std::size_t tasks = 1;
  std::uint32_t cores = 1;
  std::uint64_t memoryMb = 256;
  std::int64_t requestedMs = 1000;  // the runtime that the job requests
  std::int64_t actualMs = 100;      // the runtime on a simulated worker
  bool gang = false;
};
JobSubmission singleStepJob(const std::string& id, const std::string& queue,
                            const StepShape& shape);

class CampaignWorkload {
 public:
  // The cluster and the generator must outlive this object. Jobs are submitted over `duration` ms
  // of virtual time.
  CampaignWorkload(SimulatedCluster& cluster, Random& random, std::int64_t duration)
      : cluster(cluster), random(random), duration(duration) {}

  // Schedules the jobs for workers that sync with the leader themselves.
  void scheduleStandardJobs();
  // Schedules the jobs for called workers: labels, preferred racks, limits per worker, gangs,
  // checkpoints, long-running jobs, overlapping timetables, tasks that always fail and tasks that
  // fit no worker.
  void scheduleCalledWorkerJobs();
  // Submits many jobs at once; some of them fit no worker.
  void submitFlood();

 private:
  using SubmitJob = void (CampaignWorkload::*)(const std::string& id);

  // Schedules calls of `submitJob` at random times, `meanGap` ms apart on average, with ids that
  // begin with `prefix`.
  void scheduleEvery(double meanGap, const char* prefix, SubmitJob submitJob);
  // Returns the delay in ms from the acceptance of a job to its cancellation by the caller, or -1
  // if the caller does not cancel.
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
