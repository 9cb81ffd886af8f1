// The state of the polls of a worker: which one is in flight, which results the completed ones have
// confirmed, and whether a poll is required because the worker's lease expired. Only one poll is in
// flight at a time. Owned and called by NodeAgent. docs/design.md 5.8.
#ifndef ANISELINE_AGENT_POLL_STATE_HPP
#define ANISELINE_AGENT_POLL_STATE_HPP
#include "agent/worker_messages.hpp"

namespace aniseline {

class PollState {
 public:
  // Starts a poll. Returns its number, counted from 1, which is the call id of the poll.
  std::uint64_t begin(MonotonicTime now);
  // Handles the end of a poll, with or without a reply. Returns false if it is not the poll in
  // flight, in which case its reply holds nothing new.
  bool finish(const WorkerCall& call);
  // Handles the worker's reply, which lists its runs and results.
  void onReply(const WorkerCall& call, const WorkerReply& reply, MonotonicTime now);
  // Handles the end of the processing of a reply: a poll that started after the lease expired
  // clears the expired state.
  void onReplyHandled(const WorkerCall& call);

  // Records that the lease has expired. Until a poll that starts after this call is answered, no
  // run is started, and successes that the worker returns are void.
  void noteLeaseExpired();
  bool leaseExpired() const { return expired; }

  bool inFlight() const { return pollInFlight; }
  bool everCompleted() const { return completedOnce; }
  // Reports whether the latest reply omitted results.
  bool moreResults() const { return resultsLeftOut; }
  // Returns the sequence number up to which the worker has certainly discarded its results: a poll
  // that confirmed them was answered.
  std::uint64_t confirmedUpTo() const { return confirmedNumber; }
  Duration sinceLast(MonotonicTime now) const { return now - lastPollAt; }
  // Returns the number of the next poll; only that poll or a later one reflects the current state.
  std::uint64_t nextNumber() const { return pollsStarted + 1; }

 private:
  bool pollInFlight = false;
  bool completedOnce = false;
  bool resultsLeftOut = false;
  // The time at which the latest poll started or was answered.
  MonotonicTime lastPollAt{-1'000'000};
  std::uint64_t pollsStarted = 0;
  std::uint64_t confirmedNumber = 0;
  bool expired = false;
  std::uint64_t firstPollAfterExpiry = 0;
};

}  // namespace aniseline

#endif  // ANISELINE_AGENT_POLL_STATE_HPP
