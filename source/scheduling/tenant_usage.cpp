#include "scheduling/tenant_usage.hpp"

namespace aniseline::scheduling {

namespace {

// Of its cap, what a tenant may use and still start a task that passes it.
constexpr std::int64_t idleShareDenominator = 2;

bool isWithin(std::int64_t amount, std::int64_t cap) {
  return cap == 0 || amount <= cap;
}

bool isWithin(const Resources& amount, const Resources& cap) {
  return isWithin(amount.cores, cap.cores) && isWithin(amount.memory, cap.memory) &&
         isWithin(amount.accelerators, cap.accelerators);
}

// A cap of one device leaves none for the half.
bool usesAtMostHalf(std::int64_t used, std::int64_t cap) {
  return cap == 0 || used <= cap / idleShareDenominator;
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
