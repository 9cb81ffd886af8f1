// Runs the steps of a LeaderCall over the RPC clients.
#include "net/leader_forwarder.hpp"
#include "gateway/leader_call.hpp"

namespace aniseline {

namespace {

using Step = LeaderCall::Step;

LeaderCall::Failure failureOf(const WireError& error) {
  switch (error.kind) {
    case WireError::Kind::unreachable:
      return LeaderCall::Failure::unreachable;
    case WireError::Kind::timedOut:
      return LeaderCall::Failure::timedOut;
    case WireError::Kind::connectionLost:
    case WireError::Kind::malformed:
      return LeaderCall::Failure::connectionLost;
  }
  return LeaderCall::Failure::connectionLost;
}

ApiResponse responseIn(const WireMessage& message) {
  const auto* response = boost::get<ApiResponse>(&message.body);
  return response ? *response
                  : ApiResponse::outcomeUnknown("the leader's answer could not be read");
}

}  // namespace

bool refreshSeeds(const SeedSource& source, std::vector<Address>& seeds) {
  if (!source)
    return false;
  auto current = source();
  if (current.empty())
    return false;
  seeds = std::move(current);
  return true;
}

// Calls one controller. The call is abandoned once another controller is known to lead, because a
// target that does not answer may be frozen. docs/design.md 9.2.
Result<WireMessage, WireError> LeaderForwarder::callTarget(const Address& target,
                                                           const ApiRequest& request,
                                                           Duration timeout) {
  const LeaderRoute routeAtStart = route();
  ApiRequest bound = request;
  bound.cluster = routeAtStart.cluster;
  const auto client = clients.clientFor(target);
  return client->call(std::move(bound), timeout, [&] {
    if (shuttingDown())
      return true;
    const LeaderRoute current = route();
    return current.term > routeAtStart.term && !current.leader.value.empty() &&
           current.leader != target;
  });
}

ApiResponse LeaderForwarder::forward(const ApiRequest& request) {
  LeaderCall leaderCall(request, route, seeds, monotonicNow());
  Step step = leaderCall.begin(monotonicNow());
  for (;;) {
    if (step.kind == Step::Kind::complete)
      return step.response;
    if (shuttingDown())
      return ApiResponse::notApplied("this gateway is stopping");
    if (step.kind == Step::Kind::backOff) {
      sleepFor(step.timeout);
      step = leaderCall.onBackoffElapsed(monotonicNow());
      continue;
    }
    const auto answer = callTarget(step.target, request, step.timeout);
    step = answer ? leaderCall.onResponse(responseIn(answer.value()), monotonicNow())
                  : leaderCall.onFailure(failureOf(answer.error()), monotonicNow());
  }
}

}  // namespace aniseline
