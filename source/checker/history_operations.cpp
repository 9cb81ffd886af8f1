// Pairs the calls of a history with their answers.
#include "checker/history_operations.hpp"
#include "state/occurrence.hpp"

namespace aniseline {

const char* const configurationKey = "configuration";

namespace {

using Kind = HistoryEvent::Kind;

// The invocation time of a call whose start was not recorded: it may have started at any time
// before its answer.
constexpr std::int64_t unknownInvocationTime = 0;

// An upper bound on the time from the invocation of a call to its answer.
constexpr std::int64_t maxCallDurationMs = 60'000;

// Holds the unanswered calls of one kind on one key.
class PendingCalls {
 public:
  void add(const HistoryEvent& event) { calls.push_back(event); }

  // Removes the call that this event answers: the one invoked at the time stated in the answer, or
  // the oldest one if the answer states none.
  void removeAnswered(const HistoryEvent& event) {
    removeFirst(event, [](const HistoryEvent&) { return true; });
  }
  // Removes the answered call among those that submitted this same configuration, because other
  // configurations may be submitted at the same time.
  void removeAnsweredOrder(const HistoryEvent& event) {
    removeFirst(event, [&](const HistoryEvent& asked) {
      return asked.digest == event.digest && asked.baseVersion == event.baseVersion;
    });
  }

  const std::vector<HistoryEvent>& unanswered() const { return calls; }

 private:
  template <class Matches>
  void removeFirst(const HistoryEvent& event, Matches matches) {
    auto call = std::find_if(calls.begin(), calls.end(), [&](const HistoryEvent& asked) {
      return matches(asked) && (event.invokedAt == 0 || asked.timestamp == event.invokedAt);
    });
    if (call != calls.end())
      calls.erase(call);
  }

  std::vector<HistoryEvent> calls;
};

std::optional<JobPhase> parsePhase(const std::string& text) {
  static const std::map<std::string, JobPhase> phases = {
      {"missing", JobPhase::missing},       {"timed", JobPhase::pendingOrRunning},
      {"open", JobPhase::pendingOrRunning}, {"waiting", JobPhase::pending},
      {"running", JobPhase::running},       {"cancelling", JobPhase::cancelling},
      {"finished", JobPhase::succeeded},    {"failed", JobPhase::failed},
      {"cancelled", JobPhase::cancelled},
  };
  const auto found = phases.find(text);
  if (found == phases.end())
    return std::nullopt;
  return found->second;
}

// Collects the operations of one history.
class OperationCollector {
 public:
  explicit OperationCollector(const HistoryOperationsOptions& options) : options(options) {}

  HistoryOperations collect(const std::vector<HistoryEvent>& history) {
    for (const HistoryEvent& event : history)
      observe(event);
    addUnansweredCalls();
    removeUndecidable();
    return std::move(operations);
  }

 private:
  void observe(const HistoryEvent& event) {
    switch (event.kind) {
      case Kind::submitted:
        return onSubmitted(event);
      case Kind::accepted:
        return onSubmissionAnswered(event, JobOutput::Kind::accepted);
      case Kind::rejected:
        return onSubmissionAnswered(event, rejectionKind(event));
      case Kind::outcomeUnknown:
        return;  // the call stays unanswered
      case Kind::stateObserved:
      case Kind::stateUnchanged:
        return onShown(event);
      case Kind::cancelSubmitted:
        return cancels[event.job].add(event);
      case Kind::cancelAcknowledged:
        return onCancelAnswered(event, JobPhase::cancellingOrEnded);
      case Kind::cancelNotFound:
        return onCancelAnswered(event, JobPhase::missing);
      case Kind::started:
        return onStarted(event);
      case Kind::configSubmitted:
        return orders.add(event);
      case Kind::configAcknowledged:
        return onOrderAnswered(event, ConfigurationOutput::Kind::applied);
      case Kind::configRejected:
        return onOrderAnswered(event, ConfigurationOutput::Kind::rejected);
      case Kind::configReturned:
        return onRead(event);
      default:
        return;
    }
  }

  void onSubmitted(const HistoryEvent& event) {
    submissions[event.job].add(event);
    submittedJobs.insert(event.job);
  }

  static JobOutput::Kind rejectionKind(const HistoryEvent& event) {
    const bool overloaded = event.detail == "429";
    return overloaded ? JobOutput::Kind::overloaded : JobOutput::Kind::rejected;
  }

  JobModel::Operation makeJobOperation(const HistoryEvent& event, JobInput::Kind inputKind) const {
    JobModel::Operation operation;
    operation.key = event.job;
    operation.client = "caller";
    operation.invokedAt = event.invokedAt ? event.invokedAt : unknownInvocationTime;
    operation.returnedAt = event.timestamp;
    operation.input.kind = inputKind;
    operation.input.digest = event.digest;
    return operation;
  }

  void onSubmissionAnswered(const HistoryEvent& event, JobOutput::Kind answer) {
    submissions[event.job].removeAnswered(event);
    JobModel::Operation operation = makeJobOperation(event, JobInput::Kind::submit);
    operation.output.kind = answer;
    operations.jobOperations.push_back(std::move(operation));
  }

  void onShown(const HistoryEvent& event) {
    const auto phase = parsePhase(event.detail);
    if (!phase)
      return;
    JobModel::Operation operation = makeJobOperation(event, JobInput::Kind::show);
    operation.output = JobOutput{JobOutput::Kind::shown, *phase};
    operations.jobOperations.push_back(std::move(operation));
  }

  void onCancelAnswered(const HistoryEvent& event, JobPhase otherwise) {
    cancels[event.job].removeAnswered(event);
    JobModel::Operation operation = makeJobOperation(event, JobInput::Kind::cancel);
    const JobPhase phase = parsePhase(event.detail).value_or(otherwise);
    operation.output = JobOutput{JobOutput::Kind::acknowledged, phase};
    operations.jobOperations.push_back(std::move(operation));
  }

  // A start only shows that the job exists, which stays true. The first start is therefore enough.
  void onStarted(const HistoryEvent& event) {
    const std::string job = OccurrenceId::submittedIdOf(JobId{event.job}).value;
    if (!startedJobs.insert(job).second)
      return;
    JobModel::Operation operation = makeJobOperation(event, JobInput::Kind::run);
    operation.key = job;
    operation.client = event.worker;
    operation.invokedAt = event.timestamp - options.clockSlackMs;
    operation.returnedAt = event.timestamp + options.clockSlackMs;
    operation.output.kind = JobOutput::Kind::ran;
    operations.jobOperations.push_back(std::move(operation));
  }

  static ConfigurationModel::Operation makeOrderOperation(const HistoryEvent& event) {
    ConfigurationModel::Operation operation;
    operation.key = configurationKey;
    operation.client = "operator";
    operation.input.kind = ConfigurationInput::Kind::apply;
    operation.input.order =
        ConfigurationOrder{0, event.baseVersion, event.digest, event.detail == configPatchDetail};
    return operation;
  }

  // Older histories record only the acknowledgements of orders, without their digests. Those are
  // ignored.
  void onOrderAnswered(const HistoryEvent& event, ConfigurationOutput::Kind answer) {
    if (event.digest.empty())
      return;
    orders.removeAnsweredOrder(event);
    ConfigurationModel::Operation operation = makeOrderOperation(event);
    operation.invokedAt = event.invokedAt ? event.invokedAt : unknownInvocationTime;
    operation.returnedAt = event.timestamp;
    operation.output.kind = answer;
    if (event.version)
      operation.output.version = event.version;
    operations.configurationOperations.push_back(std::move(operation));
    hasOrders = true;
  }

  void onRead(const HistoryEvent& event) {
    ConfigurationModel::Operation operation;
    operation.key = configurationKey;
    operation.client = "operator";
    operation.invokedAt = event.invokedAt ? event.invokedAt : unknownInvocationTime;
    operation.returnedAt = event.timestamp;
    operation.output =
        ConfigurationOutput{ConfigurationOutput::Kind::shown, event.version, event.digest};
    operations.configurationOperations.push_back(std::move(operation));
  }

  void addUnansweredCalls() {
    for (const auto& [job, calls] : submissions)
      addUnansweredJobCalls(calls, JobInput::Kind::submit);
    for (const auto& [job, calls] : cancels)
      addUnansweredJobCalls(calls, JobInput::Kind::cancel);
    for (const HistoryEvent& event : orders.unanswered()) {
      ConfigurationModel::Operation operation = makeOrderOperation(event);
      operation.invokedAt = event.timestamp;
      operation.outcome = OperationOutcome::unknown;
      operations.configurationOperations.push_back(std::move(operation));
      hasOrders = true;
    }
  }

  void addUnansweredJobCalls(const PendingCalls& calls, JobInput::Kind inputKind) {
    for (const HistoryEvent& event : calls.unanswered()) {
      JobModel::Operation operation = makeJobOperation(event, inputKind);
      operation.invokedAt = event.timestamp;
      operation.returnedAt.reset();
      operation.outcome = OperationOutcome::unknown;
      operations.jobOperations.push_back(std::move(operation));
    }
  }

  // Removes the operations that cannot be checked: those of jobs without an observed submission,
  // those that may come after the end of the retention time, and reports of a missing job if jobs
  // may have been removed early because there are too many.
  void removeUndecidable() {
    if (!hasOrders)
      operations.configurationOperations.clear();
    std::map<std::string, std::int64_t> firstTimes;
    for (const auto& operation : operations.jobOperations) {
      const auto [first, added] = firstTimes.emplace(operation.key, timeOf(operation));
      first->second = std::min(first->second, timeOf(operation));
    }
    const bool nothingEvicted = firstTimes.size() <= options.retainedJobsLimit;
    std::erase_if(operations.jobOperations, [&](const JobModel::Operation& operation) {
      if (!submittedJobs.count(operation.key))
        return true;
      const std::int64_t decidableUntil =
          firstTimes.at(operation.key) + options.finishedRetentionMs - maxCallDurationMs;
      if (timeOf(operation) > decidableUntil)
        return true;
      return !nothingEvicted && reportsMissingJob(operation);
    });
  }

  static std::int64_t timeOf(const JobModel::Operation& operation) {
    return operation.returnedAt.value_or(operation.invokedAt);
  }

  static bool reportsMissingJob(const JobModel::Operation& operation) {
    return operation.outcome == OperationOutcome::ok &&
           operation.output.phase == JobPhase::missing &&
           operation.input.kind != JobInput::Kind::submit;
  }

  const HistoryOperationsOptions& options;
  HistoryOperations operations;
  std::map<std::string, PendingCalls> submissions, cancels;  // by job
  PendingCalls orders;
  std::set<std::string> submittedJobs, startedJobs;
  bool hasOrders = false;
};

}  // namespace

HistoryOperations extractOperations(const std::vector<HistoryEvent>& history,
                                    const HistoryOperationsOptions& options) {
  return OperationCollector(options).collect(history);
}

std::vector<LinearizabilityViolation> findViolations(const std::vector<HistoryEvent>& history,
                                                     const HistoryOperationsOptions& options,
                                                     SearchStatistics* statistics) {
  const HistoryOperations operations = extractOperations(history, options);
  std::vector<LinearizabilityViolation> found = findViolations(
      ConfigurationModel(), operations.configurationOperations, options.searchLimits, statistics);
  for (LinearizabilityViolation& violation :
       findViolations(JobModel(), operations.jobOperations, options.searchLimits, statistics)) {
    found.push_back(std::move(violation));
  }
  return found;
}

}  // namespace aniseline
