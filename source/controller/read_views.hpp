// The read API: JSON views of the cluster for clients, operators and gateways. All functions depend
// only on their arguments and change nothing. docs/api.md.
#ifndef ANISELINE_CONTROLLER_READ_VIEWS_HPP
#define ANISELINE_CONTROLLER_READ_VIEWS_HPP
#include "controller/gateway_registry.hpp"
#include "raft/node.hpp"
#include "scheduling/planner.hpp"

namespace aniseline {

// Returns the data that a gateway needs to reach the leader.
LeaderRoute routeView(const RaftNode& raft, const ClusterState& committed,
                      const GatewayRegistry& gateways, MonotonicTime now);

// Returns only the phase of a job; status 410 for an unknown job. docs/api.md 1.
ApiResponse jobPhaseResponse(const ClusterState& state, const JobId& id);
// Returns a job; status 404 for an unknown job.
ApiResponse jobResponse(const ClusterState& state, const JobId& id);
// Returns in ApiResponse::pendingJobCount the number of accepted jobs of a queue for which no task
// has started. A timetable counts as one job until one of its occurrences has started.
ApiResponse pendingJobCountResponse(const ClusterState& state, const QueueName& queue);
// Returns the text of the configuration as the operator wrote it; status 404 if there is none.
ApiResponse configTextResponse(const ClusterState& state);

picojson::object renderConfig(const ClusterState& state);
picojson::object renderJob(const ClusterState& state, const Job& job);
// Returns the jobs in the state that the request names, or all jobs, up to the limit of the
// request.
picojson::object renderJobList(const ClusterState& state, const ApiRequest& request);
// Returns every stored job, and the cluster time.
picojson::object renderExport(const ClusterState& state, ClusterTime clusterNow);
picojson::object renderWorkers(const ClusterState& state, const LastContactAges& unheard,
                               ClusterTime clusterNow);
// Returns each tenant with its cap and its current use of it.
picojson::object renderTenants(const ClusterState& state);
picojson::object renderCluster(const ClusterState& state, const RaftNode& raft,
                               const GatewayRegistry& gateways, MonotonicTime now,
                               ClusterTime clusterNow);
picojson::object renderPlan(const ClusterState& state, const Plan& plan, ClusterTime clusterNow);
// The memory of a controller, in bytes.
struct MemoryUsage {
  std::uint64_t jobBytesLimit = 0;  // of the estimated size of all jobs
  std::uint64_t pendingBytes = 0;   // texts of pending requests and proposals
  std::uint64_t residentBytes = 0;  // of the process; 0: unknown
};
picojson::object renderCounters(const ClusterState& state, const RaftNode& raft,
                                std::size_t pendingRequests, const MemoryUsage& memory);

}  // namespace aniseline

#endif  // ANISELINE_CONTROLLER_READ_VIEWS_HPP
