// The sequential model of one job with its cancel, as callers see it. The linearizability checker
// asks it which answers were possible. docs/design.md 4.2, 11.
#ifndef ANISELINE_CHECKER_JOB_MODEL_HPP
#define ANISELINE_CHECKER_JOB_MODEL_HPP
#include "checker/operation.hpp"

namespace aniseline {

// What may be answered of a job, and what a history allows it to be.
enum class JobPhase : std::uint8_t {
  missing,            // never accepted, as far as the cluster answers
  pending,            // accepted, nothing of it has begun
  running,            // some of it has begun
  pendingOrRunning,   // the answer does not say which
  cancelling,         // its cancel is under way
  cancellingOrEnded,  // a cancel was acknowledged without naming the phase
  succeeded,
  failed,
  cancelled
};
// As it is printed in the description of a violation.
const char* name(JobPhase phase);

struct JobInput {
  enum class Kind : std::uint8_t {
    submit,
    show,
    cancel,
    run  // a worker's report that some of the job began there
  };
  Kind kind = Kind::show;
  std::string digest;  // of the content submitted
};

struct JobOutput {
  enum class Kind : std::uint8_t {
    accepted,
    rejected,    // for good: this submission never runs
    overloaded,  // this call was not taken; it says nothing of the job
    shown,       // `phase` holds the answer
    // The answer to a cancel. `phase` holds what the job is then, or cancellingOrEnded if the
    // answer did not name it.
    acknowledged,
    ran
  };
  Kind kind = Kind::shown;
  JobPhase phase = JobPhase::missing;
};

// The work itself, which the caller can't see, may move the phase on at any moment between two
// operations; so the state is the earliest phase that the job may still be in. Phases only go
// forward: pending, running, an end. Only a cancel leads to cancelling and cancelled; once one is
// acknowledged, the job can succeed or fail only if it had before.
class JobModel {
 public:
  using Operation = aniseline::Operation<JobInput, JobOutput>;

  struct State {
    JobPhase phase = JobPhase::missing;
    std::string digest;
    bool operator==(const State&) const = default;
  };

  State initial() const { return {}; }
  // The state after an operation that was answered; nothing if no job in this state could have been
  // answered so.
  std::optional<State> apply(const State& state, const Operation& operation) const;
  // The state after an operation of which no answer is known.
  State applyUnanswered(const State& state, const Operation& operation) const;
  std::size_t hash(const State& state) const;
  // One line for people.
  std::string describe(const Operation& operation) const;
};

}  // namespace aniseline

#endif  // ANISELINE_CHECKER_JOB_MODEL_HPP
