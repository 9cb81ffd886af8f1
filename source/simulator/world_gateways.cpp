#include "simulator/nodes.hpp"

namespace aniseline {

void World::refreshGateway(GatewayNode& node, std::uint64_t generation) {
  if (!node.up || node.generation != generation)
    return;
  if (!node.frozen)
    for (auto& controller : controllers) {
      if (!controller->up)
        continue;
      auto* to = controller.get();
      deliver(node, *to, [this, to, &node] {
        to->core->recordGateway({node.outer, ZoneName{"zone" + std::to_string(node.zone + 1)}},
                                MonotonicTime{now + to->monotonicBase});
        if (to->core->raftNode().blank())
          return;
        auto view = to->core->route(MonotonicTime{now + to->monotonicBase});
        deliver(*to, node, [&node, view] { node.route.takeNewer(view); });
      });
    }
  schedule(now + 200, [this, &node, generation] { refreshGateway(node, generation); });
}

void World::askController(Node& from, const Address& target, const ApiRequest& request,
                          std::int64_t within,
                          std::function<void(std::optional<ApiResponse>, LeaderCall::Loss)> reply) {
  const std::uint64_t generation = from.generation;
  auto told = std::make_shared<bool>(false);
  auto tell = [this, &from, generation, told, reply](std::optional<ApiResponse> answer,
                                                     LeaderCall::Loss loss) {
    if (*told)
      return;
    *told = true;
    if (!from.up || from.generation != generation)
      return;
    if (from.frozen)
      from.inbox.push_back([reply, answer, loss] { reply(answer, loss); });
    else
      reply(answer, loss);
  };
  auto* to = at(target);
  if (!to || !to->up)
    return schedule(now + 1, [tell] { tell(std::nullopt, LeaderCall::Loss::unreachable); });
  if (cutBetween(from, *to) || cutBetween(*to, from))
    return schedule(now + 1000, [tell] { tell(std::nullopt, LeaderCall::Loss::unreachable); });
  schedule(now + within, [tell] { tell(std::nullopt, LeaderCall::Loss::late); });
  const std::uint64_t key = nextExchange++;
  to->onDeath[key] = [this, tell] {
    schedule(now + 1, [tell] { tell(std::nullopt, LeaderCall::Loss::lost); });
  };
  deliver(from, *to, [this, to, &from, request, tell, key] {
    const RequestNumber number{key};
    pending[number] = [this, to, &from, request, tell, key](const ApiResponse& answer) {
      to->onDeath.erase(key);
      if (answering)
        answering(to->place, request, answer);
      deliver(*to, from, [tell, answer] { tell(answer, LeaderCall::Loss::late); });
    };
    to->core->take(number, request, MonotonicTime{now + to->monotonicBase});
    stepSoon(*to);
    drive(*to);
  });
}

void World::follow(RoutedNode& node, std::shared_ptr<LeaderCall> course, ApiRequest request,
                   LeaderCall::Step step, std::function<void(const ApiResponse&)> reply) {
  if (step.kind == LeaderCall::Step::Kind::answer)
    return reply(step.answer);
  if (step.kind == LeaderCall::Step::Kind::wait) {
    const std::uint64_t generation = node.generation;
    return schedule(now + step.within.milliseconds,
                    [this, &node, generation, course, request, reply] {
                      if (!node.up || node.generation != generation)
                        return;
                      auto go = [this, &node, course, request, reply] {
                        follow(node, course, request, course->waited(MonotonicTime{now}), reply);
                      };
                      if (node.frozen)
                        node.inbox.push_back(go);
                      else
                        go();
                    });
  }
  askController(node, step.target, request, step.within.milliseconds,
                [this, &node, course, request, reply](std::optional<ApiResponse> answer,
                                                      LeaderCall::Loss loss) {
                  follow(node, course, request,
                         answer ? course->answered(*answer, MonotonicTime{now})
                                : course->failed(loss, MonotonicTime{now}),
                         reply);
                });
}

void World::relay(RoutedNode& node, ApiRequest request,
                  std::function<void(const ApiResponse&)> reply) {
  auto course = std::make_shared<LeaderCall>(
      request, [&node] { return node.route; }, seeds, MonotonicTime{now});
  auto step = course->begin(MonotonicTime{now});
  follow(node, course, std::move(request), step, std::move(reply));
}

void World::askGateway(Node& from, std::size_t place, const std::string& method,
                       const std::string& target, const std::string& body, std::int64_t within,
                       Follower follower) {
  const bool known = place != noGateway;
  auto& node = *gateways[known ? place % gateways.size() : 0];
  const std::uint64_t generation = from.generation;
  auto told = std::make_shared<bool>(false);
  auto tell = [this, &from, generation, told, follower](int status, const std::string& text) {
    if (*told)
      return;
    *told = true;
    if (!from.up || from.generation != generation)
      return;
    if (from.frozen)
      from.inbox.push_back([follower, status, text] { follower(status, text); });
    else
      follower(status, text);
  };
  if (!known || !node.up)
    return schedule(now + 1, [tell] { tell(0, "unreachable"); });
  if (cutBetween(from, node) || cutBetween(node, from))
    return schedule(now + std::min<std::int64_t>(within, 1000), [tell] { tell(0, "unreachable"); });
  schedule(now + within, [tell] { tell(0, "late"); });
  const std::uint64_t key = nextExchange++;
  node.onDeath[key] = [this, tell] {
    schedule(now + 1, [tell] { tell(0, "lost"); });
  };
  deliver(from, node, [this, &node, &from, method, target, body, tell, key] {
    auto reply = [this, &node, &from, tell, key](const ApiResponse& answer) {
      node.onDeath.erase(key);
      deliver(node, from, [tell, answer] { tell(answer.status, answer.body); });
    };
    auto parsed = ApiRequest::parse(method, target, body);
    if (!parsed)
      return reply(ApiResponse::from(parsed.error()));
    relay(node, std::move(parsed.value()), reply);
  });
}

void World::killGateway(std::size_t place) {
  auto& node = *gateways[place];
  if (!node.up)
    return;
  node.up = node.frozen = false;
  ++node.generation;
  node.inbox.clear();
  auto dead = std::exchange(node.onDeath, {});
  for (auto& [key, tell] : dead)
    tell();
}
void World::restartGateway(std::size_t place) {
  auto& node = *gateways[place];
  if (node.up)
    return;
  node.up = true;
  node.route = RouteView{};
  refreshGateway(node, ++node.generation);
}
std::size_t World::gatewayAt(const Address& address) const {
  for (const auto& node : gateways)
    if (node->outer == address)
      return node->place;
  return noGateway;
}
void World::moveGateway(std::size_t place) {
  gateways[place]->outer = Address{"10.0.1." + std::to_string(nextGatewayAddress++) + ":80"};
}
void World::freezeGateway(std::size_t place, bool frozen) {
  freeze(*gateways[place], frozen);
}

}  // namespace aniseline
