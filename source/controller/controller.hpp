// The control plane's core: raft, cluster state, planner and the table of requests, in passes.
// Sans-IO. docs/design.md 3, 8.
#pragma once
#include "raft/node.hpp"
#include "state/api_request.hpp"
#include "scheduling/planner.hpp"
#include "controller/snapshot_writer.hpp"

namespace aniseline {

struct ControllerOptions {
  RaftOptions raft;
  Duration lease{3000};
  Duration margin{1000};
  Duration unresponsiveMargin{150};  // beyond what an agent says of a unresponsive worker
  Duration longestPoll{1000};
  Duration answerWithin{2000};
  Duration replaceAfter{30'000};
  std::size_t voters = 3;  // two for each that may be lost at once, and one. docs/design.md 3.5
  Duration aliveWithin{
      1500};  // a worker heard within this is alive: another process may not take its id
  std::uint64_t snapshotVersions = 1000;
  std::uint64_t snapshotBytes = 8 * 1024 * 1024;
  std::size_t maxPendingRequests = 4000;
  // Texts of requests under way and of proposals not committed yet; one alone may be larger.
  std::size_t maxPendingBytes = 16 * 1024 * 1024;
  std::size_t outboxBytes = 4 * 1024 * 1024;  // queued to each peer, for the daemon

  // Takes shares of what the process may use, where that is less than the defaults. 0: no limit.
  void boundMemory(std::uint64_t processBytes);
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
  void synced(DiskVersion version, MonotonicTime now) { raft.synced(version, now); }
  void take(RequestNumber number, ApiRequest request, MonotonicTime now);
  void found(MonotonicTime now) { raft.found(now); }
  void join(const Address& leader) { raft.join(leader); }
  void transferLeadership(MonotonicTime now) { raft.transferLeadership(now); }
  void recordGateway(const Contact& gateway, MonotonicTime now) {
    gateways[gateway.address] = {gateway.zone, now};
  }

  std::vector<PeerMessage> takeMessages() { return raft.takeMessages(); }
  std::optional<WriteAheadRecord> takeWrite() { return raft.takeWrite(); }
  // For the keeper of views, which works beside the core and hands back what it packed.
  SnapshotWork takeSnapshotWork() { return std::exchange(snapshotWork, {}); }
  void packed(PackedSnapshot view);
  std::vector<std::pair<RequestNumber, ApiResponse>> takeAnswers() {
    return std::exchange(answers, {});
  }

  const RaftNode& raftNode() const { return raft; }
  const ControllerOptions& memoryOptions() const { return options; }
  std::size_t pendingBytes() const { return requestBytes + proposalBytes; }
  const ClusterState& committed() const { return committedState; }
  RouteView route(MonotonicTime now) const;
  // A record or view that can't be read: folding on without it would make another state than the
  // others'. The process must end.
  bool damaged() const { return unreadable; }
  boost::signals2::signal<void(const LogEvent&)> logEvent;

 private:
  enum class Stage : std::uint8_t { taken, decided, polling };
  struct PendingRequest {
    std::uint64_t place = 0;  // in the order in which they came
    RequestNumber number;
    ApiRequest request;
    std::size_t bytes = 0;  // of its texts, as long as they are held
    Stage stage = Stage::taken;
    MonotonicTime deadline;
    MonotonicTime pollUntil;
    LogIndex barrier;
    RoundNumber round;
    bool logged = false;
    ApiResponse answer;
  };
  ClusterState& speculative() { return *speculativeState; }
  ClusterTime clusterNow() const;
  LogIndex append(Event event);
  void expect(const Event& event);
  void followLog();
  bool applyCommitted(const LogEntry& entry);
  void restoreSnapshot(const Snapshot& snapshot);
  void followRole();
  bool hasRoomFor(const ApiRequest& request) const;
  bool hasMemoryFor(const ApiRequest& request) const;
  void releaseTexts(PendingRequest& record);
  void dropProposal();
  void forgetProposals();
  void admitRequests();
  void findOverdue();
  void expireLeases();
  void fireTimetables();
  void expireJobs();
  void planStarts();
  void answerPolls();
  void answerDecided();
  void reviewMembership();
  void closeReplacements();
  bool changeMembers(const Members& members, const char* what, const Member& member);
  void requestSnapshot();
  bool answerPoll(const PendingRequest& record, RoundNumber confirmed);
  void dropRequest(std::uint64_t place);
  void decide(PendingRequest& record, ApiResponse answer, bool logged);
  void answer(const PendingRequest& record, ApiResponse answer);
  ApiResponse notLeader() const;
  void handle(PendingRequest& record);
  bool enter(PendingRequest& record);
  void failHopelessJobs();
  ApiResponse showPhase(const JobId& id) const;
  void handleSubmit(PendingRequest& record);
  void handleCancel(PendingRequest& record);
  void handleConfig(PendingRequest& record);
  void handleSync(PendingRequest& record);
  void handleWorkerOrder(PendingRequest& record);
  void handleReplacement(PendingRequest& record);
  void emitLogEvent(std::string what, picojson::object fields = {}) {
    logEvent(LogEvent{std::move(what), std::move(fields)});
  }
  Silence silence() const;
  MonotonicTime heardFrom(const WorkerId& id) const;
  WorkerSilent silenceOf(const Worker& worker, MonotonicTime heard);
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
  Term ledTerm;
  MonotonicTime now;
  MonotonicTime leaderSince;
  ClusterTime clusterBase;
  MonotonicTime clusterBaseAt;
  bool wasServing = false;
  bool planWanted = false, planAtOnce = false;
  MonotonicTime lastPlan{-1'000'000};
  MonotonicTime nextForget;
  ClusterTime shortenedTo;
  std::map<WorkerId, MonotonicTime> contacts;
  std::map<WorkerId, MonotonicTime> reported;  // by the clocks of their agents: the latest report
  std::map<WorkerId, MonotonicTime>
      unresponsive;  // their agents say that they do not answer; by then what they held is over
  struct OrdersSent {
    OrderNumber through;
    MonotonicTime at;
  };
  std::map<WorkerId, OrdersSent>
      ordersSent;  // to agents, so that two waiting syncs do not get the same
  struct Pace {
    double value = 0;  // a logarithm: guesses are wrong by factors, either way
    std::uint32_t samples = 0;
    MonotonicTime at;
  };
  std::map<WorkerId, Pace> paces;  // docs/design.md 5.6
  void recordPace(const WorkerSynced& synced);
  Hints hints() const;
  struct Demand {
    double peak = 0;
    MonotonicTime at;
  };
  std::map<std::string, Demand> urgentDemand;  // by pool: the most wanted at once, fading
  void recordDemand(const Plan& plan);
  MonotonicTime nextHopeless, nextOccupancy, nextDueLook;
  std::string refusedChange;  // of members, the last that was told of
  struct Backlog {
    MonotonicTime at{-1'000'000};
    std::map<std::string, double> cores;                             // by pool
    std::map<std::pair<std::string, std::int64_t>, double> waiting;  // by pool and urgency
  };
  Backlog backlog;
  void weighBacklog();
  Duration hopelessWait(const JobSubmission& job, const QueueOptions& queue);
  std::set<JobId> saidSlow;  // jobs whose long wait was told
  std::size_t slowSaid = 0;  // in this look
  std::size_t waitingAtPlan = 0;
  void recordSlow(const Job& job);
  struct GatewaySeen {
    ZoneName zone;
    MonotonicTime heard;
  };
  std::map<Address, GatewaySeen> gateways;
  std::vector<Contact> gatewaysHeard(MonotonicTime at) const;
  // By the order in which they came, which is also that of their answers. Each pass looks only at
  // what it may change: those just taken, those that are decided, and of the polls those of which
  // anything could have changed. docs/design.md 8.1.
  std::map<std::uint64_t, PendingRequest> requests;
  std::uint64_t lastPlace = 0;
  std::vector<std::uint64_t> taken;
  std::set<std::uint64_t> unanswered;  // taken or decided
  std::map<WorkerId, std::set<std::uint64_t>> polls;
  std::set<std::uint64_t> pollsToLook;  // unconfirmed, due, or their worker was given something
  std::set<std::pair<MonotonicTime, std::uint64_t>> pollsDue;  // some of them long answered
  // Workers whose leases or leavings may be over; the others need no look before these times, or a
  // change. docs/design.md 5.4.
  std::set<WorkerId> overdue;
  bool workersChanged = true;
  MonotonicTime nextLapse;
  ClusterTime nextLeaveOver, nextFiring;
  std::vector<std::pair<RequestNumber, ApiResponse>> answers;
  bool unreadable = false;
  SnapshotWork snapshotWork;
  bool packing = false;
};

}  // namespace aniseline
