// Numbers the polls, so that the reply to an abandoned poll can be told apart.
#include "agent/poll_state.hpp"

namespace aniseline {

std::uint64_t PollState::begin(MonotonicTime now) {
  pollInFlight = true;
  lastPollAt = now;
  return ++pollsStarted;
}

bool PollState::finish(const WorkerCall& call) {
  if (!pollInFlight || call.callId != pollsStarted)
    return false;
  pollInFlight = false;
  return true;
}

void PollState::onReply(const WorkerCall& call, const WorkerReply& reply, MonotonicTime now) {
  completedOnce = true;
  confirmedNumber = std::max(confirmedNumber, call.confirmedUpTo);
  lastPollAt = now;
  resultsLeftOut = !reply.complete;
}

void PollState::onReplyHandled(const WorkerCall& call) {
  if (expired && call.callId >= firstPollAfterExpiry)
    expired = false;
}

void PollState::noteLeaseExpired() {
  expired = true;
  firstPollAfterExpiry = nextNumber();
}

}  // namespace aniseline
