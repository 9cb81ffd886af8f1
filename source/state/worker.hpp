// The worker aggregate: what is known of a worker, its orders, and the attempts placed on it.
// docs/design.md 5.
#pragma once
#include "state/job.hpp"

namespace aniseline {

struct Capacity {
  std::uint32_t cores = 0;   // thousandths of a core
  std::uint64_t memory = 0;  // MB
  ZoneName zone;
  std::string rack;
  bool honoursLeases = false;  // holds its tasks when its lease lapses
  bool guardsRoom = false;     // itself rejects what it cannot hold
  std::uint32_t accelerators = 0;
  std::string pool{};  // queues name the pool their tasks run in; empty: the one without a name
  std::vector<std::string> labels{};
  std::string host{};      // where it stands; there is one worker a host. docs/design.md 5.8
  bool pauses = true;      // can hold a task in place; otherwise a hold is a stop
  bool lapses = false;     // kills all when its lease is over; what ended before that and was not
                           // confirmed is void
  bool assembles = false;  // a gang's parts find each other there; they are started, not staged
  bool operator==(const Capacity&) const = default;
  bool has(const std::string& label) const {
    return label.empty() || std::find(labels.begin(), labels.end(), label) != labels.end();
  }
  template <class Archive>
  void serialize(Archive& archive, unsigned) {
    archive& cores& memory& zone& rack& honoursLeases& guardsRoom& accelerators& pool& labels& host&
        pauses& lapses& assembles;
  }
};

enum class OrderKind : std::uint8_t { start, stage, go, hold, resume, stop };
const char* name(OrderKind kind);
std::optional<OrderKind> orderKind(const std::string& text);

struct Order {
  OrderNumber number;
  OrderKind kind = OrderKind::start;
  AttemptNumber attempt;
  JobId job;
  std::uint32_t task = 0;
  std::uint32_t cores = 0;
  std::uint64_t memory = 0;
  Duration runtime;
  Duration
      quantum;  // not 0: a trial, which the worker stops by itself when this much run time is used
  std::string payload;
  std::uint32_t step = 0, within = 0,
                run = 0;  // the names workers know a start by. docs/design.md 4.7
  std::string saved;      // the checkpoint to go on from
  template <class Archive>
  void serialize(Archive& archive, unsigned) {
    archive& number& kind& attempt& job& task& cores& memory& runtime& quantum& payload& step&
        within& run& saved;
  }
};

enum class EndingKind : std::uint8_t {
  finished,
  failed,
  stopped,
  ranOut,
  unstarted,
  refused
};  // refused: turned away by the worker
const char* name(EndingKind kind);
std::optional<EndingKind> endingKind(const std::string& text);

struct Ending {
  AttemptNumber attempt;
  EndingKind kind = EndingKind::finished;
  std::string saved{};  // its latest checkpoint
  template <class Archive>
  void serialize(Archive& archive, unsigned) {
    archive& attempt& kind& saved;
  }
};

// A start by the names that workers know it by; agents speak of nothing else. docs/design.md 4.7.
struct RunName {
  JobId job;  // of a timetable's occurrence the timetable's
  std::uint32_t occurrence = 0, step = 0, within = 0, run = 0;
  static RunName of(const Order& order) {
    RunName name{order.job, 0, order.step, order.within, order.run};
    if (const auto mark = order.job.value.rfind('@'); mark != std::string::npos) {
      name.job = JobId{order.job.value.substr(0, mark)};
      name.occurrence =
          std::uint32_t(std::strtoul(order.job.value.c_str() + mark + 1, nullptr, 10));
    }
    return name;
  }
  auto operator<=>(const RunName&) const = default;
  bool operator==(const RunName&) const = default;
  template <class Archive>
  void serialize(Archive& archive, unsigned) {
    archive& job& occurrence& step& within& run;
  }
};
struct NamedEnding {
  RunName name;
  EndingKind kind = EndingKind::finished;
  std::string saved{};
  template <class Archive>
  void serialize(Archive& archive, unsigned) {
    archive& name& kind& saved;
  }
};
struct NamedSave {
  RunName name;
  std::string saved;
  template <class Archive>
  void serialize(Archive& archive, unsigned) {
    archive& name& saved;
  }
};

enum class AttemptState : std::uint8_t { ordered, staged, going, running, held, stopping };
const char* name(AttemptState state);

// One start of one task on one worker; it occupies room until its ending is known.
struct Attempt {
  AttemptNumber number;
  JobId job;
  std::uint32_t task = 0;
  std::uint32_t step = 0, within = 0;
  WorkerId worker;
  std::uint32_t cores = 0;
  std::uint64_t memory = 0;
  std::uint32_t accelerators = 0;
  std::uint32_t run = 0;
  Duration runtime;
  Duration quantum;
  bool gang = false;
  bool assembles = false;  // of a gang: started, not staged
  bool lost = false;       // given up on; its task may have been placed anew. docs/design.md 5.5
  bool counted = true;     // its start counts against the allowance
  bool tryless = false;    // stopped by us in a way that takes nothing from the allowance
  AttemptState state = AttemptState::ordered;
  OrderNumber order;
  ClusterTime orderedAt;
  ClusterTime runningSince;  // of the present uninterrupted run
  Duration runBefore;        // run time before the present run
  AttemptNumber heldFor;
  bool trial() const { return quantum.milliseconds > 0; }
  bool usesCores() const { return state != AttemptState::held; }
  Duration ranBy(ClusterTime now) const {
    const bool runs = state == AttemptState::running || state == AttemptState::going;
    return runs && now > runningSince ? runBefore + (now - runningSince) : runBefore;
  }
  template <class Archive>
  void serialize(Archive& archive, unsigned) {
    archive& number& job& task& step& within& worker& cores& memory& accelerators& run& runtime&
        quantum& gang& assembles& lost& counted& tryless& state& order& orderedAt& runningSince&
            runBefore& heldFor;
  }
};

enum class WorkerState : std::uint8_t { present, leaving, drained, silent, gone };
const char* name(WorkerState state);

struct Worker {
  WorkerId id;
  Incarnation incarnation;
  std::vector<Incarnation> retired;  // earlier ones, the latest few
  Capacity capacity;
  WorkerState state = WorkerState::present;
  ClusterTime seenAt;
  ClusterTime leaveBy;
  bool leaveStopped = false;  // the deadline of its leaving has passed and its tasks were stopped
  OrderNumber lastOrder;      // the last one given
  OrderNumber applied;        // the last one the worker said it applied
  std::deque<Order> orders;   // those not yet applied
  std::int64_t failureScore =
      0;  // standing: rises with failed work, falls with good work. docs/design.md 5.6
  ClusterTime failureScoredAt;

  bool open() const { return state == WorkerState::present; }
  // The failure score fades by half a minute's half-life, so that a mended worker gets work again.
  std::int64_t failureScoreAt(ClusterTime now) const {
    const auto halvings = std::max<std::int64_t>(0, (now - failureScoredAt).milliseconds / 30'000);
    return halvings > 20 ? 0 : failureScore >> halvings;
  }
  Order& give(OrderKind kind, const Attempt& attempt);
  template <class Archive>
  void serialize(Archive& archive, unsigned) {
    archive& id& incarnation& retired& capacity& state& seenAt& leaveBy& leaveStopped& lastOrder&
        applied& orders& failureScore& failureScoredAt;
  }
};

// What a worker says in a sync, docs/api.md 3.
struct SyncReport {
  WorkerId id;
  Incarnation incarnation;
  Capacity capacity;
  OrderNumber lastOrder;
  std::vector<Ending> endings;
  bool leaving = false;
  Duration leaveWithin{0};
  Duration wait{0};      // how long the answer may be held back when there is nothing to say
  OrderNumber received;  // of an agent: what it has got, while lastOrder is what it has carried out
  bool unresponsive = false;  // of an agent: its worker does not answer; no lease is wanted, for it
                              // could not be passed on
  Duration heldFor{
      0};  // of a unresponsive worker: its tasks are held no longer than this from now on
  MonotonicTime reportedAt;  // of an agent, by its own clock: reports may overtake each other
  bool packed = false;       // of an agent: the answer's body is a packed SyncResponse, endings and
                             // checkpoints go by name
  std::vector<NamedEnding> namedEndings;
  std::vector<NamedSave> saves;
  template <class Archive>
  void serialize(Archive& archive, unsigned) {
    archive& id& incarnation& capacity& lastOrder& endings& leaving& leaveWithin& wait& received&
        unresponsive& heldFor& reportedAt& packed& namedEndings& saves;
  }
};

}  // namespace aniseline
