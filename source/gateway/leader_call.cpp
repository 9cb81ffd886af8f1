#include "gateway/leader_call.hpp"

namespace aniseline {

namespace {
// A submission, cancel, config or order about a worker that may have been taken is never sent twice
// by a gateway.
bool readsOnly(RequestKind kind) {
  switch (kind) {
    case RequestKind::sync:
    case RequestKind::showJob:
    case RequestKind::listJobs:
    case RequestKind::showConfig:
    case RequestKind::listWorkers:
    case RequestKind::showCluster:
    case RequestKind::showPlan:
    case RequestKind::showCounters:
    case RequestKind::showPhase:
    case RequestKind::countWaiting:
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
      mayRepeat(readsOnly(request.kind)),
      deadline(now + (request.kind == RequestKind::sync
                          ? request.report.wait + Duration{1500}
                          : std::min(request.patience, Duration{2500}))),
      seekUntil(now + std::min(request.patience, Duration{2000})) {}

LeaderCall::Step LeaderCall::done(ApiResponse answer) {
  return Step{Step::Kind::answer, {}, {}, std::move(answer)};
}

LeaderCall::Step LeaderCall::ask(MonotonicTime now) {
  if (now >= deadline)
    return done(ApiResponse::notTaken("no leader of the controllers is known"));
  Address target = std::exchange(hint, Address{});
  if (target.value.empty()) {
    const RouteView view = route();
    const std::vector<Address>& known = view.controllers.empty() ? seeds : view.controllers;
    if (!view.leader.value.empty() && view.leader != passedOver)
      target = view.leader;
    else {
      target = known[turn % known.size()];
      if (target == passedOver)
        target = known[++turn % known.size()];
    }
  }
  asked = target;
  return Step{Step::Kind::ask, target, deadline - now, {}};
}

LeaderCall::Step LeaderCall::next(MonotonicTime now) {
  passedOver = asked;
  if (now >= seekUntil)
    return done(ApiResponse::notTaken("no leader of the controllers is known"));
  if (!hint.value.empty() && hints++ < 3)
    return ask(now);
  hint = Address{};
  ++turn;
  return Step{Step::Kind::wait, {}, Duration{turn < 4 ? 20 : 60}, {}};
}

LeaderCall::Step LeaderCall::answered(const ApiResponse& answer, MonotonicTime now) {
  if (!answer.notLeader)
    return done(answer);
  hint = answer.leader;
  return next(now);
}

LeaderCall::Step LeaderCall::failed(Loss loss, MonotonicTime now) {
  if (loss != Loss::unreachable && !mayRepeat)
    return done(ApiResponse::unknown("the leader was lost while this was under way; ask again"));
  return next(now);
}

}  // namespace aniseline
