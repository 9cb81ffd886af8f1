// Decides on submitted jobs. A job that is already known is acknowledged again. A job is rejected
// if the configuration does not allow it, if it can never run, if there are too many open jobs, if
// the cluster state has no memory for it, or if it would start too late to be useful.
// docs/design.md 10.
#ifndef ANISELINE_CONTROLLER_JOB_ADMISSION_HPP
#define ANISELINE_CONTROLLER_JOB_ADMISSION_HPP
#include "controller/backlog_estimator.hpp"
#include "controller/request_decision.hpp"
#include "controller/state_memory_budget.hpp"
#include "state/policy_switches.hpp"

namespace aniseline {

class JobAdmission {
 public:
  JobAdmission(PolicySwitches policies, StateMemoryBudget& memory)
      : policies(policies), memory(memory) {}
  // Resets the backlog estimate at the start of a leadership.
  void restart() { backlog.clear(); }
  RequestDecision decide(const ApiRequest& request, const ClusterState& state, MonotonicTime now);

 private:
  PolicySwitches policies;
  StateMemoryBudget& memory;
  BacklogEstimator backlog;
};

}  // namespace aniseline

#endif  // ANISELINE_CONTROLLER_JOB_ADMISSION_HPP
