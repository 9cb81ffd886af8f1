#include "checker/history_operations.hpp"
#include "state/occurrence.hpp"

namespace aniseline {

const char* const configurationKey = "configuration";

namespace {

using Kind = HistoryEvent::Kind;

// Of a call whose beginning was not noted: it may have begun at any time before its answer.
constexpr std::int64_t longAgo = 0;

// More than any call takes from its asking to its answer.
constexpr std::int64_t longestCall = 60'000;

// The calls of one kind upon one key that were asked and are not answered yet.
class Asked {
 public:
  void ask(const HistoryEvent& event) { open.push_back(event); }

  // Takes out the call that this answers: the one asked at the time the answer tells, else the
  // first of all.
  void answer(const HistoryEvent& event) {
    answerOneOf(event, [](const HistoryEvent&) { return true; });
  }
  // The same among the calls that bring this very configuration: others may be asked at the same
  // time.
  void answerOrder(const HistoryEvent& event) {
    answerOneOf(event, [&](const HistoryEvent& asked) {
      return asked.digest == event.digest && asked.baseVersion == event.baseVersion;
    });
  }

  const std::vector<HistoryEvent>& unanswered() const { return open; }

 private:
  template <class Matches>
  void answerOneOf(const HistoryEvent& event, Matches matches) {
    auto call = std::find_if(open.begin(), open.end(), [&](const HistoryEvent& asked) {
      return matches(asked) && (event.invokedAt == 0 || asked.timestamp == event.invokedAt);
    });
    if (call != open.end())
      open.erase(call);
  }

  std::vector<HistoryEvent> open;
};

std::optional<JobPhase> phaseNamed(const std::string& word) {
  static const std::map<std::string, JobPhase> phases = {
      {"missing", JobPhase::missing},       {"timed", JobPhase::pendingOrRunning},
      {"open", JobPhase::pendingOrRunning}, {"waiting", JobPhase::pending},
      {"running", JobPhase::running},       {"cancelling", JobPhase::cancelling},
      {"finished", JobPhase::succeeded},    {"failed", JobPhase::failed},
      {"cancelled", JobPhase::cancelled},
  };
  const auto found = phases.find(word);
  if (found == phases.end())
    return std::nullopt;
  return found->second;
}

// Collects one history's operations.
class Collector {
 public:
  explicit Collector(const HistoryOperationsOptions& options) : options(options) {}

  HistoryOperations collect(const std::vector<HistoryEvent>& history) {
    for (const HistoryEvent& event : history)
      see(event);
    leaveUnanswered();
    keepWhatCanBeJudged();
    return std::move(found);
  }

 private:
  void see(const HistoryEvent& event) {
    switch (event.kind) {
      case Kind::submitted:
        return askToSubmit(event);
      case Kind::accepted:
        return submitted(event, JobOutput::Kind::accepted);
      case Kind::rejected:
        return submitted(event, refusalOf(event));
      case Kind::outcomeUnknown:
        return;  // what was asked stays unanswered
      case Kind::stateObserved:
      case Kind::stateUnchanged:
        return shown(event);
      case Kind::cancelSubmitted:
        return cancels[event.job].ask(event);
      case Kind::cancelAcknowledged:
        return cancelled(event, JobPhase::cancellingOrEnded);
      case Kind::cancelNotFound:
        return cancelled(event, JobPhase::missing);
      case Kind::started:
        return started(event);
      case Kind::configSubmitted:
        return orders.ask(event);
      case Kind::configAcknowledged:
        return ordered(event, ConfigurationOutput::Kind::applied);
      case Kind::configRejected:
        return ordered(event, ConfigurationOutput::Kind::rejected);
      case Kind::configReturned:
        return read(event);
      default:
        return;
    }
  }

  void askToSubmit(const HistoryEvent& event) {
    submissions[event.job].ask(event);
    judged.insert(event.job);
  }

  static JobOutput::Kind refusalOf(const HistoryEvent& event) {
    const bool overloaded = event.detail == "429";
    return overloaded ? JobOutput::Kind::overloaded : JobOutput::Kind::rejected;
  }

  JobModel::Operation answeredJob(const HistoryEvent& event, JobInput::Kind asked) const {
    JobModel::Operation made;
    made.key = event.job;
    made.client = "caller";
    made.invokedAt = event.invokedAt ? event.invokedAt : longAgo;
    made.returnedAt = event.timestamp;
    made.input.kind = asked;
    made.input.digest = event.digest;
    return made;
  }

  void submitted(const HistoryEvent& event, JobOutput::Kind answer) {
    submissions[event.job].answer(event);
    JobModel::Operation made = answeredJob(event, JobInput::Kind::submit);
    made.output.kind = answer;
    found.jobOperations.push_back(std::move(made));
  }

  void shown(const HistoryEvent& event) {
    const auto phase = phaseNamed(event.detail);
    if (!phase)
      return;
    JobModel::Operation made = answeredJob(event, JobInput::Kind::show);
    made.output = JobOutput{JobOutput::Kind::shown, *phase};
    found.jobOperations.push_back(std::move(made));
  }

  void cancelled(const HistoryEvent& event, JobPhase otherwise) {
    cancels[event.job].answer(event);
    JobModel::Operation made = answeredJob(event, JobInput::Kind::cancel);
    const JobPhase notified = phaseNamed(event.detail).value_or(otherwise);
    made.output = JobOutput{JobOutput::Kind::acknowledged, notified};
    found.jobOperations.push_back(std::move(made));
  }

  // That a job exists is all a start tells, and it stays true: the first one is enough.
  void started(const HistoryEvent& event) {
    const std::string job = OccurrenceId::submittedIdOf(JobId{event.job}).value;
    if (!ran.insert(job).second)
      return;
    JobModel::Operation made = answeredJob(event, JobInput::Kind::run);
    made.key = job;
    made.client = event.worker;
    made.invokedAt = event.timestamp - options.clockSlackMs;
    made.returnedAt = event.timestamp + options.clockSlackMs;
    made.output.kind = JobOutput::Kind::ran;
    found.jobOperations.push_back(std::move(made));
  }

  static ConfigurationModel::Operation orderOf(const HistoryEvent& event) {
    ConfigurationModel::Operation made;
    made.key = configurationKey;
    made.client = "operator";
    made.input.kind = ConfigurationInput::Kind::apply;
    made.input.order =
        ConfigurationOrder{0, event.baseVersion, event.digest, event.detail == configPatchDetail};
    return made;
  }

  // Histories of before orders were noted whole hold their acknowledgements alone.
  void ordered(const HistoryEvent& event, ConfigurationOutput::Kind answer) {
    if (event.digest.empty())
      return;
    orders.answerOrder(event);
    ConfigurationModel::Operation made = orderOf(event);
    made.invokedAt = event.invokedAt ? event.invokedAt : longAgo;
    made.returnedAt = event.timestamp;
    made.output.kind = answer;
    if (event.version)
      made.output.version = event.version;
    found.configurationOperations.push_back(std::move(made));
    ordersSeen = true;
  }

  void read(const HistoryEvent& event) {
    ConfigurationModel::Operation made;
    made.key = configurationKey;
    made.client = "operator";
    made.invokedAt = event.invokedAt ? event.invokedAt : longAgo;
    made.returnedAt = event.timestamp;
    made.output =
        ConfigurationOutput{ConfigurationOutput::Kind::shown, event.version, event.digest};
    found.configurationOperations.push_back(std::move(made));
  }

  void leaveUnanswered() {
    for (const auto& [job, asked] : submissions)
      leaveJob(asked, JobInput::Kind::submit);
    for (const auto& [job, asked] : cancels)
      leaveJob(asked, JobInput::Kind::cancel);
    for (const HistoryEvent& event : orders.unanswered()) {
      ConfigurationModel::Operation made = orderOf(event);
      made.invokedAt = event.timestamp;
      made.outcome = OperationOutcome::unknown;
      found.configurationOperations.push_back(std::move(made));
      ordersSeen = true;
    }
  }

  void leaveJob(const Asked& asked, JobInput::Kind kind) {
    for (const HistoryEvent& event : asked.unanswered()) {
      JobModel::Operation made = answeredJob(event, kind);
      made.invokedAt = event.timestamp;
      made.returnedAt.reset();
      made.outcome = OperationOutcome::unknown;
      found.jobOperations.push_back(std::move(made));
    }
  }

  void keepWhatCanBeJudged() {
    if (!ordersSeen)
      found.configurationOperations.clear();
    std::map<std::string, std::int64_t> firstOf;
    for (const auto& operation : found.jobOperations) {
      const auto [first, added] = firstOf.emplace(operation.key, timeOf(operation));
      first->second = std::min(first->second, timeOf(operation));
    }
    const bool allKept = firstOf.size() <= options.retainedJobsLimit;
    std::erase_if(found.jobOperations, [&](const JobModel::Operation& operation) {
      if (!judged.count(operation.key))
        return true;
      const std::int64_t judgedUntil =
          firstOf.at(operation.key) + options.finishedRetentionMs - longestCall;
      if (timeOf(operation) > judgedUntil)
        return true;
      return !allKept && tellsOfNoJob(operation);
    });
  }

  static std::int64_t timeOf(const JobModel::Operation& operation) {
    return operation.returnedAt.value_or(operation.invokedAt);
  }

  static bool tellsOfNoJob(const JobModel::Operation& operation) {
    return operation.outcome == OperationOutcome::ok &&
           operation.output.phase == JobPhase::missing &&
           operation.input.kind != JobInput::Kind::submit;
  }

  const HistoryOperationsOptions& options;
  HistoryOperations found;
  std::map<std::string, Asked> submissions, cancels;  // by job
  Asked orders;
  std::set<std::string> judged, ran;
  bool ordersSeen = false;
};

}  // namespace

HistoryOperations extractOperations(const std::vector<HistoryEvent>& history,
                                    const HistoryOperationsOptions& options) {
  return Collector(options).collect(history);
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
