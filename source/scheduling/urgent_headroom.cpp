// Measures urgent demand and checks starts against the headroom.
#include "scheduling/urgent_headroom.hpp"

namespace aniseline::scheduling {

namespace {

// Work is never held back for headroom while more than two fifths of a pool's cores are free.
constexpr std::int64_t idleShareNumerator = 2;
constexpr std::int64_t idleShareDenominator = 5;

}  // namespace

std::map<std::string, std::int64_t> UrgentHeadroom::measure(
    const std::vector<PlacementUnit>& units) {
  for (const auto& worker : context.workers()) {
    if (!worker.isSchedulable())
      continue;
    UrgentDemand& demand = worker.pool().urgentDemand;
    demand.reported = true;
    demand.schedulableCores += worker.totalResources().cores;
    demand.freeCores += std::max<std::int64_t>(0, worker.guaranteedFreeCores());
  }
  // Units that a tenant cap keeps from starting need no room yet.
  std::map<const TenantUsage*, TenantUsage> usage;
  for (const auto& unit : units) {
    if (!context.isUrgent(unit.queue()) ||
        unit.batch->latencyTarget.status == TargetStatus::expired)
      continue;
    if (const TenantUsage* tenant = unit.step().parent->tenant) {
      TenantUsage& expected = usage.try_emplace(tenant, *tenant).first->second;
      if (!expected.admits(unit.batch->unitTotal, unit.batch->smallestPart))
        continue;
      expected.addOrdered(unit.batch->unitTotal, unit.batch->smallestPart);
    }
    UrgentDemand& demand = unit.queue().pool->urgentDemand;
    demand.reported = true;
    demand.coresPending += unit.batch->coresPerUnit;
  }
  std::map<std::string, std::int64_t> demandByPool;
  for (const auto& [name, pool] : context.pools()) {
    const UrgentDemand& demand = pool.urgentDemand;
    if (demand.reported)
      demandByPool[name] = demand.coresInUse + demand.coresPending;
  }
  return demandByPool;
}

bool UrgentHeadroom::preservesHeadroom(const PlacementUnit& unit) const {
  const LatencyTargetAssessment& target = unit.batch->latencyTarget;
  const bool hasLittleTime = target.lowSlack && target.status != TargetStatus::expired;
  if (!context.options().strictPriority || context.isUrgent(unit.queue()) || hasLittleTime)
    return true;
  const UrgentDemand& demand = unit.queue().pool->urgentDemand;
  if (!demand.recentDemand ||
      idleShareDenominator * demand.freeCores > idleShareNumerator * demand.schedulableCores)
    return true;
  return demand.freeCores - unit.batch->coresPerUnit >= *demand.recentDemand - demand.coresInUse;
}

void UrgentHeadroom::recordStart(const PlacementUnit& unit) const {
  unit.queue().pool->urgentDemand.freeCores -= unit.batch->coresPerUnit;
}

}  // namespace aniseline::scheduling
