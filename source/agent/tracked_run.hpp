// The state of one task run at a worker as the node agent knows it, and the next call that the run
// needs. A start or stop without a reply may be carried out later, so a run counts as never started
// only after a stop was answered and a later poll does not list the run. Owned by RunTable.
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
    // No call that the worker might carry out was ever sent, so none is needed to close the run.
    reportNeverStarted
  };

  // Creates a run that the worker lists although no order of this process refers to it. The agent
  // tracks it, and starts or stops it only when ordered.
  TrackedRun() = default;
  // Creates a run that an order starts, or stages until it is launched.
  static TrackedRun fromStartOrder(const Order& order, MonotonicTime now);
  // Creates a run that an order stops although no order of this process started it.
  static TrackedRun fromStopOrder(const Order& order);

  const Order& order() const { return startOrder; }
  bool isRunning() const { return running; }
  // Returns when the order to start the run, or to launch it, was received.
  MonotonicTime startableSince() const { return startableAt; }
  // Reports whether the run is staged and not launched yet.
  bool isStaged() const { return staged; }
  // Reports whether a poll is needed to learn the run's state. A run that is known to be running
  // is not uncertain: once it has been stopped, a long poll returns its result.
  bool isUncertain() const { return !stateKnown && !running; }

  void launch(MonotonicTime now);
  void requestStop(MonotonicTime now);
  // Records that an earlier process of the agent may have sent the start.
  void assumeMaybeStarted() { maybeStarted = true; }

  // Reports whether a call may be sent now.
  bool callAllowed(MonotonicTime now) const { return !callInFlight && notBefore <= now; }
  // Returns the next step for the run, given whether the worker drains. When the worker drains, a
  // start that may be in flight is abandoned.
  NextStep nextStep(bool workerDraining);
  void beginCall() { callInFlight = true; }
  // Handles the reply to the run's call. `nextPoll` is the first poll that reflects the state after
  // the reply. onStartReply returns true if all orders for the run are now carried out.
  bool onStartReply(WorkerReply::Status status, MonotonicTime now, std::uint64_t nextPoll);
  void onStopReply(WorkerReply::Status status, MonotonicTime now, std::uint64_t nextPoll);

  // Handles a poll that lists the run as running. Returns true if all its orders are now carried
  // out.
  bool onListedRunning();
  // Reports whether the absence of the run from this poll's reply determines its outcome.
  bool isAbsenceConclusive(std::uint64_t poll) const;
  // Handles a conclusive poll that does not list the run. Returns true if the run never started.
  // Returns false if the worker knows this run or a later run of the task, so that the run must be
  // stopped before it is given up.
  bool onNotListed();

  // Returns the outcome that is reported if the run never ran.
  AttemptOutcome outcomeWithoutRun() const {
    return rejected ? AttemptOutcome::rejected : AttemptOutcome::neverStarted;
  }
  // Returns the time of the run's next call; nothing if it needs none.
  std::optional<MonotonicTime> nextCallAt() const;

  // Orders for the run that have not been carried out yet.
  void addOpenOrder(OrderNumber number) { openOrders.push_back(number); }
  std::vector<OrderNumber> takeOpenOrders() { return std::exchange(openOrders, {}); }

 private:
  bool scheduleRetry(WorkerReply::Status status, MonotonicTime now);
  void requireNewPoll(std::uint64_t nextPoll);
  void retryAfter(Duration delay, MonotonicTime now) { notBefore = now + delay; }
  void retryWhenAvailable(MonotonicTime now);

  Order startOrder;
  std::vector<OrderNumber> openOrders;
  // False if the run is to be stopped.
  bool shouldRun = true;
  // A member of a gang that is staged at the agent and not launched yet.
  bool staged = false;
  bool callInFlight = false;
  // A start was sent, or may have been, and it is unknown whether it was carried out.
  bool maybeStarted = false;
  bool running = false;
  // A stop was answered: the worker rejects later starts of the run.
  bool stopAcknowledged = false;
  // If false, poll `firstConclusivePoll` or a later one shows the state of the run.
  bool stateKnown = true;
  std::uint64_t firstConclusivePoll = 0;
  // The start was permanently abandoned.
  bool startAbandoned = false;
  // The worker rejected the run for lack of capacity, or was unavailable too often.
  bool rejected = false;
  std::uint32_t unavailableReplies = 0;
  MonotonicTime notBefore{0};
  MonotonicTime startableAt;
};

}  // namespace aniseline

#endif  // ANISELINE_AGENT_TRACKED_RUN_HPP
