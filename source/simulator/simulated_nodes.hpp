// The node types of a simulated cluster: processes with their machines, and callers.
// docs/design.md 12.1.
#ifndef ANISELINE_SIMULATOR_SIMULATED_NODES_HPP
#define ANISELINE_SIMULATOR_SIMULATED_NODES_HPP
#include "simulator/called_worker.hpp"
#include "simulator/simulated_cluster.hpp"

namespace aniseline {

// Returns the FNV-1a hash of the bytes, continued from an earlier hash.
inline std::uint64_t hashBytes(std::uint64_t hash, std::string_view bytes) {
  constexpr std::uint64_t prime = 1099511628211ull;
  for (unsigned char byte : bytes)
    hash = (hash ^ byte) * prime;
  return hash;
}

constexpr std::size_t gatewayNotFound = std::size_t(-1);  // no gateway has that address

struct SimulatedCluster::Node {
  std::size_t zone = 0;
  bool up = true, frozen = false, isolated = false;
  std::uint64_t generation = 1;
  std::vector<std::function<void()>> deferredWork;  // work that arrived while the node was frozen
  virtual ~Node() = default;
};

struct SimulatedCluster::ControllerNode : Node {
  std::size_t index = 0;
  Address address;
  ControllerId identity;
  // The cluster that the machine belongs to, which its disk records over all its identities.
  ClusterId knownCluster;
  std::unique_ptr<Controller> core;
  std::vector<WriteAheadRecord> disk;
  std::optional<WriteAheadRecord> writeInFlight;
  std::int64_t diskStalledUntil = 0, diskDelay = 0, clockOffset = 0, monotonicBase = 0;
  std::int64_t clockJump = 0;  // beside `clockOffset`; a start of the machine corrects it
  bool stepScheduled = false, diskFull = false;
  std::int64_t nextJoinAttemptAt = 0;
  std::optional<std::size_t> votersOverride;  // its voter count, if it differs from the others'
  std::map<std::uint64_t, std::function<void()>> onExit;  // called when the process ends
};

// A process that calls the leader and stores the route to it.
struct SimulatedCluster::RoutedNode : Node {
  LeaderRoute route;
};

struct SimulatedCluster::GatewayNode : RoutedNode {
  std::size_t index = 0;
  Address publicAddress;
  std::map<std::uint64_t, std::function<void()>> onExit;
};

struct SimulatedCluster::WorkerNode : Node {
  std::size_t index = 0;
  std::string id;
  Capacity capacity;
  std::unique_ptr<WorkerSession> session;
  struct Running {
    Order order;
    std::int64_t resumedAt = 0, remaining = 0, total = 0;
    bool active = true;
  };
  std::map<AttemptNumber, Running> tasks;
  double slowdown = 1, failureRate = 0;
  std::unique_ptr<PeerDirectory> gatewayDirectory;
  bool longPollInFlight = false, urgentSyncInFlight = false, removed = false;
};

// The agent of one called worker, on the same machine. Its state is lost when it is killed.
struct SimulatedCluster::AgentNode : RoutedNode {
  std::size_t index = 0, nextController = 0;
  std::unique_ptr<NodeAgent> core;
  bool longPollInFlight = false, urgentSyncInFlight = false;
  // A drain announcement is acknowledged once it is in the log.
  std::int64_t drainAcknowledgementDueBy = 0;
  WorkerId drainingWorker;  // the worker that announced the drain
};

struct SimulatedCluster::CalledWorkerNode : Node {
  std::size_t index = 0, instanceCount = 0;
  Capacity capacity;
  std::unique_ptr<CalledWorker> worker;
  struct PendingPoll {  // a poll that waits for a run to end
    WorkerCall call;
    std::int64_t deadline = 0;
    std::function<void(WorkerReply)> reply;
  };
  std::vector<PendingPoll> pendingPolls;
  CalledWorker::Malfunction malfunction = CalledWorker::Malfunction::none;
  std::int64_t nextHeartbeatAt = 0;
  bool ordersDelayed = false, removed = false, drainAcknowledged = false;
  std::uint64_t heartbeats = 0;  // sent by this instance
  // A drain in progress, announced either by the state `draining` in heartbeats or by a leave
  // request while heartbeats still say `up`.
  struct Drain {
    bool byRequest = false;
    std::int64_t announcedAt = 0;         // when it was first announced
    std::int64_t nextAnnouncementAt = 0;  // when an unacknowledged leave request is sent again
    std::int64_t servesAfterAcknowledgement = 0;  // ms from the acknowledgement to the exit
    std::int64_t endsAt = 0;                      // 0: not known yet
    std::int64_t downtime = 0;                    // ms from the exit to the next instance's start
    bool finalAnnouncementSent = false;
  };
  std::optional<Drain> drain;
};

struct SimulatedCluster::GangState {
  GangRendezvousTable rendezvous;
};

struct SimulatedCluster::CallerState {
  JobSubmission job;
  std::size_t gateway = 0;
  bool accepted = false, ended = false, rejected = false, cancelled = false;
  std::int64_t cancelAfter = -1, startedAt = 0, attempts = 0;
  bool isResend = false;
  bool gaveUp = false;         // it cancels the job without knowing whether it was accepted
  std::int64_t pollUntil = 0;  // having given up, it polls a missing job until this time
  std::string apiKey;          // empty: the request has no key
};

inline HistoryEvent makeEvent(HistoryEvent::Kind kind, std::int64_t at) {
  HistoryEvent event;
  event.kind = kind;
  event.timestamp = at;
  return event;
}

}  // namespace aniseline

#endif  // ANISELINE_SIMULATOR_SIMULATED_NODES_HPP
