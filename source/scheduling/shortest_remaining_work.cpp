// Sorts units with a latency target by the work that their jobs still have to start.
#include "scheduling/shortest_remaining_work.hpp"
#include <algorithm>

namespace aniseline::scheduling {

namespace {

bool hasTarget(const PlacementUnit& unit) {
  return unit.queue().options->hasLatencyTarget();
}

bool mayExchangePositions(const PlacementUnit& left, const PlacementUnit& right) {
  return left.batch->queuePriority == right.batch->queuePriority &&
         left.batch->latencyTarget.status == right.batch->latencyTarget.status;
}

using Position = std::vector<PlacementUnit>::iterator;

void orderGroup(Position first, Position last) {
  std::vector<Position> positions;
  std::vector<PlacementUnit> units;
  for (Position position = first; position != last; ++position) {
    if (!hasTarget(*position))
      continue;
    positions.push_back(position);
    units.push_back(*position);
  }
  std::stable_sort(units.begin(), units.end(),
                   [](const PlacementUnit& left, const PlacementUnit& right) {
                     return left.batch->jobWorkToStart < right.batch->jobWorkToStart;
                   });
  for (std::size_t index = 0; index < positions.size(); ++index)
    *positions[index] = units[index];
}

}  // namespace

void orderByRemainingWork(std::vector<PlacementUnit>& units) {
  for (Position first = units.begin(); first != units.end();) {
    const Position last = std::find_if(first, units.end(), [&](const PlacementUnit& unit) {
      return !mayExchangePositions(*first, unit);
    });
    if (first->batch->latencyTarget.status != TargetStatus::expired)
      orderGroup(first, last);
    first = last;
  }
}

}  // namespace aniseline::scheduling
