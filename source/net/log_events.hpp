// The names of the log events of daemons and programs; docs/operations.md 5 lists each with its
// meaning. The names of the controller's own events are in the modules of the controller.
#ifndef ANISELINE_NET_LOG_EVENTS_HPP
#define ANISELINE_NET_LOG_EVENTS_HPP

namespace aniseline::log_events {

// Logged by every daemon.
constexpr const char* started = "started";
constexpr const char* stopping = "stopping";
constexpr const char* stopped = "stopped";
constexpr const char* foreignRouteRefused = "foreign_route_refused";
constexpr const char* listenFailed = "listen_failed";

// Logged by a controller.
constexpr const char* dataFolderOpenFailed = "data_folder_open_failed";
constexpr const char* dataFolderQuarantineFailed = "data_folder_quarantine_failed";
constexpr const char* diskWriteFailed = "disk_write_failed";
constexpr const char* diskWritable = "disk_writable";
constexpr const char* stateUnreadable = "state_unreadable";
constexpr const char* newIdentityAfterCorruption = "new_identity_after_corruption";
constexpr const char* identityRemovedFromCluster = "identity_removed_from_cluster";
constexpr const char* clusterBootstrapped = "cluster_bootstrapped";
constexpr const char* peerMessageRejected = "peer_message_rejected";
constexpr const char* configurationAnswered = "configuration_answered";
constexpr const char* memoryUsage = "memory_usage";
constexpr const char* leaderLoad = "leader_load";

// Logged by a gateway.
constexpr const char* leaderChanged = "leader_changed";

// Logged by an agent.
constexpr const char* agentLatency = "agent_latency";
constexpr const char* workerRegistered = "worker_registered";
constexpr const char* workerDraining = "worker_draining";
constexpr const char* settingNotSupported = "setting_not_supported";
constexpr const char* workerDeclaredGone = "worker_declared_gone";

// Logged by the worker stub.
constexpr const char* draining = "draining";
constexpr const char* workerRejected = "worker_rejected";
constexpr const char* shutdownNoticeFailed = "shutdown_notice_failed";
constexpr const char* instanceRestarted = "instance_restarted";

}  // namespace aniseline::log_events

#endif  // ANISELINE_NET_LOG_EVENTS_HPP
