// The resources that the attempts of one tenant hold on all workers, compared with its cap.
// SchedulingContext keeps one for each tenant with a cap; the attempts of the cluster state are
// added as they are projected, and each start of a plan as it is decided. Every start that may take
// effect is in the log that the plan is made from, so the sum is exact whichever controller leads.
// docs/design.md 7.13.
#ifndef ANISELINE_SCHEDULING_TENANT_USAGE_HPP
#define ANISELINE_SCHEDULING_TENANT_USAGE_HPP
#include "scheduling/resources.hpp"
#include "state/tenants.hpp"

namespace aniseline::scheduling {

class TenantUsage {
 public:
  explicit TenantUsage(const TenantCap& cap) : cap(resourcesOf(cap)) {}

  /// Adds an attempt that its worker has reported as running.
  void addRunning(const Resources& resources) { used += resources; }
  /// Adds starts that no worker has reported yet; they may take effect in any order. `smallestPart`
  /// is the smallest request of any of them, per resource.
  void addOrdered(const Resources& total, const Resources& smallestPart) {
    used += total;
    smallestOrdered = smallestOrdered ? leastOf(*smallestOrdered, smallestPart) : smallestPart;
  }

  /// Reports whether this much more may run. `total` is the request of one task or of all parts of
  /// a gang, `smallestPart` the smallest request of any part, per resource.
  ///
  /// The cap is not exceeded, with one exception: a tenant that uses no more than half of its cap
  /// may start work that exceeds it by less than one task. Otherwise a task larger than the rest of
  /// a small cap would wait until the tenant is idle, and a task larger than the whole cap would
  /// wait forever. Unreported starts may take effect in any order, and none of them may find its
  /// tenant above the cap, so the excess must be less than the smallest of them all.
  bool admits(const Resources& total, const Resources& smallestPart) const;

 private:
  Resources cap;  // 0 means no limit
  Resources used;
  std::optional<Resources> smallestOrdered;  // per resource; empty without unreported starts
};

}  // namespace aniseline::scheduling

#endif  // ANISELINE_SCHEDULING_TENANT_USAGE_HPP
