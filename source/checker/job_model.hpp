// The sequential model of one job and its cancellation, as clients see them. The linearizability
// checker uses it to decide which answers were possible. docs/design.md 4.2, 11.
#ifndef ANISELINE_CHECKER_JOB_MODEL_HPP
#define ANISELINE_CHECKER_JOB_MODEL_HPP
#include "checker/operation.hpp"

namespace aniseline {

// The phases that an answer can state and that a model state can have.
enum class JobPhase : std::uint8_t {
  missing,            // the cluster answers that the job does not exist
  pending,            // accepted, no task has started
  running,            // some task has started
  pendingOrRunning,   // the answer does not distinguish the two
  cancelling,         // its cancellation is in progress
  cancellingOrEnded,  // a cancel was acknowledged without stating the phase
  succeeded,
  failed,
  cancelled,
  // Only model states, stated by no answer:
  missingCancelled,          // it does not exist, and a cancel was acknowledged
  cancelledBeforeSubmission  // the same, and its submission was accepted later; it never runs
};
// Returns the name used in the description of a violation.
const char* name(JobPhase phase);

struct JobInput {
  enum class Kind : std::uint8_t {
    submit,
    show,
    cancel,
    run  // a worker's report that a task of the job started there
  };
  Kind kind = Kind::show;
  std::string digest;  // digest of the submitted content
};

struct JobOutput {
  enum class Kind : std::uint8_t {
    accepted,
    rejected,    // permanently: this submission never runs
    overloaded,  // this call was not processed; the answer implies nothing about the job
    shown,       // `phase` is the state that was returned
    // The answer to a cancel. `phase` is the state of the job after it, or cancellingOrEnded if the
    // answer did not state one.
    acknowledged,
    ran
  };
  Kind kind = Kind::shown;
  JobPhase phase = JobPhase::missing;
};

// Progress of the work is invisible to the client and may change the phase at any time between two
// operations. The state is therefore the earliest phase that the job may still be in. Phases only
// advance: pending, running, then an end state. Only a cancel leads to cancelling and cancelled.
// The cancel of a missing job also applies to a submission that takes effect later. After a cancel
// was acknowledged, the job can have succeeded or failed only if it had ended before.
class JobModel {
 public:
  using Operation = aniseline::Operation<JobInput, JobOutput>;

  struct State {
    JobPhase phase = JobPhase::missing;
    std::string digest;
    bool operator==(const State&) const = default;
  };

  State initial() const { return {}; }
  // Returns the state after an answered operation, or nothing if a job in this state could not have
  // been answered that way.
  std::optional<State> apply(const State& state, const Operation& operation) const;
  // Returns the state after an unanswered operation that took effect.
  State applyUnanswered(const State& state, const Operation& operation) const;
  std::size_t hash(const State& state) const;
  // Describes the operation in one line for a violation report.
  std::string describe(const Operation& operation) const;
};

}  // namespace aniseline

#endif  // ANISELINE_CHECKER_JOB_MODEL_HPP
