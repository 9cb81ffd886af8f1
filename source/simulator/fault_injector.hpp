// The kinds of fault that campaigns draw from, each one of the brief's. docs/design.md 12.3.
#ifndef ANISELINE_SIMULATOR_FAULT_INJECTOR_HPP
#define ANISELINE_SIMULATOR_FAULT_INJECTOR_HPP
#include "simulator/simulated_cluster.hpp"

namespace aniseline {

struct Fault {
  std::int64_t startsAt = 0, duration = 0;
  std::string name;
  std::function<bool()> begin;  // false: it could not take effect
  std::function<void()> end;
  std::shared_ptr<bool> tookEffect;  // of one that strikes later: whether it did
};

struct FaultTargets;
struct FaultKind;

class FaultInjector {
 public:
  using Matches = std::function<bool(const ApiRequest&, const ApiResponse&)>;
  using ControllerAction =
      std::function<void(std::size_t index)>;  // at the controller that is struck

  FaultInjector(SimulatedCluster& cluster, Random& drawFault);
  // Things only the campaign can do: a flood of jobs, two operators at once.
  std::function<void()> floodOfJobs;
  std::function<void()> operatorRace;
  Fault drawFault(std::int64_t at);
  // Every kind's name, for the report.
  static std::vector<std::string> kindNames(bool called, bool several);
  const std::set<std::string>& removedWorkers() const { return removed; }
  bool tryRemoveForGood(std::size_t worker);
  void disarm() {
    armedFaults.clear(), armedMembershipFaults.clear();
  }  // strikes that found no answer to follow

  // --- what the kinds ask of the deck: simulator/fault_kinds.hpp ---
  // False: that would be one more than the voters can bear.
  bool tryLoseDisk(std::size_t index, bool moves);
  std::vector<std::size_t> chooseControllers(const FaultTargets& targets) const;
  std::vector<std::size_t> chooseControllersBeside(std::size_t first,
                                                   const FaultTargets& targets) const;
  // Makes of a fault a strike at the next answer that matches, and at nothing when none comes.
  void faultOnAcknowledgement(Fault& fault, const FaultTargets& targets, Matches matches,
                              ControllerAction strike);
  void faultOnMembershipChange(ControllerAction strike) {
    armedMembershipFaults.push_back(std::move(strike));
  }
  void reinstate(std::size_t worker);
  std::int64_t nextClockFaultAt = 0,
               nextMoveAt = 0;        // when the next clock may lie, or the next move
  std::size_t movingControllers = 0;  // controllers, until moveFreeAt

 private:
  const std::vector<FaultKind>& drawTable();
  FaultTargets drawTargets(std::int64_t length);
  SimulatedCluster& cluster;
  Random& random;
  std::set<std::string> removed;
  // A strike waits for the next answer of its kind.
  struct ArmedFault {
    Matches matches;
    ControllerAction action;
  };
  std::vector<ArmedFault> armedFaults;
  std::vector<ControllerAction> armedMembershipFaults;
};

}  // namespace aniseline

#endif  // ANISELINE_SIMULATOR_FAULT_INJECTOR_HPP
