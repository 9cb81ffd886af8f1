// When a response may leave: committed, and confirmed by a majority. docs/design.md 8.
#include "controller/controller.hpp"

namespace aniseline {

ApiResponse Controller::notLeader() const {
  ApiResponse answer =
      ApiResponse::error(503, "unknown", "this controller does not lead", Duration{200});
  answer.notLeader = true;
  for (const auto& member : raft.members())
    if (member.id == raft.leader() && member.id != raft.self().id)
      answer.leader = member.peer;
  return answer;
}

void Controller::answer(const PendingRequest& record, ApiResponse given) {
  answers.emplace_back(record.number, std::move(given));
}

// An answer rests on the speculative state, so it leaves only when all that cluster state holds is
// committed and a round begun after the request came has been confirmed by a majority.
// docs/design.md 8.2.
void Controller::decide(PendingRequest& record, ApiResponse given, bool logged) {
  record.stage = Stage::decided;
  record.answer = std::move(given);
  record.logged = logged;
  record.barrier = raft.last();
  record.round = raft.startRound(now);
}

// Looks at the polls of which something may have changed: not yet confirmed, their time come, or
// their worker given orders.
void Controller::answerPolls() {
  const RoundNumber confirmed = raft.confirmedRound();
  for (const auto& id : std::exchange(committedState.addressed, {}))
    if (auto found = polls.find(id); found != polls.end())
      pollsToLook.insert(found->second.begin(), found->second.end());
  for (; !pollsDue.empty() && pollsDue.begin()->first <= now; pollsDue.erase(pollsDue.begin()))
    if (requests.count(pollsDue.begin()->second))
      pollsToLook.insert(pollsDue.begin()->second);
  for (auto place = pollsToLook.begin(); place != pollsToLook.end();) {
    const auto looked = *place++;
    if (answerPoll(requests.at(looked), confirmed))
      dropRequest(looked);
  }
}

// Answers a waiting sync, or notes when it is to be looked at again.
bool Controller::answerPoll(const PendingRequest& record, RoundNumber confirmed) {
  if (now >= record.deadline) {
    answer(record, ApiResponse::unknown("no majority of the controllers answers"));
    return true;
  }
  if (record.barrier > raft.commitIndex() || record.round > confirmed)
    return false;
  auto lookAgain = [&](MonotonicTime at) {
    pollsDue.emplace(std::min(at, record.deadline), record.place);
    pollsToLook.erase(record.place);
    return false;
  };
  const auto& report = record.request.report;
  auto found = committedState.workers.find(report.id);
  if (found == committedState.workers.end())
    return lookAgain(record.deadline);
  if (found->second.incarnation != report.incarnation) {
    answer(record, ApiResponse::error(
                       410, "gone", "this incarnation is replaced: stop all tasks and begin anew"));
    return true;
  }
  SyncResponse answered;
  OrderNumber known =
      report.packed ? std::max(report.lastOrder, report.received) : report.lastOrder;
  MonotonicTime sentAgain = record.deadline;
  if (auto sent = ordersSent.find(report.id); report.packed && report.received.value &&
                                              sent != ordersSent.end() &&
                                              now - sent->second.at < Duration{500}) {
    known = std::max(known, sent->second.through);
    sentAgain = sent->second.at + Duration{500};
  }
  for (const auto& order : found->second.orders)
    if (order.number > known)
      answered.orders.push_back(order);
  if (answered.orders.empty() && now < record.pollUntil)
    return lookAgain(std::min(sentAgain, record.pollUntil));
  answered.term = raft.term();
  answered.lease = report.unresponsive ? Duration{0} : options.lease;
  for (const auto& ending : report.endings) {
    auto open = committedState.attempts.find(ending.attempt);
    if (open == committedState.attempts.end() || open->second.worker != report.id)
      answered.confirmed.push_back(ending.attempt);
  }
  if (report.packed) {
    for (const auto& ending : report.namedEndings) {
      if (committedState.attemptNamed(report.id, ending.name).value)
        break;
      ++answered.closed;
    }
    answered.after = known;
    if (!answered.orders.empty())
      ordersSent[report.id] = {answered.orders.back().number, now};
    ApiResponse packedAnswer;
    packedAnswer.body = pack(answered);
    answer(record, std::move(packedAnswer));
    return true;
  }
  answered.gateways =
      preferred(gatewaysHeard(now), report.capacity.zone, checksum(report.id.value));
  answer(record, ApiResponse::of(200, answered.render()));
  return true;
}

void Controller::dropRequest(std::uint64_t place) {
  auto found = requests.find(place);
  if (auto waiting = polls.find(found->second.request.report.id);
      waiting != polls.end() && waiting->second.erase(place) && waiting->second.empty())
    polls.erase(waiting);
  pollsToLook.erase(place);
  unanswered.erase(place);
  requestBytes -= found->second.bytes;
  requests.erase(found);
}

void Controller::answerDecided() {
  const RoundNumber confirmed = raft.confirmedRound();
  for (auto next = unanswered.begin(); next != unanswered.end();) {
    const auto place = *next++;
    const PendingRequest& record = requests.at(place);
    const bool ready = record.stage == Stage::decided && record.barrier <= raft.commitIndex() &&
                       record.round <= confirmed;
    if (!ready && now < record.deadline)
      continue;
    answer(record, ready ? record.answer
                   : record.stage == Stage::taken
                       ? ApiResponse::notTaken("the leader can't serve yet")
                       : ApiResponse::unknown("no majority of the controllers answers; ask again"));
    dropRequest(place);
  }
}

}  // namespace aniseline
