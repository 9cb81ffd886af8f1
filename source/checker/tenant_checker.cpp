// Compares key checks and starts with the configurations that were possibly in force.
#include "checker/tenant_checker.hpp"
#include "state/occurrence.hpp"

namespace aniseline {

namespace {

// The time after the acknowledgement of a lower cap during which a start may still arrive that was
// ordered before.
constexpr std::int64_t orderArrivesWithinMs = 2500;
// The same for an order that a worker carried out late.
constexpr std::int64_t lateOrderArrivesWithinMs = 15'000;

std::string describe(const char* resource, std::int64_t used, std::int64_t cap) {
  return std::string(resource) + " " + std::to_string(used) + " above its cap of " +
         std::to_string(cap);
}

}  // namespace

void TenantChecker::Usage::add(const HistoryEvent& start, std::int64_t sign) {
  cores += sign * std::int64_t(start.cores);
  memory += sign * std::int64_t(start.memory);
  accelerators += sign * std::int64_t(start.accelerators);
}

std::vector<std::size_t> TenantChecker::possiblyInForce(std::int64_t from, std::int64_t to) const {
  std::vector<std::size_t> possible;
  for (std::size_t index = 0; index < configs.size() && configs[index].sentAt <= to; ++index) {
    const bool superseded = std::any_of(
        configs.begin() + std::ptrdiff_t(index) + 1, configs.end(),
        [&](const auto& later) { return later.acknowledgedAt && *later.acknowledgedAt < from; });
    if (!superseded)
      possible.push_back(index);
  }
  return possible;
}

std::vector<InvariantViolation> TenantChecker::checkKeys(
    const std::vector<ObservedKeyUse>& uses) const {
  std::vector<InvariantViolation> violations;
  for (const auto& use : uses) {
    bool mayBeKnown = false;
    bool mayBeUnknown = false;
    for (const auto index : possiblyInForce(use.sentAt, use.answeredAt)) {
      const bool known = configs[index].tenants.findByKey(use.key) != nullptr;
      mayBeKnown = mayBeKnown || known;
      mayBeUnknown = mayBeUnknown || !known;
    }
    if (use.accepted && !mayBeKnown)
      violations.push_back(
          {Invariant::apiKeysInForce, use.answeredAt,
           "a submission sent at " + std::to_string(use.sentAt) +
               " was accepted with a key that no configuration in force contained"});
    if (!use.accepted && !mayBeUnknown)
      violations.push_back(
          {Invariant::apiKeysInForce, use.answeredAt,
           "a submission sent at " + std::to_string(use.sentAt) +
               " was rejected although every configuration in force contained its key"});
  }
  return violations;
}

const TenantOptions* TenantChecker::optionsOf(const TenantName& tenant, std::size_t index) const {
  for (std::size_t earlier = index + 1; earlier-- > 0;) {
    if (const TenantOptions* options = configs[earlier].tenants.find(tenant))
      return options;
  }
  return nullptr;
}

TenantName TenantChecker::tenantOf(const std::string& job) const {
  const auto found = tenantByJob.find(job.substr(0, job.find(OccurrenceId::separator)));
  return found == tenantByJob.end() ? TenantName{} : found->second;
}

std::optional<std::string> TenantChecker::describeExceededCap(const TenantName& tenant,
                                                              const Usage& before,
                                                              const HistoryEvent& start) const {
  const std::int64_t allowance =
      start.executedLate ? lateOrderArrivesWithinMs : orderArrivesWithinMs;
  std::optional<TenantCap> highest;
  for (const auto index : possiblyInForce(start.timestamp - allowance, start.timestamp)) {
    const TenantOptions* options = optionsOf(tenant, index);
    if (!options)
      continue;
    const TenantCap& cap = options->cap;
    if (!highest)
      highest = cap;
    const auto higher = [](std::uint64_t left, std::uint64_t right) {
      return left == 0 || right == 0 ? 0 : std::max(left, right);
    };
    highest = TenantCap{higher(highest->cores, cap.cores), higher(highest->memory, cap.memory),
                        higher(highest->accelerators, cap.accelerators)};
  }
  if (!highest)
    return std::nullopt;
  const auto exceeds = [](std::int64_t used, std::uint64_t cap) {
    return cap > 0 && used > std::int64_t(cap);
  };
  if (exceeds(before.cores, highest->cores))
    return describe("cores", before.cores, std::int64_t(highest->cores));
  if (exceeds(before.memory, highest->memory))
    return describe("memory", before.memory, std::int64_t(highest->memory));
  if (exceeds(before.accelerators, highest->accelerators))
    return describe("accelerators", before.accelerators, std::int64_t(highest->accelerators));
  return std::nullopt;
}

std::vector<InvariantViolation> TenantChecker::checkCaps(
    const std::vector<HistoryEvent>& history) const {
  std::vector<InvariantViolation> violations;
  std::map<TenantName, Usage> usage;
  std::map<RunKey, Run> open;
  const auto close = [&](std::map<RunKey, Run>::iterator run) {
    usage[run->second.tenant].add(run->second.start, -1);
    return open.erase(run);
  };
  for (const auto& event : history) {
    const RunKey key{event.worker, event.job, event.task, event.attempt};
    if (event.kind == HistoryEvent::Kind::started) {
      const TenantName tenant = tenantOf(event.job);
      if (isAbsent(tenant) || !open.emplace(key, Run{tenant, event}).second)
        continue;
      if (auto exceeded = describeExceededCap(tenant, usage[tenant], event))
        violations.push_back({Invariant::tenantCaps, event.timestamp,
                              "a task of " + event.job + " starts while tenant " + tenant.value +
                                  " uses " + *exceeded});
      usage[tenant].add(event, 1);
    } else if (event.kind == HistoryEvent::Kind::ended) {
      if (const auto run = open.find(key); run != open.end())
        close(run);
    } else if (event.kind == HistoryEvent::Kind::workerLost) {
      for (auto run = open.begin(); run != open.end();)
        run = std::get<0>(run->first) == event.worker ? close(run) : std::next(run);
    }
  }
  return violations;
}

}  // namespace aniseline
