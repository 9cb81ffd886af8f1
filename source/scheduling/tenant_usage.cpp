// Checks starts against the cap of a tenant.
#include "scheduling/tenant_usage.hpp"

namespace aniseline::scheduling {

namespace {

// A tenant that uses at most its cap divided by this may still start a task that exceeds the cap.
constexpr std::int64_t lowUsageDenominator = 2;

bool isWithin(std::int64_t amount, std::int64_t cap) {
  return cap == 0 || amount <= cap;
}

bool isWithin(const Resources& amount, const Resources& cap) {
  return isWithin(amount.cores, cap.cores) && isWithin(amount.memory, cap.memory) &&
         isWithin(amount.accelerators, cap.accelerators);
}

// Half of a cap of one device rounds down to none.
bool usesAtMostHalf(std::int64_t used, std::int64_t cap) {
  return cap == 0 || used <= cap / lowUsageDenominator;
}

bool usesAtMostHalf(const Resources& used, const Resources& cap) {
  return usesAtMostHalf(used.cores, cap.cores) && usesAtMostHalf(used.memory, cap.memory) &&
         usesAtMostHalf(used.accelerators, cap.accelerators);
}

}  // namespace

bool TenantUsage::admits(const Resources& total, const Resources& smallestPart) const {
  Resources after = used;
  after += total;
  if (isWithin(after, cap))
    return true;
  const Resources smallest =
      smallestOrdered ? leastOf(*smallestOrdered, smallestPart) : smallestPart;
  return usesAtMostHalf(used, cap) && isWithin(after - smallest, cap);
}

}  // namespace aniseline::scheduling
