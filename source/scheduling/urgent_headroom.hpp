// Headroom for urgent work where the config has strict priority: less urgent work that has time
// leaves free what the queues of the highest priority have wanted lately. It stands in for the
// paper's immediate service on workers that can't suspend. docs/paper.md 5, docs/design.md 7.8.
#ifndef ANISELINE_SCHEDULING_URGENT_HEADROOM_HPP
#define ANISELINE_SCHEDULING_URGENT_HEADROOM_HPP
#include "scheduling/placement_unit.hpp"
#include "scheduling/scheduling_context.hpp"

namespace aniseline::scheduling {

class UrgentHeadroom {
 public:
  explicit UrgentHeadroom(SchedulingContext& context) : context(context) {}

  /// Sums up what each pool has free, and what urgent work uses and wants there. Returns that
  /// demand by pool, in thousandths of a core, for the leader's hints to later plans. To be called
  /// before anything is started; without strict priority it need not be called.
  std::map<std::string, std::int64_t> measure(const std::vector<PlacementUnit>& units);

  /// May the unit start without taking from the headroom? Urgent work, and work that has little
  /// time left, always may.
  bool leavesEnough(const PlacementUnit& unit) const;
  /// Accounts for a unit that was started.
  void recordStart(const PlacementUnit& unit) const;

 private:
  SchedulingContext& context;
};

}  // namespace aniseline::scheduling

#endif  // ANISELINE_SCHEDULING_URGENT_HEADROOM_HPP
