#include "simulator/nodes.hpp"

namespace aniseline {

void World::ask(std::size_t gateway, const std::string& method, const std::string& target,
                const std::string& body, Follower follower, std::int64_t within) {
  askGateway(*outside, gateway, method, target, body, within, std::move(follower));
}

void World::submit(const JobSubmission& job, std::int64_t cancelAfter) {
  submissions[job.id.value] = job;
  auto state = std::make_shared<CallerState>();
  state->job = job;
  state->gateway = random.next() % gateways.size();
  state->cancelAfter = cancelAfter;
  state->begunAt = now;
  callers.push_back(state);
  trySubmit(state);
}
void World::resubmit(const JobSubmission& job) {
  auto state = std::make_shared<CallerState>();
  state->job = job;
  state->gateway = random.next() % gateways.size();
  state->begunAt = now;
  state->resend = true;
  callers.push_back(state);
  trySubmit(state);
}

void World::trySubmit(std::shared_ptr<CallerState> state) {
  auto given = seen(HistoryEvent::Kind::submitted, calendar + now);
  given.job = state->job.id.value;
  given.digest = std::to_string(state->job.digest());
  witness(given);
  ++state->tries;
  const std::int64_t askedAt = calendar + now;
  askGateway(*outside, state->gateway, "POST", "/v1/jobs", renderJob(state->job), 3000,
             [this, state, askedAt](int status, const std::string& body) {
               auto answered = seen(status == 202                  ? HistoryEvent::Kind::accepted
                                    : status == 0 || status == 503 ? HistoryEvent::Kind::unknown
                                                                   : HistoryEvent::Kind::rejected,
                                    calendar + now);
               answered.job = state->job.id.value;
               answered.detail = std::to_string(status);
               answered.since = askedAt;
               answered.digest = std::to_string(state->job.digest());
               witness(answered);
               if (say)
                 say("submit " + state->job.id.value + ": " + std::to_string(status) + " " + body);
               if (status == 202) {
                 state->accepted = true;
                 if (state->tries == 1)
                   acknowledgements.push_back(now - state->begunAt);
                 if (state->cancelAfter >= 0)
                   after(state->cancelAfter, [this, state] { tryCancel(state); });
                 watch(state);
               } else if (status == 0 || status == 503 || (status == 429 && state->tries < 40)) {
                 state->gateway = (state->gateway + 1) % gateways.size();
                 after(200 + random.between(0, 300), [this, state] { trySubmit(state); });
               } else {
                 state->rejected = true;
               }
             });
}

void World::tryCancel(std::shared_ptr<CallerState> state) {
  if (state->over)
    return;
  const std::int64_t askedAt = calendar + now;
  auto asked = seen(HistoryEvent::Kind::cancelAsked, askedAt);
  asked.job = state->job.id.value;
  witness(asked);
  askGateway(*outside, state->gateway, "DELETE", "/v1/jobs/" + state->job.id.value, "", 3000,
             [this, state, askedAt](int status, const std::string& body) {
               if (say)
                 say("cancel " + state->job.id.value + ": " + std::to_string(status) + " " + body);
               if (status == 200 || status == 404) {
                 auto given = seen(status == 200 ? HistoryEvent::Kind::cancelAcknowledged
                                                 : HistoryEvent::Kind::cancelMissing,
                                   calendar + now);
                 given.job = state->job.id.value;
                 given.since = askedAt;
                 picojson::value root;
                 if (status == 200 && picojson::parse(root, body).empty())
                   given.detail = root.get("state").to_str();
                 witness(given);
               }
               if (status == 200)
                 return;
               state->gateway = (state->gateway + 1) % gateways.size();
               after(200, [this, state] { tryCancel(state); });
             });
}

void World::watch(std::shared_ptr<CallerState> state) {
  after(150 + random.between(0, 200), [this, state] {
    const std::int64_t askedAt = calendar + now;
    askGateway(*outside, state->gateway, "GET", "/v1/jobs/" + state->job.id.value, "", 3000,
               [this, state, askedAt](int status, const std::string& body) {
                 std::string shown;
                 if (status == 404)
                   shown = "missing";
                 else if (status == 200) {
                   picojson::value root;
                   if (picojson::parse(root, body).empty())
                     shown = root.get("state").to_str();
                 } else
                   state->gateway = (state->gateway + 1) % gateways.size();
                 auto& last = lastShown[state->job.id.value];
                 if (!shown.empty()) {
                   auto given =
                       seen(shown == last ? HistoryEvent::Kind::looked : HistoryEvent::Kind::shown,
                            calendar + now);
                   given.job = state->job.id.value;
                   given.detail = shown;
                   given.since = askedAt;
                   witness(given);
                   const bool isNew = shown != last;
                   last = shown;
                   if (say && isNew)
                     say("show " + state->job.id.value + ": " + shown);
                 }
                 state->over = shown == "finished" || shown == "failed" || shown == "cancelled";
                 if (!state->over)
                   watch(state);
               });
  });
}

void World::applyConfig(const std::string& text, std::uint64_t baseVersion, Follower follower,
                        std::size_t gateway) {
  const auto parsed = ClusterConfig::parse(text);
  if (parsed)
    for (const auto& [name, queue] : parsed.value().queues)
      poolsOf[name.value].insert(queue.pool);
  const std::string body =
      "{\"based_on\":" + std::to_string(baseVersion) + ",\"config\":" + text + "}";
  auto asked = seen(HistoryEvent::Kind::configAsked, calendar + now);
  asked.base = baseVersion;
  asked.digest = configDigest(text);
  witness(asked);
  askGateway(
      *outside, gateway, "PUT", "/v1/config", body, 3000,
      [this, follower = std::move(follower), parsed, asked](int status, const std::string& body) {
        // Of a text with faults the answer says nothing of the config in force.
        if (status == 200 || status == 409 || (status == 400 && parsed)) {
          picojson::value root;
          picojson::parse(root, body);
          auto given = asked;
          given.kind = status == 200 ? HistoryEvent::Kind::configAcknowledged
                                     : HistoryEvent::Kind::configRefused;
          given.since = asked.at;
          given.at = calendar + now;
          if (root.get("version").is<double>())
            given.version = std::uint64_t(root.get("version").get<double>());
          witness(given);
        }
        if (status == 200 && parsed)
          for (const auto& [name, queue] : parsed.value().queues) {
            auto& most = queue.tries ? tries[name.value] : retries[name.value];
            most = std::max(most, queue.tries ? queue.tries : queue.retries);
          }
        if (follower)
          follower(status, body);
      });
}

std::vector<std::string> World::misjudgedOrders() const {
  const auto leading = leader();
  if (!leading)
    return {"nobody leads"};
  std::set<std::pair<std::uint64_t, std::string>> held;
  for (const auto& order : controllers[*leading]->core->committed().configHistory.orders())
    held.insert({order.base.value, order.digest.text()});
  std::vector<std::string> found;
  for (const auto& event : history) {
    const bool isHeld = held.count({event.base, event.digest}) > 0;
    const std::string order = event.digest + " on " + std::to_string(event.base);
    if (event.kind == HistoryEvent::Kind::configRefused && isHeld)
      found.push_back("the config " + order + " was taken and refused");
    if (event.kind == HistoryEvent::Kind::configAcknowledged && !isHeld)
      found.push_back("the config " + order + " was acknowledged and is not held");
  }
  return found;
}

std::optional<std::size_t> World::leader() const {
  std::optional<std::size_t> found;
  for (const auto& node : controllers)
    if (node->up && !node->frozen && node->core->raftNode().serves() &&
        (!found || node->core->raftNode().term() > controllers[*found]->core->raftNode().term()))
      found = node->place;
  return found;
}
const Controller* World::controller(std::size_t place) const {
  return controllers[place]->up ? controllers[place]->core.get() : nullptr;
}
std::size_t World::controllerCount() const {
  return controllers.size();
}
std::uint64_t World::startsOf(const std::string& job) const {
  return std::uint64_t(
      std::count_if(history.begin(), history.end(), [&](const HistoryEvent& given) {
        return given.kind == HistoryEvent::Kind::started && given.job == job;
      }));
}
bool World::isVoter(std::size_t place) const {
  const auto& node = *controllers[place];
  const auto leading = leader();
  if (!node.up || !leading)
    return false;
  for (const auto& member : controllers[*leading]->core->raftNode().members())
    if (member.id == node.identity)
      return member.voter;
  return false;
}
std::size_t World::voterCount() const {
  std::size_t count = 0;
  for (std::size_t place = 0; place < controllers.size(); ++place)
    count += isVoter(place);
  return count;
}
std::vector<std::string> World::unfinished() const {
  std::vector<std::string> left;
  for (const auto& state : callers)
    if (!state->over && !state->rejected)
      left.push_back(
          state->job.id.value + (state->accepted ? " accepted, last shown " : " never accepted ") +
          (lastShown.count(state->job.id.value) ? lastShown.at(state->job.id.value) : ""));
  return left;
}
bool World::allOver() const {
  return unfinished().empty();
}
CheckReport World::findings() const {
  InvariantOptions promises;
  promises.slack = 50;
  promises.retriesOf = retries;
  promises.triesOf = tries;
  promises.poolsOf = poolsOf;
  return checkInvariants(history, submissions, promises);
}

}  // namespace aniseline
