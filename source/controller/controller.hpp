// The core of the control plane: a single controller without sockets, files, clocks or threads. It
// combines Raft, the replicated state and the services of a leader. Its driver (the daemon's fiber
// thread, the simulator or a test) passes in messages, requests and the current time, calls `step`,
// and then collects the effects: messages, disk records, snapshot work and responses. Not
// thread-safe: all calls must come from the thread that drives it. docs/design.md 1.2, 3, 8.
//
// Components, each with its own state:
//   ReplicatedStateMachine  committed and speculative state, proposals, snapshots
//   RequestTable            pending requests, long polls, deadlines, memory limits
//   SyncResponder           responses to the long polls of workers
//   LeaseManager            contacts with workers, leases, drains
//   MembershipManager       which controllers are voters and which are learners
//   PlanningDriver          when the planner runs, and its hints
//   JobAdmission            which submitted jobs are accepted
//   StateMemoryBudget       how far accepted work may enlarge the state
//   TimetableScheduler, JobRetention, OpenJobMonitor, JobLatencyTracker
//                           jobs over time
//   GatewayRegistry         recently active gateways
// Configurations are validated in config_service.hpp, and read_views.hpp renders the state.
#ifndef ANISELINE_CONTROLLER_CONTROLLER_HPP
#define ANISELINE_CONTROLLER_CONTROLLER_HPP
#include "controller/replicated_clock.hpp"
#include "controller/gateway_registry.hpp"
#include "controller/job_admission.hpp"
#include "controller/job_retention.hpp"
#include "controller/lease_manager.hpp"
#include "controller/log_event.hpp"
#include "controller/membership_manager.hpp"
#include "controller/dispatch_latency_tracker.hpp"
#include "controller/job_latency_tracker.hpp"
#include "controller/open_job_monitor.hpp"
#include "controller/options.hpp"
#include "controller/planning_driver.hpp"
#include "controller/replicated_state_machine.hpp"
#include "controller/request_table.hpp"
#include "controller/sync_responder.hpp"
#include "controller/timetable_clock.hpp"
#include "controller/timetable_scheduler.hpp"

namespace aniseline {

// A response together with the number of the request that it answers.
struct CompletedRequest {
  RequestNumber number;
  ApiResponse response;
};

class Controller {
 public:
  // `restored` holds the disk records of this identity in the order in which they were written; it
  // is empty for a blank identity.
  Controller(Member self, const ControllerOptions& options, std::uint64_t seed,
             const std::vector<WriteAheadRecord>& restored, MonotonicTime now);
  Controller(const Controller&) = delete;
  Controller& operator=(const Controller&) = delete;

  // Performs all work that is due at `now`. Time never moves backwards: an earlier `now` is
  // replaced by the latest one seen.
  void step(MonotonicTime now, WallTime wall);
  void receive(const PeerMessage& message, MonotonicTime now) { raft.receive(message, now); }
  // Tells whether the disk takes writes; see RaftNode.
  void setDiskWritable(bool writable) { raft.setDiskWritable(writable); }
  // Reports that the disk record of this version and all earlier ones are durable.
  void onRecordSynced(DiskVersion version, MonotonicTime now) { raft.onWriteSynced(version, now); }
  // Accepts a request, which receives exactly one response. The request is rejected at once if this
  // controller is not the leader or has no capacity for it; otherwise it is handled in the next
  // step.
  void submitRequest(RequestNumber number, ApiRequest request, MonotonicTime now);
  // Creates a cluster that consists of this controller only. Allowed only for a blank identity.
  void bootstrap(MonotonicTime now) { raft.bootstrap(now); }
  // Binds a blank identity to the cluster that its machine has known before; see RaftNode.
  void bindToCluster(const ClusterId& cluster) { raft.bindToCluster(cluster); }
  // Makes a blank identity ask this leader to add it to the cluster as a learner.
  void join(const Address& leader) { raft.setJoinAddress(leader); }
  void transferLeadership(MonotonicTime now) { raft.transferLeadership(now); }
  // Records how long the last step took; see PlanningDriver.
  void recordStepTime(std::chrono::microseconds time) { planning.recordStepTime(time); }
  // Records the resident memory of the process in bytes, which is shown beside the estimate.
  void recordResidentMemory(std::uint64_t bytes) { residentBytes = bytes; }
  void recordGateway(const GatewayEndpoint& gateway, MonotonicTime now) {
    gateways.recordContact(gateway, now);
  }
  // Takes the snapshot that was packed from the result of takeSnapshotWork.
  void onSnapshotPacked(PackedSnapshot snapshot);

  // These functions return the effects of the preceding calls; each effect is returned once.
  std::vector<PeerMessage> takeMessages() { return raft.takeMessages(); }
  std::optional<WriteAheadRecord> takeWrite() { return raft.takeWrite(); }
  std::optional<SnapshotWork> takeSnapshotWork() { return stateMachine.snapshots().takeWork(); }
  std::vector<CompletedRequest> takeResponses() { return std::exchange(responses, {}); }

  const RaftNode& raftNode() const { return raft; }
  const ControllerOptions& controllerOptions() const { return options; }
  const ClusterState& committed() const { return stateMachine.committed(); }
  // Returns the size in bytes of the texts of pending requests and of uncommitted proposals.
  std::size_t pendingBytes() const {
    return requests.retainedBytes() + stateMachine.proposalBytes();
  }
  LeaderRoute route(MonotonicTime now) const;
  // Reports whether a record or snapshot could not be decoded. In that case `step` no longer does
  // anything, and the process must exit.
  bool hasUnreadableState() const { return stateMachine.hasUnreadableState(); }

  // Emitted during the calls above, on the caller's thread. Slots must not call the controller.
  LogEventSignal logEvent;

 private:
  // Following the Raft log, and changes of leadership.
  void followRaft(WallTime wall);
  void onRoleChange();
  void startLeading();
  void stopLeading();
  void startServing();
  void advanceClock();
  bool isLeading() const { return stateMachine.isLeading(); }
  const ClusterState& speculative() const { return stateMachine.speculative(); }
  ClusterTime clusterNow() const { return clock.at(now); }
  // Proposes an event. Every state change goes through this function; handlers see its effect at
  // once.
  void append(Event event);

  // The work that a serving leader does in each step.
  void handleQueuedRequests();
  void expireLeases();
  void fireTimetables();
  void removeExpiredJobs();
  void failUnschedulableJobs();
  void runPlanner();
  void reviewMembership();
  void reportRejectedKeys();
  void reportLimitedGrowth();
  void reportForeignCluster();

  // Request handlers, one for each kind; handleRequest dispatches to them.
  bool hasRequestCapacity(const ApiRequest& request) const;
  bool fitsMemoryLimit(const ApiRequest& request) const;
  void handleRequest(PendingRequest& pending);
  void handleReadRequest(PendingRequest& pending);
  // Validates a request before it is dispatched by kind. Returns the rejection, if any.
  std::optional<ApiResponse> rejectionBeforeDispatch(ApiRequest& request);
  // Fills in the queue and job of a request that came through an ingress route. Returns the
  // rejection, if any.
  std::optional<ApiResponse> resolveIngressRoute(ApiRequest& request);
  // Sets the tenant of a request that requires an API key. Returns a rejection if the key is
  // missing or unknown.
  std::optional<ApiResponse> authenticate(ApiRequest& request);
  // Returns a rejection if the request refers to a job of another tenant.
  std::optional<ApiResponse> checkOwner(const ApiRequest& request) const;
  void handleSubmit(PendingRequest& pending);
  void handleCancel(PendingRequest& pending);
  void handleCancelOfUnknownJob(PendingRequest& pending, const JobId& id);
  // Returns the later submissions that the cancellation of an unknown job applies to.
  CancellationScope cancellationScope(const ApiRequest& cancel) const;
  void handleConfig(PendingRequest& pending);
  void handleReplacement(PendingRequest& pending);
  void handleWorkerCommand(PendingRequest& pending);
  void handleSync(PendingRequest& pending);
  std::optional<ApiResponse> syncRejection(const SyncReport& report);
  bool registerWorker(const SyncReport& report);
  void recordContact(const SyncReport& report);
  void recordDrainNotice(const SyncReport& report);
  void recordProgress(const SyncReport& report);
  void startPoll(PendingRequest& pending, bool respondAtOnce);

  // Responses. docs/design.md 8.2.
  void applyDecision(PendingRequest& pending, RequestDecision decision);
  void respondWhenCommitted(PendingRequest& pending, ApiResponse response, bool appended = false);
  bool isConfirmed(const PendingRequest& pending, RoundNumber confirmedRound) const;
  void respondToPolls();
  void respondToPoll(const PendingRequest& poll, RoundNumber confirmedRound);
  void sendCommittedResponses();
  void sendResponse(RequestNumber number, ApiResponse response);
  ApiResponse notLeaderResponse() const;
  static ApiResponse otherClusterResponse();

  ControllerOptions options;
  RaftNode raft;
  MonotonicTime now;
  ReplicatedClock clock;
  TimetableClock timetableClock;
  bool isServing = false;
  MonotonicTime nextExpiryCheck;
  std::uint64_t rejectedKeys = 0;  // requests since the last report
  MonotonicTime nextKeyReport;
  MonotonicTime nextGrowthReport;
  MonotonicTime nextForeignClusterReport;
  std::uint64_t residentBytes = 0;  // of the process, as last recorded; 0: unknown
  ReplicatedStateMachine stateMachine;
  RequestTable requests;
  std::vector<CompletedRequest> responses;
  GatewayRegistry gateways;
  SyncResponder syncResponder;
  LeaseManager leases;
  MembershipManager membership;
  PlanningDriver planning;
  StateMemoryBudget memory;
  JobAdmission admission;
  TimetableScheduler timetables;
  JobRetention retention;
  OpenJobMonitor openJobs;
  JobLatencyTracker jobLatency;
  DispatchLatencyTracker dispatchLatency;
};

}  // namespace aniseline

#endif  // ANISELINE_CONTROLLER_CONTROLLER_HPP
