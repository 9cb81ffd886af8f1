// Whether a step could ever run on the workers that are known. Asked by the
// leader when it admits a job and for jobs that wait long.
// docs/design.md 4.8, 10.
#ifndef ANISELINE_SCHEDULING_FEASIBILITY_HPP
#define ANISELINE_SCHEDULING_FEASIBILITY_HPP
#include "state/cluster_state.hpp"

namespace aniseline {

/// Why the known workers, all empty, could never hold the tasks of a step
/// together (a gang) or one by one; nothing if they could. Unreachable and
/// removed workers count, and before the workers' capacities have settled
/// nothing is infeasible.
std::optional<std::string> infeasibilityReason(const ClusterState& clusterState,
                                               const JobSubmission& job, const StepRequest& step);

}  // namespace aniseline

#endif  // ANISELINE_SCHEDULING_FEASIBILITY_HPP
