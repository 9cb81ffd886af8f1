// Numbers heartbeat rounds and remembers when recent ones started.
#include "raft/heartbeat_rounds.hpp"

namespace aniseline {

RoundNumber HeartbeatRounds::startNext(MonotonicTime now) {
  latest = latest.next();
  latestStart = now;
  starts.push_back({latest, now});
  if (starts.size() > RaftLimits::rememberedRounds)
    starts.pop_front();
  return latest;
}

std::optional<MonotonicTime> HeartbeatRounds::startTimeOf(RoundNumber round) const {
  for (const auto& start : starts) {
    if (start.round == round)
      return start.at;
  }
  return std::nullopt;
}

void HeartbeatRounds::reset() {
  latest = RoundNumber{};
  starts.clear();
}

}  // namespace aniseline
