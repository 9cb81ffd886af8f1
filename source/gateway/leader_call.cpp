#include "gateway/leader_call.hpp"

namespace aniseline {

namespace {

// Beyond a sync's long poll: for the answer to come.
constexpr Duration syncTransitTime{1500};
// However long the client would wait: an election is over well within these.
constexpr Duration maxRequestTime{2500};
constexpr Duration maxLeaderSearchTime{2000};
constexpr std::size_t maxHintsFollowed = 3;
// Between candidates: short for the first few, in case one of them leads.
constexpr std::size_t shortBackoffAttempts = 4;
constexpr Duration shortBackoff{20};
constexpr Duration longBackoff{60};

// A submission, cancel, config or order about a worker that may have been taken is never sent twice
// by a gateway.
bool isReadOnly(RequestKind kind) {
  switch (kind) {
    case RequestKind::syncWorker:
    case RequestKind::showJob:
    case RequestKind::listJobs:
    case RequestKind::showConfig:
    case RequestKind::listWorkers:
    case RequestKind::showCluster:
    case RequestKind::showPlan:
    case RequestKind::showCounters:
    case RequestKind::showPhase:
    case RequestKind::countPendingJobs:
    case RequestKind::readConfig:
    case RequestKind::exportState:
      return true;
    default:
      return false;
  }
}

Duration timeoutOf(const ApiRequest& request) {
  return request.kind == RequestKind::syncWorker ? request.report.longPollTimeout + syncTransitTime
                                                 : std::min(request.clientTimeout, maxRequestTime);
}

ApiResponse noLeaderKnown() {
  return ApiResponse::notApplied("no leader of the controllers is known");
}

}  // namespace

LeaderCall::LeaderCall(const ApiRequest& request, RouteSource routeSource,
                       const std::vector<Address>& seeds, MonotonicTime now)
    : routeSource(std::move(routeSource)),
      seeds(seeds),
      idempotent(isReadOnly(request.kind)),
      deadline(now + timeoutOf(request)),
      leaderSearchDeadline(now + std::min(request.clientTimeout, maxLeaderSearchTime)) {}

LeaderCall::Step LeaderCall::completeWith(ApiResponse response) {
  return Step{Step::Kind::complete, {}, {}, std::move(response)};
}

// The hint, else the leader by the route, else the controllers in turn; whoever did not serve when
// last asked is skipped.
Address LeaderCall::chooseTarget() {
  if (!leaderHint.value.empty())
    return std::exchange(leaderHint, Address{});
  const LeaderRoute current = routeSource();
  if (!current.leader.value.empty() && current.leader != skippedTarget)
    return current.leader;
  const std::vector<Address>& candidates =
      current.controllers.empty() ? seeds : current.controllers;
  const Address& candidate = candidates[candidateIndex % candidates.size()];
  if (candidate != skippedTarget)
    return candidate;
  return candidates[++candidateIndex % candidates.size()];
}

LeaderCall::Step LeaderCall::send(MonotonicTime now) {
  if (now >= deadline)
    return completeWith(noLeaderKnown());
  lastTarget = chooseTarget();
  return Step{Step::Kind::send, lastTarget, deadline - now, {}};
}

LeaderCall::Step LeaderCall::tryNext(MonotonicTime now) {
  skippedTarget = lastTarget;
  if (now >= leaderSearchDeadline)
    return completeWith(noLeaderKnown());
  if (!leaderHint.value.empty() && hintsFollowed++ < maxHintsFollowed)
    return send(now);
  leaderHint = Address{};
  ++candidateIndex;
  const Duration backoff = candidateIndex < shortBackoffAttempts ? shortBackoff : longBackoff;
  return Step{Step::Kind::backOff, {}, backoff, {}};
}

LeaderCall::Step LeaderCall::onResponse(const ApiResponse& response, MonotonicTime now) {
  if (!response.notLeader)
    return completeWith(response);
  leaderHint = response.leader;
  return tryNext(now);
}

LeaderCall::Step LeaderCall::onFailure(Failure failure, MonotonicTime now) {
  if (failure != Failure::unreachable && !idempotent)
    return completeWith(
        ApiResponse::outcomeUnknown("the leader was lost while this was under way; ask again"));
  return tryNext(now);
}

}  // namespace aniseline
