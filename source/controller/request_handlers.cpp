// Admission of requests, and the handlers of requests from clients and operators. docs/api.md,
// docs/design.md 8, 10.
#include "controller/config_service.hpp"
#include "controller/controller.hpp"
#include "controller/read_views.hpp"

namespace aniseline {

namespace {
constexpr Duration overloadRetryDelay{1000};
}  // namespace

void Controller::submitRequest(RequestNumber number, ApiRequest request, MonotonicTime at) {
  if (areDifferentClusters(raft.cluster(), request.cluster))
    return sendResponse(number, otherClusterResponse());
  if (!isLeading() || !raft.isLeader())
    return sendResponse(number, notLeaderResponse());
  if (!hasRequestCapacity(request))
    return sendResponse(
        number,
        ApiResponse::error(429, "overloaded", "too many requests are pending", overloadRetryDelay));
  if (!fitsMemoryLimit(request))
    return sendResponse(
        number, ApiResponse::notApplied("the pending requests use too much memory; try again"));
  requests.add(number, std::move(request), at + options.responseTimeout);
}

// The committed configuration determines which queues are urgent. docs/design.md 10.
bool Controller::hasRequestCapacity(const ApiRequest& request) const {
  const auto* queue = committed().config().findQueue(request.job.queue);
  const bool isUrgent = queue && queue->priority > 0;
  const bool isPlainSubmission = request.kind == RequestKind::submitJob && !isUrgent;
  return admitsRequest(request.kind, isPlainSubmission, requests.size(),
                       options.maxPendingRequests);
}

// Syncs are always admitted: their number is bounded by the number of workers, and without them no
// task could complete.
bool Controller::fitsMemoryLimit(const ApiRequest& request) const {
  const std::size_t retained = pendingBytes();
  return request.kind == RequestKind::syncWorker || retained == 0 ||
         retained + payloadBytes(request) <= options.maxPendingBytes;
}

void Controller::handleQueuedRequests() {
  for (auto sequence : requests.takeQueued()) {
    PendingRequest* pending = requests.find(sequence);
    if (!pending)
      continue;  // the request timed out before it was handled
    handleRequest(*pending);
    requests.releaseConfigText(*pending);
  }
}

// Submissions through the native API name their queue, but they also need a key if tenants are
// configured, because their work counts against a tenant's cap. The other requests of this API come
// from operators. docs/api.md 1.
std::optional<ApiResponse> Controller::rejectionBeforeDispatch(ApiRequest& request) {
  if (request.viaIngress())
    return resolveIngressRoute(request);
  request.job.tenant = TenantName{};
  const bool needsKey =
      request.kind == RequestKind::submitJob && speculative().config().tenants.requiresKeys();
  return needsKey ? authenticate(request) : std::nullopt;
}

// The leader has the newest configuration, so a request from an ingress route is never validated
// against an older one. docs/design.md 6.6.
std::optional<ApiResponse> Controller::resolveIngressRoute(ApiRequest& request) {
  const ClusterConfig& config = speculative().config();
  if (!config.version.value)
    return ApiResponse::notApplied("no configuration has been applied yet");
  const auto* route = config.findIngressRoute(request.host, request.path);
  if (!route)
    return ApiResponse::error(404, "no_queue", "no ingress route matches this host and path");
  request.targetId = request.path.substr(route->pathPrefix.size());
  request.job.queue = route->queue;
  request.job.id = JobId{request.targetId};
  request.job.tenant = TenantName{};
  if (config.tenants.requiresKeyFor(route->host, route->pathPrefix)) {
    if (auto rejection = authenticate(request))
      return rejection;
  }
  if (request.kind == RequestKind::showPhase && request.targetId.empty())
    request.kind = RequestKind::countPendingJobs;
  if (request.kind != RequestKind::submitJob)
    return checkOwner(request);
  auto errors = request.job.validate();
  if (errors.empty())
    return std::nullopt;
  return ApiResponse::fromError(CoreError{CoreError::Kind::invalid, std::move(errors)});
}

// Keys are checked against the newest configuration in the leader's log, regardless of the process
// through which the request came. No other process keeps a list of keys, since that list could be
// outdated. The response is sent once that configuration is committed. docs/design.md 6.7.
std::optional<ApiResponse> Controller::authenticate(ApiRequest& request) {
  const TenantName* tenant = speculative().config().tenants.findByKey(request.apiKey);
  if (!tenant) {
    ++rejectedKeys;
    return ApiResponse::error(401, "unauthenticated", "the API key is missing or unknown");
  }
  request.job.tenant = *tenant;
  return std::nullopt;
}

// A job without a tenant was submitted through a public route, or before tenants were configured.
std::optional<ApiResponse> Controller::checkOwner(const ApiRequest& request) const {
  const auto found = speculative().jobs().find(request.job.id);
  if (found == speculative().jobs().end())
    return std::nullopt;
  const TenantName& owner = found->second.submission.tenant;
  if (isAbsent(owner) || owner == request.job.tenant)
    return std::nullopt;
  return ApiResponse::error(403, "forbidden", "the job belongs to another tenant");
}

void Controller::handleRequest(PendingRequest& pending) {
  if (auto rejection = rejectionBeforeDispatch(pending.request))
    return respondWhenCommitted(pending, std::move(*rejection));
  switch (pending.request.kind) {
    case RequestKind::submitJob:
      return handleSubmit(pending);
    case RequestKind::cancelJob:
      return handleCancel(pending);
    case RequestKind::applyConfig:
    case RequestKind::patchConfig:
      return handleConfig(pending);
    case RequestKind::syncWorker:
      return handleSync(pending);
    case RequestKind::workerShutdown:
    case RequestKind::drainWorker:
    case RequestKind::undrainWorker:
    case RequestKind::removeWorker:
      return handleWorkerCommand(pending);
    case RequestKind::replaceController:
      return handleReplacement(pending);
    default:
      return handleReadRequest(pending);
  }
}

void Controller::handleReadRequest(PendingRequest& pending) {
  const ApiRequest& request = pending.request;
  const ClusterState& state = speculative();
  auto respond = [&](ApiResponse response) {
    respondWhenCommitted(pending, std::move(response));
  };
  auto respondWithJson = [&](const picojson::object& body) {
    respond(ApiResponse::of(200, body));
  };
  switch (request.kind) {
    case RequestKind::showJob:
      return respond(jobResponse(state, JobId{request.targetId}));
    case RequestKind::showPhase:
      return respond(jobPhaseResponse(state, JobId{request.targetId}));
    case RequestKind::countPendingJobs:
      return respond(pendingJobCountResponse(state, request.job.queue));
    case RequestKind::readConfig:
      return respond(configTextResponse(state));
    case RequestKind::listJobs:
      return respondWithJson(renderJobList(state, request));
    case RequestKind::showConfig:
      return respondWithJson(renderConfig(state));
    case RequestKind::listWorkers:
      return respondWithJson(renderWorkers(state, leases.timesSinceLastContact(now), clusterNow()));
    case RequestKind::listTenants:
      return respondWithJson(renderTenants(state));
    case RequestKind::showCluster:
      return respondWithJson(renderCluster(state, raft, gateways, now, clusterNow()));
    case RequestKind::showPlan:
      return respondWithJson(
          renderPlan(state, planning.explain(state, clusterNow(), now), clusterNow()));
    case RequestKind::showCounters:
      return respondWithJson(renderCounters(state, raft, requests.size(),
                                            {options.maxJobBytes, pendingBytes(), residentBytes}));
    case RequestKind::exportState:
      return respondWithJson(renderExport(state, clusterNow()));
    default:
      return;  // requests that change state are dispatched by handleRequest
  }
}

void Controller::handleSubmit(PendingRequest& pending) {
  RequestDecision decision = admission.decide(pending.request, speculative(), now);
  const auto* queue = speculative().config().findQueue(pending.request.job.queue);
  if (decision.event && queue->priority > 0)
    planning.skipPeriod();
  applyDecision(pending, std::move(decision));
}

void Controller::handleCancel(PendingRequest& pending) {
  const JobId id{pending.request.targetId};
  auto found = speculative().jobs().find(id);
  if (found == speculative().jobs().end())
    return handleCancelOfUnknownJob(pending, id);
  const Job& job = found->second;
  const bool appends = !job.isTerminal() && job.state != JobState::cancelling;
  if (appends)
    append(JobCancelled{id});
  respondWhenCommitted(
      pending, ApiResponse::of(200, {{"id", json(id.value)}, {"state", json(name(job.state))}}),
      appends);
}

// The submission may have been sent earlier and may still arrive, for example from a gateway that
// was suspended, so the cancellation is remembered. If there is no memory left for that, it is not
// acknowledged. docs/design.md 4.3.
void Controller::handleCancelOfUnknownJob(PendingRequest& pending, const JobId& id) {
  auto missing = ApiResponse::error(404, "missing", "no job " + id.value);
  if (!JobSubmission::isValidId(id))
    return respondWhenCommitted(pending, std::move(missing));
  CancellationScope scope = cancellationScope(pending.request);
  if (!memory.admitsTombstone(id, scope, speculative()))
    return respondWhenCommitted(
        pending, ApiResponse::error(429, "overloaded", "too many unknown jobs are being cancelled",
                                    overloadRetryDelay));
  append(JobCancelled{id, std::move(scope)});
  respondWhenCommitted(pending, std::move(missing), true);
}

// While the configuration requires keys, a client can cancel only what its own tenant submits.
// Operators, who use no ingress route, can cancel any job.
CancellationScope Controller::cancellationScope(const ApiRequest& cancel) const {
  const bool hasTenants = speculative().config().tenants.requiresKeys();
  return cancel.viaIngress() && hasTenants ? CancellationScope::ofTenant(cancel.job.tenant)
                                           : CancellationScope::ofEverySender();
}

void Controller::handleConfig(PendingRequest& pending) {
  const ApiRequest& request = pending.request;
  RequestDecision decision = request.kind == RequestKind::patchConfig
                                 ? decideConfigPatch(request, speculative(), options.parseConfig)
                                 : decideConfigUpdate(request, speculative());
  if (decision.event) {
    const auto& event = boost::get<ConfigCommitted>(*decision.event);
    const TenantDirectory& tenants = event.config.tenants;
    logEvent(
        log_events::ConfigAccepted{event.config.version, tenants.all().size(), tenants.keyCount()});
  }
  applyDecision(pending, std::move(decision));
}

// Handles an operator's order that a learner may replace a member. Identities are never reused, so
// a repeated order is recognised by the identity that it names, even after that controller has
// become the leader or has left the cluster.
void Controller::handleReplacement(PendingRequest& pending) {
  const ControllerId id{pending.request.targetId};
  const Membership& members = raft.membership();
  const auto& replaced = speculative().replacedControllers();
  const bool isMember = std::any_of(members.begin(), members.end(),
                                    [&](const Member& member) { return member.id == id; });
  const bool wasReplaced = std::find(replaced.begin(), replaced.end(), id) != replaced.end();
  const auto accepted = ApiResponse::of(202, {{"replacing", json(id.value)}});
  if (speculative().controllersToReplace().count(id) || (wasReplaced && !isMember))
    return respondWhenCommitted(pending, accepted);
  if (!isMember)
    return respondWhenCommitted(pending,
                                ApiResponse::error(404, "missing", "no member " + id.value));
  if (id == raft.self().id)
    return respondWhenCommitted(pending,
                                ApiResponse::error(409, "conflict",
                                                   "this controller is the leader; stop it first "
                                                   "so that leadership moves to another one"));
  applyDecision(pending, {accepted, ControllerReplacementRequested{id, false}});
}

}  // namespace aniseline
