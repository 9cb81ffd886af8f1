#include "net/leader_forwarder.hpp"
#include "gateway/leader_call.hpp"

namespace aniseline {

bool refreshSeeds(const SeedSource& source, std::vector<Address>& seeds) {
  if (!source)
    return false;
  auto told = source();
  if (told.empty())
    return false;
  seeds = std::move(told);
  return true;
}

RpcClient& LeaderForwarder::clientFor(const Address& address) {
  auto& caller = clients[address];
  if (!caller)
    caller = std::make_unique<RpcClient>(loop, address);
  return *caller;
}

ApiResponse LeaderForwarder::forward(const ApiRequest& request) {
  LeaderCall course(request, route, seeds, monotonicNow());
  auto step = course.begin(monotonicNow());
  for (;;) {
    if (step.kind == LeaderCall::Step::Kind::complete)
      return step.response;
    if (shuttingDown())
      return ApiResponse::notApplied("this gateway is stopping");
    if (step.kind == LeaderCall::Step::Kind::backOff) {
      sleepFor(step.timeout);
      step = course.onBackoffElapsed(monotonicNow());
      continue;
    }
    // Once another is known to lead, one that is silent is not waited for: it may be frozen.
    // docs/design.md 9.2.
    const Term asked = route().term;
    auto answered = clientFor(step.target).call(request, step.timeout, [&] {
      if (shuttingDown())
        return true;
      const LeaderRoute view = route();
      return view.term > asked && !view.leader.value.empty() && view.leader != step.target;
    });
    if (answered) {
      auto* answer = boost::get<ApiResponse>(&answered.value().body);
      if (answer && !answer->notLeader)
        lastServed = step.target;
      step = course.onResponse(
          answer ? *answer : ApiResponse::outcomeUnknown("the leader's answer could not be read"),
          monotonicNow());
    } else {
      const auto kind = answered.error().kind;
      step = course.onFailure(
          kind == WireError::Kind::unreachable ? LeaderCall::Failure::unreachable
          : kind == WireError::Kind::timedOut  ? LeaderCall::Failure::timedOut
                                               : LeaderCall::Failure::connectionLost,
          monotonicNow());
    }
  }
}

}  // namespace aniseline
