// What the simulated world is made of: processes with their machines, and callers.
// docs/design.md 12.1.
#pragma once
#include "simulator/called_worker.hpp"
#include "simulator/world.hpp"

namespace aniseline {

// FNV-1a, continued from an earlier hash.
inline std::uint64_t hashBytes(std::uint64_t hash, std::string_view bytes) {
  constexpr std::uint64_t prime = 1099511628211ull;
  for (unsigned char byte : bytes)
    hash = (hash ^ byte) * prime;
  return hash;
}

constexpr std::size_t noGateway = std::size_t(-1);  // nobody is at that address any more

struct World::Node {
  std::size_t zone = 0;
  bool up = true, frozen = false, cut = false;
  std::uint64_t generation = 1;
  std::vector<std::function<void()>> inbox;  // what arrives while frozen
  virtual ~Node() = default;
};

struct World::ControllerNode : Node {
  std::size_t place = 0;
  Address address;
  ControllerId identity;
  std::unique_ptr<Controller> core;
  SnapshotWriter keeper;
  std::vector<WriteAheadRecord> disk;
  std::optional<WriteAheadRecord> writing;
  std::int64_t stalledUntil = 0, slow = 0, wallOffset = 0, monotonicBase = 0;
  bool stepping = false, full = false;
  std::int64_t seekAt = 0;
  std::optional<std::size_t> voters;  // its own setting, if another than the others'
  std::map<std::uint64_t, std::function<void()>> onDeath;  // who is told when the process ends
};

// A process that asks the leader and holds the way to it.
struct World::RoutedNode : Node {
  RouteView route;
};

struct World::GatewayNode : RoutedNode {
  std::size_t place = 0;
  Address outer;
  std::map<std::uint64_t, std::function<void()>> onDeath;
};

struct World::WorkerNode : Node {
  std::size_t place = 0;
  std::string id;
  Capacity capacity;
  std::unique_ptr<WorkerSession> hand;
  struct Running {
    Order order;
    std::int64_t since = 0, left = 0, total = 0;
    bool active = true;
  };
  std::map<AttemptNumber, Running> tasks;
  double slow = 1, fail = 0;
  std::unique_ptr<PeerDirectory> contacts;
  bool patientBusy = false, urgentBusy = false, gone = false;
};

// The agent of one worker that is called, on the same machine; killed, it begins empty.
struct World::AgentNode : RoutedNode {
  std::size_t place = 0, turn = 0;
  std::unique_ptr<NodeAgent> core;
  bool patientBusy = false, urgentBusy = false;
  std::int64_t beatWaitsUntil = 0;  // the word of a leaving is acknowledged once it is logged
  WorkerId beatOf;                  // whose word that is
};

struct World::CalledNode : Node {
  std::size_t place = 0, lives = 0;
  Capacity capacity;
  std::unique_ptr<CalledWorker> worker;
  struct Look {  // one that waits for an ending
    WorkerCall call;
    std::int64_t until = 0;
    std::function<void(WorkerReply)> reply;
  };
  std::vector<Look> looks;
  CalledWorker::Sickness sickness = CalledWorker::Sickness::none;
  std::int64_t beatAt = 0;
  bool ordersLate = false, gone = false, leavingAcknowledged = false;
  std::uint64_t beats = 0;  // of this life
  // A leaving under way: announced by `draining`, or by a leave with beats that go on saying `up`.
  struct Leaving {
    bool byLeave = false;
    std::int64_t since = 0;       // when it was first announced
    std::int64_t sayAgainAt = 0;  // a leave that got no acknowledgement is sent again then
    std::int64_t servesOn = 0;    // from the acknowledgement to its end
    std::int64_t endsAt = 0;      // 0: not known yet
    std::int64_t awayFor = 0;     // from its end to the start of the next life
    bool lastWordSaid = false;
  };
  std::optional<Leaving> leaving;
};

struct World::Meetings {
  GangMeetings gangs;
};

struct World::CallerState {
  JobSubmission job;
  std::size_t gateway = 0;
  bool accepted = false, over = false, rejected = false, cancelled = false;
  std::int64_t cancelAfter = -1, begunAt = 0, tries = 0;
  bool resend = false;
};

inline HistoryEvent seen(HistoryEvent::Kind kind, std::int64_t at) {
  HistoryEvent witness;
  witness.kind = kind;
  witness.at = at;
  return witness;
}

}  // namespace aniseline
