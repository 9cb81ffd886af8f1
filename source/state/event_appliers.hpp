// Functions that apply the events of the log to the tables of the cluster state, one for each type
// of event. Called only by ClusterState::apply. An event that names an unknown object or arrives
// too late has no effect. docs/design.md 3.2, 4, 5.
#ifndef ANISELINE_STATE_EVENT_APPLIERS_HPP
#define ANISELINE_STATE_EVENT_APPLIERS_HPP
#include "state/cluster_tables.hpp"

namespace aniseline {

// config_events.cpp: the configuration and controllers.
void applyEvent(ClusterTables& tables, const LeaderStarted& event);
void applyEvent(ClusterTables& tables, const ConfigCommitted& event);
void applyEvent(ClusterTables& tables, const ControllerReplacementRequested& event);

// job_events.cpp
void applyEvent(ClusterTables& tables, const JobAccepted& event);
void applyEvent(ClusterTables& tables, const JobCancelled& event);
void applyEvent(ClusterTables& tables, const JobFailed& event);
void applyEvent(ClusterTables& tables, const OccurrenceFired& event);
void applyEvent(ClusterTables& tables, const JobsExpired& event);

// worker_events.cpp
void applyEvent(ClusterTables& tables, const WorkerRegistered& event);
void applyEvent(ClusterTables& tables, const WorkerSynced& event);
void applyEvent(ClusterTables& tables, const WorkerDrainStarted& event);
void applyEvent(ClusterTables& tables, const WorkerDrainDeadlinePassed& event);
void applyEvent(ClusterTables& tables, const WorkerReconnected& event);
void applyEvent(ClusterTables& tables, const WorkerUnreachable& event);
void applyEvent(ClusterTables& tables, const WorkerRemoved& event);

// plan_events.cpp
void applyEvent(ClusterTables& tables, const PlanMade& event);

}  // namespace aniseline

#endif  // ANISELINE_STATE_EVENT_APPLIERS_HPP
