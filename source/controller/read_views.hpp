// The read service: what clients, operators and gateways are shown of the
// cluster, as JSON bodies. Functions of the state only; nothing is changed.
// docs/api.md.
#ifndef ANISELINE_CONTROLLER_READ_VIEWS_HPP
#define ANISELINE_CONTROLLER_READ_VIEWS_HPP
#include "controller/gateway_registry.hpp"
#include "raft/node.hpp"
#include "scheduling/planner.hpp"

namespace aniseline {

// What a gateway needs to reach the leader.
LeaderRoute routeView(const RaftNode& raft, const ClusterState& committed,
                      const GatewayRegistry& gateways, MonotonicTime now);

// A job's phase alone; 410 for a job that is not known. docs/api.md 1.
ApiResponse jobPhaseResponse(const ClusterState& state, const JobId& id);
// 404 for a job that is not known.
ApiResponse jobResponse(const ClusterState& state, const JobId& id);
// The accepted jobs of a queue of which no task has begun, in ApiResponse::pendingJobCount. A
// timetable counts as one job, until an occurrence of it has begun.
ApiResponse pendingJobCountResponse(const ClusterState& state, const QueueName& queue);
// The text of the configuration as its operator wrote it; 404 while there is
// none.
ApiResponse configTextResponse(const ClusterState& state);

picojson::object renderConfig(const ClusterState& state);
picojson::object renderJob(const ClusterState& state, const Job& job);
// The jobs in the state that the request names, or all of them, up to its
// limit.
picojson::object renderJobList(const ClusterState& state, const ApiRequest& request);
// Every job that is kept, and the cluster time.
picojson::object renderExport(const ClusterState& state, ClusterTime clusterNow);
picojson::object renderWorkers(const ClusterState& state, const LastContactAges& unheard,
                               ClusterTime clusterNow);
// Each tenant with its cap and what it holds of it.
picojson::object renderTenants(const ClusterState& state);
picojson::object renderCluster(const ClusterState& state, const RaftNode& raft,
                               const GatewayRegistry& gateways, MonotonicTime now,
                               ClusterTime clusterNow);
picojson::object renderPlan(const ClusterState& state, const Plan& plan, ClusterTime clusterNow);
picojson::object renderCounters(const ClusterState& state, const RaftNode& raft,
                                std::size_t pendingRequests);

}  // namespace aniseline

#endif  // ANISELINE_CONTROLLER_READ_VIEWS_HPP
