// Sends responses once they are committed and confirmed by a majority. docs/design.md 8.2.
#include "controller/controller.hpp"

namespace aniseline {

namespace {
constexpr Duration notLeaderRetryDelay{200};
}  // namespace

ApiResponse Controller::notLeaderResponse() const {
  ApiResponse response =
      ApiResponse::error(503, "unknown", "this controller is not the leader", notLeaderRetryDelay);
  response.notLeader = true;
  for (const auto& member : raft.membership())
    if (member.id == raft.leaderId() && member.id != raft.self().id)
      response.leader = member.address;
  return response;
}

// Names no leader, since this controller only knows that of its own cluster.
ApiResponse Controller::otherClusterResponse() {
  ApiResponse response = ApiResponse::notApplied("this controller belongs to another cluster");
  response.notLeader = true;
  return response;
}

void Controller::sendResponse(RequestNumber number, ApiResponse response) {
  responses.push_back({number, std::move(response)});
}

void Controller::applyDecision(PendingRequest& pending, RequestDecision decision) {
  const bool appends = decision.event.has_value();
  if (appends)
    append(std::move(*decision.event));
  respondWhenCommitted(pending, std::move(decision.response), appends);
}

// A response is based on the speculative state. It is therefore sent only when everything in that
// state is committed, and a majority has confirmed a round that began after the request arrived.
void Controller::respondWhenCommitted(PendingRequest& pending, ApiResponse response,
                                      bool appended) {
  pending.stage = RequestStage::awaitingCommit;
  pending.response = std::move(response);
  pending.appendedToLog = appended;
  pending.requiredCommitIndex = raft.lastIndex();
  pending.requiredRound = raft.startRound(now);
}

bool Controller::isConfirmed(const PendingRequest& pending, RoundNumber confirmedRound) const {
  return pending.requiredCommitIndex <= raft.commitIndex() &&
         pending.requiredRound <= confirmedRound;
}

void Controller::respondToPolls() {
  for (const auto& worker : stateMachine.takeWorkersWithUpdates())
    requests.markPollsOf(worker);
  requests.markDuePolls(now);
  const RoundNumber confirmedRound = raft.confirmedRound();
  requests.markConfirmedPolls([&](const PendingRequest& poll) {
    return now >= poll.deadline || isConfirmed(poll, confirmedRound);
  });
  requests.visitPollsToCheck(
      [&](const PendingRequest& poll) { respondToPoll(poll, confirmedRound); });
}

void Controller::respondToPoll(const PendingRequest& poll, RoundNumber confirmedRound) {
  SyncResponder::Outcome outcome;
  if (now >= poll.deadline)
    outcome.response = ApiResponse::outcomeUnknown("no majority of the controllers responds");
  else if (!isConfirmed(poll, confirmedRound))
    return requests.awaitConfirmation(poll);
  else
    outcome = syncResponder.respond(poll, committed(), raft.term(), now);
  if (!outcome.response)
    return requests.deferPoll(poll, outcome.checkAt);
  sendResponse(poll.number, std::move(*outcome.response));
  requests.remove(poll.sequenceNumber);
}

void Controller::sendCommittedResponses() {
  const RoundNumber confirmedRound = raft.confirmedRound();
  requests.visitUnanswered([&](const PendingRequest& pending) {
    const bool isHandled = pending.stage == RequestStage::awaitingCommit;
    const bool isReady = isHandled && isConfirmed(pending, confirmedRound);
    if (!isReady && now < pending.deadline)
      return;
    if (isReady)
      sendResponse(pending.number, pending.response);
    else if (!isHandled)
      sendResponse(pending.number,
                   ApiResponse::notApplied("the leader is not ready to serve requests yet"));
    else
      sendResponse(pending.number, ApiResponse::outcomeUnknown(
                                       "no majority of the controllers responds; try again"));
    requests.remove(pending.sequenceNumber);
  });
}

}  // namespace aniseline
