// Updates the allocations of a worker when trials suspend attempts.
#include "scheduling/worker_view.hpp"

namespace aniseline::scheduling {

void WorkerView::suspendForTrial(const Attempt& victim, Duration quantum) {
  for (auto& allocation : allocationList) {
    if (allocation.attempt != &victim)
      continue;
    updateTotals(allocation, -1);
    allocation.suspended = true;
    updateTotals(allocation, 1);
    allocation.expectedEnd = allocation.expectedEnd + quantum;
  }
}

void WorkerView::postpone(const std::vector<const Attempt*>& victims, Duration quantum) {
  for (auto& allocation : allocationList) {
    if (std::find(victims.begin(), victims.end(), allocation.attempt) != victims.end())
      allocation.expectedEnd = allocation.expectedEnd + quantum;
  }
}

void WorkerView::markTrialsWithVictims(const std::set<AttemptNumber>& trials) {
  for (auto& allocation : allocationList) {
    if (!trials.count(allocation.attempt->number))
      continue;
    updateTotals(allocation, -1);
    allocation.isTrialWithVictims = true;
    updateTotals(allocation, 1);
  }
}

}  // namespace aniseline::scheduling
