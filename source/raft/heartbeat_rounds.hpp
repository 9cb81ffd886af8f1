// The numbered rounds of heartbeats of one leadership. Each reply repeats the number of the round
// that it answers, so that a leader knows when it was in contact. docs/design.md 3.2.
#ifndef ANISELINE_RAFT_HEARTBEAT_ROUNDS_HPP
#define ANISELINE_RAFT_HEARTBEAT_ROUNDS_HPP
#include "raft/options.hpp"

namespace aniseline {

class HeartbeatRounds {
 public:
  // The latest round that was begun; 0 before the first.
  RoundNumber current() const { return latest; }
  // When the latest round began.
  MonotonicTime lastStartTime() const { return latestStart; }
  RoundNumber startNext(MonotonicTime now);
  // When a round began, unless that is too long ago to be remembered.
  std::optional<MonotonicTime> startTimeOf(RoundNumber round) const;
  // Begins the numbering anew, for a new leadership.
  void reset();

 private:
  friend struct RaftNodeFingerprint;
  struct Start {
    RoundNumber round;
    MonotonicTime at;
  };
  RoundNumber latest;
  MonotonicTime latestStart;
  std::deque<Start> starts;  // of the latest rounds, in their order
};

}  // namespace aniseline

#endif  // ANISELINE_RAFT_HEARTBEAT_ROUNDS_HPP
