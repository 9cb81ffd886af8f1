// Gateways of the simulated cluster, and the calls of nodes to controllers and gateways.
#include "simulator/simulated_nodes.hpp"

namespace aniseline {

void SimulatedCluster::refreshRoute(GatewayNode& node, std::uint64_t generation) {
  if (!node.up || node.generation != generation)
    return;
  if (!node.frozen)
    for (auto& controller : controllers) {
      if (!controller->up)
        continue;
      auto* to = controller.get();
      deliver(node, *to, [this, to, &node] {
        to->core->recordGateway(
            {node.publicAddress, ZoneName{"zone" + std::to_string(node.zone + 1)}},
            MonotonicTime{now + to->monotonicBase});
        if (to->core->raftNode().isBlank())
          return;
        auto view = to->core->route(MonotonicTime{now + to->monotonicBase});
        deliver(*to, node, [&node, view] { node.route.mergeNewer(view); });
      });
    }
  schedule(now + 200, [this, &node, generation] { refreshRoute(node, generation); });
}

void SimulatedCluster::askController(
    Node& from, const Address& target, const ApiRequest& request, std::int64_t within,
    std::function<void(std::optional<ApiResponse>, LeaderCall::Failure)> reply) {
  const std::uint64_t generation = from.generation;
  auto answered = std::make_shared<bool>(false);
  auto respond = [this, &from, generation, answered, reply](std::optional<ApiResponse> answer,
                                                            LeaderCall::Failure failure) {
    if (*answered)
      return;
    *answered = true;
    if (!from.up || from.generation != generation)
      return;
    if (from.frozen)
      from.deferredWork.push_back([reply, answer, failure] { reply(answer, failure); });
    else
      reply(answer, failure);
  };
  auto* to = controllerAt(target);
  if (!to || !to->up)
    return schedule(now + 1,
                    [respond] { respond(std::nullopt, LeaderCall::Failure::unreachable); });
  if (isCutBetween(from, *to) || isCutBetween(*to, from))
    return schedule(now + 1000,
                    [respond] { respond(std::nullopt, LeaderCall::Failure::unreachable); });
  schedule(now + within, [respond] { respond(std::nullopt, LeaderCall::Failure::timedOut); });
  const std::uint64_t key = nextExchange++;
  to->onExit[key] = [this, respond] {
    schedule(now + 1, [respond] { respond(std::nullopt, LeaderCall::Failure::connectionLost); });
  };
  deliver(from, *to, [this, to, &from, request, respond, key] {
    const RequestNumber number{key};
    pendingRequests[number] = [this, to, &from, request, respond, key](const ApiResponse& answer) {
      to->onExit.erase(key);
      if (onResponse)
        onResponse(to->index, request, answer);
      deliver(*to, from, [respond, answer] { respond(answer, LeaderCall::Failure::timedOut); });
    };
    to->core->submitRequest(number, request, MonotonicTime{now + to->monotonicBase});
    scheduleStep(*to);
    processOutputs(*to);
  });
}

void SimulatedCluster::continueLeaderCall(RoutedNode& node, std::shared_ptr<LeaderCall> call,
                                          ApiRequest request, LeaderCall::Step step,
                                          std::function<void(const ApiResponse&)> reply) {
  if (step.kind == LeaderCall::Step::Kind::complete)
    return reply(step.response);
  if (step.kind == LeaderCall::Step::Kind::backOff) {
    const std::uint64_t generation = node.generation;
    return schedule(now + step.timeout.milliseconds, [this, &node, generation, call, request,
                                                      reply] {
      if (!node.up || node.generation != generation)
        return;
      auto resume = [this, &node, call, request, reply] {
        continueLeaderCall(node, call, request, call->onBackoffElapsed(MonotonicTime{now}), reply);
      };
      if (node.frozen)
        node.deferredWork.push_back(resume);
      else
        resume();
    });
  }
  request.cluster = node.route.cluster;
  askController(node, step.target, request, step.timeout.milliseconds,
                [this, &node, call, request, reply](std::optional<ApiResponse> answer,
                                                    LeaderCall::Failure failure) {
                  continueLeaderCall(node, call, request,
                                     answer ? call->onResponse(*answer, MonotonicTime{now})
                                            : call->onFailure(failure, MonotonicTime{now}),
                                     reply);
                });
}

void SimulatedCluster::callLeader(RoutedNode& node, ApiRequest request,
                                  std::function<void(const ApiResponse&)> reply) {
  auto call = std::make_shared<LeaderCall>(
      request, [&node] { return node.route; }, seedAddresses, MonotonicTime{now});
  auto step = call->begin(MonotonicTime{now});
  continueLeaderCall(node, call, std::move(request), step, std::move(reply));
}

void SimulatedCluster::askGateway(Node& from, std::size_t index, const std::string& method,
                                  const std::string& target, const std::string& body,
                                  std::int64_t within, ResponseHandler handler,
                                  const std::string& apiKey) {
  const bool known = index != gatewayNotFound;
  auto& node = *gateways[known ? index % gateways.size() : 0];
  const std::uint64_t generation = from.generation;
  auto answered = std::make_shared<bool>(false);
  auto respond = [this, &from, generation, answered, handler](int status, const std::string& text) {
    if (*answered)
      return;
    *answered = true;
    if (!from.up || from.generation != generation)
      return;
    if (from.frozen)
      from.deferredWork.push_back([handler, status, text] { handler(status, text); });
    else
      handler(status, text);
  };
  if (!known || !node.up)
    return schedule(now + 1, [respond] { respond(0, "unreachable"); });
  if (isCutBetween(from, node) || isCutBetween(node, from))
    return schedule(now + std::min<std::int64_t>(within, 1000),
                    [respond] { respond(0, "unreachable"); });
  schedule(now + within, [respond] { respond(0, "late"); });
  const std::uint64_t key = nextExchange++;
  node.onExit[key] = [this, respond] {
    schedule(now + 1, [respond] { respond(0, "lost"); });
  };
  deliver(from, node, [this, &node, &from, method, target, body, respond, key, apiKey] {
    auto reply = [this, &node, &from, respond, key](const ApiResponse& answer) {
      node.onExit.erase(key);
      deliver(node, from, [respond, answer] { respond(answer.status, answer.body); });
    };
    auto parsed = ApiRequest::parse(method, target, body);
    if (!parsed)
      return reply(ApiResponse::fromError(parsed.error()));
    parsed.value().apiKey = ApiKeyDigest::of(apiKey);
    callLeader(node, std::move(parsed.value()), reply);
  });
}

void SimulatedCluster::killGateway(std::size_t index) {
  auto& node = *gateways[index];
  if (!node.up)
    return;
  node.up = node.frozen = false;
  ++node.generation;
  node.deferredWork.clear();
  auto exitCallbacks = std::exchange(node.onExit, {});
  for (auto& [key, respond] : exitCallbacks)
    respond();
}
void SimulatedCluster::restartGateway(std::size_t index) {
  auto& node = *gateways[index];
  if (node.up)
    return;
  node.up = true;
  node.route = LeaderRoute{};
  refreshRoute(node, ++node.generation);
}
std::size_t SimulatedCluster::gatewayAt(const Address& address) const {
  for (const auto& node : gateways)
    if (node->publicAddress == address)
      return node->index;
  return gatewayNotFound;
}
void SimulatedCluster::moveGateway(std::size_t index) {
  gateways[index]->publicAddress =
      Address{"10.0.1." + std::to_string(nextGatewayAddress++) + ":80"};
}
void SimulatedCluster::freezeGateway(std::size_t index, bool frozen) {
  freeze(*gateways[index], frozen);
}

}  // namespace aniseline
