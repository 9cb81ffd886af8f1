// A pool of workers as one plan sees it: which of its workers are eligible for a label, and the
// cores that urgent work uses and wants there.
#ifndef ANISELINE_SCHEDULING_POOL_VIEW_HPP
#define ANISELINE_SCHEDULING_POOL_VIEW_HPP
#include "scheduling/failed_requests.hpp"
#include <map>
#include <optional>
#include <string>

namespace aniseline::scheduling {

/// The workers of one pool that have one label, in ascending order of their index. Filled by
/// eligibleWorkers().
struct EligibleWorkers {
  std::vector<std::size_t> workerIndices;
  bool anySupportsSuspend = false;
  FailedRequests failedBackfills;  // single tasks that found no worker beside the reserved start
};

/// What UrgentHeadroom weighs for a pool; it alone reads and writes it, but for the cores in use,
/// which are summed up as the attempts are projected. All in thousandths of a core.
struct UrgentDemand {
  std::int64_t schedulableCores = 0;
  std::int64_t freeCores = 0;                // falls as this plan starts work
  std::int64_t coresInUse = 0;               // by attempts of the queues of the highest priority
  std::int64_t coresPending = 0;             // requested by pending units of these queues
  bool reported = false;                     // the pool has schedulable workers, or urgent work
  std::optional<std::int64_t> recentDemand;  // the leader's hint, see PlannerHints
};

struct PoolView {
  std::size_t workerCount = 0;
  UrgentDemand urgentDemand;
  std::map<std::string, EligibleWorkers> eligibleByLabel;
};

}  // namespace aniseline::scheduling

#endif  // ANISELINE_SCHEDULING_POOL_VIEW_HPP
