// Times since which work has been passed over. docs/design.md 7.9.
#include "controller/passed_over_tracker.hpp"

namespace aniseline {

void PassedOverTracker::record(const std::vector<PassedOverUnit>& units, MonotonicTime now) {
  std::map<PassedOverUnit, MonotonicTime> next;
  for (const auto& unit : units) {
    const auto known = since.find(unit);
    next.emplace(unit, known == since.end() ? now : known->second);
  }
  since = std::move(next);
}

std::map<PassedOverUnit, Duration> PassedOverTracker::durations(MonotonicTime now) const {
  std::map<PassedOverUnit, Duration> durations;
  for (const auto& [unit, passedOverSince] : since)
    durations.emplace(unit, now - passedOverSince);
  return durations;
}

}  // namespace aniseline
