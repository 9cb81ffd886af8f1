// The settings and fixed limits of the consensus module, each with its unit and reason.
// docs/design.md 3.2, 3.4.
#ifndef ANISELINE_RAFT_OPTIONS_HPP
#define ANISELINE_RAFT_OPTIONS_HPP
#include "base/types.hpp"

namespace aniseline {

struct RaftOptions {
  // How often a leader contacts each follower when there is nothing else to send.
  Duration heartbeatInterval{100};
  // The election timeout is drawn anew from this range whenever it is reset. The minimum is
  // several heartbeats, so that one that is lost starts no election; a leader without contact to a
  // majority for the maximum steps down.
  Duration electionTimeoutMin{500};
  Duration electionTimeoutMax{1000};
  // Bytes of entries in one AppendEntries message, at most (one entry is always allowed).
  std::size_t maxBatchBytes = 512 * 1024;
  // Rounds of heartbeats that no majority has confirmed yet, at most; beyond it a leader begins one
  // each heartbeat interval, and what is wanted meanwhile shares the next one.
  std::uint64_t maxUnconfirmedRounds = 3;
  // Entries kept behind a snapshot so that a follower slightly behind needs no snapshot. More are
  // kept for a member that is being caught up.
  std::size_t retainedEntries = 2000;
  // Bytes of the log kept in memory behind a snapshot, in any case at most.
  std::size_t maxRetainedBytes = 16 * 1024 * 1024;
  // Bytes sent to one follower and not acknowledged yet, at most; a larger entry goes in chunks.
  std::size_t maxUnacknowledgedBytes = 1024 * 1024;
  // Bytes of a snapshot or a large entry in one message, so that a heartbeat waits 65 ms behind one
  // at 2 Mbit/s. Also the smallest send window of a slow link.
  std::size_t chunkBytes = 16 * 1024;
};

// Limits that no deployment needs to change.
struct RaftLimits {
  // The send window before anything is known of the link, in bytes: a quarter of a second at
  // 2 Mbit/s.
  static constexpr std::size_t initialWindowBytes = 64 * 1024;
  // How often the index from which a follower counts as caught up is advanced. A follower is caught
  // up when it holds what was committed one to two of these ago, since under load no follower ever
  // holds everything. It is longer than a round on the slowest links that a leader keeps its
  // followers on, and shorter than any election timeout.
  static constexpr Duration caughtUpInterval{250};
  // How long a leader waits before it tells its followers of a new commit index, so that several
  // commits share one round.
  static constexpr Duration commitNotificationDelay{10};
  // A learner that has heard no leader for so long may have been removed while it was away, and
  // asks to join again.
  static constexpr Duration learnerLeaderTimeout{2000};
  // Between two requests to join.
  static constexpr Duration joinRetryInterval{500};
  // A node whose own ticks are further apart than so many heartbeats was paused itself, and reads
  // its unread messages before it judges the others' silence.
  static constexpr std::int64_t pauseThresholdHeartbeats = 2;
  // However often a leader is paused, it steps down after so many maximal election timeouts without
  // contact to a majority.
  static constexpr std::int64_t maxElectionTimeoutsWhilePaused = 5;
  // Rounds whose beginning is remembered, so that a late reply still says when contact was.
  static constexpr std::size_t rememberedRounds = 256;
  // Senders whose latest address is remembered, members or not; more than a cluster ever has.
  static constexpr std::size_t rememberedAddresses = 64;
};

}  // namespace aniseline

#endif  // ANISELINE_RAFT_OPTIONS_HPP
