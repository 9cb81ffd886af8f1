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
      return witness.since == 0 || asked.at == witness.since;
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
      {"missing", JobPhase::missing},     {"timed", JobPhase::open},
      {"open", JobPhase::open},           {"waiting", JobPhase::pending},
      {"running", JobPhase::running},     {"cancelling", JobPhase::cancelling},
      {"finished", JobPhase::done},       {"failed", JobPhase::failed},
      {"cancelled", JobPhase::cancelled},
  };
  const auto found = phases.find(word);
  if (found == phases.end())
    return std::nullopt;
  return found->second;
}

// The job behind an occurrence of its timetable.
std::string wholeOf(const std::string& job) {
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
      case Kind::unknown:
        return;  // what was asked stays unanswered
      case Kind::shown:
      case Kind::looked:
        return shown(witness);
      case Kind::cancelAsked:
        return cancels[witness.job].ask(witness);
      case Kind::cancelAcknowledged:
        return cancelled(witness, JobPhase::over);
      case Kind::cancelMissing:
        return cancelled(witness, JobPhase::missing);
      case Kind::started:
        return started(witness);
      case Kind::configAsked:
        return orders.ask(witness);
      case Kind::configAcknowledged:
        return ordered(witness, ConfigurationOutput::Kind::applied);
      case Kind::configRefused:
        return ordered(witness, ConfigurationOutput::Kind::refused);
      case Kind::configRead:
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
    return overloaded ? JobOutput::Kind::overloaded : JobOutput::Kind::turnedAway;
  }

  JobModel::Operation answeredJob(const HistoryEvent& witness, JobInput::Kind asked) const {
    JobModel::Operation made;
    made.key = witness.job;
    made.client = "caller";
    made.invokedAt = witness.since ? witness.since : longAgo;
    made.returnedAt = witness.at;
    made.input.kind = asked;
    made.input.digest = witness.digest;
    return made;
  }

  void submitted(const HistoryEvent& witness, JobOutput::Kind answer) {
    submissions[witness.job].answer(witness);
    JobModel::Operation made = answeredJob(witness, JobInput::Kind::submit);
    made.output.kind = answer;
    found.jobs.push_back(std::move(made));
  }

  void shown(const HistoryEvent& witness) {
    const auto phase = phaseNamed(witness.detail);
    if (!phase)
      return;
    JobModel::Operation made = answeredJob(witness, JobInput::Kind::show);
    made.output = JobOutput{JobOutput::Kind::shown, *phase};
    found.jobs.push_back(std::move(made));
  }

  void cancelled(const HistoryEvent& witness, JobPhase otherwise) {
    cancels[witness.job].answer(witness);
    JobModel::Operation made = answeredJob(witness, JobInput::Kind::cancel);
    const JobPhase told = phaseNamed(witness.detail).value_or(otherwise);
    made.output = JobOutput{JobOutput::Kind::acknowledged, told};
    found.jobs.push_back(std::move(made));
  }

  // That a job exists is all a start tells, and it stays true: the first one is enough.
  void started(const HistoryEvent& witness) {
    const std::string job = wholeOf(witness.job);
    if (!ran.insert(job).second)
      return;
    JobModel::Operation made = answeredJob(witness, JobInput::Kind::run);
    made.key = job;
    made.client = witness.worker;
    made.invokedAt = witness.at - options.slack;
    made.returnedAt = witness.at + options.slack;
    made.output.kind = JobOutput::Kind::ran;
    found.jobs.push_back(std::move(made));
  }

  static ConfigurationModel::Operation orderOf(const HistoryEvent& witness) {
    ConfigurationModel::Operation made;
    made.key = configurationKey;
    made.client = "operator";
    made.input.kind = ConfigurationInput::Kind::apply;
    made.input.order = ConfigurationOrder{0, witness.base, witness.digest};
    return made;
  }

  // Histories of before orders were noted whole hold their acknowledgements alone.
  void ordered(const HistoryEvent& witness, ConfigurationOutput::Kind answer) {
    if (witness.digest.empty())
      return;
    orders.answer(witness);
    ConfigurationModel::Operation made = orderOf(witness);
    made.invokedAt = witness.since ? witness.since : longAgo;
    made.returnedAt = witness.at;
    made.output.kind = answer;
    if (witness.version)
      made.output.version = witness.version;
    found.configuration.push_back(std::move(made));
    ordersSeen = true;
  }

  void read(const HistoryEvent& witness) {
    ConfigurationModel::Operation made;
    made.key = configurationKey;
    made.client = "operator";
    made.invokedAt = witness.since ? witness.since : longAgo;
    made.returnedAt = witness.at;
    made.output =
        ConfigurationOutput{ConfigurationOutput::Kind::shown, witness.version, witness.digest};
    found.configuration.push_back(std::move(made));
  }

  void leaveUnanswered() {
    for (const auto& [job, asked] : submissions)
      leaveJob(asked, JobInput::Kind::submit);
    for (const auto& [job, asked] : cancels)
      leaveJob(asked, JobInput::Kind::cancel);
    for (const HistoryEvent& witness : orders.unanswered()) {
      ConfigurationModel::Operation made = orderOf(witness);
      made.invokedAt = witness.at;
      made.outcome = Outcome::unknown;
      found.configuration.push_back(std::move(made));
      ordersSeen = true;
    }
  }

  void leaveJob(const Asked& asked, JobInput::Kind kind) {
    for (const HistoryEvent& witness : asked.unanswered()) {
      JobModel::Operation made = answeredJob(witness, kind);
      made.invokedAt = witness.at;
      made.returnedAt.reset();
      made.outcome = Outcome::unknown;
      found.jobs.push_back(std::move(made));
    }
  }

  void keepWhatCanBeJudged() {
    if (!ordersSeen)
      found.configuration.clear();
    std::map<std::string, std::int64_t> firstOf;
    for (const auto& operation : found.jobs) {
      const auto [first, added] = firstOf.emplace(operation.key, timeOf(operation));
      first->second = std::min(first->second, timeOf(operation));
    }
    const bool allKept = firstOf.size() <= options.keepLimit;
    std::erase_if(found.jobs, [&](const JobModel::Operation& operation) {
      if (!judged.count(operation.key))
        return true;
      const std::int64_t judgedUntil =
          firstOf.at(operation.key) + options.keepFinished - longestCall;
      if (timeOf(operation) > judgedUntil)
        return true;
      return !allKept && tellsOfNoJob(operation);
    });
  }

  static std::int64_t timeOf(const JobModel::Operation& operation) {
    return operation.returnedAt.value_or(operation.invokedAt);
  }

  static bool tellsOfNoJob(const JobModel::Operation& operation) {
    return operation.outcome == Outcome::ok && operation.output.phase == JobPhase::missing &&
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

HistoryOperations operationsOf(const std::vector<HistoryEvent>& history,
                               const HistoryOperationsOptions& options) {
  return Collector(options).collect(history);
}

std::vector<Violation> findViolations(const std::vector<HistoryEvent>& history,
                                      const HistoryOperationsOptions& options,
                                      SearchStatistics* statistics) {
  const HistoryOperations operations = operationsOf(history, options);
  std::vector<Violation> found =
      findViolations(ConfigurationModel(), operations.configuration, options.limits, statistics);
  for (Violation& violation :
       findViolations(JobModel(), operations.jobs, options.limits, statistics)) {
    found.push_back(std::move(violation));
  }
  return found;
}

}  // namespace aniseline
