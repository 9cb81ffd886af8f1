// Selects the finished jobs and the removed workers that are to be deleted from the cluster state,
// and the finished jobs that are to be compacted to the data needed to answer repeated requests.
// docs/design.md 4.5.
#ifndef ANISELINE_CONTROLLER_JOB_RETENTION_HPP
#define ANISELINE_CONTROLLER_JOB_RETENTION_HPP
#include "state/cluster_state.hpp"

namespace aniseline {

class JobRetention {
 public:
  // Resets the progress of compaction at the start of a leadership.
  void restart() { compactedThrough = ClusterTime{}; }
  // Returns the items to delete or compact now, limited in number. Returns nothing if there are
  // none. While memory is scarce, ended jobs are compacted at once.
  std::optional<JobsExpired> collect(const ClusterState& state, ClusterTime clusterNow,
                                     bool memoryIsScarce);

 private:
  void collectExpired(const ClusterState& state, ClusterTime clusterNow,
                      JobsExpired& expired) const;
  void collectCompactable(const ClusterState& state, ClusterTime clusterNow, Duration retention,
                          JobsExpired& expired);

  ClusterTime compactedThrough;  // jobs that ended before this time are already compacted
};

}  // namespace aniseline

#endif  // ANISELINE_CONTROLLER_JOB_RETENTION_HPP
