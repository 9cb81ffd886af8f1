// The control plane's core: raft, cluster state, planner and the table of requests, in passes.
// Sans-IO. docs/design.md 3, 8.
#ifndef ANISELINE_CONTROLLER_CONTROLLER_HPP
#define ANISELINE_CONTROLLER_CONTROLLER_HPP
#include "raft/node.hpp"
#include "state/api_request.hpp"
#include "scheduling/planner.hpp"
#include "controller/snapshot_writer.hpp"

namespace aniseline {

struct ControllerOptions {
  RaftOptions raft;
  Duration leaseDuration{3000};
  Duration leaseMargin{1000};
  Duration unresponsiveMargin{150};  // beyond what an agent says of a unresponsive worker
  Duration maxPollDuration{1000};
  Duration responseTimeout{2000};
  Duration deadMemberTimeout{30'000};
  std::size_t voterCount = 3;  // two for each that may be lost at once, and one. docs/design.md 3.5
  Duration workerLivenessTimeout{
      1500};  // a worker heard within this is alive: another process may not take its id
  std::uint64_t maxRecordsBetweenSnapshots = 1000;
  std::uint64_t maxBytesBetweenSnapshots = 8 * 1024 * 1024;
  std::size_t maxPendingRequests = 4000;
  // Texts of requests under way and of proposals not committed yet; one alone may be larger.
  std::size_t maxPendingBytes = 16 * 1024 * 1024;
  std::size_t maxOutboxBytes = 4 * 1024 * 1024;  // queued to each peer, for the daemon

  // Takes shares of what the process may use, where that is less than the defaults. 0: no limit.
  void applyMemoryLimit(std::uint64_t processBytes);
};

// What the core tells whoever listens: logs, traces, witnesses.
struct LogEvent {
  std::string what;
  picojson::object fields;
};

class Controller {
 public:
  Controller(Member self, ControllerOptions options, std::uint64_t seed,
             const std::vector<WriteAheadRecord>& restored, MonotonicTime now);

  void step(MonotonicTime now, WallTime wall);
  void receive(const PeerMessage& message, MonotonicTime now) { raft.receive(message, now); }
  void onRecordSynced(DiskVersion version, MonotonicTime now) { raft.onWriteSynced(version, now); }
  void submitRequest(RequestNumber number, ApiRequest request, MonotonicTime now);
  void bootstrap(MonotonicTime now) { raft.bootstrap(now); }
  void join(const Address& leader) { raft.setJoinAddress(leader); }
  void transferLeadership(MonotonicTime now) { raft.transferLeadership(now); }
  void recordGateway(const GatewayEndpoint& gateway, MonotonicTime now) {
    gateways[gateway.address] = {gateway.zone, now};
  }

  std::vector<PeerMessage> takeMessages() { return raft.takeMessages(); }
  std::optional<WriteAheadRecord> takeWrite() { return raft.takeWrite(); }
  // For the keeper of views, which works beside the core and hands back what it packed.
  SnapshotWork takeSnapshotWork() { return std::exchange(snapshotWork, {}); }
  void onSnapshotPacked(PackedSnapshot view);
  std::vector<std::pair<RequestNumber, ApiResponse>> takeResponses() {
    return std::exchange(responses, {});
  }

  const RaftNode& raftNode() const { return raft; }
  const ControllerOptions& controllerOptions() const { return options; }
  std::size_t pendingBytes() const { return requestBytes + proposalBytes; }
  const ClusterState& committed() const { return committedState; }
  LeaderRoute route(MonotonicTime now) const;
  // A record or view that can't be read: folding on without it would make another state than the
  // others'. The process must end.
  bool hasUnreadableState() const { return unreadableState; }
  boost::signals2::signal<void(const LogEvent&)> logEvent;

 private:
  enum class RequestStage : std::uint8_t { queued, awaitingCommit, longPolling };
  struct PendingRequest {
    std::uint64_t sequenceNumber = 0;  // in the order in which they came
    RequestNumber number;
    ApiRequest request;
    std::size_t retainedBytes = 0;  // of its texts, as long as they are held
    RequestStage stage = RequestStage::queued;
    MonotonicTime deadline;
    MonotonicTime pollUntil;
    LogIndex requiredCommitIndex;
    RoundNumber requiredRound;
    bool appendedToLog = false;
    ApiResponse response;
  };
  ClusterState& speculative() { return *speculativeState; }
  ClusterTime clusterNow() const;
  LogIndex append(Event event);
  void invalidateCachedDeadlines(const Event& event);
  void applyCommittedEntries();
  bool applyCommittedEntry(const LogEntry& entry);
  void restoreSnapshot(const Snapshot& snapshot);
  void onRoleChange();
  bool hasRequestCapacity(const ApiRequest& request) const;
  bool fitsMemoryLimit(const ApiRequest& request) const;
  void releaseRequestTexts(PendingRequest& record);
  void popProposal();
  void clearProposals();
  void handleNewRequests();
  void collectExpiredWorkers();
  void expireLeases();
  void fireTimetables();
  void expireFinishedJobs();
  void runPlanner();
  void respondToPolls();
  void sendCommittedResponses();
  void reviewMembership();
  void completeReplacements();
  bool changeMembers(const Membership& members, const char* what, const Member& member);
  void requestSnapshot();
  bool tryRespondToPoll(const PendingRequest& record, RoundNumber confirmed);
  void removeRequest(std::uint64_t place);
  void respondWhenCommitted(PendingRequest& record, ApiResponse answer, bool logged);
  void sendResponse(const PendingRequest& record, ApiResponse answer);
  ApiResponse notLeaderResponse() const;
  void handleRequest(PendingRequest& record);
  bool resolveIngressRoute(PendingRequest& record);
  void failUnschedulableJobs();
  ApiResponse showJobPhase(const JobId& id) const;
  void handleSubmit(PendingRequest& record);
  void handleCancel(PendingRequest& record);
  void handleConfig(PendingRequest& record);
  void handleSync(PendingRequest& record);
  void handleWorkerOrder(PendingRequest& record);
  void handleReplacement(PendingRequest& record);
  void emitLogEvent(std::string what, picojson::object fields = {}) {
    logEvent(LogEvent{std::move(what), std::move(fields)});
  }
  LastContactAges unheardDurations() const;
  MonotonicTime lastContact(const WorkerId& id) const;
  WorkerUnreachable unreachableEventFor(const Worker& worker, MonotonicTime heard);
  picojson::object showJob(const Job& job) const;
  picojson::object showWorkers() const;
  picojson::object showCluster() const;
  picojson::object showPlan();
  picojson::object showCounters() const;
  picojson::object listJobs(const ApiRequest& request) const;

  ControllerOptions options;
  RaftNode raft;
  Planner planner;
  ClusterState committedState;
  LogIndex appliedIndex;
  // What this leader proposed and is not committed yet, so that it need not be read again; the term
  // tells whose entry it is.
  struct Proposal {
    LogIndex index;
    Term term;
    LogRecord record;
    std::size_t bytes = 0;  // as packed
  };
  std::deque<Proposal> proposals;
  std::size_t proposalBytes = 0;
  std::size_t requestBytes = 0;
  std::optional<ClusterState> speculativeState;
  Term leadershipTerm;
  MonotonicTime now;
  MonotonicTime leaderSince;
  ClusterTime clusterBase;
  MonotonicTime clusterBaseAt;
  bool wasServing = false;
  bool planRequested = false, planWithoutDelay = false;
  MonotonicTime lastPlanAt{-1'000'000};
  MonotonicTime nextExpiryCheck;
  ClusterTime shortenedThrough;
  std::map<WorkerId, MonotonicTime> lastContacts;
  std::map<WorkerId, MonotonicTime>
      latestReports;  // by the clocks of their agents: the latest report
  std::map<WorkerId, MonotonicTime> unresponsiveUntil;  // their agents say that they do not answer;
                                                        // by then what they held is over
  struct SentOrders {
    OrderNumber lastOrder;
    MonotonicTime sentAt;
  };
  std::map<WorkerId, SentOrders>
      sentOrders;  // to agents, so that two waiting syncs do not get the same
  struct Pace {
    double logRatio = 0;  // a logarithm: guesses are wrong by factors, either way
    std::uint32_t samples = 0;
    MonotonicTime measuredAt;
  };
  std::map<WorkerId, Pace> paces;  // docs/design.md 5.6
  void recordPace(const WorkerSynced& synced);
  PlannerHints hints() const;
  struct Demand {
    double peak = 0;
    MonotonicTime measuredAt;
  };
  std::map<std::string, Demand> urgentDemand;  // by pool: the most wanted at once, fading
  void recordDemand(const Plan& plan);
  MonotonicTime nextUnschedulableCheck, nextOccupancyReport, nextPlanDueCheck;
  std::string lastRefusedChange;  // of members, the last that was told of
  struct Backlog {
    MonotonicTime measuredAt{-1'000'000};
    std::map<std::string, double> coresByPool;  // by pool
    std::map<std::pair<std::string, std::int64_t>, double>
        workByPoolAndPriority;  // by pool and urgency
  };
  Backlog backlog;
  void refreshBacklog();
  Duration backlogRetryDelay(const JobSubmission& job, const QueueOptions& queue);
  std::set<JobId> reportedSlowJobs;      // jobs whose long wait was told
  std::size_t slowReportsThisCheck = 0;  // in this look
  std::size_t waitingAtLastPlan = 0;
  void reportSlowJob(const Job& job);
  struct GatewaySeen {
    ZoneName zone;
    MonotonicTime lastContact;
  };
  std::map<Address, GatewaySeen> gateways;
  std::vector<GatewayEndpoint> liveGateways(MonotonicTime at) const;
  // By the order in which they came, which is also that of their answers. Each pass looks only at
  // what it may change: those just taken, those that are decided, and of the polls those of which
  // anything could have changed. docs/design.md 8.1.
  std::map<std::uint64_t, PendingRequest> requests;
  std::uint64_t lastSequenceNumber = 0;
  std::vector<std::uint64_t> queuedRequests;
  std::set<std::uint64_t> unansweredRequests;  // taken or decided
  std::map<WorkerId, std::set<std::uint64_t>> pollsByWorker;
  std::set<std::uint64_t> pollsToCheck;  // unconfirmed, due, or their worker was given something
  std::set<std::pair<MonotonicTime, std::uint64_t>> pollCheckTimes;  // some of them long answered
  // Workers whose leases or leavings may be over; the others need no look before these times, or a
  // change. docs/design.md 5.4.
  std::set<WorkerId> expiredWorkers;
  bool workerDeadlinesStale = true;
  MonotonicTime nextLeaseExpiry;
  ClusterTime nextDrainDeadline, nextTimetableFiring;
  std::vector<std::pair<RequestNumber, ApiResponse>> responses;
  bool unreadableState = false;
  SnapshotWork snapshotWork;
  bool packingSnapshot = false;
};

}  // namespace aniseline

#endif  // ANISELINE_CONTROLLER_CONTROLLER_HPP
