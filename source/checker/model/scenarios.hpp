// Worlds to begin a search from: what a search from nothing would reach too late.
#ifndef ANISELINE_CHECKER_MODEL_SCENARIOS_HPP
#define ANISELINE_CHECKER_MODEL_SCENARIOS_HPP
#include "checker/model/search.hpp"

namespace aniseline::model {

struct Scenario {
  std::string name;
  std::string purpose;
  std::size_t machines;
  std::size_t voters;
  Budget budget;  // of the search, from where the script ends
  std::function<void(class Script&)> prepare;
  bool syncImmediately = false;     // disks are no part of it: deeper in the same number of states
  bool oneEntryPerMessage = false;  // a message holds one entry
};

const std::vector<Scenario>& scenarios();
const Scenario& scenario(const std::string& name);
// Runs the scenario's script and gives the search its budget. The tamper is in force from the
// search on.
ModelCluster prepare(const Scenario& scenario, const SeededDefect& defect = {},
                     bool outcomesOnly = false);
// The same world with more of everything, writes taken late and messages lost: for long walks.
ModelCluster withWalkOptions(ModelCluster cluster, bool outcomesOnly = false,
                             const SeededDefect& defect = {});

// Drives a world along one path.
class Script {
 public:
  explicit Script(ModelCluster& cluster) : cluster(cluster) {}
  void step(ActionKind kind, std::size_t machine, std::size_t other = 0);
  // Syncs and delivers until nothing is left to do; only among these machines, if any are named:
  // what goes elsewhere is lost.
  void deliverAll(const std::set<std::size_t>& among = {});
  // The same, but what goes elsewhere stays under way.
  void deliverAllWithin(const std::set<std::size_t>& among);
  // Delivers until nothing is under way; what waits for a disk stays.
  void deliverAllUnsynced();
  // Delivers, or loses, the first message under way between these machines that fits.
  void applyToMessage(ActionKind kind, std::size_t from, std::size_t to,
                      const std::function<bool(const PeerMessage&)>& fits);
  // Keeps a message under way, whatever else is delivered or lost.
  void withhold(std::size_t from, std::size_t to,
                const std::function<bool(const PeerMessage&)>& fits);
  // Syncs what is under way on these machines.
  void completeWrites(const std::set<std::size_t>& machines);
  void dropAllMessages();
  // Makes a machine the leader of those named.
  void elect(std::size_t machine, const std::set<std::size_t>& among = {});
  // The same, but all that the new leader sends is lost.
  void electAndDropMessages(std::size_t machine, const std::set<std::size_t>& among);
  // Heartbeats until these have seen all that is committed.
  void replicate(std::size_t leader, const std::set<std::size_t>& among = {});
  // The place of a machine's present identity among the leader's members.
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
