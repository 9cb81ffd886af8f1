// The events of the replicated log. ClusterState::apply derives the whole state from them. A record
// is serialized as the event's index in `Event` followed by its fields in order; neither may
// change. docs/design.md 3.2.
#ifndef ANISELINE_STATE_EVENT_HPP
#define ANISELINE_STATE_EVENT_HPP
#include "state/cancellation_tombstones.hpp"
#include "state/config_history.hpp"
#include "state/job.hpp"
#include "state/worker.hpp"

namespace aniseline {

/// The first entry of a new leader's term.
struct LeaderStarted {
  // The id of the cluster. In a cluster that was bootstrapped without an id, the first committed
  // entry that proposes one gives it its id. docs/design.md 3.8.
  ClusterId cluster{};
  template <class Archive>
  void serialize(Archive& archive, unsigned) {
    serializeTrailingSection(archive, cluster);
  }
};

struct ConfigCommitted {
  ClusterConfig config;
  TextDigest digest;  // digest of the configuration's text
  ConfigCommitted() = default;
  explicit ConfigCommitted(ClusterConfig committedConfig)
      : config(std::move(committedConfig)), digest(TextDigest::of(config.text)) {}
  template <class Archive>
  void serialize(Archive& archive, unsigned) {
    archive& config& digest;
  }
};

struct JobAccepted {
  JobSubmission submission;
  template <class Archive>
  void serialize(Archive& archive, unsigned) {
    archive& submission;
  }
};

/// The submitter or an operator requested to cancel the job.
struct JobCancelled {
  JobId job;
  // If the job was unknown: the submissions that are cancelled when they arrive later.
  CancellationScope scope{};
  template <class Archive>
  void serialize(Archive& archive, unsigned) {
    serializeTextWithSection(archive, job.value, scope);
  }
};

/// The next start time of a timetable has been reached.
struct OccurrenceFired {
  JobId job;  // the timetable
  template <class Archive>
  void serialize(Archive& archive, unsigned) {
    archive& job;
  }
};

/// Jobs and workers that ended some time ago are dropped, or jobs are compacted. docs/design.md
/// 4.5.
struct JobsExpired {
  std::vector<JobId> jobs;
  // Reduced to the data that answers repeated submissions and queries.
  std::vector<JobId> compacted;
  std::vector<WorkerId> workers;
  template <class Archive>
  void serialize(Archive& archive, unsigned) {
    archive& jobs& compacted& workers;
  }
};

/// A new worker registered, or a known one with a new incarnation or a changed capacity.
struct WorkerRegistered {
  WorkerId worker;
  Incarnation incarnation;
  Capacity capacity;
  template <class Archive>
  void serialize(Archive& archive, unsigned) {
    archive& worker& incarnation& capacity;
  }
};

/// The new information in a worker's sync.
struct WorkerSynced {
  WorkerId worker;
  OrderNumber lastAppliedOrder;
  std::vector<AttemptResult> results;
  // Checkpoints of attempts that have not ended.
  std::vector<std::pair<AttemptNumber, std::string>> checkpoints{};
  template <class Archive>
  void serialize(Archive& archive, unsigned) {
    archive& worker& lastAppliedOrder& results& checkpoints;
  }
};

/// The worker gets no new work and must be empty when the timeout ends.
struct WorkerDrainStarted {
  WorkerId worker;
  Duration timeout;
  bool byOperator = false;  // false: the worker is shutting down
  template <class Archive>
  void serialize(Archive& archive, unsigned) {
    archive& worker& timeout& byOperator;
  }
};

struct WorkerDrainDeadlinePassed {
  WorkerId worker;
  template <class Archive>
  void serialize(Archive& archive, unsigned) {
    archive& worker;
  }
};

/// An unreachable worker has synced again, or an operator ended its drain.
struct WorkerReconnected {
  WorkerId worker;
  template <class Archive>
  void serialize(Archive& archive, unsigned) {
    archive& worker;
  }
};

struct WorkerUnreachable {
  WorkerId worker;
  // Attempts whose tasks may restart elsewhere: their queue's QueueOptions::reassignAfter has
  // passed.
  std::vector<AttemptNumber> abandoned;
  template <class Archive>
  void serialize(Archive& archive, unsigned) {
    archive& worker& abandoned;
  }
};

/// The worker is removed for good.
struct WorkerRemoved {
  WorkerId worker;
  std::string reason;
  template <class Archive>
  void serialize(Archive& archive, unsigned) {
    archive& worker& reason;
  }
};

/// The job fails because it can never succeed.
struct JobFailed {
  JobId job;
  std::string reason;
  template <class Archive>
  void serialize(Archive& archive, unsigned) {
    archive& job& reason;
  }
};

/// An operator requested that a learner replace the controller; with `completed`, it has replaced
/// it.
struct ControllerReplacementRequested {
  ControllerId controller;
  bool completed = false;
  template <class Archive>
  void serialize(Archive& archive, unsigned) {
    archive& controller& completed;
  }
};

struct Placement {
  std::uint32_t taskIndex = 0;  // in Job::tasks
  WorkerId worker;
  template <class Archive>
  void serialize(Archive& archive, unsigned) {
    archive& taskIndex& worker;
  }
};

/// The reserved start of one step; there is at most one reservation at a time. docs/paper.md 3.
struct Reservation {
  JobId job;  // empty: none
  std::uint32_t stepIndex = 0;
  ClusterTime start;
  std::vector<Placement> placements;
  // How often running tasks that overran their requested run times delayed it.
  std::uint32_t timesMoved = 0;
  bool isActive() const { return !job.value.empty(); }
  template <class Archive>
  void serialize(Archive& archive, unsigned) {
    archive& job& stepIndex& start& placements& timesMoved;
  }
};

enum class ActionKind : std::uint8_t { start, stage, launch, suspend, stop };

/// One decision of a plan. The fields from `job` to `memory` are set only for starts and stages.
struct Action {
  ActionKind kind = ActionKind::start;
  AttemptNumber attempt;
  JobId job;
  std::uint32_t taskIndex = 0;  // in Job::tasks
  WorkerId worker;
  bool trial = false;
  Duration quantum;
  std::uint64_t memory = 0;         // MB
  AttemptNumber suspendedForTrial;  // for a suspend: the trial that takes its place
  std::uint32_t runNumber = 0;      // for a start
  bool redundantCopy = false;       // for a start: a copy beside the current attempt
  std::string reason;
  template <class Archive>
  void serialize(Archive& archive, unsigned) {
    archive& kind& attempt& job& taskIndex& worker& trial& quantum& memory& suspendedForTrial&
        runNumber& redundantCopy& reason;
  }
};

struct PlanMade {
  PlanNumber number;
  std::vector<Action> actions;
  Reservation reservation;
  template <class Archive>
  void serialize(Archive& archive, unsigned) {
    archive& number& actions& reservation;
  }
};

using Event =
    boost::variant<LeaderStarted, ConfigCommitted, JobAccepted, JobCancelled, OccurrenceFired,
                   JobsExpired, WorkerRegistered, WorkerSynced, WorkerDrainStarted,
                   WorkerDrainDeadlinePassed, WorkerReconnected, WorkerUnreachable, WorkerRemoved,
                   PlanMade, ControllerReplacementRequested, JobFailed>;

struct LogRecord {
  ClusterTime time;
  Event event;
  template <class Archive>
  void serialize(Archive& archive, unsigned) {
    archive& time& event;
  }
};

}  // namespace aniseline

#endif  // ANISELINE_STATE_EVENT_HPP
