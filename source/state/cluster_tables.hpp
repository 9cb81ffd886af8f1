// The tables of the replicated cluster state, as plain data. Owned by ClusterState, which gives
// read access to them; modified only by the functions that apply events (event_appliers.hpp).
// docs/design.md 3.2.
#ifndef ANISELINE_STATE_CLUSTER_TABLES_HPP
#define ANISELINE_STATE_CLUSTER_TABLES_HPP
#include "state/attempt_index.hpp"
#include "state/event.hpp"

namespace aniseline {

/// Counters since the cluster was bootstrapped, for operators.
struct Counters {
  std::uint64_t admitted = 0;  // this and the next three count jobs
  std::uint64_t cancelled = 0;
  std::uint64_t succeeded = 0;
  std::uint64_t failed = 0;
  std::uint64_t starts = 0;
  std::uint64_t trials = 0;
  std::uint64_t trialsExpired = 0;
  std::uint64_t trialsSucceeded = 0;
  std::uint64_t suspends = 0;
  std::uint64_t retries = 0;
  std::uint64_t abandoned = 0;  // attempts
  std::uint64_t plans = 0;
  std::uint64_t reservationsMoved = 0;
  template <class Archive>
  void serialize(Archive& archive, unsigned) {
    archive& admitted& cancelled& succeeded& failed& starts& trials& trialsExpired& trialsSucceeded&
        suspends& retries& abandoned& plans& reservationsMoved;
  }
};

struct ClusterTables {
  ClusterTime now;  // time of the latest record; never decreases
  ClusterConfig config;
  ConfigHistory configHistory;
  std::map<JobId, Job> jobs;
  std::set<JobId> openJobs;  // jobs not in a terminal state, including timetables
  std::map<QueueName, std::uint64_t> openJobsByQueue;
  std::map<WorkerId, Worker> workers;
  std::map<AttemptNumber, Attempt> attempts;
  AttemptNumber lastAttempt;
  PlanNumber lastPlan;
  Reservation reservation;
  Counters counters;
  std::set<ControllerId> controllersToReplace;  // requested by operators
  // Controllers that were replaced on request, oldest first, so that a repeated request is
  // recognised.
  std::deque<ControllerId> replacedControllers;
  // The latest time at which a worker registered with a capacity that no known worker covered.
  ClusterTime capacityChangedAt;
  CancellationTombstones tombstones;

  // Derived from the tables above and not serialized.
  std::set<std::pair<ClusterTime, JobId>> jobsByEndTime;  // jobs in a terminal state
  std::uint64_t estimatedJobBytes = 0;                    // memory of all jobs in this copy
  AttemptIndex attemptIndex;
  // Workers that registered or were issued an order since ClusterState::takeUpdatedWorkers() was
  // last called; not serialized.
  std::set<WorkerId> updatedWorkers;

  /// Adds an attempt, or replaces the one with the same number.
  void addAttempt(const Attempt& attempt);
  /// Removes an existing attempt, without any other effect.
  void eraseAttempt(AttemptNumber number);
  /// Adds a job, which must not exist yet.
  void addJob(Job job);
  /// Removes an existing job from the table of jobs, and no other trace of it.
  void eraseJob(std::map<JobId, Job>::iterator job);
  /// Must be called after each change to what estimateJobBytes() depends on: the state of a job,
  /// its tasks and steps, or the open occurrences of a timetable.
  void updateEstimatedBytes(Job& job);
  /// Advances the time, and drops what is kept only for a limited time.
  void advanceTo(ClusterTime time);
  /// Rebuilds the derived tables after the state was deserialized.
  void rebuildIndexes();

  template <class Archive>
  void serialize(Archive& archive, unsigned) {
    archive& now& config& configHistory& jobs& openJobs& openJobsByQueue& workers& attempts&
        lastAttempt& lastPlan& reservation& counters& controllersToReplace& replacedControllers&
            capacityChangedAt;
    serializeTrailingSection(archive, tombstones);
    if constexpr (Archive::is_loading::value)
      rebuildIndexes();
  }
};

}  // namespace aniseline

#endif  // ANISELINE_STATE_CLUSTER_TABLES_HPP
