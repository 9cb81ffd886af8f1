// The events of the replicated log. All state is a fold of them:
// ClusterState::apply. A record's bytes are the event's number in `Event` and
// its fields in their order; neither may change. docs/design.md 3.2.
#ifndef ANISELINE_STATE_EVENT_HPP
#define ANISELINE_STATE_EVENT_HPP
#include "state/config_history.hpp"
#include "state/job.hpp"
#include "state/worker.hpp"

namespace aniseline {

/// The first entry of a new leader.
struct LeaderStarted {
  template <class Archive>
  void serialize(Archive&, unsigned) {}
};

struct ConfigCommitted {
  ClusterConfig config;
  TextDigest digest;  // of its text
  ConfigCommitted() = default;
  explicit ConfigCommitted(ClusterConfig given)
      : config(std::move(given)), digest(TextDigest::of(config.text)) {}
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

/// Requested by its submitter or an operator.
struct JobCancelled {
  JobId job;
  template <class Archive>
  void serialize(Archive& archive, unsigned) {
    archive& job;
  }
};

/// The next start of a timetable has come.
struct OccurrenceFired {
  JobId job;  // the timetable
  template <class Archive>
  void serialize(Archive& archive, unsigned) {
    archive& job;
  }
};

/// What ended some time ago is dropped or compacted. docs/design.md 4.5.
struct JobsExpired {
  std::vector<JobId> jobs;
  std::vector<JobId> compacted;  // only what answers a repeated submission or a look is kept
  std::vector<WorkerId> workers;
  template <class Archive>
  void serialize(Archive& archive, unsigned) {
    archive& jobs& compacted& workers;
  }
};

/// A new worker, a new incarnation of one, or a changed capacity.
struct WorkerRegistered {
  WorkerId worker;
  Incarnation incarnation;
  Capacity capacity;
  template <class Archive>
  void serialize(Archive& archive, unsigned) {
    archive& worker& incarnation& capacity;
  }
};

/// What a worker's sync brought that is new.
struct WorkerSynced {
  WorkerId worker;
  OrderNumber lastAppliedOrder;
  std::vector<AttemptResult> results;
  std::vector<std::pair<AttemptNumber, std::string>> checkpoints{};  // of attempts that go on
  template <class Archive>
  void serialize(Archive& archive, unsigned) {
    archive& worker& lastAppliedOrder& results& checkpoints;
  }
};

/// The worker is to get no new work and to be empty at the end of the timeout.
struct WorkerDrainStarted {
  WorkerId worker;
  Duration timeout;
  bool byOperator = false;  // false: the worker shuts down
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

/// It was unreachable and is heard again, or an operator ended its drain.
struct WorkerReconnected {
  WorkerId worker;
  template <class Archive>
  void serialize(Archive& archive, unsigned) {
    archive& worker;
  }
};

struct WorkerUnreachable {
  WorkerId worker;
  std::vector<AttemptNumber> abandoned;  // whose queues do not wait for it any longer
  template <class Archive>
  void serialize(Archive& archive, unsigned) {
    archive& worker& abandoned;
  }
};

/// It will not come back.
struct WorkerRemoved {
  WorkerId worker;
  std::string reason;
  template <class Archive>
  void serialize(Archive& archive, unsigned) {
    archive& worker& reason;
  }
};

/// The job can never succeed.
struct JobFailed {
  JobId job;
  std::string reason;
  template <class Archive>
  void serialize(Archive& archive, unsigned) {
    archive& job& reason;
  }
};

/// An operator requested that a learner take the controller's place; or this
/// has been done.
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

/// The reserved start of one step; there is at most one at a time.
/// docs/paper.md 3.
struct Reservation {
  JobId job;  // empty: none
  std::uint32_t stepIndex = 0;
  ClusterTime start;
  std::vector<Placement> placements;
  std::uint32_t timesMoved = 0;  // by tasks that overran their requests
  bool isActive() const { return !job.value.empty(); }
  template <class Archive>
  void serialize(Archive& archive, unsigned) {
    archive& job& stepIndex& start& placements& timesMoved;
  }
};

enum class ActionKind : std::uint8_t { start, stage, launch, suspend, stop };

/// One decision of a plan. The fields from `job` to `memory` are set for starts
/// and stages.
struct Action {
  ActionKind kind = ActionKind::start;
  AttemptNumber attempt;
  JobId job;
  std::uint32_t taskIndex = 0;  // in Job::tasks
  WorkerId worker;
  bool trial = false;
  Duration quantum;
  std::uint64_t memory = 0;         // MB
  AttemptNumber suspendedForTrial;  // of a suspend: the trial that it makes way for
  std::uint32_t runNumber = 0;      // of a start
  bool redundantCopy = false;       // of a start: a copy beside the current attempt
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
