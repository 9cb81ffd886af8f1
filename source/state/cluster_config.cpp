#include "state/cluster_config.hpp"
#include "state/config_history.hpp"
#include "base/json.hpp"
#include <muParser.h>
#include <cmath>

namespace aniseline {

struct PolicyProgram::Implementation {
  mutable Inputs inputs;
  mu::Parser parser;
};

// docs/design.md 6.3: programs are short expressions over numbers, so their cost is bounded by
// their length.
PolicyProgram::PolicyProgram(const std::string& text)
    : implementation(std::make_unique<Implementation>()) {
  auto& parser = implementation->parser;
  auto& inputs = implementation->inputs;
  parser.DefineVar("wait", &inputs.wait);
  parser.DefineVar("runtime", &inputs.runtime);
  parser.DefineVar("expansion", &inputs.expansion);
  parser.DefineVar("cores", &inputs.cores);
  parser.DefineVar("memory", &inputs.memory);
  parser.DefineVar("urgency", &inputs.priority);
  parser.DefineVar("slowdown", &inputs.slowdown);
  parser.DefineVar("running", &inputs.running);
  parser.DefineVar("weight_wait", &inputs.weightWait);
  parser.DefineVar("weight_expansion", &inputs.weightExpansion);
  parser.SetExpr(text);
}
PolicyProgram::PolicyProgram(PolicyProgram&&) noexcept = default;
PolicyProgram::~PolicyProgram() = default;

double PolicyProgram::evaluate(const Inputs& inputs) const {
  implementation->inputs = inputs;
  try {
    const double value = implementation->parser.Eval();
    return std::isfinite(value) ? value : 0.0;
  } catch (const mu::Parser::exception_type&) {
    return 0.0;
  }
}

std::optional<std::string> PolicyProgram::check(const std::string& text) {
  if (text.size() > 400)
    return "a policy program may hold at most 400 characters";
  if (text.find('=') != std::string::npos && text.find("==") == std::string::npos &&
      text.find("<=") == std::string::npos && text.find(">=") == std::string::npos &&
      text.find("!=") == std::string::npos)
    return "a policy program may not assign";
  try {
    PolicyProgram program(text);
    Inputs inputs{0.1, 0.2, 1.5, 1, 1024, 1, 1.5, 0.1, 0.0167, 1};
    const double value = program.implementation->parser.Eval();
    program.implementation->inputs = inputs;
    const double second = program.implementation->parser.Eval();
    if (!std::isfinite(second) && !std::isfinite(value))
      return "gives no finite number";
  } catch (const mu::Parser::exception_type& error) {
    return error.GetMsg();
  }
  return std::nullopt;
}

std::string configDigest(const std::string& text) {
  picojson::value root;
  if (!picojson::parse(root, text).empty())
    return "";
  return TextDigest::of(root.serialize()).text();
}

const QueueOptions* ClusterConfig::findQueue(const QueueName& name) const {
  auto found = queues.find(name);
  return found == queues.end() ? nullptr : &found->second;
}

const IngressRoute* ClusterConfig::findIngressRoute(const std::string& host,
                                                    const std::string& path) const {
  const IngressRoute* best = nullptr;
  for (const auto& entrance : ingressRoutes)
    if (entrance.host == host && path.starts_with(entrance.pathPrefix) &&
        (!best || entrance.pathPrefix.size() > best->pathPrefix.size()))
      best = &entrance;
  return best;
}

namespace {

// Reads one JSON object, onLogEvent each fault by path and each field nobody asked for.
class Reader {
 public:
  Reader(const picojson::value& value, std::string path, std::vector<ErrorDetail>& faults)
      : path(std::move(path)), faults(faults) {
    if (value.is<picojson::object>())
      object = &value.get<picojson::object>();
    else
      fault("", "must be an object");
  }
  ~Reader() {
    if (!object)
      return;
    for (const auto& field : *object)
      if (!asked.count(field.first))
        fault(field.first, "is not a known field");
  }
  void fault(const std::string& field, const std::string& text) {
    faults.push_back({field.empty() ? path : path + "/" + field, text});
  }
  const picojson::value* find(const std::string& field) {
    asked.insert(field);
    if (!object)
      return nullptr;
    auto found = object->find(field);
    return found == object->end() ? nullptr : &found->second;
  }
  template <class Number>
  void whole(const std::string& field, Number& target, double low, double high) {
    const auto* value = find(field);
    if (!value)
      return;
    if (!value->is<double>() || value->get<double>() != std::floor(value->get<double>()))
      return fault(field, "must be a whole number");
    if (value->get<double>() < low || value->get<double>() > high)
      return fault(field, "must be from " + std::to_string((long long)low) + " to " +
                              std::to_string((long long)high));
    target = Number(value->get<double>());
  }
  void real(const std::string& field, double& target, double low, double high) {
    const auto* value = find(field);
    if (!value)
      return;
    if (!value->is<double>() || value->get<double>() < low || value->get<double>() > high)
      return fault(field,
                   "must be a number from " + std::to_string(low) + " to " + std::to_string(high));
    target = value->get<double>();
  }
  void span(const std::string& field, Duration& target, double low, double high) {
    whole(field, target.milliseconds, low, high);
  }
  void flag(const std::string& field, bool& target) {
    const auto* value = find(field);
    if (!value)
      return;
    if (!value->is<bool>())
      return fault(field, "must be true or false");
    target = value->get<bool>();
  }
  void words(const std::string& field, std::string& target) {
    const auto* value = find(field);
    if (!value)
      return;
    if (!value->is<std::string>())
      return fault(field, "must be a string");
    target = value->get<std::string>();
  }
  const picojson::object* object = nullptr;
  std::string path;

 private:
  std::vector<ErrorDetail>& faults;
  std::set<std::string> asked;
};

constexpr double dayMilliseconds = 86'400'000.0;

}  // namespace

Result<ClusterConfig> ClusterConfig::parse(const std::string& text) {
  ClusterConfig config;
  std::vector<ErrorDetail> faults;
  if (text.size() > 256 * 1024)
    return CoreError::at(CoreError::Kind::invalid, "", "a config may hold at most 262144 bytes");
  if (nestedTooDeep(text))
    return CoreError::at(CoreError::Kind::invalid, "", "is nested too deep");
  picojson::value root;
  const std::string parseError = parseJson(root, text);
  if (!parseError.empty())
    return CoreError::at(CoreError::Kind::invalid, "", "is not JSON: " + parseError);
  {
    Reader reader(root, "", faults);
    if (const auto* policies = reader.find("policies")) {
      if (!policies->is<picojson::object>())
        reader.fault("policies", "must be an object");
      else
        for (const auto& [name, value] : policies->get<picojson::object>()) {
          Reader policy(value, "/policies/" + name, faults);
          PolicyOptions options;
          policy.words("rank", options.rankExpression);
          policy.words("may_hold", options.suspendExpression);
          if (auto fault = PolicyProgram::check(options.rankExpression))
            policy.fault("rank", *fault);
          if (auto fault = PolicyProgram::check(options.suspendExpression))
            policy.fault("may_hold", *fault);
          config.policies[name] = options;
        }
    }
    config.policies.emplace("default", PolicyOptions{});
    if (const auto* value = reader.find("planner")) {
      Reader planner(*value, "/planner", faults);
      planner.span("period_ms", config.planner.period, 5, 10'000);
      planner.real("weight_wait", config.planner.weightWait, 0, 1e6);
      planner.real("weight_expansion", config.planner.weightExpansion, 0, 1e6);
      planner.flag("trials", config.planner.trialsEnabled);
      planner.whole("trial_room_mb", config.planner.reservedTrialMemory, 0, 1e9);
      planner.whole("open_limit", config.planner.maxOpenJobs, 1, 100'000);
      planner.span("keep_finished_ms", config.planner.finishedJobRetention, 10'000,
                   dayMilliseconds);
      planner.whole("keep_limit", config.planner.maxRetainedJobs, 100, 2'000'000);
      planner.flag("urgency_first", config.planner.strictPriority);
      planner.real("far", config.planner.remoteSlowdown, 1, 1000);
      planner.span("known_after_ms", config.planner.capacitySettleTime, 0, dayMilliseconds);
    }
    reader.whole("version", config.version.value, 1, 9007199254740991.0);
    if (const auto* pools = reader.find("pools")) {
      if (!pools->is<picojson::object>())
        reader.fault("pools", "must be an object");
      else
        for (const auto& [name, value] : pools->get<picojson::object>()) {
          Reader pool(value, "/pools/" + name, faults);
          pool.flag("guards_room", config.pools[name].enforcesCapacity);
        }
    }
    const auto* queues = reader.find("queues");
    if (!queues || !queues->is<picojson::object>() || queues->get<picojson::object>().empty())
      reader.fault("queues", "must name at least one queue");
    else {
      std::uint64_t reserved = 0;
      for (const auto& [name, value] : queues->get<picojson::object>()) {
        Reader queue(value, "/queues/" + name, faults);
        if (name.empty() || name.size() > 64)
          queue.fault("", "a queue's name holds 1 to 64 characters");
        QueueOptions options;
        options.name = QueueName{name};
        queue.whole("urgency", options.priority, -1000, 1000);
        queue.whole("retries", options.maxRetries, 0, 100);
        queue.whole("open_limit", options.maxOpenJobs, 1, 100'000);
        queue.whole("reserved", options.reservedOpenJobs, 0, 100'000);
        queue.span("hard_limit_ms", options.hardRuntimeLimit, 0, 366 * dayMilliseconds);
        queue.span("replace_after_ms", options.reassignAfter, 0, dayMilliseconds);
        queue.words("pool", options.pool);
        if (!options.pool.empty() && !config.pools.count(options.pool))
          queue.fault("pool", "names no pool of this config");
        queue.whole("tries", options.maxFailures, 1, 1000);
        queue.real("extend", options.latencyTargetFactor, 0, 1e6);
        queue.span("target_ms", options.latencyTargetBase, 0, dayMilliseconds);
        queue.words("policy", options.policy);
        if (!config.policies.count(options.policy))
          queue.fault("policy", "names no policy of this config");
        if (const auto* trialValue = queue.find("trial")) {
          Reader trial(*trialValue, queue.path + "/trial", faults);
          trial.span("quantum_ms", options.trial.quantum, 10, 3'600'000);
          trial.whole("memory_mb", options.trial.memory, 1, 1e6);
          trial.span("minimum_run_ms", options.trial.minimumRuntime, 0, dayMilliseconds);
        }
        reserved += options.reservedOpenJobs;
        config.queues[options.name] = options;
      }
      if (reserved >= config.planner.maxOpenJobs)
        reader.fault("queues", "reserve together all of planner/open_limit");
    }
    if (const auto* entrances = reader.find("entrances")) {
      if (!entrances->is<picojson::array>())
        reader.fault("entrances", "must be a list");
      else
        for (std::size_t place = 0; place < entrances->get<picojson::array>().size(); ++place) {
          Reader shown(entrances->get<picojson::array>()[place],
                       "/entrances/" + std::to_string(place), faults);
          IngressRoute entrance;
          shown.words("host", entrance.host);
          shown.words("prefix", entrance.pathPrefix);
          shown.words("queue", entrance.queue.value);
          if (!config.queues.count(entrance.queue))
            shown.fault("queue", "names no queue of this config");
          for (const auto& other : config.ingressRoutes)
            if (other.host == entrance.host && other.pathPrefix == entrance.pathPrefix)
              shown.fault("prefix", "stands twice for this host");
          config.ingressRoutes.push_back(std::move(entrance));
        }
    }
  }
  if (!faults.empty())
    return CoreError{CoreError::Kind::invalid, std::move(faults)};
  config.text = text;
  return config;
}

}  // namespace aniseline
