// Settings and fixed limits of the consensus module, each with its unit and the reason for its
// value. docs/design.md 3.2, 3.4.
#ifndef ANISELINE_RAFT_OPTIONS_HPP
#define ANISELINE_RAFT_OPTIONS_HPP
#include "base/types.hpp"

namespace aniseline {

struct RaftOptions {
  // Interval at which a leader contacts each follower if there is nothing else to send.
  Duration heartbeatInterval{100};
  // Range from which the election timeout is drawn each time it is reset. The minimum is several
  // heartbeats, so that one lost heartbeat does not start an election. A leader that has had no
  // contact with a majority for the maximum steps down.
  Duration electionTimeoutMin{500};
  Duration electionTimeoutMax{1000};
  // Maximum size of the entries in one AppendEntries message, in bytes. A single entry may exceed
  // it.
  std::size_t maxBatchBytes = 512 * 1024;
  // Maximum number of heartbeat rounds that no majority has confirmed yet. Beyond it a leader
  // starts only one round per heartbeat interval, and requests that arrive in the meantime share
  // the next round.
  std::uint64_t maxUnconfirmedRounds = 3;
  // Number of entries retained behind a snapshot, so that a slightly lagging follower does not need
  // the snapshot. More entries are retained for a member that is being caught up.
  std::size_t retainedEntries = 2000;
  // Upper limit, in bytes, for the log retained in memory behind a snapshot. It takes precedence
  // over every other reason to retain entries.
  std::size_t maxRetainedBytes = 16 * 1024 * 1024;
  // Maximum number of unacknowledged bytes sent to one follower. A larger entry is sent in chunks.
  std::size_t maxUnacknowledgedBytes = 1024 * 1024;
  // Number of bytes of a snapshot or large entry in one message. A heartbeat queued behind one
  // chunk waits 65 ms at 2 Mbit/s. This is also the smallest send window on a slow link.
  std::size_t chunkBytes = 16 * 1024;
};

// Limits that no deployment needs to change.
struct RaftLimits {
  // Send window, in bytes, while nothing is known about the link: a quarter of a second at
  // 2 Mbit/s.
  static constexpr std::size_t initialWindowBytes = 64 * 1024;
  // Interval at which the caught-up index advances. A follower is caught up if it holds every entry
  // that was committed one to two intervals ago, since under load no follower ever holds every
  // entry. The interval is longer than a heartbeat round on the slowest links over which a leader
  // can keep its followers, and shorter than any election timeout.
  static constexpr Duration caughtUpInterval{250};
  // Delay before a leader notifies its followers of a new commit index, so that several commits
  // share one round.
  static constexpr Duration commitNotificationDelay{10};
  // A learner that has had no contact with a leader for this long may have been removed while it
  // was unreachable, and sends another join request.
  static constexpr Duration learnerLeaderTimeout{2000};
  // Interval between two join requests.
  static constexpr Duration joinRetryInterval{500};
  // A node whose ticks are more than this number of heartbeat intervals apart was paused itself. It
  // reads its unread messages before it concludes that other members are silent.
  static constexpr std::int64_t pauseThresholdHeartbeats = 2;
  // Even if it is paused repeatedly, a leader steps down after this number of maximum election
  // timeouts without contact with a majority.
  static constexpr std::int64_t maxElectionTimeoutsWhilePaused = 5;
  // Number of rounds whose start times are remembered, so that a late reply still yields the time
  // of contact.
  static constexpr std::size_t rememberedRounds = 256;
  // Number of senders, members or not, whose latest addresses are remembered. It exceeds the size
  // of any cluster.
  static constexpr std::size_t rememberedAddresses = 64;
};

}  // namespace aniseline

#endif  // ANISELINE_RAFT_OPTIONS_HPP
