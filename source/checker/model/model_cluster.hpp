// The model: some RaftNodes, their disks and clocks, a network that is a multiset of messages, and
// the steps that it may take. A world is a value; it shares with its copies what did not change.
#ifndef ANISELINE_CHECKER_MODEL_MODEL_CLUSTER_HPP
#define ANISELINE_CHECKER_MODEL_MODEL_CLUSTER_HPP
#include "checker/model/history_variables.hpp"

namespace aniseline::model {

enum class ActionKind : std::uint8_t {
  deliver,          // a message arrives; any may, in any order. One never delivered is one lost
  duplicate,        // a message arrives, and will once more
  drop,             // a message never arrives: keeps the network small in long walks
  startWrite,       // only where writes are not started at once
  completeWrite,    // the write under way is synced
  heartbeat,        // a leader's clock goes on by one heartbeat
  electionTimeout,  // a clock passes every time-out: an election, a leader's end, a learner's
                    // question
  leaderSilence,  // a clock passes the shortest election time, with no tick: its leader is old news
  restart,        // a process ends and starts from what was synced
  restartKeepingWrite,  // the same; the write under way reached the disk, nobody was told
  loseDisk,             // within tolerance; the machine comes back as a new identity
  rejoinAsNewMember,    // one that was told to be out puts its state aside and begins anew
  join,                 // a blank one asks a leader to learn
  propose,
  read,  // a leader begins a read, to be confirmed by a round
  removeMember,
  promote,
  transferLeadership,
  compact,
};
constexpr std::size_t actionKindCount = std::size_t(ActionKind::compact) + 1;
const char* name(ActionKind kind);

// Means the same in every world, so that a trace can be shortened by leaving actions out.
struct Action {
  ActionKind kind;
  std::uint8_t machine = 0;      // the machine that acts
  std::uint8_t target = 0;       // the machine of the member concerned
  std::uint64_t packetHash = 0;  // the message concerned, by its hash
};

// How often a run may take a step of this kind; no figure is no bound.
using Budget = std::map<ActionKind, std::uint8_t>;

// A fault of the product planted from outside, to show that the checker finds it.
struct SeededDefect {
  std::function<void(PeerMessage&)> mutateMessage;      // changes what leaves a node
  std::function<void(RaftNode&)> mutateNode;            // acts on a node after each of its steps
  std::function<void(WriteAheadRecord&)> mutateRecord;  // changes what a restart finds
  bool acknowledgesUnsyncedWrites = false;              // says synced, keeps nothing
  bool restartsFromOldDisk = false;                     // a restart finds the version before
};

struct ModelOptions {
  std::size_t machines = 3;
  std::size_t voters = 3;  // the first machines; the others are blank
  RaftOptions raft = discreteRaftOptions();
  Budget budget;
  bool syncImmediately = false;  // every write is synced in the step that asks for it
  bool writeImmediately =
      true;  // a record is handed to the disk as soon as the one before is synced
  // Only what a caller or an operator could see in the end, not the rules that the code keeps on
  // the way (claims behind the sync, votes behind the sync, majorities of disks).
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
  // All voters hold the founding entry, committed; nobody leads.
  explicit ModelCluster(std::shared_ptr<const ModelOptions> options);

  std::vector<Action> enabledActions() const;
  // Takes one step; false, and nothing changed, if it can't be taken here.
  bool apply(const Action& action);
  // The rule that the last step broke, if any.
  const std::optional<std::string>& violation() const { return brokenRule; }
  std::uint64_t hash() const;
  std::string describe(const Action& action) const;

  const ModelNode& node(std::size_t machine) const { return *nodes[machine].node; }
  std::size_t machines() const { return nodes.size(); }
  const std::vector<std::shared_ptr<const Packet>>& network() const { return packets; }
  const HistoryVariables& history() const { return *currentHistory; }
  std::optional<std::size_t> machineOf(const ControllerId& id) const;
  // Scripts begin a search from a world with all of the budget left.
  void setOptions(std::shared_ptr<const ModelOptions> from);

 private:
  struct Slot {
    std::shared_ptr<const ModelNode> node;
    std::uint64_t hash = 0;
    std::uint8_t incarnation = 1;  // which identity of the machine
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
  std::vector<std::shared_ptr<const Packet>> packets;  // by hash
  std::shared_ptr<const HistoryVariables> currentHistory;
  std::uint64_t historyHash = 0;
  std::array<std::uint8_t, actionKindCount> actionCounts{};
  std::optional<std::string> brokenRule;
};

}  // namespace aniseline::model

#endif  // ANISELINE_CHECKER_MODEL_MODEL_CLUSTER_HPP
