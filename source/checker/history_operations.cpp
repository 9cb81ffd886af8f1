#include "checker/history_operations.hpp"

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
  void ask(const HistoryEvent& witness) { open.push_back(witness); }

  // Takes out the call that this answers: the one asked at the time the answer tells, else the
  // first of all.
  void answer(const HistoryEvent& witness) {
    auto call = std::find_if(open.begin(), open.end(), [&](const HistoryEvent& asked) {
      return witness.invokedAt == 0 || asked.timestamp == witness.invokedAt;
    });
    if (call != open.end())
      open.erase(call);
  }

  const std::vector<HistoryEvent>& unanswered() const { return open; }

 private:
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

// The job behind an occurrence of its timetable.
std::string clampToInteger(const std::string& job) {
  return job.substr(0, job.rfind('@'));
}

// Collects one history's operations.
class Collector {
 public:
  explicit Collector(const HistoryOperationsOptions& options) : options(options) {}

  HistoryOperations collect(const std::vector<HistoryEvent>& history) {
    for (const HistoryEvent& witness : history)
      see(witness);
    leaveUnanswered();
    keepWhatCanBeJudged();
    return std::move(found);
  }

 private:
  void see(const HistoryEvent& witness) {
    switch (witness.kind) {
      case Kind::submitted:
        return askToSubmit(witness);
      case Kind::accepted:
        return submitted(witness, JobOutput::Kind::accepted);
      case Kind::rejected:
        return submitted(witness, refusalOf(witness));
      case Kind::outcomeUnknown:
        return;  // what was asked stays unanswered
      case Kind::stateObserved:
      case Kind::stateUnchanged:
        return shown(witness);
      case Kind::cancelSubmitted:
        return cancels[witness.job].ask(witness);
      case Kind::cancelAcknowledged:
        return cancelled(witness, JobPhase::cancellingOrEnded);
      case Kind::cancelNotFound:
        return cancelled(witness, JobPhase::missing);
      case Kind::started:
        return started(witness);
      case Kind::configSubmitted:
        return orders.ask(witness);
      case Kind::configAcknowledged:
        return ordered(witness, ConfigurationOutput::Kind::applied);
      case Kind::configRejected:
        return ordered(witness, ConfigurationOutput::Kind::rejected);
      case Kind::configReturned:
        return read(witness);
      default:
        return;
    }
  }

  void askToSubmit(const HistoryEvent& witness) {
    submissions[witness.job].ask(witness);
    judged.insert(witness.job);
  }

  static JobOutput::Kind refusalOf(const HistoryEvent& witness) {
    const bool overloaded = witness.detail == "429";
    return overloaded ? JobOutput::Kind::overloaded : JobOutput::Kind::rejected;
  }

  JobModel::Operation answeredJob(const HistoryEvent& witness, JobInput::Kind asked) const {
    JobModel::Operation made;
    made.key = witness.job;
    made.client = "caller";
    made.invokedAt = witness.invokedAt ? witness.invokedAt : longAgo;
    made.returnedAt = witness.timestamp;
    made.input.kind = asked;
    made.input.digest = witness.digest;
    return made;
  }

  void submitted(const HistoryEvent& witness, JobOutput::Kind answer) {
    submissions[witness.job].answer(witness);
    JobModel::Operation made = answeredJob(witness, JobInput::Kind::submit);
    made.output.kind = answer;
    found.jobOperations.push_back(std::move(made));
  }

  void shown(const HistoryEvent& witness) {
    const auto phase = phaseNamed(witness.detail);
    if (!phase)
      return;
    JobModel::Operation made = answeredJob(witness, JobInput::Kind::show);
    made.output = JobOutput{JobOutput::Kind::shown, *phase};
    found.jobOperations.push_back(std::move(made));
  }

  void cancelled(const HistoryEvent& witness, JobPhase otherwise) {
    cancels[witness.job].answer(witness);
    JobModel::Operation made = answeredJob(witness, JobInput::Kind::cancel);
    const JobPhase told = phaseNamed(witness.detail).value_or(otherwise);
    made.output = JobOutput{JobOutput::Kind::acknowledged, told};
    found.jobOperations.push_back(std::move(made));
  }

  // That a job exists is all a start tells, and it stays true: the first one is enough.
  void started(const HistoryEvent& witness) {
    const std::string job = clampToInteger(witness.job);
    if (!ran.insert(job).second)
      return;
    JobModel::Operation made = answeredJob(witness, JobInput::Kind::run);
    made.key = job;
    made.client = witness.worker;
    made.invokedAt = witness.timestamp - options.clockSlackMs;
    made.returnedAt = witness.timestamp + options.clockSlackMs;
    made.output.kind = JobOutput::Kind::ran;
    found.jobOperations.push_back(std::move(made));
  }

  static ConfigurationModel::Operation orderOf(const HistoryEvent& witness) {
    ConfigurationModel::Operation made;
    made.key = configurationKey;
    made.client = "operator";
    made.input.kind = ConfigurationInput::Kind::apply;
    made.input.order = ConfigurationOrder{0, witness.baseVersion, witness.digest};
    return made;
  }

  // Histories of before orders were noted whole hold their acknowledgements alone.
  void ordered(const HistoryEvent& witness, ConfigurationOutput::Kind answer) {
    if (witness.digest.empty())
      return;
    orders.answer(witness);
    ConfigurationModel::Operation made = orderOf(witness);
    made.invokedAt = witness.invokedAt ? witness.invokedAt : longAgo;
    made.returnedAt = witness.timestamp;
    made.output.kind = answer;
    if (witness.version)
      made.output.version = witness.version;
    found.configurationOperations.push_back(std::move(made));
    ordersSeen = true;
  }

  void read(const HistoryEvent& witness) {
    ConfigurationModel::Operation made;
    made.key = configurationKey;
    made.client = "operator";
    made.invokedAt = witness.invokedAt ? witness.invokedAt : longAgo;
    made.returnedAt = witness.timestamp;
    made.output =
        ConfigurationOutput{ConfigurationOutput::Kind::shown, witness.version, witness.digest};
    found.configurationOperations.push_back(std::move(made));
  }

  void leaveUnanswered() {
    for (const auto& [job, asked] : submissions)
      leaveJob(asked, JobInput::Kind::submit);
    for (const auto& [job, asked] : cancels)
      leaveJob(asked, JobInput::Kind::cancel);
    for (const HistoryEvent& witness : orders.unanswered()) {
      ConfigurationModel::Operation made = orderOf(witness);
      made.invokedAt = witness.timestamp;
      made.outcome = OperationOutcome::unknown;
      found.configurationOperations.push_back(std::move(made));
      ordersSeen = true;
    }
  }

  void leaveJob(const Asked& asked, JobInput::Kind kind) {
    for (const HistoryEvent& witness : asked.unanswered()) {
      JobModel::Operation made = answeredJob(witness, kind);
      made.invokedAt = witness.timestamp;
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
