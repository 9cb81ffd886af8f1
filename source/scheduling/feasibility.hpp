// Checks whether a step could ever run on the known workers. The leader calls this when it admits a
// job, and for jobs that have waited for a long time. docs/design.md 4.8, 10.
#ifndef ANISELINE_SCHEDULING_FEASIBILITY_HPP
#define ANISELINE_SCHEDULING_FEASIBILITY_HPP
#include "state/cluster_state.hpp"

namespace aniseline {

/// Returns why the known workers, if all were empty, could not hold the tasks of a step: all at
/// once for a gang, otherwise one by one. Empty if they could. Unreachable and removed workers
/// count as known. No step is infeasible before the workers' capacities have settled, nor while no
/// worker of its pool has registered.
std::optional<std::string> infeasibilityReason(const ClusterState& clusterState,
                                               const JobSubmission& job, const StepRequest& step);

}  // namespace aniseline

#endif  // ANISELINE_SCHEDULING_FEASIBILITY_HPP
