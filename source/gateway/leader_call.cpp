// Target selection, retries and deadlines of a gateway's call to the leader.
#include "gateway/leader_call.hpp"

namespace aniseline {

namespace {

// Time allowed for the response in addition to the long-poll timeout of a sync.
constexpr Duration syncTransitTime{1500};
// Upper limits, regardless of the client's timeout. An election takes much less time than either.
constexpr Duration maxRequestTime{2500};
constexpr Duration maxLeaderSearchTime{2000};
constexpr std::size_t maxHintsFollowed = 3;
// Backoff between candidates. It is short for the first attempts, in case one of them is the
// leader.
constexpr std::size_t shortBackoffAttempts = 4;
constexpr Duration shortBackoff{20};
constexpr Duration longBackoff{60};

// Reports whether a request may be sent again. A gateway never sends a submission, cancellation,
// config change or worker order twice if the first attempt may have been applied.
bool isIdempotent(RequestKind kind) {
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
      idempotent(isIdempotent(request.kind)),
      deadline(now + timeoutOf(request)),
      leaderSearchDeadline(now + std::min(request.clientTimeout, maxLeaderSearchTime)) {}

LeaderCall::Step LeaderCall::completeWith(ApiResponse response) {
  return Step{Step::Kind::complete, {}, {}, std::move(response)};
}

// Prefers the hinted leader, then the leader named by the route, then each controller in turn.
// Skips the target that has just failed to serve the request.
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
