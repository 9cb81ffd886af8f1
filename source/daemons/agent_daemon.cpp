// Implements the agent process on one thread: its fibers share one core, send the core's calls to
// the worker, and sync with the leader. docs/design.md 5.8.
#include "daemons/agent_daemon.hpp"
#include "daemons/connection_drain.hpp"
#include "daemons/listening.hpp"
#include "net/leader_forwarder.hpp"
#include "net/foreign_route_log.hpp"
#include "net/http_client.hpp"
#include "net/log.hpp"
#include "net/signals.hpp"

namespace aniseline {

namespace {

constexpr HttpLimits listenerLimits{64 * 1024, 50, Duration{60'000}, Duration{2000}};
// The longest wait before the core is polled for its next calls.
constexpr Duration maxWaitInterval{500};
constexpr Duration syncRetryDelay{100};
constexpr Duration latencyReportInterval{10'000};
constexpr Duration acknowledgementPollInterval{5};
constexpr Duration drainReportRetryDelay{100};
// The number of attempts to report an unknown instance's shutdown to the leader. An instance keeps
// serving for some seconds after its notice. By the last attempt either the leader has been told,
// or the instance has ended and its lease expires.
constexpr std::size_t maxDrainReports = 30;
constexpr int firstServerErrorStatus = 500;

constexpr Duration routeQueryTimeout{250};
// The delay before the next controller is queried after one did not answer. It is short, so that a
// silent controller delays the search by little more than its timeout. docs/incidents.md 7.
constexpr Duration nextControllerDelay{20};
constexpr Duration leaderlessRouteInterval{100};
constexpr Duration routeInterval{300};

class AgentProcess {
 public:
  explicit AgentProcess(AgentSettings initialSettings)
      : settings(std::move(initialSettings)),
        core(settings.options),
        forwarder(
            loop, [this] { return route; }, settings.seeds, [] { return false; }) {}

  // Returns the exit status if the agent can't start; otherwise ends the process itself.
  int run() {
    const StopSignal stop(loop);
    const ReloadSignal reload(loop, [this] { refreshSeeds(); });
    HttpServer listener(loop, listenerLimits,
                        [this](const HttpRequest& request) { return onNotice(request); });
    if (!listenOrLog(listener, settings.listenAddress))
      return 1;
    log(LogLevel::info, log_events::started,
        {{"listen", json(settings.listenAddress.value)},
         {"worker", json(settings.workerAddress.value)}});
    spawn([this] { followRoute(); });
    while (!stop.requested())
      runOnce();
    shutDown(listener);
  }

 private:
  // --- event loop ---

  void runOnce() {
    const MonotonicTime now = monotonicNow();
    startCallsAndSyncs(now);
    reportLatencies(now);
    waitForWork(now);
  }
  // Keeps working until the response to the worker's next heartbeat has told the worker that its
  // connection closes. Running tasks continue under their lease; the next agent process finds them
  // by polling the worker. docs/operations.md 4.
  [[noreturn]] void shutDown(HttpServer& listener) {
    log(LogLevel::info, log_events::stopping);
    const DrainSchedule schedule =
        drainScheduleForPeriodicClients(settings.stopTimeout, settings.heartbeatInterval);
    std::optional<ConnectionCounts> aborted;
    spawn([&] {
      aborted = drainConnections({&listener}, monotonicNow(), schedule);
      wakeUp();
    });
    while (!aborted)
      runOnce();
    log(LogLevel::info, log_events::stopped, abortedConnectionFields(*aborted));
    std::_Exit(0);
  }
  void startCallsAndSyncs(MonotonicTime now) {
    for (auto& call : core.takeCalls(now))
      spawn([this, call = std::move(call)] { performCall(call); });
    if (core.mayReport() && !longPollInFlight)
      startSync(longPollInFlight, settings.syncLongPollTimeout);
    if (core.hasUrgentReport(now) && !urgentSyncInFlight)
      startSync(urgentSyncInFlight, Duration{0});
  }
  void reportLatencies(MonotonicTime now) {
    if (now < nextLatencyReport)
      return;
    nextLatencyReport = now + latencyReportInterval;
    const auto latencies = core.takeLatencies();
    const auto syncs = syncLatency.take();
    if (syncs.count + latencies.start.count == 0)
      return;
    log(LogLevel::info, log_events::agentLatency,
        {{"start", json(render(latencies.start))},
         {"confirmation", json(render(latencies.confirmation))},
         {"urgent_sync", json(render(syncs))}});
  }
  void waitForWork(MonotonicTime now) {
    std::unique_lock lock(wakeMutex);
    const Duration interval = std::clamp(core.nextWakeUp(now) - now, Duration{1}, maxWaitInterval);
    wakeCondition.wait_for(lock, std::chrono::milliseconds(interval.milliseconds),
                           [this] { return wakeRequested; });
    wakeRequested = false;
  }
  void wakeUp() {
    const std::unique_lock lock(wakeMutex);
    wakeRequested = true;
    wakeCondition.notify_one();
  }

  // --- communication with the worker ---

  // Handles a worker's registration, or its notice that it is about to shut down.
  ApiResponse onNotice(const HttpRequest& request) {
    auto notice = settings.protocol.decodeNotice(request);
    if (!notice)
      return ApiResponse::error(404, "missing", "an agent accepts only notices of its worker");
    const MonotonicTime now = monotonicNow();
    const WorkerRegistration& registration = notice->registration;
    return notice->shuttingDown ? onShutdown(registration.workerInstance, now)
                                : onRegistration(registration, now);
  }
  ApiResponse onShutdown(const WorkerId& instance, MonotonicTime now) {
    if (!core.onDrainNotice(instance, settings.defaultDrainPeriod, now))
      reportUnknownInstanceDraining(instance);
    return acknowledgeDraining(instance, settings.defaultDrainPeriod, now);
  }
  ApiResponse onRegistration(const WorkerRegistration& registration, MonotonicTime now) {
    const bool isNew = core.workerInstance() != registration.workerInstance;
    if (!core.onRegistration(registration, now))
      return ApiResponse::error(410, "gone", "a later registration of this worker was received");
    if (registration.draining)
      return acknowledgeDraining(registration.workerInstance, registration.drainTimeout, now);
    if (isNew)
      wakeUp();
    return ApiResponse::of(200, {});
  }
  // Acknowledges a drain notice once the leader has logged it. The leader is also told if it is too
  // late for an acknowledgement. docs/design.md 5.7.
  ApiResponse acknowledgeDraining(const WorkerId& instance, Duration period, MonotonicTime since) {
    auto isLogged = [&] {
      return core.drainAcknowledged(instance) || drainReported.count(instance) > 0;
    };
    if (!isLogged()) {
      log(LogLevel::info, log_events::workerDraining,
          {{"worker_instance", json(instance.value)}, {"period_ms", json(period.milliseconds)}});
      wakeUp();
    }
    while (!isLogged() && monotonicNow() - since < settings.drainAcknowledgementTimeout)
      sleepFor(acknowledgementPollInterval);
    return isLogged() ? ApiResponse::of(200, {})
                      : ApiResponse::notApplied("no leader has logged the notice yet");
  }
  // Reports the shutdown of an instance that this process does not know, which may have registered
  // with the previous agent process.
  void reportUnknownInstanceDraining(const WorkerId& instance) {
    if (!drainReported.count(instance) && drainReportsInFlight.insert(instance).second)
      spawn([this, instance] {
        reportDraining(instance);
        drainReportsInFlight.erase(instance);
      });
  }
  void reportDraining(const WorkerId& instance) {
    ApiRequest request;
    request.kind = RequestKind::workerShutdown;
    request.targetId = instance.value;
    request.drainTimeout = settings.defaultDrainPeriod;
    request.clientTimeout = settings.drainAcknowledgementTimeout;
    for (std::size_t attempt = 0; attempt < maxDrainReports; ++attempt) {
      // A status below 500 means that the leader logged the notice or knows no such worker.
      if (forwarder.forward(request).status < firstServerErrorStatus) {
        drainReported.insert(instance);
        return;
      }
      sleepFor(drainReportRetryDelay);
    }
  }
  void performCall(const WorkerCall& call) {
    auto client = takeIdleClient();
    const auto answer =
        client->send(settings.workerAddress, settings.protocol.encodeCall(call), call.timeout);
    core.onWorkerReply(call, settings.protocol.decodeReply(call, answer), monotonicNow());
    logNewInstance();
    idleClients.push_back(std::move(client));
    wakeUp();
  }
  std::unique_ptr<HttpClient> takeIdleClient() {
    if (idleClients.empty())
      return std::make_unique<HttpClient>(loop);
    auto client = std::move(idleClients.back());
    idleClients.pop_back();
    return client;
  }
  void logNewInstance() {
    if (!core.mayReport() || core.workerInstance() == loggedInstance)
      return;
    loggedInstance = core.workerInstance();
    log(LogLevel::info, log_events::workerRegistered,
        {{"worker_instance", json(loggedInstance.value)}});
  }

  // --- communication with the leader ---

  void startSync(bool& inFlight, Duration longPollTimeout) {
    inFlight = true;
    spawn([this, &inFlight, longPollTimeout] {
      sync(longPollTimeout);
      inFlight = false;
      wakeUp();
    });
  }
  void sync(Duration longPollTimeout) {
    ApiRequest request;
    request.kind = RequestKind::syncWorker;
    const MonotonicTime sentAt = monotonicNow();
    request.report = core.makeSyncReport(sentAt);
    request.report.longPollTimeout = longPollTimeout;
    request.targetId = request.report.id.value;
    const ApiResponse response = forwarder.forward(request);
    const MonotonicTime now = monotonicNow();
    if (longPollTimeout == Duration{0})
      syncLatency.record(now - sentAt);
    if (response.status == 200) {
      if (auto decoded = unpack<SyncResponse>(response.body))
        core.onSyncResponse(request.report, decoded.value(), sentAt, now);
      return;
    }
    if (response.status == 410 && request.report.id == core.workerInstance()) {
      log(LogLevel::warning, log_events::workerDeclaredGone,
          {{"worker_instance", json(request.report.id.value)}});
      core.onDeclaredGone(now);
    }
    sleepFor(syncRetryDelay);
  }
  // Re-reads the seeds, which may change with or without a reload signal.
  void refreshSeeds() {
    if (aniseline::refreshSeeds(settings.seedSource, settings.seeds))
      forwarder.setSeeds(settings.seeds);
  }
  // Keeps the list of controllers and the route to the leader up to date by querying controllers.
  // docs/design.md 9.2.
  void followRoute() {
    for (std::size_t turn = 0;; ++turn) {
      const bool answered = queryNextController(turn);
      if (!answered)
        refreshSeeds();
      sleepFor(!answered                    ? nextControllerDelay
               : route.leader.value.empty() ? leaderlessRouteInterval
                                            : routeInterval);
    }
  }
  // Queries the controllers in turn, because one of them may be unresponsive. Returns false if the
  // queried controller did not answer or knows no cluster.
  bool queryNextController(std::size_t turn) {
    const auto& known = route.controllers.empty() ? settings.seeds : route.controllers;
    if (known.empty())
      return false;
    const Address target = known[turn % known.size()];
    if (target.value.empty())
      return false;
    const RouteQuery query{{}, {}, false, route.config};
    const auto reply = queryRoute(*controllers.clientFor(target), query, routeQueryTimeout);
    if (!reply || reply->uninitialized)
      return false;
    if (areDifferentClusters(route.cluster, reply->view.cluster)) {
      foreignRoutes.onRefused(route.cluster, *reply);
      return false;
    }
    route.mergeNewer(reply->view);
    // An agent sends its requests to controllers only, and all of them are admitted.
    route.gateways.clear();
    route.priorityQueues.clear();
    return true;
  }

  AgentSettings settings;
  EventLoop loop;
  NodeAgent core;
  LeaderRoute route;
  ForeignRouteLog foreignRoutes;
  LeaderForwarder forwarder;
  RpcClientPool controllers{loop};
  std::vector<std::unique_ptr<HttpClient>> idleClients;
  // At most one sync that waits for orders and one urgent sync are in flight at a time.
  bool longPollInFlight = false;
  bool urgentSyncInFlight = false;
  WorkerId loggedInstance;
  std::set<WorkerId> drainReportsInFlight;  // only instances that the core does not know
  std::set<WorkerId> drainReported;
  MonotonicTime nextLatencyReport;
  LatencySummary syncLatency;  // of syncs that do not wait for orders
  bool wakeRequested = false;
  boost::fibers::mutex wakeMutex;
  boost::fibers::condition_variable wakeCondition;
};

}  // namespace

int runAgent(AgentSettings settings) {
  return AgentProcess(std::move(settings)).run();
}

}  // namespace aniseline
