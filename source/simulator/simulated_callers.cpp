// Callers and operators of the simulated cluster, and the observations of its state.
#include "simulator/simulated_nodes.hpp"

namespace aniseline {

namespace {
constexpr int unauthorizedStatus = 401;
// Longer than any fault, so that a submission that a fault has held up is observed.
constexpr std::int64_t pollAfterGivingUpMs = 10'000;
}  // namespace

void SimulatedCluster::sendRequest(std::size_t gateway, const std::string& method,
                                   const std::string& target, const std::string& body,
                                   ResponseHandler handler, std::int64_t within) {
  askGateway(*clients, gateway, method, target, body, within, std::move(handler));
}

void SimulatedCluster::submit(const JobSubmission& job, std::int64_t cancelAfter,
                              const std::string& apiKey) {
  submissions[job.id.value] = job;
  auto state = std::make_shared<CallerState>();
  state->job = job;
  state->gateway = random.next() % gateways.size();
  state->cancelAfter = cancelAfter;
  state->apiKey = apiKey;
  state->startedAt = now;
  callers.push_back(state);
  sendSubmission(state);
}
void SimulatedCluster::resubmit(const JobSubmission& job) {
  auto state = std::make_shared<CallerState>();
  state->job = job;
  state->gateway = random.next() % gateways.size();
  state->startedAt = now;
  state->isResend = true;
  callers.push_back(state);
  sendSubmission(state);
}

void SimulatedCluster::submitAndGiveUp(const JobSubmission& job, std::size_t gateway,
                                       std::int64_t patience) {
  submissions[job.id.value] = job;
  auto state = std::make_shared<CallerState>();
  state->job = job;
  state->gateway = gateway;
  state->startedAt = now;
  state->gaveUp = true;
  callers.push_back(state);
  recordSubmission(*state);
  const std::int64_t askedAt = epochMs + now;
  askGateway(*clients, gateway, "POST", "/v1/jobs", renderJobSubmission(job), patience,
             [this, state, askedAt](int status, const std::string&) {
               recordSubmissionAnswer(*state, askedAt, status);
               state->gateway = (state->gateway + 1) % gateways.size();
               sendCancel(state);
             });
}

void SimulatedCluster::recordSubmission(const CallerState& state) {
  auto event = makeEvent(HistoryEvent::Kind::submitted, epochMs + now);
  event.job = state.job.id.value;
  event.digest = std::to_string(state.job.digest());
  recordEvent(event);
}

void SimulatedCluster::recordSubmissionAnswer(const CallerState& state, std::int64_t askedAt,
                                              int status) {
  // The key may have been revoked between two submissions, so a refusal of a resend does not tell
  // whether the first submission was accepted.
  const bool outcomeUnknown =
      status == 0 || status == 503 || (status == unauthorizedStatus && state.attempts > 1);
  auto answered = makeEvent(status == 202    ? HistoryEvent::Kind::accepted
                            : outcomeUnknown ? HistoryEvent::Kind::outcomeUnknown
                                             : HistoryEvent::Kind::rejected,
                            epochMs + now);
  answered.job = state.job.id.value;
  answered.detail = std::to_string(status);
  answered.invokedAt = askedAt;
  answered.digest = std::to_string(state.job.digest());
  recordEvent(answered);
}

void SimulatedCluster::sendSubmission(std::shared_ptr<CallerState> state) {
  recordSubmission(*state);
  ++state->attempts;
  const std::int64_t askedAt = epochMs + now;
  askGateway(
      *clients, state->gateway, "POST", "/v1/jobs", renderJobSubmission(state->job), 3000,
      [this, state, askedAt](int status, const std::string& body) {
        const bool refusedForKey = status == unauthorizedStatus;
        if (!state->apiKey.empty() && (status == 202 || refusedForKey))
          keyUses.push_back(
              {ApiKeyDigest::of(state->apiKey), askedAt, epochMs + now, status == 202});
        recordSubmissionAnswer(*state, askedAt, status);
        if (trace)
          trace("submit " + state->job.id.value + ": " + std::to_string(status) + " " + body);
        if (status == 202) {
          state->accepted = true;
          if (state->attempts == 1)
            acknowledgementLatencies.push_back(now - state->startedAt);
          if (state->cancelAfter >= 0)
            scheduleAfter(state->cancelAfter, [this, state] { sendCancel(state); });
          pollJob(state);
        } else if (status == 0 || status == 503 || (status == 429 && state->attempts < 40)) {
          state->gateway = (state->gateway + 1) % gateways.size();
          scheduleAfter(200 + random.between(0, 300), [this, state] { sendSubmission(state); });
        } else {
          state->rejected = true;
        }
      },
      state->apiKey);
}

void SimulatedCluster::sendCancel(std::shared_ptr<CallerState> state) {
  if (state->ended)
    return;
  const std::int64_t askedAt = epochMs + now;
  auto submitted = makeEvent(HistoryEvent::Kind::cancelSubmitted, askedAt);
  submitted.job = state->job.id.value;
  recordEvent(submitted);
  askGateway(
      *clients, state->gateway, "DELETE", "/v1/jobs/" + state->job.id.value, "", 3000,
      [this, state, askedAt](int status, const std::string& body) {
        if (trace)
          trace("cancel " + state->job.id.value + ": " + std::to_string(status) + " " + body);
        if (status == 200 || status == 404) {
          auto event = makeEvent(status == 200 ? HistoryEvent::Kind::cancelAcknowledged
                                               : HistoryEvent::Kind::cancelNotFound,
                                 epochMs + now);
          event.job = state->job.id.value;
          event.invokedAt = askedAt;
          picojson::value root;
          if (status == 200 && picojson::parse(root, body).empty())
            event.detail = root.get("state").to_str();
          recordEvent(event);
        }
        onCancelAnswered(state, status);
      });
}

// A caller whose submission was accepted knows that the job exists, and sends the cancel again if
// it is told otherwise.
void SimulatedCluster::onCancelAnswered(std::shared_ptr<CallerState> state, int status) {
  const bool isAcknowledged = status == 200 || (state->gaveUp && status == 404);
  if (!isAcknowledged) {
    state->gateway = (state->gateway + 1) % gateways.size();
    return scheduleAfter(200, [this, state] { sendCancel(state); });
  }
  if (!state->gaveUp)
    return;
  state->pollUntil = now + pollAfterGivingUpMs;
  pollJob(state);
}

void SimulatedCluster::pollJob(std::shared_ptr<CallerState> state) {
  scheduleAfter(150 + random.between(0, 200), [this, state] {
    const std::int64_t askedAt = epochMs + now;
    askGateway(*clients, state->gateway, "GET", "/v1/jobs/" + state->job.id.value, "", 3000,
               [this, state, askedAt](int status, const std::string& body) {
                 std::string jobState;
                 if (status == 404)
                   jobState = "missing";
                 else if (status == 200) {
                   picojson::value root;
                   if (picojson::parse(root, body).empty())
                     jobState = root.get("state").to_str();
                 } else
                   state->gateway = (state->gateway + 1) % gateways.size();
                 auto& lastState = lastObservedState[state->job.id.value];
                 if (!jobState.empty()) {
                   auto event = makeEvent(jobState == lastState ? HistoryEvent::Kind::stateUnchanged
                                                                : HistoryEvent::Kind::stateObserved,
                                          epochMs + now);
                   event.job = state->job.id.value;
                   event.detail = jobState;
                   event.invokedAt = askedAt;
                   recordEvent(event);
                   const bool hasChanged = jobState != lastState;
                   lastState = jobState;
                   if (trace && hasChanged)
                     trace("show " + state->job.id.value + ": " + jobState);
                 }
                 const bool remainsMissing =
                     state->gaveUp && jobState == "missing" && now >= state->pollUntil;
                 state->ended = remainsMissing || jobState == "finished" || jobState == "failed" ||
                                jobState == "cancelled";
                 if (!state->ended)
                   pollJob(state);
               });
  });
}

void SimulatedCluster::applyConfig(const std::string& text, std::uint64_t baseVersion,
                                   ResponseHandler handler, std::size_t gateway) {
  const auto parsed = ClusterConfig::parse(text);
  if (parsed)
    notePools(parsed.value());
  ConfigRequest request = makeConfigRequest("PUT", "config", text, baseVersion);
  request.submitted.digest = configDigest(text);
  // The answer to an invalid text tells nothing about the current configuration.
  request.isValid = bool(parsed);
  sendConfigRequest(
      request, gateway,
      [this, parsed, handler = std::move(handler)](int status, const std::string& body) {
        if (status == 200 && parsed)
          noteAttemptLimits(parsed.value());
        if (handler)
          handler(status, body);
      });
}

void SimulatedCluster::patchConfig(const std::string& text, std::uint64_t baseVersion,
                                   ResponseHandler handler, std::size_t gateway) {
  ConfigRequest request = makeConfigRequest("PATCH", "patch", text, baseVersion);
  request.submitted.digest = configPatchDigest(text);
  request.submitted.detail = configPatchDetail;
  request.isValid = bool(ConfigPatch::parse(text));
  sendConfigRequest(request, gateway, std::move(handler));
}

SimulatedCluster::ConfigRequest SimulatedCluster::makeConfigRequest(
    const char* method, const std::string& field, const std::string& text,
    std::uint64_t baseVersion) const {
  ConfigRequest request;
  request.method = method;
  request.body =
      "{\"based_on\":" + std::to_string(baseVersion) + ",\"" + field + "\":" + text + "}";
  request.submitted = makeEvent(HistoryEvent::Kind::configSubmitted, epochMs + now);
  request.submitted.baseVersion = baseVersion;
  return request;
}

void SimulatedCluster::sendConfigRequest(const ConfigRequest& request, std::size_t gateway,
                                         ResponseHandler handler) {
  recordEvent(request.submitted);
  askGateway(*clients, gateway, request.method, "/v1/config", request.body, 3000,
             [this, request, handler = std::move(handler)](int status, const std::string& body) {
               if (status == 200 || status == 409 || (status == 400 && request.isValid))
                 recordConfigAnswer(request.submitted, status, body);
               if (handler)
                 handler(status, body);
             });
}

void SimulatedCluster::recordConfigAnswer(const HistoryEvent& submitted, int status,
                                          const std::string& body) {
  picojson::value root;
  picojson::parse(root, body);
  auto event = submitted;
  event.kind =
      status == 200 ? HistoryEvent::Kind::configAcknowledged : HistoryEvent::Kind::configRejected;
  event.invokedAt = submitted.timestamp;
  event.timestamp = epochMs + now;
  if (root.get("version").is<double>())
    event.version = std::uint64_t(root.get("version").get<double>());
  recordEvent(event);
}

void SimulatedCluster::notePools(const ClusterConfig& config) {
  for (const auto& [name, queue] : config.queues)
    poolsByQueue[name.value].insert(queue.pool);
  reservedTrialMemory =
      std::max(reservedTrialMemory, std::int64_t(config.planner.reservedTrialMemory));
}

void SimulatedCluster::noteAttemptLimits(const ClusterConfig& config) {
  for (const auto& [name, queue] : config.queues) {
    auto& limit = queue.maxFailures ? maxAttemptsByQueue[name.value] : retriesByQueue[name.value];
    limit = std::max(limit, queue.maxFailures ? queue.maxFailures : queue.maxRetries);
  }
}

std::vector<std::string> SimulatedCluster::wronglyAnsweredConfigChanges() const {
  const auto leaderIndex = leader();
  if (!leaderIndex)
    return {"nobody leads"};
  std::set<std::pair<std::uint64_t, std::string>> storedUpdates;
  for (const auto& update : controllers[*leaderIndex]->core->committed().configHistory().updates())
    storedUpdates.insert({update.baseVersion.value, update.digest.text()});
  std::vector<std::string> findings;
  for (const auto& event : history) {
    const bool isStored = storedUpdates.count({event.baseVersion, event.digest}) > 0;
    const std::string update = event.digest + " on " + std::to_string(event.baseVersion);
    if (event.kind == HistoryEvent::Kind::configRejected && isStored)
      findings.push_back("the config " + update + " was taken and refused");
    if (event.kind == HistoryEvent::Kind::configAcknowledged && !isStored)
      findings.push_back("the config " + update + " was acknowledged and is not held");
  }
  return findings;
}

std::optional<std::size_t> SimulatedCluster::leader() const {
  std::optional<std::size_t> found;
  for (const auto& node : controllers)
    if (node->up && !node->frozen && node->core->raftNode().canServe() &&
        (!found || node->core->raftNode().term() > controllers[*found]->core->raftNode().term()))
      found = node->index;
  return found;
}
const Controller* SimulatedCluster::controller(std::size_t index) const {
  return controllers[index]->up ? controllers[index]->core.get() : nullptr;
}
std::size_t SimulatedCluster::controllerCount() const {
  return controllers.size();
}
std::uint64_t SimulatedCluster::countStartsOf(const std::string& job) const {
  return std::uint64_t(
      std::count_if(history.begin(), history.end(), [&](const HistoryEvent& event) {
        return event.kind == HistoryEvent::Kind::started && event.job == job;
      }));
}
bool SimulatedCluster::isVoter(std::size_t index) const {
  const auto& node = *controllers[index];
  const auto leaderIndex = leader();
  if (!node.up || !leaderIndex)
    return false;
  for (const auto& member : controllers[*leaderIndex]->core->raftNode().membership())
    if (member.id == node.identity)
      return member.voter;
  return false;
}
std::size_t SimulatedCluster::voterCount() const {
  std::size_t count = 0;
  for (std::size_t index = 0; index < controllers.size(); ++index)
    count += isVoter(index);
  return count;
}
std::vector<std::string> SimulatedCluster::unfinishedJobs() const {
  std::vector<std::string> unfinished;
  for (const auto& state : callers)
    if (!state->ended && !state->rejected)
      unfinished.push_back(
          state->job.id.value + (state->accepted ? " accepted, last shown " : " never accepted ") +
          (lastObservedState.count(state->job.id.value) ? lastObservedState.at(state->job.id.value)
                                                        : ""));
  return unfinished;
}
bool SimulatedCluster::allJobsEnded() const {
  return unfinishedJobs().empty();
}
CheckReport SimulatedCluster::checkHistory() const {
  InvariantOptions invariantOptions;
  invariantOptions.clockSlackMs = 50;
  invariantOptions.retriesByQueue = retriesByQueue;
  invariantOptions.maxAttemptsByQueue = maxAttemptsByQueue;
  invariantOptions.poolsByQueue = poolsByQueue;
  invariantOptions.reservedTrialMemory = reservedTrialMemory;
  invariantOptions.tenantByJob = tenantByJob;
  invariantOptions.lowestCaps = lowestCaps;
  invariantOptions.storedClusters = storedClusters;
  return checkInvariants(history, submissions, invariantOptions);
}

}  // namespace aniseline
