// What a node agent knows of one task run at its worker, and which call the run needs next. A start
// or a stop that got no answer may be carried out later, so a run is called never started only when
// a stop of it was answered and a later poll does not show it. Owned by RunTable.
// docs/design.md 5.8.
#ifndef ANISELINE_AGENT_TRACKED_RUN_HPP
#define ANISELINE_AGENT_TRACKED_RUN_HPP
#include "agent/worker_messages.hpp"

namespace aniseline {

class TrackedRun {
 public:
  enum class NextStep : std::uint8_t {
    none,
    start,
    stop,
    // No call of it was ever sent that could be carried out: it needs none to be over.
    reportNeverStarted
  };

  // A run that the worker shows and no order of this process is about. It is watched, and neither
  // started nor stopped of the agent's own accord.
  TrackedRun() = default;
  // A run that an order starts, or stages until it is launched.
  static TrackedRun fromStartOrder(const Order& order, MonotonicTime now);
  // A run that an order stops and no order of this process has started.
  static TrackedRun fromStopOrder(const Order& order);

  const Order& order() const { return startOrder; }
  bool isRunning() const { return running; }
  // Staged, and not launched yet.
  bool isStaged() const { return staged; }
  // What became of it is to be seen by a poll. What surely runs is not uncertain: when a stop of it
  // has done its work, a long poll returns with the result.
  bool isUncertain() const { return !outcomeKnown && !running; }

  void launch(MonotonicTime now);
  void requestStop(MonotonicTime now);
  // An earlier process of the agent may have sent the start.
  void assumeMaybeStarted() { maybeStarted = true; }

  // A call may be made now.
  bool callAllowed(MonotonicTime now) const { return !callInFlight && notBefore <= now; }
  // The call that it needs now, at a worker that drains or not. A start that may be under way when
  // the worker drains is given up.
  NextStep nextStep(bool workerDraining);
  void beginCall() { callInFlight = true; }
  // A reply to its call. `nextPoll`: the first poll that shows what happens from now on. True if
  // all its orders are carried out now.
  bool onStartReply(WorkerReply::Status status, MonotonicTime now, std::uint64_t nextPoll);
  void onStopReply(WorkerReply::Status status, MonotonicTime now, std::uint64_t nextPoll);

  // A poll shows that it runs. True if all its orders are carried out now.
  bool onListedRunning();
  // A poll does not show it. True if that decides what became of it.
  bool isAbsenceConclusive(std::uint64_t poll) const;
  // A decisive poll does not show it. True: it never started. False: the worker knows of it or of
  // another run in its place, so it is to be stopped before it is given up.
  bool onNotListed();

  // What it is reported as when it never ran.
  AttemptOutcome outcomeWithoutRun() const {
    return rejected ? AttemptOutcome::rejected : AttemptOutcome::neverStarted;
  }
  // It waits until then for its next call; nothing if it needs none.
  std::optional<MonotonicTime> nextCallAt() const;

  // Orders about it that are not carried out yet.
  void addOpenOrder(OrderNumber number) { openOrders.push_back(number); }
  std::vector<OrderNumber> takeOpenOrders() { return std::exchange(openOrders, {}); }

 private:
  bool scheduleRetry(WorkerReply::Status status, MonotonicTime now);
  void requireNewPoll(std::uint64_t nextPoll);
  void retryAfter(Duration delay, MonotonicTime now) { notBefore = now + delay; }
  void retryWhenAvailable(MonotonicTime now);

  Order startOrder;
  std::vector<OrderNumber> openOrders;
  // False: to be stopped.
  bool shouldRun = true;
  // Part of a gang that waits at the agent to be launched.
  bool staged = false;
  bool callInFlight = false;
  // A start was sent, or may have been, and it is not known whether it was carried out.
  bool maybeStarted = false;
  bool running = false;
  // A stop was answered: the worker rejects later starts of it.
  bool stopAcknowledged = false;
  // False: poll `firstConclusivePoll` or a later one shows what became of it.
  bool outcomeKnown = true;
  std::uint64_t firstConclusivePoll = 0;
  // The start was given up for good.
  bool startAbandoned = false;
  // The worker rejected it for want of capacity, or was unavailable too often.
  bool rejected = false;
  std::uint32_t unavailableReplies = 0;
  MonotonicTime notBefore{0};
};

}  // namespace aniseline

#endif  // ANISELINE_AGENT_TRACKED_RUN_HPP
