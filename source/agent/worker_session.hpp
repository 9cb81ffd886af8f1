// The worker library's core: orders, leases, holds and endings, for anything that can run tasks.
// Sans-IO. docs/design.md 5, docs/api.md 3.
#ifndef ANISELINE_AGENT_WORKER_SESSION_HPP
#define ANISELINE_AGENT_WORKER_SESSION_HPP
#include "state/api_request.hpp"

namespace aniseline {

// What the hand asks of the program that runs tasks.
struct TaskCommand {
  enum class Kind : std::uint8_t { start, suspend, resume, stop } kind = Kind::start;
  AttemptNumber attempt;
  Order order;  // of a start
};

class WorkerSession {
 public:
  struct Options {
    WorkerId id;
    Capacity capacity;
    Duration longPollTimeout{1000};
  };
  WorkerSession(Options options, Incarnation incarnation)
      : options(std::move(options)), incarnation(incarnation) {}

  // The next sync's report; a lease granted in its answer counts from this moment.
  SyncReport makeSyncReport(MonotonicTime now);
  // The answer to a report of the incarnation named. False: it came too late, from a leader that is
  // superseded or for an incarnation that has been replaced, and was not followed.
  bool onSyncResponse(Incarnation asked, const SyncResponse& answer, MonotonicTime sentAt,
                      MonotonicTime now);
  // The centre says this incarnation is replaced: all stops, and a new one begins.
  void onReplaced(Incarnation next);
  // Lapses the lease when it is due: every running task is held in place.
  void tick(MonotonicTime now);
  void onTaskEnded(AttemptNumber attempt, bool well, MonotonicTime now);
  void startDraining(Duration within);

  // Endings that the centre has confirmed: from then on they are final. docs/design.md 5.5.
  std::vector<std::pair<Order, AttemptOutcome>> takeConfirmedResults() {
    return std::exchange(confirmedResults, {});
  }
  std::vector<TaskCommand> takeCommands() { return std::exchange(commands, {}); }
  bool hasUrgentReport() const {
    return !unconfirmedResults.empty() || lastAppliedOrder != reportedAppliedOrder ||
           draining != reportedDraining;
  }
  bool leaseExpired() const { return withoutLease; }
  bool empty() const { return tasks.empty() && unconfirmedResults.empty(); }
  Term term() const { return highestTerm; }
  Incarnation currentIncarnation() const { return incarnation; }
  MonotonicTime nextWakeUp() const;
  const std::vector<Address>& gateways() const { return knownGateways; }
  std::size_t taskCount() const { return tasks.size(); }

 private:
  struct RunningTask {
    Order order;
    bool staged = false;            // a gang's part that has not been told to go
    bool suspendedByOrder = false;  // by order
    bool suspendedByLease = false;  // by a lapsed lease
    bool started = false;
    MonotonicTime activeSince;
    Duration timeUsed;
  };
  void applyOrder(const Order& order, MonotonicTime now);
  void setSuspendedByLease(RunningTask& task, bool pause, MonotonicTime now);
  void finishTask(AttemptNumber attempt, AttemptOutcome kind);
  bool isActive(const RunningTask& task) const {
    return task.started && !task.suspendedByOrder && !task.suspendedByLease;
  }

  Options options;
  Incarnation incarnation;
  OrderNumber lastAppliedOrder, reportedAppliedOrder;
  Term highestTerm;
  MonotonicTime leaseUntil{0};
  bool withoutLease = true;  // until the first lease is granted
  bool draining = false, reportedDraining = false;
  Duration drainTimeout{0};
  std::map<AttemptNumber, RunningTask> tasks;
  struct TaskResult {
    Order order;
    AttemptOutcome outcome;
  };
  std::map<AttemptNumber, TaskResult> unconfirmedResults;  // said until confirmed
  std::vector<std::pair<Order, AttemptOutcome>> confirmedResults;
  std::vector<TaskCommand> commands;
  std::vector<Address> knownGateways;
};

}  // namespace aniseline

#endif  // ANISELINE_AGENT_WORKER_SESSION_HPP
