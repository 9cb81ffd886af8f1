// What the replicated log holds; views are folds of these. docs/design.md 3.2.
#pragma once
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
  std::vector<JobId> shortened;   // over for a while: only what a resend and a look need is kept
  std::vector<WorkerId> workers;  // gone as long ago
  template <class Archive>
  void serialize(Archive& archive, unsigned) {
    archive& jobs& shortened& workers;
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
  OrderNumber applied;
  std::vector<Ending> endings;
  std::vector<std::pair<AttemptNumber, std::string>> saves{};  // checkpoints of what runs on
  template <class Archive>
  void serialize(Archive& archive, unsigned) {
    archive& worker& applied& endings& saves;
  }
};
struct WorkerLeaves {
  WorkerId worker;
  Duration within;
  bool byOperator = false;
  template <class Archive>
  void serialize(Archive& archive, unsigned) {
    archive& worker& within& byOperator;
  }
};
struct WorkerLeaveOver {  // the deadline of its leaving passed
  WorkerId worker;
  template <class Archive>
  void serialize(Archive& archive, unsigned) {
    archive& worker;
  }
};
struct WorkerReturned {  // back from silence, or undrained
  WorkerId worker;
  template <class Archive>
  void serialize(Archive& archive, unsigned) {
    archive& worker;
  }
};
struct WorkerSilent {
  WorkerId worker;
  std::vector<AttemptNumber> givenUp;  // those whose queues wait no longer
  template <class Archive>
  void serialize(Archive& archive, unsigned) {
    archive& worker& givenUp;
  }
};
struct WorkerGone {
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
  bool over = false;
  template <class Archive>
  void serialize(Archive& archive, unsigned) {
    archive& controller& over;
  }
};

struct Placement {
  std::uint32_t task = 0;
  WorkerId worker;
  template <class Archive>
  void serialize(Archive& archive, unsigned) {
    archive& task& worker;
  }
};
struct Reservation {  // the ONE reserved start, docs/paper.md 3
  JobId job;
  std::uint32_t step = 0;
  ClusterTime start;
  std::vector<Placement> placements;
  std::uint32_t moved = 0;  // how often an overrun has moved it
  bool held() const { return !job.value.empty(); }
  template <class Archive>
  void serialize(Archive& archive, unsigned) {
    archive& job& step& start& placements& moved;
  }
};
enum class ActionKind : std::uint8_t { start, stage, go, hold, stop };
struct Action {
  ActionKind kind = ActionKind::start;
  AttemptNumber attempt;
  JobId job;
  std::uint32_t task = 0;
  WorkerId worker;
  bool trial = false;
  Duration quantum;
  std::uint64_t memory = 0;
  AttemptNumber heldFor;  // of a hold: the trial it makes way for
  std::uint32_t run = 0;  // of a start
  bool twin = false;      // of a start: a copy beside the one that runs
  std::string reason;
  template <class Archive>
  void serialize(Archive& archive, unsigned) {
    archive& kind& attempt& job& task& worker& trial& quantum& memory& heldFor& run& twin& reason;
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

using Event = boost::variant<LeaderStarted, ConfigCommitted, JobAccepted, JobCancelled,
                             OccurrenceFired, JobsExpired, WorkerRegistered, WorkerSynced,
                             WorkerLeaves, WorkerLeaveOver, WorkerReturned, WorkerSilent,
                             WorkerGone, PlanMade, ControllerReplacementRequested, JobFailed>;

struct LogRecord {
  ClusterTime at;
  Event event;
  template <class Archive>
  void serialize(Archive& archive, unsigned) {
    archive& at& event;
  }
};

}  // namespace aniseline
