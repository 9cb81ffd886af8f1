// The worker library's core: orders, leases, holds and endings, for anything that can run tasks.
// Sans-IO. docs/design.md 5, docs/api.md 3.
#pragma once
#include "state/api_request.hpp"

namespace aniseline {

// What the hand asks of the program that runs tasks.
struct HandEffect {
  enum class Kind : std::uint8_t { start, hold, resume, stop } kind = Kind::start;
  AttemptNumber attempt;
  Order order;  // of a start
};

class WorkerSession {
 public:
  struct Options {
    WorkerId id;
    Capacity capacity;
    Duration wait{1000};
  };
  WorkerSession(Options options, Incarnation incarnation)
      : options(std::move(options)), incarnation(incarnation) {}

  // The next sync's report; a lease granted in its answer counts from this moment.
  SyncReport report(MonotonicTime now);
  // The answer to a report of the incarnation named. False: it came too late, from a leader that is
  // superseded or for an incarnation that has been replaced, and was not followed.
  bool answered(Incarnation asked, const SyncResponse& answer, MonotonicTime sentAt,
                MonotonicTime now);
  // The centre says this incarnation is replaced: all stops, and a new one begins.
  void replaced(Incarnation next);
  // Lapses the lease when it is due: every running task is held in place.
  void tick(MonotonicTime now);
  void ended(AttemptNumber attempt, bool well, MonotonicTime now);
  void leave(Duration within);

  // Endings that the centre has confirmed: from then on they are final. docs/design.md 5.5.
  std::vector<std::pair<Order, EndingKind>> takeConfirmed() { return std::exchange(confirmed, {}); }
  std::vector<HandEffect> takeEffects() { return std::exchange(effects, {}); }
  bool urgent() const {
    return !endings.empty() || applied != toldApplied || leaving != toldLeaving;
  }
  bool lapsed() const { return holding; }
  bool empty() const { return tasks.empty() && endings.empty(); }
  Term term() const { return seenTerm; }
  Incarnation currentIncarnation() const { return incarnation; }
  MonotonicTime nextDue() const;
  const std::vector<Address>& gateways() const { return knownGateways; }
  std::size_t running() const { return tasks.size(); }

 private:
  struct Running {
    Order order;
    bool staged = false;  // a gang's part that has not been told to go
    bool held = false;    // by order
    bool paused = false;  // by a lapsed lease
    bool started = false;
    MonotonicTime since;
    Duration ran;
  };
  void apply(const Order& order, MonotonicTime now);
  void setPaused(Running& task, bool pause, MonotonicTime now);
  void end(AttemptNumber attempt, EndingKind kind);
  bool active(const Running& task) const { return task.started && !task.held && !task.paused; }

  Options options;
  Incarnation incarnation;
  OrderNumber applied, toldApplied;
  Term seenTerm;
  MonotonicTime leaseEnds{0};
  bool holding = true;  // until the first lease is granted
  bool leaving = false, toldLeaving = false;
  Duration leaveWithin{0};
  std::map<AttemptNumber, Running> tasks;
  struct Ended {
    Order order;
    EndingKind kind;
  };
  std::map<AttemptNumber, Ended> endings;  // said until confirmed
  std::vector<std::pair<Order, EndingKind>> confirmed;
  std::vector<HandEffect> effects;
  std::vector<Address> knownGateways;
};

}  // namespace aniseline
