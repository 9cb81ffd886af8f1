// A view of a worker pool for one plan: its eligible workers for each label, and the cores that
// urgent work uses and requests there.
#ifndef ANISELINE_SCHEDULING_POOL_VIEW_HPP
#define ANISELINE_SCHEDULING_POOL_VIEW_HPP
#include "scheduling/failed_requests.hpp"
#include <map>
#include <optional>
#include <string>

namespace aniseline::scheduling {

/// The workers of one pool that have one label, in ascending order of their indices. Filled by
/// eligibleWorkers().
struct EligibleWorkers {
  std::vector<std::size_t> workerIndices;
  bool anySupportsSuspend = false;
  FailedRequests failedBackfills;  // single tasks that found no worker beside the reserved start
};

/// The input of UrgentHeadroom for a pool, in thousandths of a core. Only UrgentHeadroom reads and
/// writes it, except that attempt projection sums up the cores in use.
struct UrgentDemand {
  std::int64_t schedulableCores = 0;
  std::int64_t freeCores = 0;     // decreases as this plan starts work
  std::int64_t coresInUse = 0;    // by attempts of the highest-priority queues
  std::int64_t coresPending = 0;  // requested by pending units of these queues
  bool reported = false;          // set if the pool has schedulable workers or urgent work
  std::optional<std::int64_t> recentDemand;  // the leader's hint, see PlannerHints
};

struct PoolView {
  std::size_t workerCount = 0;
  UrgentDemand urgentDemand;
  std::map<std::string, EligibleWorkers> eligibleByLabel;
};

}  // namespace aniseline::scheduling

#endif  // ANISELINE_SCHEDULING_POOL_VIEW_HPP
