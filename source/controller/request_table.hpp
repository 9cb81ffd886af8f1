// The requests that a leader has taken and not answered yet, in the order in
// which they came. It owns each request from its arrival until its response is
// sent, knows which of them a step has to look at, and counts the memory that
// their texts retain. It decides nothing: the handlers say what becomes of a
// request. Used by Controller only. docs/design.md 8.1.
#ifndef ANISELINE_CONTROLLER_REQUEST_TABLE_HPP
#define ANISELINE_CONTROLLER_REQUEST_TABLE_HPP
#include "state/api_request.hpp"

namespace aniseline {

// A request's place in the order of arrival, which is also the order of the
// responses.
using RequestSequence = std::uint64_t;

enum class RequestStage : std::uint8_t {
  queued,          // not handled yet
  awaitingCommit,  // its response is known and waits until what it rests on is
                   // committed
  longPolling      // a worker's sync that waits for orders
};

struct PendingRequest {
  RequestSequence sequenceNumber = 0;
  RequestNumber number;  // the caller's, for the response
  ApiRequest request;
  std::size_t retainedBytes = 0;  // of its texts, as long as they are kept
  RequestStage stage = RequestStage::queued;
  MonotonicTime deadline;   // it gets some response by then
  MonotonicTime pollUntil;  // a long poll without news is answered at this time
  // The response may leave once the log is committed up to this index and this
  // round, which began after the request came, is confirmed by a majority.
  // docs/design.md 8.2.
  LogIndex requiredCommitIndex;
  RoundNumber requiredRound;
  bool appendedToLog = false;  // something was proposed for it, whose outcome may be unknown
  ApiResponse response;
};

class RequestTable {
 public:
  using Requests = std::map<RequestSequence, PendingRequest>;

  // Queues a request to be handled in the next step.
  void add(RequestNumber number, ApiRequest request, MonotonicTime deadline);
  // The requests queued since the last call, in order of arrival.
  std::vector<RequestSequence> takeQueued() { return std::exchange(queued, {}); }
  // Null when the request was removed already.
  PendingRequest* find(RequestSequence sequence);
  void remove(RequestSequence sequence);
  // Forgets every request; the caller has answered them.
  void clear();

  const Requests& all() const { return requests; }
  std::size_t size() const { return requests.size(); }
  std::size_t retainedBytes() const { return totalRetainedBytes; }
  // Drops the text of a configuration that was handled: what was accepted of it
  // is a proposal now.
  void releaseConfigText(PendingRequest& pending);

  // Calls `visit` for each request that is queued or awaits commitment, in
  // order of arrival. `visit` may remove the request that it is given, and no
  // other.
  template <class Visit>
  void visitUnanswered(Visit visit) {
    for (auto next = unanswered.begin(); next != unanswered.end();)
      visit(requests.at(*next++));
  }

  // Long polls. A poll is visited only when something may have changed for it:
  // it is new or not confirmed, its check time has come, or its worker was
  // given an order.

  // Turns a queued sync into a long poll that is to be checked.
  void startPoll(PendingRequest& pending);
  // A newer sync replaces those of this worker that still wait: they are
  // answered now.
  void endPollsOf(const WorkerId& worker, MonotonicTime now);
  void checkPollsOf(const WorkerId& worker);
  void checkAllPolls();
  // Marks the polls whose check time has come.
  void checkDuePolls(MonotonicTime now);
  // Leaves the poll alone until then, its deadline, or news for its worker.
  void deferPoll(const PendingRequest& pending, MonotonicTime checkAt);
  // Calls `visit` for each poll that is to be checked. `visit` may defer or
  // remove the poll that it is given, and no other.
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
  std::set<CheckTime> pollCheckTimes;  // may hold polls that were answered long ago
};

}  // namespace aniseline

#endif  // ANISELINE_CONTROLLER_REQUEST_TABLE_HPP
