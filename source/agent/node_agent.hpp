// The worker agent: carries the leader's orders out at ONE worker that is called rather than calls,
// and tells of what it sees there. Sans-IO. docs/design.md 5.8.
#ifndef ANISELINE_AGENT_NODE_AGENT_HPP
#define ANISELINE_AGENT_NODE_AGENT_HPP
#include "state/api_request.hpp"

namespace aniseline {

// Milliseconds on a worker's own steady clock, which may run a little slow.
using WorkerTime = TimePoint<struct WorkerClock>;

// What a worker says of itself when it makes itself known.
struct WorkerRegistration {
  WorkerId workerInstance;  // another one each time it starts
  Capacity capacity;
  bool draining = false;
  Duration drainTimeout{0};
  std::optional<WorkerTime> clockReading;
  std::uint64_t sequence = 0;  // rises with each account of one life; 0: it is not counted
};

struct WorkerCall {
  enum class Kind : std::uint8_t { start, stop, poll } kind = Kind::poll;
  std::uint64_t callId = 0;
  WorkerId workerInstance;
  TaskRunId runId;
  std::string payload, checkpoint;
  Order order{};                            // of a start: all that the leader said
  std::optional<WorkerTime> leaseDeadline;  // until when all that runs there is held
  Term fencingTerm;
  std::uint64_t confirmedUpTo = 0;  // of a look: endings up to here are final
  Duration longPollTimeout{0};      // of a look: how long the answer may wait for an ending
  Duration timeout{300};
};

struct WorkerReply {
  enum class Status : std::uint8_t {
    ok,
    fenced,
    staleRun,
    deadlineExceeded,
    insufficientCapacity,
    unavailable,
    invalidRequest,
    instanceMismatch,
    noResponse
  } status = Status::noResponse;
  std::optional<WorkerTime> clockReading;
  struct RunningTask {
    TaskRunId runId;
    std::string checkpoint;
  };
  struct RunResult {
    std::uint64_t sequenceNumber = 0;  // counted by the worker in each of its lives
    TaskRunId runId;
    AttemptOutcome outcome = AttemptOutcome::stopped;
    std::string checkpoint;
  };
  std::vector<RunningTask> runningTasks;
  std::vector<RunResult> results;
  bool complete = true;  // of a look: no ending was left out for want of room
};

struct NodeAgentOptions {
  Duration maxWorkerLease{6000};  // what the worker grants at most
  Duration workerLease{
      6000};  // what is asked of it at a time: renewed from here, within the leader's lease
  Duration maxLongPollTimeout{2000};
  Duration unresponsiveAfter{700};      // unanswered for so long it is taken for unresponsive
  Duration uncertainPollInterval{200};  // between looks while something is to be found out
  Duration drainingPollInterval{
      1000};  // between looks at one that leaves and runs nothing any more
  std::uint32_t maxInstanceProbes = 8;  // unanswered looks for the life that an account names
  std::size_t maxConcurrentCalls = 6;
  double minClockRate = 0.98;  // the worker's clock against a true one
};

class NodeAgent {
 public:
  explicit NodeAgent(NodeAgentOptions options) : options(options) {}

  // A worker makes itself known. False: it is an earlier life, which is over. Accounts may come
  // seconds late: one that a newer one of its life has overtaken changes nothing, and one of
  // another life counts once a look shows that this life stands at the worker's address.
  bool onRegistration(const WorkerRegistration& account, MonotonicTime now);
  // A worker says that it is about to end. It serves on for a while: a notice, no proof that
  // nothing runs there. False: this life is not the one that stands here by what the agent knows.
  bool onDrainNotice(const WorkerId& life, Duration within, MonotonicTime now);
  // The leader has logged that this life leaves, or the life is over: nothing more is placed there.
  bool drainAcknowledged(const WorkerId& life) const;

  // Towards the leader.
  bool mayReport() const { return instanceConfirmed && !instanceEnded && !retired; }
  SyncReport makeSyncReport(MonotonicTime now);
  bool isUnresponsive(MonotonicTime now) const;   // the worker leaves calls unanswered
  bool hasUrgentReport(MonotonicTime now) const;  // there is something to tell without delay
  void onSyncResponse(const SyncReport& asked, const SyncResponse& answer, MonotonicTime sentAt,
                      MonotonicTime now);
  void onDeclaredGone(MonotonicTime now);  // the leader holds this life for gone

  // Towards the worker.
  std::vector<WorkerCall> takeCalls(MonotonicTime now);
  void onWorkerReply(const WorkerCall& call, const WorkerReply& reply, MonotonicTime now);
  // The earliest time at which something is due with nothing coming in.
  MonotonicTime nextWakeUp(MonotonicTime now) const;

  std::size_t runCount() const { return runs.size(); }
  const WorkerId& workerInstance() const { return registration.workerInstance; }

 private:
  struct TrackedRun {
    Order order;
    bool wanted = true;         // false: to be stopped
    bool staged = false;        // a gang's part that waits here for its `go`
    bool callInFlight = false;  // a call for it is under way
    bool maybeStarted = false;  // a start got no answer: it may be carried out later
    bool running = false;
    bool stopAcknowledged = false;  // a stop was answered: later starts of it are turned away
    bool stateKnown = true;         // false: what became of it is seen in a look begun from now on
    std::uint64_t decidingPoll = 0;
    bool startAbandoned = false;  // turned away for good
    bool rejected = false;
    std::uint32_t unavailableReplies = 0;
    MonotonicTime notBefore{0};
    std::vector<OrderNumber> openOrders;
  };
  struct PendingResult {
    std::uint64_t sequenceNumber = 0;  // 0: the worker never began it
    TaskRunResult result;
    bool reported = false;
  };
  // A life that made itself known while another one stands, until a look tells which of them does.
  struct CandidateInstance {
    WorkerRegistration registration;
    std::uint32_t probesLeft = 0;
    MonotonicTime nextProbeAt{0};
    bool probeInFlight = false;
  };
  void adoptInstance(const WorkerRegistration& given, bool shown, MonotonicTime now);
  void updateRegistration(const WorkerRegistration& given, MonotonicTime now);
  void considerCandidate(const WorkerRegistration& given, MonotonicTime now);
  std::optional<WorkerCall> probeCandidate(MonotonicTime now);
  void onCandidateReply(const WorkerCall& call, const WorkerReply& reply, MonotonicTime now);
  void updateInstanceConfirmation(const WorkerCall& call, const WorkerReply& reply);
  void receiveOrders(const SyncResponse& answer, MonotonicTime now);
  void applyOrder(const Order& order, MonotonicTime now);
  void releaseStagedRun(const Order& order, const TaskRunId& name, MonotonicTime now);
  void recordResult(const TaskRunId& name, AttemptOutcome kind, std::uint64_t number,
                    std::string saved);
  void markOrdersApplied(TrackedRun& work);
  void requireNewPoll(TrackedRun& work);
  std::optional<WorkerTime> nextLeaseDeadline(MonotonicTime now) const;
  Duration remainingWorkerLease(MonotonicTime now) const;
  enum class ClockSource : std::uint8_t { registration, reply };
  void observeWorkerClock(const std::optional<WorkerTime>& clock, ClockSource source,
                          MonotonicTime now);
  void retireIfDraining();
  void recordLeaseExpiry(MonotonicTime now);
  WorkerTime earliestWorkerClock(MonotonicTime now) const;
  bool leaseMayHaveExpired(MonotonicTime now) const;
  void onPollReply(const WorkerCall& call, const WorkerReply& reply, MonotonicTime now);
  OrderNumber lastAppliedOrder() const;
  bool hasUncertainRuns() const;       // what became of some run is to be seen in a look
  bool hasUnconfirmedResults() const;  // the worker's own endings that are not final yet
  bool hasPendingResult(const TaskRunId& name) const;  // its ending waits to be confirmed
  bool pollDue(MonotonicTime now) const;
  Duration leaseRenewalInterval()
      const;  // the hold is asked for anew after that long, at the latest
  Duration longPollTimeout(MonotonicTime now) const;  // how long a look may wait for an ending

  NodeAgentOptions options;
  WorkerRegistration registration;
  std::set<WorkerId> formerInstances;
  std::map<WorkerId, Duration>
      earlyDrainNotices;  // lives that said so before they made themselves known
  std::optional<CandidateInstance> candidate;
  Incarnation incarnation{1};
  bool instanceEnded = false;      // this life has left
  bool instanceConfirmed = false;  // an answer of this life came, and none of another one since
  std::uint32_t probesLeft = 0;
  MonotonicTime retiredUntil{0};
  bool retired = false;  // until then
  Term term;
  MonotonicTime leaderLeaseUntil{0};
  Duration leaderLease{0};
  std::optional<WorkerTime> workerClock,
      grantedDeadline;  // granted: the furthest deadline that may have been taken
  MonotonicTime workerClockAt;
  std::optional<WorkerTime> repliedClock;  // of an answer to a call, which is never old
  MonotonicTime repliedClockAt;
  MonotonicTime lastContactAt{0};
  bool callUnanswered = false;  // a call since then got no answer
  bool reportedUnresponsive = false;
  MonotonicTime reportedUnresponsiveAt{-1'000'000};
  bool startsBlocked =
      false;  // it was unresponsive: nothing is started before a leader has heard that it is not
  bool expiryRecorded = false;  // that the hold has run out is known
  bool leaseExpired = false;    // the hold may have run out: nothing is started before a look tells
  OrderNumber received;         // all up to here have come
  OrderNumber lastKnownOrder;   // there are orders up to here; while some are missing nothing is
                                // started: a stop may be among them
  std::map<OrderNumber, OrderNumber>
      receivedSpans;  // spans beyond that have come too: after, up to
  std::set<OrderNumber> openOrders;
  OrderNumber reportedApplied;
  MonotonicTime reportedAppliedAt{0};
  bool drainReported = false;
  std::map<TaskRunId, TrackedRun> runs;
  std::deque<PendingResult> pendingResults;  // endings by number, those of no number behind them
  std::map<TaskRunId, std::string> pendingCheckpoints;
  std::map<TaskRunId, std::string> latestCheckpoints;
  std::uint64_t confirmedUpTo = 0, highestResult = 0, nextCallId = 1, callsInFlight = 0;
  bool pollInFlight = false, everPolled = false, syncedOnce = false,
       moreResults = false;  // moreEnded: a look left endings out
  MonotonicTime lastPollAt{-1'000'000};
  std::uint64_t pollsBegun = 0, firstPollAfterExpiry = 0;
};

}  // namespace aniseline

#endif  // ANISELINE_AGENT_NODE_AGENT_HPP
