// The agent that manages one worker by calling it: it carries out the leader's orders through calls
// and reports the observed results to the leader. It owns no sockets or threads: a daemon or a
// simulator passes in every message with its time, on one thread, and sends the messages that the
// agent returns. docs/design.md 5.8.
//
// NodeAgent has one handler per message and makes the decisions that involve several of its parts:
// InstanceTracker (which instance of the worker is current), OrderStream (the leader's orders),
// WorkerLease and WorkerContact (how long work may run there, and whether the worker answers),
// RunTable (the runs and their calls), PollState, and PendingResults (results that the leader has
// not confirmed).
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

  // Messages from the worker.

  // Handles a registration, which the worker repeats as its heartbeat. Registrations may arrive
  // seconds late: one that a newer registration of the same instance has overtaken has no effect,
  // and one of another instance takes effect only after a poll has confirmed that this instance
  // runs at the worker's address. Returns false if the instance is a former one, which has ended.
  bool onRegistration(const WorkerRegistration& incoming, MonotonicTime now);
  // Handles the worker's notice that it is shutting down. The worker continues to serve for a
  // while, so the notice does not prove that nothing runs there. Returns false if the instance is
  // unknown.
  bool onDrainNotice(const WorkerId& instance, Duration drainTimeout, MonotonicTime now);
  // Reports whether the leader has logged that this instance drains, or the instance has ended; no
  // more work is placed there.
  bool drainAcknowledged(const WorkerId& instance) const {
    return instances.drainAcknowledged(instance);
  }

  // Messages to and from the leader.

  // Reports whether a sync may be sent: the current instance is confirmed at the address and has
  // not been declared gone.
  bool mayReport() const { return instances.reportable(); }
  // Returns the report for a sync that is sent now. Several syncs may be in flight.
  SyncReport makeSyncReport(MonotonicTime now);
  // Reports whether the worker leaves calls unanswered.
  bool isUnresponsive(MonotonicTime now) const { return contact.unresponsive(now); }
  // Reports whether there is news for the leader that should not wait for the next regular sync.
  bool hasUrgentReport(MonotonicTime now) const;
  // Handles the leader's response to a report that was sent at `sentAt`. A response for another
  // instance or incarnation, or with a lower term than one already seen, is ignored.
  void onSyncResponse(const SyncReport& report, const SyncResponse& response, MonotonicTime sentAt,
                      MonotonicTime now);
  // Handles the leader's declaration that the current instance is gone. Any work still running
  // there ends with its lease; only after that is the worker used again, under a new incarnation.
  void onDeclaredGone(MonotonicTime now);

  // Calls to the worker.

  // Returns the calls that must be sent now. The caller passes exactly one onWorkerReply for each.
  std::vector<WorkerCall> takeCalls(MonotonicTime now);
  // Handles the reply to a call, or the absence of one.
  void onWorkerReply(const WorkerCall& call, const WorkerReply& reply, MonotonicTime now);
  // Returns the earliest time at which takeCalls may return new calls if no message arrives.
  MonotonicTime nextWakeUp(MonotonicTime now) const;

  // Returns the latencies of this agent since the last call.
  struct Latencies {
    LatencyQuantiles start;         // from the receipt of an order to the worker's answer
    LatencyQuantiles confirmation;  // from a result to its confirmation by the leader
  };
  Latencies takeLatencies() { return {runs.takeStartLatency(), results.takeConfirmationLatency()}; }

  // Returns the number of runs that, as far as the agent knows, the worker has or is to have.
  std::size_t runCount() const { return runs.size(); }
  // Returns the current instance; empty before the first registration.
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
  // Reports whether the leader holds results that the worker has not yet been told are final.
  bool confirmationDue() const;
  bool pollReturnsImmediately() const;

  void onCandidateReply(const WorkerCall& call, const WorkerReply& reply, MonotonicTime now);
  void onPollReply(const WorkerCall& call, const WorkerReply& reply, MonotonicTime now);
  void recordResult(std::uint64_t sequenceNumber, TaskRunResult result, MonotonicTime now);

  NodeAgentOptions options;
  InstanceTracker instances;
  OrderStream orders;
  WorkerLease lease;
  WorkerContact contact;
  RunTable runs;
  PollState polls;
  PendingResults results;
  // The highest term in any leader's response; it fences every call.
  Term term;
  std::uint64_t nextCallId = 1;
};

}  // namespace aniseline

#endif  // ANISELINE_AGENT_NODE_AGENT_HPP
