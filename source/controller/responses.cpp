// When a response may leave: committed, and confirmed by a majority. docs/design.md 8.
#include "controller/controller.hpp"

namespace aniseline {

ApiResponse Controller::notLeaderResponse() const {
  ApiResponse answer =
      ApiResponse::error(503, "unknown", "this controller does not lead", Duration{200});
  answer.notLeader = true;
  for (const auto& member : raft.membership())
    if (member.id == raft.leaderId() && member.id != raft.self().id)
      answer.leader = member.address;
  return answer;
}

void Controller::sendResponse(const PendingRequest& record, ApiResponse given) {
  responses.emplace_back(record.number, std::move(given));
}

// An answer rests on the speculative state, so it leaves only when all that cluster state holds is
// committed and a round begun after the request came has been confirmed by a majority.
// docs/design.md 8.2.
void Controller::respondWhenCommitted(PendingRequest& record, ApiResponse given, bool logged) {
  record.stage = RequestStage::awaitingCommit;
  record.response = std::move(given);
  record.appendedToLog = logged;
  record.requiredCommitIndex = raft.lastIndex();
  record.requiredRound = raft.startRound(now);
}

// Looks at the polls of which something may have changed: not yet confirmed, their time come, or
// their worker given orders.
void Controller::respondToPolls() {
  const RoundNumber confirmed = raft.confirmedRound();
  for (const auto& id : committedState.takeUpdatedWorkers())
    if (auto found = pollsByWorker.find(id); found != pollsByWorker.end())
      pollsToCheck.insert(found->second.begin(), found->second.end());
  for (; !pollCheckTimes.empty() && pollCheckTimes.begin()->first <= now;
       pollCheckTimes.erase(pollCheckTimes.begin()))
    if (requests.count(pollCheckTimes.begin()->second))
      pollsToCheck.insert(pollCheckTimes.begin()->second);
  for (auto place = pollsToCheck.begin(); place != pollsToCheck.end();) {
    const auto looked = *place++;
    if (tryRespondToPoll(requests.at(looked), confirmed))
      removeRequest(looked);
  }
}

// Answers a waiting sync, or notes when it is to be looked at again.
bool Controller::tryRespondToPoll(const PendingRequest& record, RoundNumber confirmed) {
  if (now >= record.deadline) {
    sendResponse(record, ApiResponse::outcomeUnknown("no majority of the controllers answers"));
    return true;
  }
  if (record.requiredCommitIndex > raft.commitIndex() || record.requiredRound > confirmed)
    return false;
  auto lookAgain = [&](MonotonicTime at) {
    pollCheckTimes.emplace(std::min(at, record.deadline), record.sequenceNumber);
    pollsToCheck.erase(record.sequenceNumber);
    return false;
  };
  const auto& report = record.request.report;
  auto found = committedState.workers().find(report.id);
  if (found == committedState.workers().end())
    return lookAgain(record.deadline);
  if (found->second.incarnation != report.incarnation) {
    sendResponse(record,
                 ApiResponse::error(410, "gone",
                                    "this incarnation is replaced: stop all tasks and begin anew"));
    return true;
  }
  SyncResponse answered;
  OrderNumber known = report.wantsPackedResponse
                          ? std::max(report.lastAppliedOrder, report.lastReceivedOrder)
                          : report.lastAppliedOrder;
  MonotonicTime sentAgain = record.deadline;
  if (auto sent = sentOrders.find(report.id);
      report.wantsPackedResponse && report.lastReceivedOrder.value && sent != sentOrders.end() &&
      now - sent->second.sentAt < Duration{500}) {
    known = std::max(known, sent->second.lastOrder);
    sentAgain = sent->second.sentAt + Duration{500};
  }
  for (const auto& order : found->second.unappliedOrders)
    if (order.number > known)
      answered.orders.push_back(order);
  if (answered.orders.empty() && now < record.pollUntil)
    return lookAgain(std::min(sentAgain, record.pollUntil));
  answered.term = raft.term();
  answered.lease = report.unresponsive ? Duration{0} : options.leaseDuration;
  for (const auto& ending : report.results) {
    auto open = committedState.attempts().find(ending.attempt);
    if (open == committedState.attempts().end() || open->second.worker != report.id)
      answered.confirmedAttempts.push_back(ending.attempt);
  }
  if (report.wantsPackedResponse) {
    for (const auto& ending : report.runResults) {
      if (committedState.findAttempt(report.id, ending.runId).value)
        break;
      ++answered.finalResultCount;
    }
    answered.ordersAfter = known;
    if (!answered.orders.empty())
      sentOrders[report.id] = {answered.orders.back().number, now};
    ApiResponse packedAnswer;
    packedAnswer.body = pack(answered);
    sendResponse(record, std::move(packedAnswer));
    return true;
  }
  answered.gateways =
      orderedByZonePreference(liveGateways(now), report.capacity.zone, checksum(report.id.value));
  sendResponse(record, ApiResponse::of(200, answered.render()));
  return true;
}

void Controller::removeRequest(std::uint64_t place) {
  auto found = requests.find(place);
  if (auto waiting = pollsByWorker.find(found->second.request.report.id);
      waiting != pollsByWorker.end() && waiting->second.erase(place) && waiting->second.empty())
    pollsByWorker.erase(waiting);
  pollsToCheck.erase(place);
  unansweredRequests.erase(place);
  requestBytes -= found->second.retainedBytes;
  requests.erase(found);
}

void Controller::sendCommittedResponses() {
  const RoundNumber confirmed = raft.confirmedRound();
  for (auto next = unansweredRequests.begin(); next != unansweredRequests.end();) {
    const auto place = *next++;
    const PendingRequest& record = requests.at(place);
    const bool ready = record.stage == RequestStage::awaitingCommit &&
                       record.requiredCommitIndex <= raft.commitIndex() &&
                       record.requiredRound <= confirmed;
    if (!ready && now < record.deadline)
      continue;
    sendResponse(record, ready ? record.response
                         : record.stage == RequestStage::queued
                             ? ApiResponse::notApplied("the leader can't serve yet")
                             : ApiResponse::outcomeUnknown(
                                   "no majority of the controllers answers; ask again"));
    removeRequest(place);
  }
}

}  // namespace aniseline
