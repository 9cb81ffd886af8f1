// Draws the faults of a campaign, and ensures that no more is lost at once than the cluster must
// tolerate. Owned by a campaign and used on its thread. faults_*.cpp define the kinds of fault.
// docs/design.md 12.3.
#ifndef ANISELINE_SIMULATOR_FAULT_INJECTOR_HPP
#define ANISELINE_SIMULATOR_FAULT_INJECTOR_HPP
#include "simulator/simulated_cluster.hpp"

namespace aniseline {

// One scheduled fault.
struct Fault {
  std::int64_t startsAt = 0;  // ms after the start of the schedule
  std::int64_t duration = 0;  // ms
  std::string name;
  std::function<bool()> begin;  // returns false if the fault could not take effect
  std::function<void()> end;
  // Set only for a fault that waits for an acknowledgement: whether one was sent.
  std::shared_ptr<bool> tookEffect;
};

struct FaultTargets;
struct FaultKind;

class FaultInjector {
 public:
  using Matches = std::function<bool(const ApiRequest&, const ApiResponse&)>;
  // Applies the fault to the controller with this index.
  using ControllerAction = std::function<void(std::size_t index)>;

  FaultInjector(SimulatedCluster& cluster, Random& random);
  // Callbacks of the campaign, which submit a flood of jobs and let two operators race.
  std::function<void()> submitJobFlood;
  std::function<void()> startOperatorRace;
  Fault drawFault(std::int64_t startsAt);
  // Returns the names of all kinds of fault, for the report.
  static std::vector<std::string> kindNames(bool withCalledWorkers, bool withManyVoters);
  // Returns the ids of the workers that are removed for good.
  const std::set<std::string>& removedWorkers() const { return removed; }
  // Marks the worker as removed. Returns false if it already is, or if the remaining workers could
  // not take over its load.
  bool tryRemoveForGood(std::size_t worker);
  // Drops the faults that still wait for an acknowledgement or a membership change.
  void disarm() {
    armedFaults.clear();
    armedMembershipFaults.clear();
  }

  // --- for the kinds of fault: simulator/fault_kinds.hpp ---
  // Returns false if that would be one voter more than may be lost.
  bool tryLoseDisk(std::size_t index, bool moves);
  std::vector<std::size_t> chooseControllers(const FaultTargets& targets) const;
  std::vector<std::size_t> chooseControllersBeside(std::size_t first,
                                                   const FaultTargets& targets) const;
  // Lets the fault take effect right after the next matching acknowledgement, if there is one.
  void faultOnAcknowledgement(Fault& fault, const FaultTargets& targets, Matches matches,
                              ControllerAction action);
  // Does the same for the next membership change.
  void faultOnMembershipChange(ControllerAction action) {
    armedMembershipFaults.push_back(std::move(action));
  }
  void reinstate(std::size_t worker);
  std::int64_t nextClockFaultAt = 0;  // virtual time in ms from which another clock may be wrong
  std::int64_t nextMoveAt = 0;        // virtual time in ms from which another controller may move
  std::size_t movingControllers = 0;  // valid until nextMoveAt

 private:
  const std::vector<FaultKind>& drawTable();
  FaultTargets drawTargets(std::int64_t duration);
  SimulatedCluster& cluster;
  Random& random;
  std::set<std::string> removed;
  // A fault that waits for the next matching answer.
  struct ArmedFault {
    Matches matches;
    ControllerAction action;
  };
  std::vector<ArmedFault> armedFaults;
  std::vector<ControllerAction> armedMembershipFaults;
};

}  // namespace aniseline

#endif  // ANISELINE_SIMULATOR_FAULT_INJECTOR_HPP
