// Defines the states from which the model checker searches. Each is prepared by a script, because a
// search from the initial state would reach it too late.
#ifndef ANISELINE_CHECKER_MODEL_SCENARIOS_HPP
#define ANISELINE_CHECKER_MODEL_SCENARIOS_HPP
#include "checker/model/search.hpp"

namespace aniseline::model {

struct Scenario {
  std::string name;
  std::string purpose;
  std::size_t machines;
  std::size_t voters;
  Budget budget;  // for the search, counted from the end of the script
  std::function<void(class Script&)> prepare;
  // Writes need no separate action, which allows a deeper search in the same number of states.
  bool syncImmediately = false;
  bool oneEntryPerMessage = false;  // limits each message to one entry
};

const std::vector<Scenario>& scenarios();
const Scenario& scenario(const std::string& name);
// Runs the script of the scenario and sets the budget of the search. The defect is active only
// after the script.
ModelCluster prepare(const Scenario& scenario, const SeededDefect& defect = {},
                     bool outcomesOnly = false);
// Returns the same state with larger budgets, delayed writes and message loss, for long random
// walks.
ModelCluster withWalkOptions(ModelCluster cluster, bool outcomesOnly = false,
                             const SeededDefect& defect = {});

// Drives a cluster along one path of actions.
class Script {
 public:
  explicit Script(ModelCluster& cluster) : cluster(cluster) {}
  // Performs one action. Throws std::logic_error if it is not enabled or violates an invariant.
  void step(ActionKind kind, std::size_t machine, std::size_t other = 0);
  // Syncs and delivers until no message is in flight. If machines are named, only they take part
  // and all other messages are lost.
  void deliverAll(const std::set<std::size_t>& among = {});
  // The same, but all other messages stay in flight.
  void deliverAllWithin(const std::set<std::size_t>& among);
  // Delivers until no message is in flight; writes stay unsynced.
  void deliverAllUnsynced();
  // Delivers or loses the first matching message in flight between these machines.
  void applyToMessage(ActionKind kind, std::size_t from, std::size_t to,
                      const std::function<bool(const PeerMessage&)>& fits);
  // Keeps a matching message in flight while others are delivered or lost.
  void withhold(std::size_t from, std::size_t to,
                const std::function<bool(const PeerMessage&)>& fits);
  // Syncs the writes in progress on these machines.
  void completeWrites(const std::set<std::size_t>& machines);
  void dropAllMessages();
  // Makes a machine the leader with the votes of the machines named, or of all.
  void elect(std::size_t machine, const std::set<std::size_t>& among = {});
  // The same, but all messages sent by the new leader are lost.
  void electAndDropMessages(std::size_t machine, const std::set<std::size_t>& among);
  // Sends heartbeats until these machines know all committed entries.
  void replicate(std::size_t leader, const std::set<std::size_t>& among = {});
  // Returns the index of the current identity of a machine in the membership of the leader.
  std::size_t findMemberIndex(std::size_t leader, std::size_t machine) const;

 private:
  const Packet* firstDeliverable() const;
  const Packet* findPacket(std::size_t from, std::size_t to,
                           const std::function<bool(const PeerMessage&)>& fits) const;
  std::set<std::uint64_t> withheldPackets;
  void campaign(std::size_t machine, const std::set<std::size_t>& among);
  void runUntilLeads(std::size_t machine, const std::set<std::size_t>& among,
                     const std::function<void()>& deliver);
  void deliverWithinAndDropRest(const std::set<std::size_t>& machines);
  ModelCluster& cluster;
};

}  // namespace aniseline::model

#endif  // ANISELINE_CHECKER_MODEL_SCENARIOS_HPP
