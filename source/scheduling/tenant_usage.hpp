// What the attempts of one tenant hold on all workers, against its cap. SchedulingContext keeps one
// for each tenant with a cap; the attempts of the cluster state are added as they are projected,
// and each start of a plan as it is decided. Every start that may take effect stands in the log
// that the plan is made from, so the sum is exact whichever controller leads. docs/design.md 7.13.
#ifndef ANISELINE_SCHEDULING_TENANT_USAGE_HPP
#define ANISELINE_SCHEDULING_TENANT_USAGE_HPP
#include "scheduling/resources.hpp"
#include "state/tenants.hpp"

namespace aniseline::scheduling {

class TenantUsage {
 public:
  explicit TenantUsage(const TenantCap& cap) : cap(resourcesOf(cap)) {}

  /// An attempt that its worker has reported to run.
  void addRunning(const Resources& resources) { used += resources; }
  /// Starts that no worker has reported: they may take effect in any order. `smallestPart` is of
  /// each resource the least that one of them requests.
  void addOrdered(const Resources& total, const Resources& smallestPart) {
    used += total;
    smallestOrdered = smallestOrdered ? leastOf(*smallestOrdered, smallestPart) : smallestPart;
  }

  /// May this much more run? `total` is of one task or of all parts of a gang, `smallestPart` of
  /// the least of them. The cap is not passed, with one exception: a tenant that uses no more than
  /// half of it may start what would pass it by less than one task, or else a task larger than the
  /// rest of a small cap would wait for an idle tenant, and one larger than the whole cap for ever.
  /// In whatever order the starts on their way take effect, none finds its tenant above the cap: so
  /// by less than the smallest of them all.
  bool admits(const Resources& total, const Resources& smallestPart) const;

 private:
  Resources cap;  // 0: no limit
  Resources used;
  std::optional<Resources> smallestOrdered;  // of each resource; none: nothing is on its way
};

}  // namespace aniseline::scheduling

#endif  // ANISELINE_SCHEDULING_TENANT_USAGE_HPP
