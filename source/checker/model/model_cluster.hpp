// The model of a cluster: several RaftNodes with their disks and clocks, a network that is a
// multiset of messages, and the actions that can happen. A cluster state is a value type whose
// copies share their unchanged parts.
#ifndef ANISELINE_CHECKER_MODEL_MODEL_CLUSTER_HPP
#define ANISELINE_CHECKER_MODEL_MODEL_CLUSTER_HPP
#include "checker/model/history_variables.hpp"

namespace aniseline::model {

enum class ActionKind : std::uint8_t {
  // A message arrives. Messages may arrive in any order; a lost message is one that is never
  // delivered.
  deliver,
  duplicate,      // a message arrives and stays in flight
  drop,           // a message is lost; keeps the network small in long random walks
  startWrite,     // only if `writeImmediately` is not set
  completeWrite,  // the write in progress is synced
  heartbeat,      // the clock of a leader advances by one heartbeat interval
  // A clock advances beyond every timeout: a node starts an election, a leader steps down, or a
  // learner asks whether it is still a member.
  electionTimeout,
  // A clock advances by the shortest election timeout without a tick, so that the node no longer
  // assumes a live leader.
  leaderSilence,
  restart,  // a process ends and restarts from the synced data
  // The same, but the write in progress reached the disk without an acknowledgement to the node.
  restartKeepingWrite,
  // Only within the fault tolerance of the cluster; the machine returns with a new identity.
  loseDisk,
  rejoinAsNewMember,  // a removed node sets its state aside and starts with a new identity
  join,               // a node without state asks a leader to become a learner
  propose,
  read,  // a leader starts a read, which a round of heartbeats confirms
  removeMember,
  promote,
  transferLeadership,
  compact,
};
constexpr std::size_t actionKindCount = std::size_t(ActionKind::compact) + 1;
const char* name(ActionKind kind);

// One step of the model. An action has the same meaning in every state, so a trace can be shortened
// by omitting actions.
struct Action {
  ActionKind kind;
  std::uint8_t machine = 0;      // the machine that acts
  std::uint8_t target = 0;       // the other machine or member index concerned
  std::uint64_t packetHash = 0;  // the hash of the message concerned
};

// How often each kind of action may occur in a run; a kind that is not listed is unlimited.
using Budget = std::map<ActionKind, std::uint8_t>;

// A defect injected into the model to prove that the checker finds it.
struct SeededDefect {
  std::function<void(PeerMessage&)> mutateMessage;      // changes each message sent by a node
  std::function<void(RaftNode&)> mutateNode;            // changes a node after each of its steps
  std::function<void(WriteAheadRecord&)> mutateRecord;  // changes the records that a restart reads
  bool acknowledgesUnsyncedWrites = false;              // writes are acknowledged but lost
  bool restartsFromOldDisk = false;                     // a restart reads the previous version
};

struct ModelOptions {
  std::size_t machines = 3;
  std::size_t voters = 3;  // the first machines are voters; the others have no state
  RaftOptions raft = discreteRaftOptions();
  Budget budget;
  bool syncImmediately = false;  // every write is synced in the step that requests it
  // A record is passed to the disk as soon as the previous one is synced.
  bool writeImmediately = true;
  // Checks only invariants that a client or operator could observe, not the intermediate rules of
  // the implementation: acknowledgements and votes only after a sync, and commits on a majority of
  // disks.
  bool outcomesOnly = false;
  SeededDefect seededDefect;
  static RaftOptions discreteRaftOptions();
};

struct Packet {
  PeerMessage message;
  std::uint64_t hash;
};

class ModelCluster {
 public:
  // Creates the initial state: all voters hold the committed bootstrap entry, and there is no
  // leader.
  explicit ModelCluster(std::shared_ptr<const ModelOptions> options);

  std::vector<Action> enabledActions() const;
  // Performs one action. Returns false and changes nothing if the action is not enabled.
  bool apply(const Action& action);
  // The invariant that the last action violated, if any.
  const std::optional<std::string>& violation() const { return brokenRule; }
  std::uint64_t hash() const;
  std::string describe(const Action& action) const;

  const ModelNode& node(std::size_t machine) const { return *nodes[machine].node; }
  std::size_t machines() const { return nodes.size(); }
  const std::vector<std::shared_ptr<const Packet>>& network() const { return packets; }
  const HistoryVariables& history() const { return *currentHistory; }
  std::optional<std::size_t> machineOf(const ControllerId& id) const;
  // Replaces the options and resets the action counts, so that a search after a script has the
  // whole budget.
  void setOptions(std::shared_ptr<const ModelOptions> from);

 private:
  struct Slot {
    std::shared_ptr<const ModelNode> node;
    std::uint64_t hash = 0;
    std::uint8_t incarnation = 1;  // number of the current identity of the machine
  };
  friend class StepInvariantChecker;
  bool withinBudget(ActionKind kind) const;
  void addNodeActions(std::size_t machine, std::vector<Action>& actions) const;
  void addLeaderActions(std::size_t machine, std::vector<Action>& actions) const;
  bool isEnabled(const Action& action) const;
  bool isEnabledForLeader(const Action& action) const;
  bool mayLoseDisk(const ControllerId& id) const;
  void performAction(const Action& action, ModelNode& node, HistoryVariables& historyVariables);
  void performLeaderAction(const Action& action, ModelNode& node,
                           HistoryVariables& historyVariables);
  void completeWrite(ModelNode& node) const;
  void beginRead(ModelNode& node, HistoryVariables& historyVariables) const;
  void deliver(const Action& action, ModelNode& node);
  void replaceIdentity(std::size_t machine, ModelNode& node, HistoryVariables& historyVariables);
  void runEffects(ModelNode& node, HistoryVariables& historyVariables, const ModelNode& before,
                  bool restarted);
  void send(PeerMessage message);
  void removePacket(std::uint64_t packet);
  const Packet* findPacket(std::uint64_t packet) const;
  std::optional<std::size_t> recipientOf(const PeerMessage& message) const;
  static Member memberAt(std::size_t machine, unsigned instance);

  std::shared_ptr<const ModelOptions> options;
  std::vector<Slot> nodes;
  std::vector<std::shared_ptr<const Packet>> packets;  // ordered by hash
  std::shared_ptr<const HistoryVariables> currentHistory;
  std::uint64_t historyHash = 0;
  std::array<std::uint8_t, actionKindCount> actionCounts{};
  std::optional<std::string> brokenRule;
};

}  // namespace aniseline::model

#endif  // ANISELINE_CHECKER_MODEL_MODEL_CLUSTER_HPP
