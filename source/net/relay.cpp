#include "net/relay.hpp"
#include "gateway/leader_call.hpp"

namespace aniseline {

bool renewSeeds(const SeedSource& source, std::vector<Address>& seeds) {
  if (!source)
    return false;
  auto told = source();
  if (told.empty())
    return false;
  seeds = std::move(told);
  return true;
}

WireCaller& Relay::callerTo(const Address& address) {
  auto& caller = callers[address];
  if (!caller)
    caller = std::make_unique<WireCaller>(loop, address);
  return *caller;
}

ApiResponse Relay::relay(const ApiRequest& request) {
  LeaderCall course(request, route, seeds, monotonicNow());
  auto step = course.begin(monotonicNow());
  for (;;) {
    if (step.kind == LeaderCall::Step::Kind::answer)
      return step.answer;
    if (givingUp())
      return ApiResponse::notTaken("this gateway is stopping");
    if (step.kind == LeaderCall::Step::Kind::wait) {
      pause(step.within);
      step = course.waited(monotonicNow());
      continue;
    }
    // Once another is known to lead, one that is silent is not waited for: it may be frozen.
    // docs/design.md 9.2.
    const Term asked = route().term;
    auto answered = callerTo(step.target).call(request, step.within, [&] {
      if (givingUp())
        return true;
      const RouteView view = route();
      return view.term > asked && !view.leader.value.empty() && view.leader != step.target;
    });
    if (answered) {
      auto* answer = boost::get<ApiResponse>(&answered.value().body);
      if (answer && !answer->notLeader)
        lastServed = step.target;
      step = course.answered(
          answer ? *answer : ApiResponse::unknown("the leader's answer could not be read"),
          monotonicNow());
    } else {
      const auto kind = answered.error().kind;
      step = course.failed(kind == WireError::Kind::unreachable ? LeaderCall::Loss::unreachable
                           : kind == WireError::Kind::late      ? LeaderCall::Loss::late
                                                                : LeaderCall::Loss::lost,
                           monotonicNow());
    }
  }
}

}  // namespace aniseline
