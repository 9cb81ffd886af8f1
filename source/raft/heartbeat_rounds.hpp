// The numbered heartbeat rounds of one leader's term. Each reply echoes the number of the round
// that it answers, so that the leader knows when it was last in contact. docs/design.md 3.2.
#ifndef ANISELINE_RAFT_HEARTBEAT_ROUNDS_HPP
#define ANISELINE_RAFT_HEARTBEAT_ROUNDS_HPP
#include "raft/options.hpp"

namespace aniseline {

class HeartbeatRounds {
 public:
  // Returns the latest round that was started, or 0 before the first.
  RoundNumber current() const { return latest; }
  // Returns the start time of the latest round.
  MonotonicTime lastStartTime() const { return latestStart; }
  RoundNumber startNext(MonotonicTime now);
  // Returns the start time of a round, or nullopt if it is too old to be remembered.
  std::optional<MonotonicTime> startTimeOf(RoundNumber round) const;
  // Restarts the numbering for a new term as leader.
  void reset();

 private:
  friend struct RaftNodeFingerprint;
  struct Start {
    RoundNumber round;
    MonotonicTime at;
  };
  RoundNumber latest;
  MonotonicTime latestStart;
  std::deque<Start> starts;  // the latest rounds, in order
};

}  // namespace aniseline

#endif  // ANISELINE_RAFT_HEARTBEAT_ROUNDS_HPP
