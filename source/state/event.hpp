// What the replicated log holds; views are folds of these. docs/design.md 3.2.
#ifndef ANISELINE_STATE_EVENT_HPP
#define ANISELINE_STATE_EVENT_HPP
#include "state/config_history.hpp"
#include "state/worker.hpp"

namespace aniseline {

struct LeaderStarted {  // a new leader's first entry
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
struct JobCancelled {
  JobId job;
  template <class Archive>
  void serialize(Archive& archive, unsigned) {
    archive& job;
  }
};
struct OccurrenceFired {
  JobId job;
  template <class Archive>
  void serialize(Archive& archive, unsigned) {
    archive& job;
  }
};
struct JobsExpired {
  std::vector<JobId> jobs;
  std::vector<JobId> compacted;   // over for a while: only what a resend and a look need is kept
  std::vector<WorkerId> workers;  // gone as long ago
  template <class Archive>
  void serialize(Archive& archive, unsigned) {
    archive& jobs& compacted& workers;
  }
};
struct WorkerRegistered {  // a new worker, a new incarnation, or a changed word about itself
  WorkerId worker;
  Incarnation incarnation;
  Capacity capacity;
  template <class Archive>
  void serialize(Archive& archive, unsigned) {
    archive& worker& incarnation& capacity;
  }
};
struct WorkerSynced {
  WorkerId worker;
  OrderNumber lastAppliedOrder;
  std::vector<AttemptResult> results;
  std::vector<std::pair<AttemptNumber, std::string>> checkpoints{};  // checkpoints of what runs on
  template <class Archive>
  void serialize(Archive& archive, unsigned) {
    archive& worker& lastAppliedOrder& results& checkpoints;
  }
};
struct WorkerDrainStarted {
  WorkerId worker;
  Duration timeout;
  bool byOperator = false;
  template <class Archive>
  void serialize(Archive& archive, unsigned) {
    archive& worker& timeout& byOperator;
  }
};
struct WorkerDrainDeadlinePassed {  // the deadline of its leaving passed
  WorkerId worker;
  template <class Archive>
  void serialize(Archive& archive, unsigned) {
    archive& worker;
  }
};
struct WorkerReconnected {  // back from silence, or undrained
  WorkerId worker;
  template <class Archive>
  void serialize(Archive& archive, unsigned) {
    archive& worker;
  }
};
struct WorkerUnreachable {
  WorkerId worker;
  std::vector<AttemptNumber> abandoned;  // those whose queues wait no longer
  template <class Archive>
  void serialize(Archive& archive, unsigned) {
    archive& worker& abandoned;
  }
};
struct WorkerRemoved {
  WorkerId worker;
  std::string reason;
  template <class Archive>
  void serialize(Archive& archive, unsigned) {
    archive& worker& reason;
  }
};

struct JobFailed {  // it can never be done
  JobId job;
  std::string reason;
  template <class Archive>
  void serialize(Archive& archive, unsigned) {
    archive& job& reason;
  }
};

struct ControllerReplacementRequested {  // an operator's word that a learner may take its place; or
                                         // that this is over
  ControllerId controller;
  bool completed = false;
  template <class Archive>
  void serialize(Archive& archive, unsigned) {
    archive& controller& completed;
  }
};

struct Placement {
  std::uint32_t taskIndex = 0;
  WorkerId worker;
  template <class Archive>
  void serialize(Archive& archive, unsigned) {
    archive& taskIndex& worker;
  }
};
struct Reservation {  // the ONE reserved start, docs/paper.md 3
  JobId job;
  std::uint32_t stepIndex = 0;
  ClusterTime start;
  std::vector<Placement> placements;
  std::uint32_t timesMoved = 0;  // how often an overrun has moved it
  bool isActive() const { return !job.value.empty(); }
  template <class Archive>
  void serialize(Archive& archive, unsigned) {
    archive& job& stepIndex& start& placements& timesMoved;
  }
};
enum class ActionKind : std::uint8_t { start, stage, launch, suspend, stop };
struct Action {
  ActionKind kind = ActionKind::start;
  AttemptNumber attempt;
  JobId job;
  std::uint32_t taskIndex = 0;
  WorkerId worker;
  bool trial = false;
  Duration quantum;
  std::uint64_t memory = 0;
  AttemptNumber suspendedForTrial;  // of a hold: the trial it makes way for
  std::uint32_t runNumber = 0;      // of a start
  bool redundantCopy = false;       // of a start: a copy beside the one that runs
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
