// Implements the phase transitions of the job model.
#include "checker/job_model.hpp"
#include "checker/hash_mix.hpp"

namespace aniseline {

namespace {

using State = JobModel::State;

bool isPendingOrRunning(JobPhase phase) {
  return phase == JobPhase::pending || phase == JobPhase::running;
}

bool isMissing(JobPhase phase) {
  return phase == JobPhase::missing || phase == JobPhase::missingCancelled;
}

// Reports whether a job whose earliest possible phase is `earliest` can be reported in phase
// `answered`.
bool isPossibleAnswer(JobPhase earliest, JobPhase answered) {
  const bool open = isPendingOrRunning(earliest);
  const bool cancelledOrEnded = earliest == JobPhase::cancellingOrEnded;
  switch (answered) {
    case JobPhase::missing:
      return isMissing(earliest);
    case JobPhase::pending:
      return earliest == answered;
    case JobPhase::running:
    case JobPhase::pendingOrRunning:
      return open;
    case JobPhase::cancellingOrEnded:
      return !open && !isMissing(earliest);
    case JobPhase::cancelling:
      return cancelledOrEnded || earliest == answered;
    case JobPhase::cancelled:
      return cancelledOrEnded || earliest == JobPhase::cancelling || earliest == answered ||
             earliest == JobPhase::cancelledBeforeSubmission;
    case JobPhase::succeeded:
    case JobPhase::failed:
      return open || cancelledOrEnded || earliest == answered;
    case JobPhase::missingCancelled:
    case JobPhase::cancelledBeforeSubmission:
      return false;  // no answer states them
  }
  return false;
}

// Returns the earliest possible phase after an answer, or nothing if the job cannot be in the
// answered phase.
std::optional<JobPhase> phaseAfterAnswer(JobPhase earliest, JobPhase answered) {
  if (!isPossibleAnswer(earliest, answered))
    return std::nullopt;
  const bool addsNothing = answered == JobPhase::pendingOrRunning ||
                           answered == JobPhase::missing ||
                           earliest == JobPhase::cancelledBeforeSubmission;
  return addsNothing ? earliest : answered;
}

// A cancel of an ended job changes nothing. Any other job is cancelled, or had already ended
// without an observer having seen it.
JobPhase phaseAfterCancel(JobPhase earliest) {
  if (isMissing(earliest))
    return JobPhase::missingCancelled;
  return isPendingOrRunning(earliest) ? JobPhase::cancellingOrEnded : earliest;
}

JobPhase phaseAfterSubmit(JobPhase missing) {
  return missing == JobPhase::missingCancelled ? JobPhase::cancelledBeforeSubmission
                                               : JobPhase::pending;
}

std::optional<State> withPhase(const State& state, std::optional<JobPhase> phase) {
  if (!phase)
    return std::nullopt;
  return State{*phase, state.digest};
}

std::optional<State> afterSubmit(const State& state, const JobInput& input,
                                 const JobOutput& output) {
  const bool isNew = isMissing(state.phase);
  const bool isSame = !isNew && state.digest == input.digest;
  if (output.kind == JobOutput::Kind::overloaded)
    return state;
  if (output.kind == JobOutput::Kind::rejected)
    return isSame ? std::nullopt : std::optional(state);
  if (isNew)
    return State{phaseAfterSubmit(state.phase), input.digest};
  return isSame ? std::optional(state) : std::nullopt;
}

std::optional<State> afterCancel(const State& state, const JobOutput& output) {
  const bool answeredMissing = output.phase == JobPhase::missing;
  if (answeredMissing != isMissing(state.phase))
    return std::nullopt;
  const JobPhase cancelled = phaseAfterCancel(state.phase);
  if (answeredMissing || output.phase == JobPhase::cancellingOrEnded)
    return withPhase(state, cancelled);
  return withPhase(state, phaseAfterAnswer(cancelled, output.phase));
}

std::optional<State> afterRun(const State& state) {
  if (isMissing(state.phase) || state.phase == JobPhase::cancelledBeforeSubmission)
    return std::nullopt;
  return withPhase(state, state.phase == JobPhase::pending ? JobPhase::running : state.phase);
}

}  // namespace

const char* name(JobPhase phase) {
  static constexpr const char* names[] = {
      "missing", "pending", "running", "open",      "cancelling",
      "over",    "done",    "failed",  "cancelled", "missing, cancelled"};
  return names[std::size_t(phase)];
}

std::optional<JobModel::State> JobModel::apply(const State& state,
                                               const Operation& operation) const {
  switch (operation.input.kind) {
    case JobInput::Kind::submit:
      return afterSubmit(state, operation.input, operation.output);
    case JobInput::Kind::show:
      return withPhase(state, phaseAfterAnswer(state.phase, operation.output.phase));
    case JobInput::Kind::cancel:
      return afterCancel(state, operation.output);
    case JobInput::Kind::run:
      return afterRun(state);
  }
  return std::nullopt;
}

JobModel::State JobModel::applyUnanswered(const State& state, const Operation& operation) const {
  switch (operation.input.kind) {
    case JobInput::Kind::submit:
      if (!isMissing(state.phase))
        return state;
      return {phaseAfterSubmit(state.phase), operation.input.digest};
    case JobInput::Kind::cancel:
      return {phaseAfterCancel(state.phase), state.digest};
    case JobInput::Kind::show:
    case JobInput::Kind::run:
      return state;
  }
  return state;
}

std::size_t JobModel::hash(const State& state) const {
  std::size_t seed = std::size_t(state.phase);
  mixHash(seed, std::hash<std::string>()(state.digest));
  return seed;
}

std::string JobModel::describe(const Operation& operation) const {
  static constexpr const char* inputNames[] = {"submit", "show", "cancel", "run"};
  static constexpr const char* outputNames[] = {"accepted", "rejected",      "overloaded",
                                                "",         "acknowledged ", ""};
  std::string text = inputNames[std::size_t(operation.input.kind)];
  if (operation.input.kind == JobInput::Kind::submit)
    text += " " + operation.input.digest;
  if (operation.outcome == OperationOutcome::unknown || operation.input.kind == JobInput::Kind::run)
    return text;
  text += std::string(" -> ") + outputNames[std::size_t(operation.output.kind)];
  if (operation.input.kind != JobInput::Kind::submit)
    text += name(operation.output.phase);
  return text;
}

}  // namespace aniseline
