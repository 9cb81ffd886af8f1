// Enforcement of lowered tenant caps, and preservation of the caps of removed tenants.
#include "state/tenant_changes.hpp"
#include "state/attempt_control.hpp"

namespace aniseline {

namespace {

bool isLower(std::uint64_t cap, std::uint64_t before) {
  return cap > 0 && (before == 0 || cap < before);
}

bool isLower(const TenantCap& cap, const TenantCap& before) {
  return isLower(cap.cores, before.cores) || isLower(cap.memory, before.memory) ||
         isLower(cap.accelerators, before.accelerators);
}

// The attempts of one tenant that are not abandoned, and the resources allocated to them.
class TenantAttempts {
 public:
  TenantAttempts(ClusterTables& tables, const TenantName& tenant) : tables(tables) {
    for (const auto& id : tables.openJobs) {
      if (tables.jobs.at(id).submission.tenant == tenant)
        addJob(id);
    }
    std::sort(undeliveredNumbers.rbegin(), undeliveredNumbers.rend());
  }

  bool exceedsCap(const TenantCap& cap) const {
    return exceeds(allocated.cores, cap.cores) || exceeds(allocated.memory, cap.memory) ||
           exceeds(allocated.accelerators, cap.accelerators);
  }
  // Returns the starts that no worker has reported yet, the latest first.
  const std::vector<AttemptNumber>& undeliveredStarts() const { return undeliveredNumbers; }
  void stop(AttemptNumber number) {
    Attempt& attempt = tables.attempts.at(number);
    if (attempt.state != AttemptState::ordered)
      return;
    if (attempt.gang)
      return stopGang(attempt);
    stopOne(attempt);
  }

 private:
  static bool exceeds(std::uint64_t amount, std::uint64_t cap) { return cap > 0 && amount > cap; }

  void addJob(const JobId& id) {
    for (auto number : tables.attemptIndex.ofJob(id)) {
      const Attempt& attempt = tables.attempts.at(number);
      if (attempt.abandoned)
        continue;
      allocated.cores += attempt.cores;
      allocated.memory += attempt.memory;
      allocated.accelerators += attempt.accelerators;
      if (attempt.state == AttemptState::ordered)
        undeliveredNumbers.push_back(number);
    }
  }
  // Stops the whole gang, including members that have begun: they would wait for the stopped
  // members forever.
  void stopGang(const Attempt& member) {
    const auto numbers = tables.attemptIndex.ofJob(member.job);
    const std::uint32_t stepIndex = member.stepIndex;
    for (auto number : numbers) {
      Attempt& attempt = tables.attempts.at(number);
      if (attempt.stepIndex == stepIndex && !attempt.abandoned)
        stopOne(attempt);
    }
  }
  void stopOne(Attempt& attempt) {
    allocated.cores -= attempt.cores;
    allocated.memory -= attempt.memory;
    allocated.accelerators -= attempt.accelerators;
    AttemptControl(tables).forceStop(attempt, RetryAccounting::exempt);
  }

  ClusterTables& tables;
  TenantCap allocated;
  std::vector<AttemptNumber> undeliveredNumbers;
};

void stopUndeliveredStartsAboveCap(ClusterTables& tables, const TenantName& tenant,
                                   const TenantCap& cap) {
  TenantAttempts attempts(tables, tenant);
  for (auto number : attempts.undeliveredStarts()) {
    if (!attempts.exceedsCap(cap))
      return;
    attempts.stop(number);
  }
}

void keepCapsOfRemovedTenants(ClusterTables& tables, const TenantDirectory& previous) {
  TenantDirectory& current = tables.config.tenants;
  std::set<TenantName> removed;
  for (const auto& [name, options] : previous.all()) {
    if (options.cap.isLimited() && !current.find(name))
      removed.insert(name);
  }
  if (removed.empty())
    return;
  for (const auto& id : tables.openJobs) {
    const TenantName& tenant = tables.jobs.at(id).submission.tenant;
    if (removed.erase(tenant))
      current.keepWithoutKeys(tenant, *previous.find(tenant));
  }
}

}  // namespace

void applyTenantChanges(ClusterTables& tables, const TenantDirectory& previous) {
  keepCapsOfRemovedTenants(tables, previous);
  for (const auto& [name, options] : tables.config.tenants.all()) {
    const TenantOptions* before = previous.find(name);
    if (isLower(options.cap, before ? before->cap : TenantCap{}))
      stopUndeliveredStartsAboveCap(tables, name, options.cap);
  }
}

}  // namespace aniseline
