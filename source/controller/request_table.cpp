// Bookkeeping of pending requests and of the indexes over them. docs/design.md 8.1.
#include "controller/request_table.hpp"

namespace aniseline {

void RequestTable::add(RequestNumber number, ApiRequest request, MonotonicTime deadline) {
  PendingRequest pending;
  pending.sequenceNumber = ++lastSequenceNumber;
  pending.number = number;
  pending.request = std::move(request);
  pending.retainedBytes = payloadBytes(pending.request);
  pending.deadline = deadline;
  totalRetainedBytes += pending.retainedBytes;
  queued.push_back(pending.sequenceNumber);
  unanswered.insert(pending.sequenceNumber);
  requests.emplace(pending.sequenceNumber, std::move(pending));
}

PendingRequest* RequestTable::find(RequestSequence sequence) {
  auto found = requests.find(sequence);
  return found == requests.end() ? nullptr : &found->second;
}

void RequestTable::remove(RequestSequence sequence) {
  auto found = requests.find(sequence);
  const WorkerId& worker = found->second.request.report.id;
  if (auto polls = pollsByWorker.find(worker);
      polls != pollsByWorker.end() && polls->second.erase(sequence) && polls->second.empty())
    pollsByWorker.erase(polls);
  pollsToCheck.erase(sequence);
  unconfirmedPolls.erase(sequence);
  unanswered.erase(sequence);
  totalRetainedBytes -= found->second.retainedBytes;
  requests.erase(found);
}

void RequestTable::clear() {
  requests.clear();
  totalRetainedBytes = 0;
  queued.clear();
  unanswered.clear();
  pollsByWorker.clear();
  pollsToCheck.clear();
  unconfirmedPolls.clear();
  pollCheckTimes.clear();
}

void RequestTable::releaseConfigText(PendingRequest& pending) {
  if (!changesConfig(pending.request.kind))
    return;
  totalRetainedBytes -= std::exchange(pending.retainedBytes, 0);
  pending.request.text = std::string();
  pending.request.packedConfig = std::string();
}

void RequestTable::startPoll(PendingRequest& pending) {
  pending.stage = RequestStage::longPolling;
  unanswered.erase(pending.sequenceNumber);
  pollsByWorker[pending.request.report.id].insert(pending.sequenceNumber);
  pollsToCheck.insert(pending.sequenceNumber);
}

void RequestTable::endPollsOf(const WorkerId& worker, MonotonicTime now) {
  auto polls = pollsByWorker.find(worker);
  if (polls == pollsByWorker.end())
    return;
  for (auto sequence : polls->second) {
    requests.at(sequence).pollUntil = now;
    pollsToCheck.insert(sequence);
  }
}

void RequestTable::markPollsOf(const WorkerId& worker) {
  if (auto polls = pollsByWorker.find(worker); polls != pollsByWorker.end())
    pollsToCheck.insert(polls->second.begin(), polls->second.end());
}

void RequestTable::markAllPolls() {
  for (const auto& [worker, polls] : pollsByWorker)
    pollsToCheck.insert(polls.begin(), polls.end());
}

void RequestTable::markDuePolls(MonotonicTime now) {
  while (!pollCheckTimes.empty() && pollCheckTimes.begin()->first <= now) {
    const RequestSequence sequence = pollCheckTimes.begin()->second;
    pollCheckTimes.erase(pollCheckTimes.begin());
    if (requests.count(sequence))
      pollsToCheck.insert(sequence);
  }
}

void RequestTable::awaitConfirmation(const PendingRequest& pending) {
  unconfirmedPolls.insert(pending.sequenceNumber);
  pollsToCheck.erase(pending.sequenceNumber);
}

void RequestTable::deferPoll(const PendingRequest& pending, MonotonicTime checkAt) {
  pollCheckTimes.emplace(std::min(checkAt, pending.deadline), pending.sequenceNumber);
  pollsToCheck.erase(pending.sequenceNumber);
}

}  // namespace aniseline
