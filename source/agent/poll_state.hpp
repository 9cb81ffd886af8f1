// The polls of the worker: which one is in flight, what the completed ones have covered, and
// whether a poll is needed since the worker's lease expired. There is one poll at a time. Owned and
// called by NodeAgent. docs/design.md 5.8.
#ifndef ANISELINE_AGENT_POLL_STATE_HPP
#define ANISELINE_AGENT_POLL_STATE_HPP
#include "agent/worker_messages.hpp"

namespace aniseline {

class PollState {
 public:
  // A poll begins now. Returns its number, counted from 1, which is its call's id.
  std::uint64_t begin(MonotonicTime now);
  // A poll is over, replied to or not. False: it is not the one in flight, and says nothing new.
  bool finish(const WorkerCall& call);
  // The worker has replied to the poll with its runs and results.
  void onReply(const WorkerCall& call, const WorkerReply& reply, MonotonicTime now);
  // The reply's results have been recorded: a poll begun since the lease expired ends that state.
  void onReplyHandled(const WorkerCall& call);

  // The lease has expired. Until a poll that begins from now on is answered nothing is started, and
  // successes that the worker shows are void.
  void noteLeaseExpired();
  bool leaseExpired() const { return expired; }

  bool inFlight() const { return pollInFlight; }
  bool everCompleted() const { return completedOnce; }
  // The latest reply left results out.
  bool moreResults() const { return resultsLeftOut; }
  // The worker has surely forgotten its results up to this number: a poll that confirmed them was
  // replied to.
  std::uint64_t confirmedUpTo() const { return confirmedNumber; }
  Duration sinceLast(MonotonicTime now) const { return now - lastPollAt; }
  // The number of the next poll to begin: only that one, or a later one, shows what happens now.
  std::uint64_t nextNumber() const { return pollsStarted + 1; }

 private:
  bool pollInFlight = false;
  bool completedOnce = false;
  bool resultsLeftOut = false;
  // When the latest poll began or was replied to.
  MonotonicTime lastPollAt{-1'000'000};
  std::uint64_t pollsStarted = 0;
  std::uint64_t confirmedNumber = 0;
  bool expired = false;
  std::uint64_t firstPollAfterExpiry = 0;
};

}  // namespace aniseline

#endif  // ANISELINE_AGENT_POLL_STATE_HPP
