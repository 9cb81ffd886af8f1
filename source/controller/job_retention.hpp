// Decides which finished jobs, and workers that are gone, are removed from the
// cluster state, and which finished jobs are reduced to what a repeated request
// needs. docs/design.md 4.5.
#ifndef ANISELINE_CONTROLLER_JOB_RETENTION_HPP
#define ANISELINE_CONTROLLER_JOB_RETENTION_HPP
#include "state/cluster_state.hpp"

namespace aniseline {

class JobRetention {
 public:
  // At the beginning of a leadership.
  void restart() { shortenedThrough = ClusterTime{}; }
  // What is to be removed now, a bounded number at a time; nothing when there
  // is none.
  std::optional<JobsExpired> collect(const ClusterState& state, ClusterTime clusterNow);

 private:
  void collectExpired(const ClusterState& state, ClusterTime clusterNow,
                      JobsExpired& expired) const;
  void collectShortened(const ClusterState& state, ClusterTime clusterNow, JobsExpired& expired);

  ClusterTime shortenedThrough;  // jobs that ended before this time are reduced already
};

}  // namespace aniseline

#endif  // ANISELINE_CONTROLLER_JOB_RETENTION_HPP
