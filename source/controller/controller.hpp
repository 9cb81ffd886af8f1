// The control plane's core: one controller without sockets, files, clocks or
// threads. It joins Raft, the replicated state and the services of a leader,
// and does in a step what is due. Whoever drives it (the daemon's fiber thread,
// the simulator, a test) hands in messages, requests and the time, calls
// `step`, and takes the effects: messages, disk records, snapshot work and
// responses. Not thread-safe: every call comes from the one thread that drives
// it. docs/design.md 1.2, 3, 8.
//
// What it consists of, each with its own state:
//   ReplicatedStateMachine  committed and speculative state, proposals,
//   snapshots RequestTable            pending requests, long polls, deadlines,
//   memory bounds SyncResponder           what workers that wait for orders are
//   answered LeaseManager            contacts with workers, leases, drains
//   MembershipManager       which controllers vote and learn
//   PlanningDriver          when a plan is made, and its hints
//   JobAdmission            which jobs are accepted
//   TimetableScheduler, JobRetention, OpenJobMonitor,
//   JobLatencyTracker                                  jobs over time
//   GatewayRegistry         gateways heard from lately
// Configurations are decided by config_service.hpp, and read_views.hpp shows
// the state.
#ifndef ANISELINE_CONTROLLER_CONTROLLER_HPP
#define ANISELINE_CONTROLLER_CONTROLLER_HPP
#include "controller/gateway_registry.hpp"
#include "controller/job_admission.hpp"
#include "controller/job_retention.hpp"
#include "controller/leader_clock.hpp"
#include "controller/lease_manager.hpp"
#include "controller/log_event.hpp"
#include "controller/membership_manager.hpp"
#include "controller/job_latency_tracker.hpp"
#include "controller/open_job_monitor.hpp"
#include "controller/options.hpp"
#include "controller/planning_driver.hpp"
#include "controller/replicated_state_machine.hpp"
#include "controller/request_table.hpp"
#include "controller/sync_responder.hpp"
#include "controller/timetable_scheduler.hpp"

namespace aniseline {

// A request with its response, for whoever brought the request.
struct CompletedRequest {
  RequestNumber number;
  ApiResponse response;
};

class Controller {
 public:
  // `restored` are the disk records of this identity, in their order; none for
  // a blank one.
  Controller(Member self, const ControllerOptions& options, std::uint64_t seed,
             const std::vector<WriteAheadRecord>& restored, MonotonicTime now);
  Controller(const Controller&) = delete;
  Controller& operator=(const Controller&) = delete;

  // Does all that is due now. Time never goes back: an earlier `now` counts as
  // the latest one.
  void step(MonotonicTime now, WallTime wall);
  void receive(const PeerMessage& message, MonotonicTime now) { raft.receive(message, now); }
  // The disk record of this version, and all before it, are durable.
  void onRecordSynced(DiskVersion version, MonotonicTime now) { raft.onWriteSynced(version, now); }
  // Takes a request, which gets exactly one response: rejected at once where
  // this controller does not lead or has no room for it, else handled in the
  // next step.
  void submitRequest(RequestNumber number, ApiRequest request, MonotonicTime now);
  // Founds a cluster of this one controller. Only for a blank identity.
  void bootstrap(MonotonicTime now) { raft.bootstrap(now); }
  // A blank identity asks this leader to take it in as a learner.
  void join(const Address& leader) { raft.setJoinAddress(leader); }
  void transferLeadership(MonotonicTime now) { raft.transferLeadership(now); }
  void recordGateway(const GatewayEndpoint& gateway, MonotonicTime now) {
    gateways.recordContact(gateway, now);
  }
  // The snapshot writer has packed a state that takeSnapshotWork asked for.
  void onSnapshotPacked(PackedSnapshot snapshot);

  // Effects of the calls before; each is handed out once.
  std::vector<PeerMessage> takeMessages() { return raft.takeMessages(); }
  std::optional<WriteAheadRecord> takeWrite() { return raft.takeWrite(); }
  SnapshotWork takeSnapshotWork() { return stateMachine.snapshots().takeWork(); }
  std::vector<CompletedRequest> takeResponses() { return std::exchange(responses, {}); }

  const RaftNode& raftNode() const { return raft; }
  const ControllerOptions& controllerOptions() const { return options; }
  const ClusterState& committed() const { return stateMachine.committed(); }
  // Texts of pending requests and of proposals not committed yet.
  std::size_t pendingBytes() const {
    return requests.retainedBytes() + stateMachine.proposalBytes();
  }
  LeaderRoute route(MonotonicTime now) const;
  // A record or snapshot can't be decoded. Steps do nothing any more, and the
  // process must end.
  bool hasUnreadableState() const { return stateMachine.hasUnreadableState(); }

  // Emitted within the calls above, on the caller's thread; slots must not call
  // the controller.
  LogEventSignal logEvent;

 private:
  // Following Raft, and leadership.
  void followRaft(WallTime wall);
  void onRoleChange();
  void startLeading();
  void stopLeading();
  void startServing();
  void advanceClock();
  bool isLeading() const { return stateMachine.isLeading(); }
  const ClusterState& speculative() const { return stateMachine.speculative(); }
  ClusterTime clusterNow() const { return clock.at(now); }
  // Every change of the state goes through here: it is proposed, and visible to
  // handlers at once.
  void append(Event event);

  // What a serving leader does in each step.
  void handleQueuedRequests();
  void expireLeases();
  void fireTimetables();
  void removeExpiredJobs();
  void failUnschedulableJobs();
  void runPlanner();
  void reviewMembership();
  void reportRejectedKeys();

  // Requests: one handler a kind, dispatched by handleRequest.
  bool hasRequestCapacity(const ApiRequest& request) const;
  bool fitsMemoryLimit(const ApiRequest& request) const;
  void handleRequest(PendingRequest& pending);
  void handleReadRequest(PendingRequest& pending);
  // What is wrong with a request before it is looked at by its kind, if
  // anything.
  std::optional<ApiResponse> rejectionOnArrival(ApiRequest& request);
  // Completes a request that came by an ingress route with its queue and job;
  // what is wrong with it, if anything.
  std::optional<ApiResponse> resolveIngressRoute(ApiRequest& request);
  // Names the tenant of a request that needs a key; a rejection if it has none
  // that is known.
  std::optional<ApiResponse> authenticate(ApiRequest& request);
  // A rejection if the request is about a job of another tenant.
  std::optional<ApiResponse> checkOwner(const ApiRequest& request) const;
  void handleSubmit(PendingRequest& pending);
  void handleCancel(PendingRequest& pending);
  void handleConfig(PendingRequest& pending);
  void handleReplacement(PendingRequest& pending);
  void handleWorkerOrder(PendingRequest& pending);
  void handleSync(PendingRequest& pending);
  std::optional<ApiResponse> syncRejection(const SyncReport& report);
  bool registerWorker(const SyncReport& report);
  void recordContact(const SyncReport& report);
  void recordDrainNotice(const SyncReport& report);
  void recordProgress(const SyncReport& report);
  void startPoll(PendingRequest& pending, bool respondAtOnce);

  // Responses. docs/design.md 8.2.
  void carryOut(PendingRequest& pending, RequestDecision decision);
  void respondWhenCommitted(PendingRequest& pending, ApiResponse response, bool appended = false);
  bool isConfirmed(const PendingRequest& pending, RoundNumber confirmedRound) const;
  void respondToPolls();
  void respondToPoll(const PendingRequest& poll, RoundNumber confirmedRound);
  void sendCommittedResponses();
  void sendResponse(RequestNumber number, ApiResponse response);
  ApiResponse notLeaderResponse() const;

  ControllerOptions options;
  RaftNode raft;
  MonotonicTime now;
  LeaderClock clock;
  bool isServing = false;
  MonotonicTime nextExpiryCheck;
  std::uint64_t rejectedKeys = 0;  // requests, since they were reported last
  MonotonicTime nextKeyReport;
  ReplicatedStateMachine stateMachine;
  RequestTable requests;
  std::vector<CompletedRequest> responses;
  GatewayRegistry gateways;
  SyncResponder syncResponder;
  LeaseManager leases;
  MembershipManager membership;
  PlanningDriver planning;
  JobAdmission admission;
  TimetableScheduler timetables;
  JobRetention retention;
  OpenJobMonitor openJobs;
  JobLatencyTracker jobLatency;
};

}  // namespace aniseline

#endif  // ANISELINE_CONTROLLER_CONTROLLER_HPP
