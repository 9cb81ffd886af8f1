// Lookup in the configuration, and its parsing and validation.
#include "state/cluster_config.hpp"
#include "base/json_reader.hpp"
#include "state/config_history.hpp"
#include <cmath>

namespace aniseline {

const QueueOptions* ClusterConfig::findQueue(const QueueName& name) const {
  auto found = queues.find(name);
  return found == queues.end() ? nullptr : &found->second;
}

const IngressRoute* ClusterConfig::findIngressRoute(const std::string& host,
                                                    const std::string& path) const {
  const IngressRoute* best = nullptr;
  for (const auto& route : ingressRoutes) {
    const bool matches = route.host == host && path.starts_with(route.pathPrefix);
    if (matches && (!best || route.pathPrefix.size() > best->pathPrefix.size()))
      best = &route;
  }
  return best;
}

std::string configDigest(const std::string& text) {
  picojson::value root;
  if (!picojson::parse(root, text).empty())
    return "";
  return TextDigest::of(root.serialize()).text();
}

namespace {

constexpr std::size_t maxConfigBytes = 256 * 1024;
constexpr std::size_t maxQueueNameLength = 64;
constexpr std::size_t maxTenantNameLength = 64;
constexpr double maxTenantWeight = 1e9;
constexpr double maxCapCores = 1e9;
constexpr double thousandthsPerCore = 1000;
constexpr double maxJsonInteger = 9007199254740991.0;  // 2^53 - 1: exact in a double
constexpr double oneHour = 3'600'000;                  // milliseconds
constexpr double oneDay = 86'400'000;                  // milliseconds
constexpr double oneYear = 366 * oneDay;

/// Parses the sections of a configuration; each section is read after those that it refers to.
class ConfigReader {
 public:
  Result<ClusterConfig> read(const picojson::value& root) {
    {
      JsonObjectReader reader(root, "", errors);
      readPolicies(reader);
      readPlanner(reader);
      reader.readInteger("version", config.version.value, 1, maxJsonInteger);
      readPools(reader);
      readQueues(reader);
      readIngressRoutes(reader);
      readTenants(reader);
    }
    if (!errors.empty())
      return CoreError{CoreError::Kind::invalid, std::move(errors)};
    return std::move(config);
  }

 private:
  void readPolicies(JsonObjectReader& reader);
  void readPlanner(JsonObjectReader& reader);
  void readPools(JsonObjectReader& reader);
  void readQueues(JsonObjectReader& reader);
  QueueOptions readQueue(const std::string& name, const picojson::value& value);
  void readIngressRoutes(JsonObjectReader& reader);
  IngressRoute readIngressRoute(const picojson::value& value, const std::string& path);
  void readTenants(JsonObjectReader& reader);
  void readTenant(const std::string& name, const picojson::value& value);
  static TenantCap readCap(JsonObjectReader& tenant, std::vector<ErrorDetail>& errors);

  ClusterConfig config;
  std::vector<ErrorDetail> errors;
};

void checkExpression(JsonObjectReader& policy, const std::string& field,
                     const std::string& expression) {
  if (auto problem = PolicyProgram::check(expression))
    policy.addError(field, *problem);
}

void ConfigReader::readPolicies(JsonObjectReader& reader) {
  if (const auto* policies = reader.object("policies")) {
    for (const auto& [name, value] : *policies) {
      JsonObjectReader policy(value, "/policies/" + name, errors);
      PolicyOptions options;
      policy.readText("rank", options.rankExpression);
      policy.readText("may_hold", options.suspendExpression);
      checkExpression(policy, "rank", options.rankExpression);
      checkExpression(policy, "may_hold", options.suspendExpression);
      config.policies[name] = options;
    }
  }
  config.policies.emplace("default", PolicyOptions{});
}

void ConfigReader::readPlanner(JsonObjectReader& reader) {
  const auto* value = reader.find("planner");
  if (!value)
    return;
  JsonObjectReader planner(*value, "/planner", errors);
  PlannerOptions& options = config.planner;
  planner.readDuration("period_ms", options.period, 5, 10'000);
  planner.readReal("weight_wait", options.weightWait, 0, 1e6);
  planner.readReal("weight_expansion", options.weightExpansion, 0, 1e6);
  planner.readFlag("trials", options.trialsEnabled);
  planner.readInteger("trial_room_mb", options.reservedTrialMemory, 0, 1e9);
  planner.readInteger("open_limit", options.maxOpenJobs, 1, 100'000);
  planner.readDuration("keep_finished_ms", options.finishedJobRetention, 10'000, oneDay);
  planner.readInteger("keep_limit", options.maxRetainedJobs, 100, 2'000'000);
  planner.readFlag("urgency_first", options.strictPriority);
  planner.readReal("far", options.remoteSlowdown, 1, 1000);
  planner.readDuration("known_after_ms", options.capacitySettleTime, 0, oneDay);
}

void ConfigReader::readPools(JsonObjectReader& reader) {
  const auto* pools = reader.object("pools");
  if (!pools)
    return;
  for (const auto& [name, value] : *pools) {
    JsonObjectReader pool(value, "/pools/" + name, errors);
    pool.readFlag("guards_room", config.pools[name].enforcesCapacity);
  }
}

void ConfigReader::readQueues(JsonObjectReader& reader) {
  const auto* queues = reader.find("queues");
  if (!queues || !queues->is<picojson::object>() || queues->get<picojson::object>().empty())
    return reader.addError("queues", "must name at least one queue");
  std::uint64_t reserved = 0;
  for (const auto& [name, value] : queues->get<picojson::object>()) {
    QueueOptions options = readQueue(name, value);
    reserved += options.reservedOpenJobs;
    config.queues[options.name] = std::move(options);
  }
  if (reserved >= config.planner.maxOpenJobs)
    reader.addError("queues", "together reserve all of planner/open_limit");
}

QueueOptions ConfigReader::readQueue(const std::string& name, const picojson::value& value) {
  JsonObjectReader queue(value, "/queues/" + name, errors);
  if (name.empty() || name.size() > maxQueueNameLength)
    queue.addError("", "a queue name must have 1 to 64 characters");
  QueueOptions options;
  options.name = QueueName{name};
  queue.readInteger("urgency", options.priority, -1000, 1000);
  queue.readInteger("retries", options.maxRetries, 0, 100);
  queue.readInteger("open_limit", options.maxOpenJobs, 1, 100'000);
  queue.readInteger("reserved", options.reservedOpenJobs, 0, 100'000);
  queue.readDuration("hard_limit_ms", options.hardRuntimeLimit, 0, oneYear);
  queue.readDuration("replace_after_ms", options.reassignAfter, 0, oneDay);
  queue.readText("pool", options.pool);
  if (!options.pool.empty() && !config.pools.count(options.pool))
    queue.addError("pool", "is not a pool of this configuration");
  queue.readInteger("tries", options.maxFailures, 1, 1000);
  queue.readReal("extend", options.latencyTargetFactor, 0, 1e6);
  queue.readDuration("target_ms", options.latencyTargetBase, 0, oneDay);
  queue.readText("policy", options.policy);
  if (!config.policies.count(options.policy))
    queue.addError("policy", "is not a policy of this configuration");
  if (const auto* trialValue = queue.find("trial")) {
    JsonObjectReader trial(*trialValue, queue.pathOf("trial"), errors);
    trial.readDuration("quantum_ms", options.trial.quantum, 10, oneHour);
    trial.readInteger("memory_mb", options.trial.memory, 1, 1e6);
    trial.readDuration("minimum_run_ms", options.trial.minimumRuntime, 0, oneDay);
  }
  return options;
}

void ConfigReader::readIngressRoutes(JsonObjectReader& reader) {
  const auto* routes = reader.list("entrances");
  if (!routes)
    return;
  for (std::size_t index = 0; index < routes->size(); ++index)
    config.ingressRoutes.push_back(
        readIngressRoute((*routes)[index], "/entrances/" + std::to_string(index)));
}

IngressRoute ConfigReader::readIngressRoute(const picojson::value& value, const std::string& path) {
  JsonObjectReader reader(value, path, errors);
  IngressRoute route;
  reader.readText("host", route.host);
  reader.readText("prefix", route.pathPrefix);
  reader.readText("queue", route.queue.value);
  if (!config.queues.count(route.queue))
    reader.addError("queue", "is not a queue of this configuration");
  if (reader.flag("public"))
    config.tenants.addPublicRoute(route.host, route.pathPrefix);
  for (const auto& other : config.ingressRoutes) {
    if (other.host == route.host && other.pathPrefix == route.pathPrefix)
      reader.addError("prefix", "occurs twice for this host");
  }
  return route;
}

// A configuration with this section requires keys, even if it defines no tenant.
void ConfigReader::readTenants(JsonObjectReader& reader) {
  const auto* tenants = reader.object("tenants");
  if (!tenants)
    return;
  config.tenants.requireKeys();
  for (const auto& [name, value] : *tenants)
    readTenant(name, value);
}

void ConfigReader::readTenant(const std::string& name, const picojson::value& value) {
  JsonObjectReader tenant(value, "/tenants/" + name, errors);
  if (name.empty() || name.size() > maxTenantNameLength)
    tenant.addError("", "a tenant name must have 1 to 64 characters");
  TenantOptions options;
  for (const auto& key : tenant.texts("api_keys", "must be a string")) {
    if (key.empty())
      tenant.addError("api_keys", "must not be empty");
    options.keys.push_back(ApiKeyDigest::of(key));
  }
  tenant.readReal("weight", options.weight, 0, maxTenantWeight);
  options.cap = readCap(tenant, errors);
  if (auto problem = config.tenants.add(TenantName{name}, std::move(options)))
    tenant.addError("api_keys", *problem);
}

TenantCap ConfigReader::readCap(JsonObjectReader& tenant, std::vector<ErrorDetail>& errors) {
  TenantCap cap;
  const auto* value = tenant.find("cap");
  if (!value)
    return cap;
  JsonObjectReader reader(*value, tenant.pathOf("cap"), errors);
  double cores = 0;
  reader.readReal("cores", cores, 0, maxCapCores);
  cap.cores = std::uint64_t(std::llround(cores * thousandthsPerCore));
  reader.readInteger("memory_mb", cap.memory, 0, maxJsonInteger);
  reader.readInteger("accelerators", cap.accelerators, 0, maxJsonInteger);
  return cap;
}

}  // namespace

Result<ClusterConfig> ClusterConfig::parse(const std::string& text) {
  if (text.size() > maxConfigBytes)
    return CoreError::at(CoreError::Kind::invalid, "",
                         "a configuration may have at most 262144 bytes");
  if (isNestedTooDeeply(text))
    return CoreError::at(CoreError::Kind::invalid, "", "is nested too deep");
  picojson::value root;
  const std::string parseError = parseJson(root, text);
  if (!parseError.empty())
    return CoreError::at(CoreError::Kind::invalid, "", "is not JSON: " + parseError);
  auto config = ConfigReader().read(root);
  if (config)
    config.value().text = text;
  return config;
}

}  // namespace aniseline
