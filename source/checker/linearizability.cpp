#include "checker/linearizability.hpp"

#include <unordered_set>

namespace aniseline {

namespace {

constexpr std::int64_t never = std::numeric_limits<std::int64_t>::max();

void mix(std::size_t& seed, std::size_t value) {
  seed ^= value + 0x9e3779b97f4a7c15ull + (seed << 6) + (seed >> 2);
}

// The operations of one key in the order of their invocations, as the search uses them.
template <class Model>
class Search {
 public:
  using Operation = typename Model::Operation;
  using State = typename Model::State;

  enum class Result : std::uint8_t { linearizable, notLinearizable, undecided };

  struct Step {
    const Operation* operation;
    std::int64_t returnedAt;  // never: it need not take effect
    bool answered() const { return returnedAt != never; }
  };

  Search(const Model& model, std::vector<Step> given, SearchLimits limits)
      : model(model), limits(limits), steps(std::move(given)) {
    std::stable_sort(steps.begin(), steps.end(), [](const Step& left, const Step& right) {
      return left.operation->invokedAt < right.operation->invokedAt;
    });
    earliestReturnFrom.assign(steps.size() + 1, never);
    for (std::size_t place = steps.size(); place > 0; --place) {
      earliestReturnFrom[place - 1] =
          std::min(earliestReturnFrom[place], steps[place - 1].returnedAt);
    }
  }

  Result run() {
    enter(Configuration{0, {}, model.initial()});
    while (!waiting.empty()) {
      if (seen.size() > limits.configurations)
        return Result::undecided;
      const Configuration* current = waiting.back();
      waiting.pop_back();
      if (expand(*current))
        return Result::linearizable;
    }
    return Result::notLinearizable;
  }

  std::size_t explored() const { return seen.size(); }

 private:
  // The operations before `next` took effect but for those `left`; none from `next` on did.
  struct Configuration {
    std::size_t next = 0;
    std::vector<std::size_t> left;
    State state;
    bool operator==(const Configuration&) const = default;
  };

  struct Hash {
    const Model* model;
    std::size_t operator()(const Configuration& configuration) const {
      std::size_t seed = configuration.next;
      for (const std::size_t place : configuration.left)
        mix(seed, place);
      mix(seed, model->hash(configuration.state));
      return seed;
    }
  };

  // Each configuration is looked at once.
  void enter(Configuration configuration) {
    const auto [place, added] = seen.insert(std::move(configuration));
    if (added)
      waiting.push_back(&*place);
  }

  std::int64_t earliestReturn(const Configuration& configuration) const {
    std::int64_t earliest = earliestReturnFrom[configuration.next];
    for (const std::size_t place : configuration.left)
      earliest = std::min(earliest, steps[place].returnedAt);
    return earliest;
  }

  // Those that may take effect next: none that is left returned before their invocation.
  // Earlier returns come last, since what is entered last is looked at first.
  std::vector<std::size_t> candidates(const Configuration& configuration,
                                      std::int64_t earliest) const {
    std::vector<std::size_t> found;
    for (const std::size_t place : configuration.left) {
      if (steps[place].operation->invokedAt <= earliest)
        found.push_back(place);
    }
    for (std::size_t place = configuration.next; place < steps.size(); ++place) {
      if (steps[place].operation->invokedAt > earliest)
        break;
      found.push_back(place);
    }
    std::stable_sort(found.begin(), found.end(), [this](std::size_t left, std::size_t right) {
      return steps[left].returnedAt > steps[right].returnedAt;
    });
    return found;
  }

  // Enters what may follow; true if every answered operation has taken effect.
  bool expand(const Configuration& current) {
    const std::int64_t earliest = earliestReturn(current);
    if (earliest == never)
      return true;
    const std::vector<std::size_t> next = candidates(current, earliest);
    if (takeUnchanging(current, next))
      return false;
    for (const std::size_t place : next) {
      if (auto state = stateAfter(current.state, place))
        enter(after(current, place, std::move(*state)));
    }
    return false;
  }

  // What is answered rightly and changes nothing may as well take effect at once: any order
  // that has it later holds with it here.
  bool takeUnchanging(const Configuration& current, const std::vector<std::size_t>& next) {
    for (const std::size_t place : next) {
      if (!steps[place].answered())
        continue;
      const auto state = model.apply(current.state, *steps[place].operation);
      if (!state || !(*state == current.state))
        continue;
      enter(after(current, place, current.state));
      return true;
    }
    return false;
  }

  // An unanswered operation that would change nothing may as well never take effect.
  std::optional<State> stateAfter(const State& state, std::size_t place) const {
    const Step& step = steps[place];
    if (step.answered())
      return model.apply(state, *step.operation);
    State changed = model.applyUnanswered(state, *step.operation);
    if (changed == state)
      return std::nullopt;
    return changed;
  }

  static Configuration after(const Configuration& current, std::size_t place, State state) {
    Configuration made{current.next, current.left, std::move(state)};
    if (place < current.next) {
      std::erase(made.left, place);
      return made;
    }
    for (std::size_t passed = current.next; passed < place; ++passed)
      made.left.push_back(passed);
    made.next = place + 1;
    return made;
  }

  const Model& model;
  SearchLimits limits;
  std::vector<Step> steps;
  std::vector<std::int64_t> earliestReturnFrom;
  std::unordered_set<Configuration, Hash> seen{16, Hash{&model}};
  std::vector<const Configuration*> waiting;  // into `seen`, whose elements stay where they are
};

// One key's operations, and the search for the fewest of them that can't be linearised.
template <class Model>
class KeyCheck {
 public:
  using Operation = typename Model::Operation;
  using Result = typename Search<Model>::Result;

  KeyCheck(const Model& model, const std::vector<Operation>& operations,
           const std::vector<std::size_t>& places, SearchLimits limits)
      : model(model), operations(operations), limits(limits) {
    for (const std::size_t place : places) {
      const bool known =
          operations[place].outcome == OperationOutcome::ok && operations[place].returnedAt;
      (known ? answered : unanswered).push_back(place);
    }
    std::stable_sort(answered.begin(), answered.end(), [&](std::size_t left, std::size_t right) {
      return *operations[left].returnedAt < *operations[right].returnedAt;
    });
  }

  std::optional<LinearizabilityViolation> check() {
    const Result result = search(answered.size());
    if (result == Result::linearizable)
      return std::nullopt;
    if (result == Result::undecided)
      return violation(LinearizabilityViolation::Verdict::undecided, answered.size());
    return violation(LinearizabilityViolation::Verdict::notLinearizable, fewest());
  }

  std::size_t explored() const { return configurations; }

 private:
  // Whether the history can be linearised as it stood when that many operations had returned.
  // What was invoked by then counts as unanswered.
  Result search(std::size_t returned) {
    const bool all = returned == answered.size();
    const std::int64_t until = all ? never : *operations[answered[returned - 1]].returnedAt;
    std::vector<typename Search<Model>::Step> begun;
    for (std::size_t rank = 0; rank < answered.size(); ++rank) {
      const Operation& operation = operations[answered[rank]];
      if (operation.invokedAt > until)
        continue;
      begun.push_back({&operation, rank < returned ? *operation.returnedAt : never});
    }
    for (const std::size_t place : unanswered) {
      if (operations[place].invokedAt <= until)
        begun.push_back({&operations[place], never});
    }
    Search<Model> search(model, std::move(begun), limits);
    const Result result = search.run();
    configurations += search.explored();
    return result;
  }

  // A longer history of a key that is not linearizable isn't either, so halving finds the
  // shortest. One that is not decided on the way counts as linearizable: the prefix is then
  // longer than need be, and no less a violation.
  std::size_t fewest() {
    std::size_t good = 0;
    std::size_t bad = answered.size();
    while (bad - good > 1) {
      const std::size_t middle = good + (bad - good) / 2;
      const bool refuted = search(middle) == Result::notLinearizable;
      (refuted ? bad : good) = middle;
    }
    return bad;
  }

  LinearizabilityViolation violation(LinearizabilityViolation::Verdict verdict,
                                     std::size_t count) const {
    LinearizabilityViolation made;
    made.verdict = verdict;
    made.key = operations[answered.front()].key;
    made.prefix.assign(answered.begin(), answered.begin() + std::ptrdiff_t(count));
    made.timestamp = *operations[made.prefix.back()].returnedAt;
    made.description = describe(made);
    return made;
  }

  std::string describe(const LinearizabilityViolation& violation) const {
    if (violation.verdict == LinearizabilityViolation::Verdict::undecided) {
      return violation.key + ": undecided after " + std::to_string(configurations) +
             " configurations";
    }
    constexpr std::size_t shown = 12;
    const auto& prefix = violation.prefix;
    std::string text = violation.key + ": the first " + std::to_string(prefix.size()) +
                       " operations can't be linearised:";
    const std::size_t first = prefix.size() > shown ? prefix.size() - shown : 0;
    if (first > 0)
      text += " (" + std::to_string(first) + " earlier ones);";
    for (std::size_t place = first; place < prefix.size(); ++place) {
      text += (place > first ? "; " : " ") + line(operations[prefix[place]]);
    }
    return text + stillUnanswered(violation);
  }

  std::string line(const Operation& operation) const {
    std::string text = operation.client.empty() ? std::string() : operation.client + " ";
    text += "[" + std::to_string(operation.invokedAt) + ", ";
    if (operation.outcome == OperationOutcome::ok)
      text += std::to_string(*operation.returnedAt);
    return text + "] " + model.describe(operation);
  }

  // Those that may have taken effect by then, though no answer tells it.
  std::string stillUnanswered(const LinearizabilityViolation& violation) const {
    std::vector<std::size_t> left(answered.begin() + std::ptrdiff_t(violation.prefix.size()),
                                  answered.end());
    left.insert(left.end(), unanswered.begin(), unanswered.end());
    std::string text;
    for (const std::size_t place : left) {
      if (operations[place].invokedAt > violation.timestamp)
        continue;
      text += (text.empty() ? "; unanswered by then: " : ", ") + line(operations[place]);
    }
    return text;
  }

  const Model& model;
  const std::vector<Operation>& operations;
  std::vector<std::size_t> answered;  // by return
  std::vector<std::size_t> unanswered;
  SearchLimits limits;
  std::size_t configurations = 0;
};

template <class Model>
std::vector<LinearizabilityViolation> findInEveryKey(
    const Model& model, const std::vector<typename Model::Operation>& operations,
    SearchLimits limits, SearchStatistics* statistics) {
  std::map<std::string, std::vector<std::size_t>> byKey;
  for (std::size_t place = 0; place < operations.size(); ++place)
    byKey[operations[place].key].push_back(place);
  std::vector<LinearizabilityViolation> found;
  for (const auto& [key, places] : byKey) {
    KeyCheck<Model> check(model, operations, places, limits);
    if (auto violation = check.check())
      found.push_back(std::move(*violation));
    if (statistics)
      statistics->configurations += check.explored();
  }
  if (statistics)
    statistics->keys += byKey.size();
  if (statistics)
    statistics->operations += operations.size();
  return found;
}

bool mayBeTaken(const ConfigurationModel::State& state, const ConfigurationOrder& order) {
  const bool higher = order.version == 0 || order.version > state.version;
  return order.base == state.version && higher;
}

ConfigurationModel::State afterTaking(const ConfigurationModel::State& state,
                                      const ConfigurationOrder& order) {
  ConfigurationModel::State changed = state;
  changed.version = order.version ? order.version : state.version + 1;
  changed.digest = order.digest;
  auto taken = std::make_shared<ConfigurationModel::AppliedOrders>(*state.appliedOrders);
  taken->emplace(order, changed.version);
  changed.appliedOrders = std::move(taken);
  mix(changed.appliedOrdersHash, std::hash<std::string>()(order.digest));
  mix(changed.appliedOrdersHash, changed.version);
  return changed;
}

bool tells(const ConfigurationOutput& output, std::uint64_t version) {
  return !output.version || *output.version == version;
}

std::optional<ConfigurationModel::State> afterApplied(const ConfigurationModel::State& state,
                                                      const ConfigurationOrder& order,
                                                      const ConfigurationOutput& output) {
  if (const auto before = state.appliedOrders->find(order); before != state.appliedOrders->end()) {
    if (!tells(output, before->second))
      return std::nullopt;
    return state;
  }
  if (!mayBeTaken(state, order))
    return std::nullopt;
  ConfigurationModel::State changed = afterTaking(state, order);
  if (!tells(output, changed.version))
    return std::nullopt;
  return changed;
}

bool mayBeRefused(const ConfigurationModel::State& state, const ConfigurationOrder& order,
                  const ConfigurationOutput& output) {
  return !state.appliedOrders->count(order) && !mayBeTaken(state, order) &&
         tells(output, state.version);
}

bool mayBeRead(const ConfigurationModel::State& state, const ConfigurationOutput& output) {
  return tells(output, state.version) && output.digest == state.digest;
}

bool begunOrNot(JobPhase phase) {
  return phase == JobPhase::pending || phase == JobPhase::running;
}

// The job's phase once it is known to be in the one told; nothing if it can't be.
std::optional<JobPhase> phaseOnceTold(JobPhase known, JobPhase told) {
  const bool stillOpen = begunOrNot(known);
  const bool unsaid = known == JobPhase::cancellingOrEnded;
  bool possible = false;
  switch (told) {
    case JobPhase::missing:
    case JobPhase::pending:
      possible = known == told;
      break;
    case JobPhase::running:
      possible = stillOpen;
      break;
    case JobPhase::pendingOrRunning:
      return stillOpen ? std::optional(known) : std::nullopt;
    case JobPhase::cancellingOrEnded:
      possible = !stillOpen && known != JobPhase::missing;
      break;
    case JobPhase::cancelling:
      possible = unsaid || known == told;
      break;
    case JobPhase::cancelled:
      possible = unsaid || known == JobPhase::cancelling || known == told;
      break;
    case JobPhase::succeeded:
    case JobPhase::failed:
      possible = stillOpen || unsaid || known == told;
      break;
  }
  if (!possible)
    return std::nullopt;
  return told;
}

// A cancel of a job that is over changes nothing; any other is cancelled, or was over already
// without anyone having seen it.
JobPhase phaseAfterCancel(JobPhase known) {
  return begunOrNot(known) ? JobPhase::cancellingOrEnded : known;
}

std::optional<JobModel::State> withPhase(const JobModel::State& state,
                                         std::optional<JobPhase> phase) {
  if (!phase)
    return std::nullopt;
  return JobModel::State{*phase, state.digest};
}

std::optional<JobModel::State> afterSubmit(const JobModel::State& state, const JobInput& input,
                                           const JobOutput& output) {
  const bool isNew = state.phase == JobPhase::missing;
  const bool isSame = !isNew && state.digest == input.digest;
  if (output.kind == JobOutput::Kind::overloaded)
    return state;
  if (output.kind == JobOutput::Kind::rejected)
    return isSame ? std::nullopt : std::optional(state);
  if (isNew)
    return JobModel::State{JobPhase::pending, input.digest};
  return isSame ? std::optional(state) : std::nullopt;
}

std::optional<JobModel::State> afterCancel(const JobModel::State& state, const JobOutput& output) {
  const bool saysMissing = output.phase == JobPhase::missing;
  if (saysMissing != (state.phase == JobPhase::missing))
    return std::nullopt;
  const JobPhase now = phaseAfterCancel(state.phase);
  if (saysMissing || output.phase == JobPhase::cancellingOrEnded)
    return withPhase(state, now);
  return withPhase(state, phaseOnceTold(now, output.phase));
}

std::optional<JobModel::State> afterRun(const JobModel::State& state) {
  if (state.phase == JobPhase::missing)
    return std::nullopt;
  return withPhase(state, state.phase == JobPhase::pending ? JobPhase::running : state.phase);
}

}  // namespace

bool ConfigurationModel::State::operator==(const State& other) const {
  if (version != other.version || digest != other.digest)
    return false;
  return appliedOrders == other.appliedOrders || *appliedOrders == *other.appliedOrders;
}

std::optional<ConfigurationModel::State> ConfigurationModel::apply(
    const State& state, const Operation& operation) const {
  const auto& [key, client, invokedAt, returnedAt, input, output, outcome] = operation;
  switch (output.kind) {
    case ConfigurationOutput::Kind::applied:
      return afterApplied(state, input.order, output);
    case ConfigurationOutput::Kind::rejected:
      if (!mayBeRefused(state, input.order, output))
        return std::nullopt;
      return state;
    case ConfigurationOutput::Kind::shown:
      if (!mayBeRead(state, output))
        return std::nullopt;
      return state;
  }
  return std::nullopt;
}

ConfigurationModel::State ConfigurationModel::applyUnanswered(const State& state,
                                                              const Operation& operation) const {
  const ConfigurationOrder& order = operation.input.order;
  if (operation.input.kind == ConfigurationInput::Kind::read)
    return state;
  if (state.appliedOrders->count(order) || !mayBeTaken(state, order))
    return state;
  return afterTaking(state, order);
}

std::size_t ConfigurationModel::hash(const State& state) const {
  std::size_t seed = state.version;
  mix(seed, std::hash<std::string>()(state.digest));
  mix(seed, state.appliedOrdersHash);
  return seed;
}

std::string ConfigurationModel::describe(const Operation& operation) const {
  const auto& order = operation.input.order;
  const auto& output = operation.output;
  const std::string told = output.version ? " " + std::to_string(*output.version) : "";
  if (operation.input.kind == ConfigurationInput::Kind::read) {
    std::string asked = "read";
    if (operation.outcome == OperationOutcome::unknown)
      return asked;
    return asked + " ->" + told + " " + output.digest;
  }
  std::string text = "apply " + order.digest + " upon " + std::to_string(order.base);
  if (order.version)
    text += " as " + std::to_string(order.version);
  if (operation.outcome == OperationOutcome::unknown)
    return text;
  return text +
         (output.kind == ConfigurationOutput::Kind::applied ? " -> applied" : " -> refused") + told;
}

const char* name(JobPhase phase) {
  static constexpr const char* names[] = {"missing", "pending", "running", "open",     "cancelling",
                                          "over",    "done",    "failed",  "cancelled"};
  return names[std::size_t(phase)];
}

std::optional<JobModel::State> JobModel::apply(const State& state,
                                               const Operation& operation) const {
  switch (operation.input.kind) {
    case JobInput::Kind::submit:
      return afterSubmit(state, operation.input, operation.output);
    case JobInput::Kind::show:
      return withPhase(state, phaseOnceTold(state.phase, operation.output.phase));
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
      if (state.phase != JobPhase::missing)
        return state;
      return {JobPhase::pending, operation.input.digest};
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
  mix(seed, std::hash<std::string>()(state.digest));
  return seed;
}

std::string JobModel::describe(const Operation& operation) const {
  static constexpr const char* asked[] = {"submit", "show", "cancel", "run"};
  static constexpr const char* answered[] = {"accepted", "turned away",   "overloaded",
                                             "",         "acknowledged ", ""};
  std::string text = asked[std::size_t(operation.input.kind)];
  if (operation.input.kind == JobInput::Kind::submit)
    text += " " + operation.input.digest;
  if (operation.outcome == OperationOutcome::unknown || operation.input.kind == JobInput::Kind::run)
    return text;
  text += std::string(" -> ") + answered[std::size_t(operation.output.kind)];
  if (operation.input.kind != JobInput::Kind::submit)
    text += name(operation.output.phase);
  return text;
}

std::vector<LinearizabilityViolation> findViolations(
    const ConfigurationModel& model, const std::vector<ConfigurationModel::Operation>& operations,
    SearchLimits limits, SearchStatistics* statistics) {
  return findInEveryKey(model, operations, limits, statistics);
}

std::vector<LinearizabilityViolation> findViolations(
    const JobModel& model, const std::vector<JobModel::Operation>& operations, SearchLimits limits,
    SearchStatistics* statistics) {
  return findInEveryKey(model, operations, limits, statistics);
}

}  // namespace aniseline
