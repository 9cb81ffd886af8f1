// Draws the faults of a campaign, and makes sure that no more is lost at once than the cluster has
// to bear. Owned by a campaign, on its thread. The kinds stand in faults_*.cpp.
// docs/design.md 12.3.
#ifndef ANISELINE_SIMULATOR_FAULT_INJECTOR_HPP
#define ANISELINE_SIMULATOR_FAULT_INJECTOR_HPP
#include "simulator/simulated_cluster.hpp"

namespace aniseline {

// One fault of a schedule.
struct Fault {
  std::int64_t startsAt = 0;  // ms after the schedule's start
  std::int64_t duration = 0;  // ms
  std::string name;
  std::function<bool()> begin;  // false: it could not take effect
  std::function<void()> end;
  // Of a fault that waits for an acknowledgement: whether one came.
  std::shared_ptr<bool> tookEffect;
};

struct FaultTargets;
struct FaultKind;

class FaultInjector {
 public:
  using Matches = std::function<bool(const ApiRequest&, const ApiResponse&)>;
  // What is done to the controller with this index.
  using ControllerAction = std::function<void(std::size_t index)>;

  FaultInjector(SimulatedCluster& cluster, Random& random);
  // Things only the campaign can do: a flood of jobs, two operators at once.
  std::function<void()> floodOfJobs;
  std::function<void()> operatorRace;
  Fault drawFault(std::int64_t startsAt);
  // Every kind's name, for the report.
  static std::vector<std::string> kindNames(bool called, bool several);
  // The ids of workers that never come back.
  const std::set<std::string>& removedWorkers() const { return removed; }
  // False: as many are gone as the rest can stand in for.
  bool tryRemoveForGood(std::size_t worker);
  // Drops the faults that still wait for an acknowledgement.
  void disarm() {
    armedFaults.clear();
    armedMembershipFaults.clear();
  }

  // --- for the kinds of fault: simulator/fault_kinds.hpp ---
  // False: that would be one voter more than may be lost.
  bool tryLoseDisk(std::size_t index, bool moves);
  std::vector<std::size_t> chooseControllers(const FaultTargets& targets) const;
  std::vector<std::size_t> chooseControllersBeside(std::size_t first,
                                                   const FaultTargets& targets) const;
  // The fault takes effect right after the next acknowledgement that matches, if there is one.
  void faultOnAcknowledgement(Fault& fault, const FaultTargets& targets, Matches matches,
                              ControllerAction action);
  // The same, for the next change of membership.
  void faultOnMembershipChange(ControllerAction action) {
    armedMembershipFaults.push_back(std::move(action));
  }
  void reinstate(std::size_t worker);
  std::int64_t nextClockFaultAt = 0;  // virtual ms from which another clock may be wrong
  std::int64_t nextMoveAt = 0;        // virtual ms from which another controller may move
  std::size_t movingControllers = 0;  // until nextMoveAt

 private:
  const std::vector<FaultKind>& drawTable();
  FaultTargets drawTargets(std::int64_t duration);
  SimulatedCluster& cluster;
  Random& random;
  std::set<std::string> removed;
  // Waits for the next answer that matches.
  struct ArmedFault {
    Matches matches;
    ControllerAction action;
  };
  std::vector<ArmedFault> armedFaults;
  std::vector<ControllerAction> armedMembershipFaults;
};

}  // namespace aniseline

#endif  // ANISELINE_SIMULATOR_FAULT_INJECTOR_HPP
