// The worker aggregate: what is known of a worker, its orders, and the attempts placed on it.
// docs/design.md 5.
#ifndef ANISELINE_STATE_WORKER_HPP
#define ANISELINE_STATE_WORKER_HPP
#include "state/job.hpp"

namespace aniseline {

struct Capacity {
  std::uint32_t cores = 0;   // thousandths of a core
  std::uint64_t memory = 0;  // MB
  ZoneName zone;
  std::string rack;
  bool honoursLeases = false;     // holds its tasks when its lease lapses
  bool enforcesCapacity = false;  // itself rejects what it cannot hold
  std::uint32_t accelerators = 0;
  std::string pool{};  // queues name the pool their tasks run in; empty: the one without a name
  std::vector<std::string> labels{};
  std::string host{};           // where it stands; there is one worker a host. docs/design.md 5.8
  bool supportsSuspend = true;  // can hold a task in place; otherwise a hold is a stop
  bool killsOnLeaseExpiry = false;  // kills all when its lease is over; what ended before that and
                                    // was not confirmed is void
  bool selfAssemblingGangs =
      false;  // a gang's parts find each other there; they are started, not staged
  bool operator==(const Capacity&) const = default;
  bool hasLabel(const std::string& label) const {
    return label.empty() || std::find(labels.begin(), labels.end(), label) != labels.end();
  }
  template <class Archive>
  void serialize(Archive& archive, unsigned) {
    archive& cores& memory& zone& rack& honoursLeases& enforcesCapacity& accelerators& pool& labels&
        host& supportsSuspend& killsOnLeaseExpiry& selfAssemblingGangs;
  }
};

enum class OrderKind : std::uint8_t { start, stage, launch, suspend, resume, stop };
const char* name(OrderKind kind);
std::optional<OrderKind> parseOrderKind(const std::string& text);

struct Order {
  OrderNumber number;
  OrderKind kind = OrderKind::start;
  AttemptNumber attempt;
  JobId job;
  std::uint32_t taskIndex = 0;
  std::uint32_t cores = 0;
  std::uint64_t memory = 0;
  Duration runtime;
  Duration
      quantum;  // not 0: a trial, which the worker stops by itself when this much run time is used
  std::string payload;
  std::uint32_t stepIndex = 0, indexInStep = 0,
                runNumber = 0;  // the names workers know a start by. docs/design.md 4.7
  std::string checkpoint;       // the checkpoint to go on from
  template <class Archive>
  void serialize(Archive& archive, unsigned) {
    archive& number& kind& attempt& job& taskIndex& cores& memory& runtime& quantum& payload&
        stepIndex& indexInStep& runNumber& checkpoint;
  }
};

enum class AttemptOutcome : std::uint8_t {
  succeeded,
  failed,
  stopped,
  quantumExpired,
  neverStarted,
  rejected
};  // refused: turned away by the worker
const char* name(AttemptOutcome kind);
std::optional<AttemptOutcome> parseAttemptOutcome(const std::string& text);

struct AttemptResult {
  AttemptNumber attempt;
  AttemptOutcome outcome = AttemptOutcome::succeeded;
  std::string checkpoint{};  // its latest checkpoint
  template <class Archive>
  void serialize(Archive& archive, unsigned) {
    archive& attempt& outcome& checkpoint;
  }
};

// A start by the names that workers know it by; agents speak of nothing else. docs/design.md 4.7.
struct TaskRunId {
  JobId job;  // of a timetable's occurrence the timetable's
  std::uint32_t occurrence = 0, stepIndex = 0, indexInStep = 0, runNumber = 0;
  static TaskRunId of(const Order& order) {
    TaskRunId name{order.job, 0, order.stepIndex, order.indexInStep, order.runNumber};
    if (const auto mark = order.job.value.rfind('@'); mark != std::string::npos) {
      name.job = JobId{order.job.value.substr(0, mark)};
      name.occurrence =
          std::uint32_t(std::strtoul(order.job.value.c_str() + mark + 1, nullptr, 10));
    }
    return name;
  }
  auto operator<=>(const TaskRunId&) const = default;
  bool operator==(const TaskRunId&) const = default;
  template <class Archive>
  void serialize(Archive& archive, unsigned) {
    archive& job& occurrence& stepIndex& indexInStep& runNumber;
  }
};
struct TaskRunResult {
  TaskRunId runId;
  AttemptOutcome outcome = AttemptOutcome::succeeded;
  std::string checkpoint{};
  template <class Archive>
  void serialize(Archive& archive, unsigned) {
    archive& runId& outcome& checkpoint;
  }
};
struct TaskCheckpoint {
  TaskRunId runId;
  std::string checkpoint;
  template <class Archive>
  void serialize(Archive& archive, unsigned) {
    archive& runId& checkpoint;
  }
};

enum class AttemptState : std::uint8_t { ordered, staged, launching, running, suspended, stopping };
const char* name(AttemptState state);

// One start of one task on one worker; it occupies room until its ending is known.
struct Attempt {
  AttemptNumber number;
  JobId job;
  std::uint32_t taskIndex = 0;
  std::uint32_t stepIndex = 0, indexInStep = 0;
  WorkerId worker;
  std::uint32_t cores = 0;
  std::uint64_t memory = 0;
  std::uint32_t accelerators = 0;
  std::uint32_t runNumber = 0;
  Duration runtime;
  Duration quantum;
  bool gang = false;
  bool selfAssembling = false;  // of a gang: started, not staged
  bool abandoned = false;     // given up on; its task may have been placed anew. docs/design.md 5.5
  bool countsAsStart = true;  // its start counts against the allowance
  bool exemptFromRetryLimit =
      false;  // stopped by us in a way that takes nothing from the allowance
  AttemptState state = AttemptState::ordered;
  OrderNumber orderNumber;
  ClusterTime orderedAt;
  ClusterTime runningSince;     // of the present uninterrupted run
  Duration accumulatedRuntime;  // run time before the present run
  AttemptNumber suspendedForTrial;
  bool isTrial() const { return quantum.milliseconds > 0; }
  bool usesCores() const { return state != AttemptState::suspended; }
  Duration runtimeAt(ClusterTime now) const {
    const bool runs = state == AttemptState::running || state == AttemptState::launching;
    return runs && now > runningSince ? accumulatedRuntime + (now - runningSince)
                                      : accumulatedRuntime;
  }
  template <class Archive>
  void serialize(Archive& archive, unsigned) {
    archive& number& job& taskIndex& stepIndex& indexInStep& worker& cores& memory& accelerators&
        runNumber& runtime& quantum& gang& selfAssembling& abandoned& countsAsStart&
            exemptFromRetryLimit& state& orderNumber& orderedAt& runningSince& accumulatedRuntime&
                suspendedForTrial;
  }
};

enum class WorkerState : std::uint8_t { available, draining, drained, unreachable, removed };
const char* name(WorkerState state);

struct Worker {
  WorkerId id;
  Incarnation incarnation;
  std::vector<Incarnation> retiredIncarnations;  // earlier ones, the latest few
  Capacity capacity;
  WorkerState state = WorkerState::available;
  ClusterTime lastSeenAt;
  ClusterTime drainDeadline;
  bool drainDeadlinePassed =
      false;                    // the deadline of its leaving has passed and its tasks were stopped
  OrderNumber lastIssuedOrder;  // the last one given
  OrderNumber lastAppliedOrder;       // the last one the worker said it applied
  std::deque<Order> unappliedOrders;  // those not yet applied
  std::int64_t failureScore =
      0;  // standing: rises with failed work, falls with good work. docs/design.md 5.6
  ClusterTime failureScoredAt;

  bool isSchedulable() const { return state == WorkerState::available; }
  // The failure score fades by half a minute's half-life, so that a mended worker gets work again.
  std::int64_t failureScoreAt(ClusterTime now) const {
    const auto halvings = std::max<std::int64_t>(0, (now - failureScoredAt).milliseconds / 30'000);
    return halvings > 20 ? 0 : failureScore >> halvings;
  }
  Order& issueOrder(OrderKind kind, const Attempt& attempt);
  template <class Archive>
  void serialize(Archive& archive, unsigned) {
    archive& id& incarnation& retiredIncarnations& capacity& state& lastSeenAt& drainDeadline&
        drainDeadlinePassed& lastIssuedOrder& lastAppliedOrder& unappliedOrders& failureScore&
            failureScoredAt;
  }
};

// What a worker says in a sync, docs/api.md 3.
struct SyncReport {
  WorkerId id;
  Incarnation incarnation;
  Capacity capacity;
  OrderNumber lastAppliedOrder;
  std::vector<AttemptResult> results;
  bool draining = false;
  Duration drainTimeout{0};
  Duration longPollTimeout{0};  // how long the answer may be held back when there is nothing to say
  OrderNumber lastReceivedOrder;  // of an agent: what it has got, while lastOrder is what it has
                                  // carried out
  bool unresponsive = false;  // of an agent: its worker does not answer; no lease is wanted, for it
                              // could not be passed on
  Duration remainingLease{
      0};  // of a unresponsive worker: its tasks are held no longer than this from now on
  MonotonicTime reportedAt;  // of an agent, by its own clock: reports may overtake each other
  bool wantsPackedResponse = false;  // of an agent: the answer's body is a packed SyncResponse,
                                     // endings and checkpoints go by name
  std::vector<TaskRunResult> runResults;
  std::vector<TaskCheckpoint> checkpoints;
  template <class Archive>
  void serialize(Archive& archive, unsigned) {
    archive& id& incarnation& capacity& lastAppliedOrder& results& draining& drainTimeout&
        longPollTimeout& lastReceivedOrder& unresponsive& remainingLease& reportedAt&
            wantsPackedResponse& runResults& checkpoints;
  }
};

}  // namespace aniseline

#endif  // ANISELINE_STATE_WORKER_HPP
