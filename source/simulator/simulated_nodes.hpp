// What the simulated world is made of: processes with their machines, and callers.
// docs/design.md 12.1.
#ifndef ANISELINE_SIMULATOR_SIMULATED_NODES_HPP
#define ANISELINE_SIMULATOR_SIMULATED_NODES_HPP
#include "simulator/called_worker.hpp"
#include "simulator/simulated_cluster.hpp"

namespace aniseline {

// FNV-1a, continued from an earlier hash.
inline std::uint64_t hashBytes(std::uint64_t hash, std::string_view bytes) {
  constexpr std::uint64_t prime = 1099511628211ull;
  for (unsigned char byte : bytes)
    hash = (hash ^ byte) * prime;
  return hash;
}

constexpr std::size_t gatewayNotFound = std::size_t(-1);  // nobody is at that address any more

struct SimulatedCluster::Node {
  std::size_t zone = 0;
  bool up = true, frozen = false, isolated = false;
  std::uint64_t generation = 1;
  std::vector<std::function<void()>> deferredWork;  // what arrives while frozen
  virtual ~Node() = default;
};

struct SimulatedCluster::ControllerNode : Node {
  std::size_t index = 0;
  Address address;
  ControllerId identity;
  std::unique_ptr<Controller> core;
  SnapshotWriter snapshotWriter;
  std::vector<WriteAheadRecord> disk;
  std::optional<WriteAheadRecord> writeInFlight;
  std::int64_t diskStalledUntil = 0, diskDelay = 0, clockOffset = 0, monotonicBase = 0;
  bool stepScheduled = false, diskFull = false;
  std::int64_t nextJoinAttemptAt = 0;
  std::optional<std::size_t> votersOverride;  // its own setting, if another than the others'
  std::map<std::uint64_t, std::function<void()>> onExit;  // called when the process ends
};

// A process that asks the leader and holds the way to it.
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

// The agent of one worker that is called, on the same machine; killed, it begins empty.
struct SimulatedCluster::AgentNode : RoutedNode {
  std::size_t index = 0, nextController = 0;
  std::unique_ptr<NodeAgent> core;
  bool longPollInFlight = false, urgentSyncInFlight = false;
  std::int64_t drainAcknowledgementDueBy =
      0;                    // the word of a leaving is acknowledged once it is logged
  WorkerId drainingWorker;  // whose word that is
};

struct SimulatedCluster::CalledWorkerNode : Node {
  std::size_t index = 0, instanceCount = 0;
  Capacity capacity;
  std::unique_ptr<CalledWorker> worker;
  struct PendingPoll {  // one that waits for an ending
    WorkerCall call;
    std::int64_t deadline = 0;
    std::function<void(WorkerReply)> reply;
  };
  std::vector<PendingPoll> pendingPolls;
  CalledWorker::Malfunction malfunction = CalledWorker::Malfunction::none;
  std::int64_t nextHeartbeatAt = 0;
  bool ordersDelayed = false, removed = false, drainAcknowledged = false;
  std::uint64_t heartbeats = 0;  // of this life
  // A leaving under way: announced by `draining`, or by a leave with beats that go on saying `up`.
  struct Drain {
    bool byRequest = false;
    std::int64_t announcedAt = 0;         // when it was first announced
    std::int64_t nextAnnouncementAt = 0;  // a leave that got no acknowledgement is sent again then
    std::int64_t servesAfterAcknowledgement = 0;  // from the acknowledgement to its end
    std::int64_t endsAt = 0;                      // 0: not known yet
    std::int64_t downtime = 0;                    // from its end to the start of the next life
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
  std::string apiKey;  // empty: none is given
};

inline HistoryEvent makeEvent(HistoryEvent::Kind kind, std::int64_t at) {
  HistoryEvent event;
  event.kind = kind;
  event.timestamp = at;
  return event;
}

}  // namespace aniseline

#endif  // ANISELINE_SIMULATOR_SIMULATED_NODES_HPP
