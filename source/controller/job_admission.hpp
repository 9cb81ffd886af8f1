// Decides about submitted jobs: accepted again when they are known, rejected
// when the configuration does not allow them, when they can never run, when
// there are too many, or when they would begin too late to be of use.
// docs/design.md 10.
#ifndef ANISELINE_CONTROLLER_JOB_ADMISSION_HPP
#define ANISELINE_CONTROLLER_JOB_ADMISSION_HPP
#include "controller/backlog_estimator.hpp"
#include "controller/request_decision.hpp"
#include "state/policy_switches.hpp"

namespace aniseline {

class JobAdmission {
 public:
  explicit JobAdmission(PolicySwitches policies) : policies(policies) {}
  // At the beginning of a leadership.
  void restart() { backlog.clear(); }
  RequestDecision decide(const ApiRequest& request, const ClusterState& state, MonotonicTime now);

 private:
  PolicySwitches policies;
  BacklogEstimator backlog;
};

}  // namespace aniseline

#endif  // ANISELINE_CONTROLLER_JOB_ADMISSION_HPP
