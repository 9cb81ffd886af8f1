// Contents of the response to a worker's sync. docs/design.md 5.2, 5.3, 8.2.
#include "controller/sync_responder.hpp"

namespace aniseline {

namespace {

// Orders sent to an agent are not sent again in response to its other syncs within this time,
// because the first response may still be in transit.
constexpr Duration orderResendDelay{500};

std::vector<Order> ordersAfter(OrderNumber known, const Worker& worker) {
  std::vector<Order> orders;
  for (const auto& order : worker.unappliedOrders)
    if (order.number > known)
      orders.push_back(order);
  return orders;
}

// Returns the reported results that the committed state no longer waits for.
std::vector<AttemptNumber> confirmedResults(const SyncReport& report,
                                            const ClusterState& committed) {
  std::vector<AttemptNumber> confirmed;
  for (const auto& result : report.results) {
    auto attempt = committed.attempts().find(result.attempt);
    if (attempt == committed.attempts().end() || attempt->second.worker != report.id)
      confirmed.push_back(result.attempt);
  }
  return confirmed;
}

// Returns the number of an agent's reported results that are final, counted from the first one.
std::uint32_t countFinalResults(const SyncReport& report, const ClusterState& committed) {
  std::uint32_t count = 0;
  for (const auto& result : report.runResults) {
    if (committed.findAttempt(report.id, result.runId).value)
      break;
    ++count;
  }
  return count;
}

}  // namespace

ApiResponse replacedIncarnationResponse() {
  return ApiResponse::error(
      410, "gone", "this incarnation has been replaced; stop all tasks and start a new one");
}

SyncResponder::KnownOrders SyncResponder::knownOrders(const SyncReport& report,
                                                      MonotonicTime deadline,
                                                      MonotonicTime now) const {
  if (!report.wantsPackedResponse)
    return {report.lastAppliedOrder, deadline};
  KnownOrders known{std::max(report.lastAppliedOrder, report.lastReceivedOrder), deadline};
  auto sent = sentOrders.find(report.id);
  if (report.lastReceivedOrder.value && sent != sentOrders.end() &&
      now - sent->second.sentAt < orderResendDelay) {
    known.lastOrder = std::max(known.lastOrder, sent->second.lastOrder);
    known.resendAt = sent->second.sentAt + orderResendDelay;
  }
  return known;
}

ApiResponse SyncResponder::agentResponse(const SyncReport& report, SyncResponse response,
                                         const ClusterState& committed, OrderNumber known,
                                         MonotonicTime now) {
  response.finalResultCount = countFinalResults(report, committed);
  response.ordersAfter = known;
  if (!response.orders.empty())
    sentOrders[report.id] = {response.orders.back().number, now};
  ApiResponse packed;
  packed.body = pack(response);
  return packed;
}

ApiResponse SyncResponder::workerResponse(const SyncReport& report, SyncResponse response,
                                          MonotonicTime now) const {
  response.gateways =
      orderedByZonePreference(gateways.live(now), report.capacity.zone, checksum(report.id.value));
  return ApiResponse::of(200, response.render());
}

SyncResponder::Outcome SyncResponder::respond(const PendingRequest& poll,
                                              const ClusterState& committed, Term term,
                                              MonotonicTime now) {
  const SyncReport& report = poll.request.report;
  auto worker = committed.workers().find(report.id);
  if (worker == committed.workers().end())
    return {std::nullopt, poll.deadline};
  if (worker->second.incarnation != report.incarnation)
    return {replacedIncarnationResponse(), now};
  const KnownOrders known = knownOrders(report, poll.deadline, now);
  SyncResponse response;
  response.orders = ordersAfter(known.lastOrder, worker->second);
  if (response.orders.empty() && now < poll.pollUntil)
    return {std::nullopt, std::min(known.resendAt, poll.pollUntil)};
  response.term = term;
  response.lease = report.unresponsive ? Duration{0} : options.leaseDuration;
  response.confirmedAttempts = confirmedResults(report, committed);
  if (report.wantsPackedResponse)
    return {agentResponse(report, std::move(response), committed, known.lastOrder, now), now};
  return {workerResponse(report, std::move(response), now), now};
}

}  // namespace aniseline
