// The agent beside one worker that takes calls instead of making them: it carries the leader's
// orders out at the worker by calls, and reports to the leader what it sees there. Without sockets
// and threads of its own: a daemon, or a simulator, passes in every message with its time, on one
// thread, and sends what comes out. docs/design.md 5.8.
//
// NodeAgent has one handler for each message and decides what needs several of its parts:
// InstanceTracker (which instance of the worker stands there), OrderStream (the leader's orders),
// WorkerLease and WorkerContact (until when work may run there, whether it answers), RunTable (the
// runs and their calls), PollState, and PendingResults (what the leader has not confirmed).
#ifndef ANISELINE_AGENT_NODE_AGENT_HPP
#define ANISELINE_AGENT_NODE_AGENT_HPP
#include "agent/instance_tracker.hpp"
#include "agent/order_stream.hpp"
#include "agent/pending_results.hpp"
#include "agent/poll_state.hpp"
#include "agent/run_table.hpp"
#include "agent/worker_contact.hpp"
#include "agent/worker_lease.hpp"

namespace aniseline {

class NodeAgent {
 public:
  explicit NodeAgent(NodeAgentOptions options);

  // Messages of the worker.

  // The worker registers, or repeats its registration as a heartbeat. Registrations may come
  // seconds late: one that a newer one of its instance has overtaken changes nothing, and one of
  // another instance counts once a poll shows that this instance stands at the worker's address.
  // False: the instance is a former one, which is over.
  bool onRegistration(const WorkerRegistration& incoming, MonotonicTime now);
  // The worker announces its end. It serves on for a while: this is a notice, and no proof that
  // nothing runs there. False: the instance is not known here.
  bool onDrainNotice(const WorkerId& instance, Duration drainTimeout, MonotonicTime now);
  // The leader has logged that this instance drains, or the instance is over: nothing more is
  // placed there.
  bool drainAcknowledged(const WorkerId& instance) const {
    return instances.drainAcknowledged(instance);
  }

  // Towards the leader.

  // A sync may be sent: the current instance stands at the address and is not given up.
  bool mayReport() const { return instances.reportable(); }
  // The report of a sync that is sent now. Several may be in flight.
  SyncReport makeSyncReport(MonotonicTime now);
  // The worker leaves calls unanswered.
  bool isUnresponsive(MonotonicTime now) const { return contact.unresponsive(now); }
  // There is something that the leader should hear without waiting for the next ordinary sync.
  bool hasUrgentReport(MonotonicTime now) const;
  // The leader's response to a report that was sent at `sentAt`. One to another instance or
  // incarnation, or of an older term than has been seen, is ignored.
  void onSyncResponse(const SyncReport& report, const SyncResponse& response, MonotonicTime sentAt,
                      MonotonicTime now);
  // The leader has declared the current instance gone. What still runs there ends with its lease;
  // only then is the worker used again, under another incarnation.
  void onDeclaredGone(MonotonicTime now);

  // Towards the worker.

  // The calls that are to be made now. Each is followed by exactly one onWorkerReply.
  std::vector<WorkerCall> takeCalls(MonotonicTime now);
  // The reply to a call, or that there was none.
  void onWorkerReply(const WorkerCall& call, const WorkerReply& reply, MonotonicTime now);
  // The earliest time at which takeCalls may have something new though no message comes.
  MonotonicTime nextWakeUp(MonotonicTime now) const;

  // The runs that the worker has, or is to have, as far as the agent knows.
  std::size_t runCount() const { return runs.size(); }
  // The current instance; empty before the first registration.
  const WorkerId& workerInstance() const { return instances.current().workerInstance; }

 private:
  void adoptInstance(const WorkerRegistration& incoming, bool confirmed, MonotonicTime now);
  void observeWorkerClock(const std::optional<WorkerTime>& reading, WorkerLease::ClockSource source,
                          MonotonicTime now);
  void recordLeaseExpiry(MonotonicTime now);

  void receiveOrders(const SyncResponse& response, MonotonicTime now);
  void applyOrder(const Order& order, MonotonicTime now);
  OrderNumber lastAppliedOrder() const { return orders.applied(runs.oldestOpenOrder()); }

  WorkerCall makeCall(WorkerCall::Kind kind, MonotonicTime now);
  WorkerCall makeRunCall(WorkerCall::Kind kind, const TaskRunId& runId, TrackedRun& run,
                         MonotonicTime now);
  WorkerCall makePoll(MonotonicTime now);
  void addRunCalls(std::vector<WorkerCall>& calls, MonotonicTime now);
  bool startsBlocked(MonotonicTime now) const;
  bool mustLetLeaseExpire(MonotonicTime now) const;
  bool pollDue(MonotonicTime now) const;
  bool routinePollDue(MonotonicTime now) const;
  bool idlePollDue(Duration sinceLast) const;
  // The leader holds results that the worker has not been told to be final.
  bool confirmationDue() const;
  bool pollReturnsImmediately() const;

  void onCandidateReply(const WorkerCall& call, const WorkerReply& reply, MonotonicTime now);
  void onPollReply(const WorkerCall& call, const WorkerReply& reply, MonotonicTime now);
  void recordResult(std::uint64_t sequenceNumber, TaskRunResult result);

  NodeAgentOptions options;
  InstanceTracker instances;
  OrderStream orders;
  WorkerLease lease;
  WorkerContact contact;
  RunTable runs;
  PollState polls;
  PendingResults results;
  // The highest term of a leader that has answered; every call is fenced by it.
  Term term;
  std::uint64_t nextCallId = 1;
};

}  // namespace aniseline

#endif  // ANISELINE_AGENT_NODE_AGENT_HPP
