// Headroom for urgent work under strict priority: less urgent work that has time left leaves free
// the cores that the highest-priority queues have needed recently. This replaces the paper's
// immediate service on workers that can't suspend. docs/paper.md 5, docs/design.md 7.8.
#ifndef ANISELINE_SCHEDULING_URGENT_HEADROOM_HPP
#define ANISELINE_SCHEDULING_URGENT_HEADROOM_HPP
#include "scheduling/placement_unit.hpp"
#include "scheduling/scheduling_context.hpp"

namespace aniseline::scheduling {

class UrgentHeadroom {
 public:
  explicit UrgentHeadroom(SchedulingContext& context) : context(context) {}

  /// Sums up the free cores of each pool and the cores that urgent work uses and requests there.
  /// Returns this demand by pool, in thousandths of a core, for the leader's hints to later plans.
  /// Must be called before anything is started; without strict priority the call is not needed.
  std::map<std::string, std::int64_t> measure(const std::vector<PlacementUnit>& units);

  /// Reports whether the unit may start without using the headroom. Always true for urgent work and
  /// for work that has little time left.
  bool preservesHeadroom(const PlacementUnit& unit) const;
  /// Subtracts a started unit from the free cores of its pool.
  void recordStart(const PlacementUnit& unit) const;

 private:
  SchedulingContext& context;
};

}  // namespace aniseline::scheduling

#endif  // ANISELINE_SCHEDULING_URGENT_HEADROOM_HPP
