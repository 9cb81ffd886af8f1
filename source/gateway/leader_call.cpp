#include "gateway/leader_call.hpp"

namespace aniseline {

namespace {
// A submission, cancel, config or order about a worker that may have been taken is never sent twice
// by a gateway.
bool readsOnly(RequestKind kind) {
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
    case RequestKind::countOpenJobs:
    case RequestKind::readConfig:
    case RequestKind::exportState:
      return true;
    default:
      return false;
  }
}
}  // namespace

LeaderCall::LeaderCall(const ApiRequest& request, Route route, const std::vector<Address>& seeds,
                       MonotonicTime now)
    : route(std::move(route)),
      seeds(seeds),
      idempotent(readsOnly(request.kind)),
      deadline(now + (request.kind == RequestKind::syncWorker
                          ? request.report.longPollTimeout + Duration{1500}
                          : std::min(request.clientTimeout, Duration{2500}))),
      leaderSearchDeadline(now + std::min(request.clientTimeout, Duration{2000})) {}

LeaderCall::Step LeaderCall::completeWith(ApiResponse answer) {
  return Step{Step::Kind::complete, {}, {}, std::move(answer)};
}

LeaderCall::Step LeaderCall::send(MonotonicTime now) {
  if (now >= deadline)
    return completeWith(ApiResponse::notApplied("no leader of the controllers is known"));
  Address target = std::exchange(leaderHint, Address{});
  if (target.value.empty()) {
    const LeaderRoute view = route();
    const std::vector<Address>& known = view.controllers.empty() ? seeds : view.controllers;
    if (!view.leader.value.empty() && view.leader != skippedTarget)
      target = view.leader;
    else {
      target = known[candidateIndex % known.size()];
      if (target == skippedTarget)
        target = known[++candidateIndex % known.size()];
    }
  }
  lastTarget = target;
  return Step{Step::Kind::send, target, deadline - now, {}};
}

LeaderCall::Step LeaderCall::tryNext(MonotonicTime now) {
  skippedTarget = lastTarget;
  if (now >= leaderSearchDeadline)
    return completeWith(ApiResponse::notApplied("no leader of the controllers is known"));
  if (!leaderHint.value.empty() && hintsFollowed++ < 3)
    return send(now);
  leaderHint = Address{};
  ++candidateIndex;
  return Step{Step::Kind::backOff, {}, Duration{candidateIndex < 4 ? 20 : 60}, {}};
}

LeaderCall::Step LeaderCall::onResponse(const ApiResponse& answer, MonotonicTime now) {
  if (!answer.notLeader)
    return completeWith(answer);
  leaderHint = answer.leader;
  return tryNext(now);
}

LeaderCall::Step LeaderCall::onFailure(Failure loss, MonotonicTime now) {
  if (loss != Failure::unreachable && !idempotent)
    return completeWith(
        ApiResponse::outcomeUnknown("the leader was lost while this was under way; ask again"));
  return tryNext(now);
}

}  // namespace aniseline
