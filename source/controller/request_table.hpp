// The requests that a leader has received and not yet answered, in order of arrival. The table owns
// each request until its response is sent, tracks which requests a step has to examine, and counts
// the memory used by their texts. It makes no decisions; the handlers determine the outcome of a
// request. Used by Controller only. docs/design.md 8.1.
#ifndef ANISELINE_CONTROLLER_REQUEST_TABLE_HPP
#define ANISELINE_CONTROLLER_REQUEST_TABLE_HPP
#include "state/api_request.hpp"

namespace aniseline {

// The position of a request in the order of arrival. Responses are sent in the same order.
using RequestSequence = std::uint64_t;

enum class RequestStage : std::uint8_t {
  queued,  // not handled yet
  // The response is known, but the log entries that it depends on are not committed yet.
  awaitingCommit,
  longPolling  // a worker's sync that waits for new orders
};

struct PendingRequest {
  RequestSequence sequenceNumber = 0;
  RequestNumber number;  // assigned by the caller, returned with the response
  ApiRequest request;
  std::size_t retainedBytes = 0;  // size of the request's texts while they are kept
  RequestStage stage = RequestStage::queued;
  MonotonicTime deadline;   // some response is sent by this time
  MonotonicTime pollUntil;  // a long poll for which there is nothing new is answered at this time
  // The response may be sent once the log is committed up to this index, and a majority has
  // confirmed this round, which began after the request arrived. docs/design.md 8.2.
  LogIndex requiredCommitIndex;
  RoundNumber requiredRound;
  // An event was proposed for the request, and its outcome may be unknown.
  bool appendedToLog = false;
  ApiResponse response;
};

class RequestTable {
 public:
  using Requests = std::map<RequestSequence, PendingRequest>;

  // Queues a request for the next step.
  void add(RequestNumber number, ApiRequest request, MonotonicTime deadline);
  // Returns the requests queued since the last call, in order of arrival.
  std::vector<RequestSequence> takeQueued() { return std::exchange(queued, {}); }
  // Returns null if the request has been removed.
  PendingRequest* find(RequestSequence sequence);
  void remove(RequestSequence sequence);
  // Removes all requests; the caller has already answered them.
  void clear();

  const Requests& all() const { return requests; }
  std::size_t size() const { return requests.size(); }
  std::size_t retainedBytes() const { return totalRetainedBytes; }
  // Releases the text of a configuration request that has been handled. An accepted configuration
  // is a proposal by then.
  void releaseConfigText(PendingRequest& pending);

  // Calls `visit` for each request that is queued or awaits commitment, in order of arrival.
  // `visit` may remove the request that it is given, but no other.
  template <class Visit>
  void visitUnanswered(Visit visit) {
    for (auto next = unanswered.begin(); next != unanswered.end();)
      visit(requests.at(*next++));
  }

  // Long polls. A poll is visited only when its result may have changed: it is new or has been
  // confirmed, its check time has passed, or its worker received an order.

  // Turns a queued sync into a long poll and marks it for checking.
  void startPoll(PendingRequest& pending);
  // Ends the open polls of a worker, so that they are answered now. Called when a newer sync of the
  // same worker replaces them.
  void endPollsOf(const WorkerId& worker, MonotonicTime now);
  void markPollsOf(const WorkerId& worker);
  void markAllPolls();
  // Marks the polls whose check time has passed.
  void markDuePolls(MonotonicTime now);
  // Skips the poll until it is confirmed, its deadline, or a change for its worker.
  void awaitConfirmation(const PendingRequest& pending);
  // Marks the polls that awaited confirmation for as long as `isReady` holds, in order of arrival:
  // a poll is confirmed, and its deadline passes, no earlier than those of earlier polls.
  template <class Predicate>
  void markConfirmedPolls(Predicate isReady) {
    while (!unconfirmedPolls.empty() && isReady(requests.at(*unconfirmedPolls.begin())))
      pollsToCheck.insert(unconfirmedPolls.extract(unconfirmedPolls.begin()));
  }
  // Skips the poll until `checkAt`, its deadline, or a change for its worker.
  void deferPoll(const PendingRequest& pending, MonotonicTime checkAt);
  // Calls `visit` for each poll that is marked for checking. `visit` may defer or remove the poll
  // that it is given, but no other.
  template <class Visit>
  void visitPollsToCheck(Visit visit) {
    for (auto next = pollsToCheck.begin(); next != pollsToCheck.end();)
      visit(requests.at(*next++));
  }

 private:
  using CheckTime = std::pair<MonotonicTime, RequestSequence>;

  Requests requests;
  RequestSequence lastSequenceNumber = 0;
  std::size_t totalRetainedBytes = 0;
  std::vector<RequestSequence> queued;
  std::set<RequestSequence> unanswered;  // queued or awaiting commitment
  std::map<WorkerId, std::set<RequestSequence>> pollsByWorker;
  std::set<RequestSequence> pollsToCheck;
  std::set<RequestSequence> unconfirmedPolls;
  std::set<CheckTime> pollCheckTimes;  // may contain polls that have already been answered
};

}  // namespace aniseline

#endif  // ANISELINE_CONTROLLER_REQUEST_TABLE_HPP
