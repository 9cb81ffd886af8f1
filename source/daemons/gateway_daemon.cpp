// Implements the gateway process: the main thread keeps the route to the leader up to date, and the
// serving threads forward requests by it. docs/design.md 9.1, 9.2.
#include "daemons/gateway_daemon.hpp"
#include "daemons/connection_drain.hpp"
#include "daemons/listening.hpp"
#include "net/contacts.hpp"
#include "net/foreign_route_log.hpp"
#include "net/http_authorization.hpp"
#include "net/log.hpp"
#include "net/signals.hpp"
#include <mutex>
#include <thread>

namespace aniseline {

namespace {

constexpr HttpLimits readinessLimits{4096, 100, Duration{30'000}, Duration{2000}};
constexpr Duration routeQueryTimeout{1000};
// Returns the limits of the standard interface, which keeps headers because requests may carry an
// API key.
HttpLimits clientLimits() {
  HttpLimits limits;
  limits.keepHeaders = true;
  limits.rejectAbandonedChanges = true;
  return limits;
}
HttpLimits externalLimits(HttpLimits limits) {
  limits.rejectAbandonedChanges = true;
  return limits;
}
// The gateway is not ready if no controller has confirmed its route for this long.
constexpr Duration routeStaleAfter{2500};
constexpr std::int64_t neverConfirmed = -1'000'000;  // long before the start of the clock
// How often the main thread checks whether the process is told to stop.
constexpr Duration stopSignalPollInterval{100};
// How often the main thread checks whether the serving threads have drained their connections.
constexpr Duration drainPollInterval{10};
// How often a serving thread checks whether it has to drain its connections.
constexpr Duration stoppingFlagPollInterval{50};
constexpr Duration parkedThreadSleep{60'000};
class GatewayProcess {
 public:
  explicit GatewayProcess(GatewaySettings settings) : settings(std::move(settings)) {}

  // Serves until the process is told to stop, and then ends it.
  [[noreturn]] void run() {
    const RcuReaderRegistration reader;
    const StopSignal stop(loop);
    const ReloadSignal reload(loop, [this] { refreshSeeds(); });
    startThreads();
    log(LogLevel::info, log_events::started,
        {{"http", json(settings.httpAddress.value)}, {"zone", json(settings.zone)}});
    followRouteUntil([&] { return stop.requested(); }, stopSignalPollInterval);
    shutDown();
  }

 private:
  // --- start and shutdown, on the main thread ---

  // Starts the serving threads and waits until they listen. Ends the process with status 1 if one
  // can't; that thread has logged the failure.
  void startThreads() {
    for (std::int64_t count = 0; count < settings.threads; ++count)
      threads.emplace_back([this] { serve(); });
    while (threadsListening + threadsFailed < settings.threads)
      sleepFor(Duration{5});
    if (threadsFailed > 0)
      std::_Exit(1);
  }
  // Makes the gateway unready first, so that it gets no new connections; each serving thread then
  // drains its connections. docs/operations.md 4, docs/design.md 9.8.
  [[noreturn]] void shutDown() {
    stoppedAt = monotonicNow();
    stopping = true;
    log(LogLevel::info, log_events::stopping, {{"requests", json(inFlight.load())}});
    runAfter(drainSchedule().waitUntil, [this] { abortPendingRequests = true; });
    followRouteUntil([this] { return threadsDrained >= settings.threads; }, drainPollInterval);
    picojson::object fields = abortedConnectionFields(abortedConnections());
    fields["served"] = json(served.load());
    log(LogLevel::info, log_events::stopped, fields);
    std::_Exit(0);
  }
  DrainSchedule drainSchedule() const {
    return drainScheduleWithin(Duration{settings.stopTimeoutMilliseconds},
                               Duration{settings.unreadyNoticeMilliseconds});
  }

  // --- route updates, on the main thread ---

  void followRouteUntil(const std::function<bool()>& done, Duration pollInterval) {
    MonotonicTime refreshAt = monotonicNow();
    while (!done()) {
      if (monotonicNow() >= refreshAt) {
        refreshRoute();
        refreshAt = monotonicNow() + Duration{settings.routeRefreshMilliseconds};
      }
      sleepFor(pollInterval);
    }
  }
  // Re-reads the seeds, which may change with or without a reload signal.
  void refreshSeeds() { aniseline::refreshSeeds(settings.seedSource, settings.seeds); }
  // Queries controllers for the route: the seeds, the controllers that the current route names, and
  // those that other gateways named.
  void refreshRoute() {
    if (!ready())
      refreshSeeds();
    for (const auto& address : routeSources()) {
      if (queriesInFlight.insert(address).second)
        spawn([this, address] { queryRouteFrom(address); });
    }
  }
  std::vector<Address> routeSources() const {
    std::vector<Address> sources =
        directory.read([](const LeaderRoute& route) { return route.controllers; });
    auto add = [&](const Address& address) {
      if (!std::count(sources.begin(), sources.end(), address))
        sources.push_back(address);
    };
    for (const auto& seed : settings.seeds)
      add(seed);
    for (const auto& address : discoveredControllers)
      add(address);
    return sources;
  }
  void queryRouteFrom(const Address& address) {
    const ConfigVersion knownConfig =
        directory.read([](const LeaderRoute& route) { return route.config; });
    const RouteQuery query{
        {settings.advertisedAddress, ZoneName{settings.zone}}, {}, false, knownConfig};
    const auto reply = queryRoute(*controllers.clientFor(address), query, routeQueryTimeout);
    // A seed may be another gateway, which names the controllers. docs/design.md 9.5.
    if (!reply && isSeed(address) && knowsNoController()) {
      for (const auto& controller : fetchControllers(loop, address))
        discoveredControllers.insert(controller);
    }
    queriesInFlight.erase(address);
    if (reply && !reply->uninitialized)
      publishRoute(*reply);
  }
  void publishRoute(const RouteReply& reply) {
    const LeaderRoute& route = reply.view;
    const auto [leaderBefore, cluster] = directory.read(
        [](const LeaderRoute& current) { return std::pair(current.leader, current.cluster); });
    if (areDifferentClusters(cluster, route.cluster))
      return foreignRoutes.onRefused(cluster, reply);
    if (!directory.publish(route))
      return;
    if (reply.isLeader || !route.leader.value.empty())
      routeConfirmedAt = monotonicNow().milliseconds;
    if (route.leader != leaderBefore && !route.leader.value.empty())
      log(LogLevel::info, log_events::leaderChanged,
          {{"address", json(route.leader.value)}, {"term", json(route.term.value)}});
  }
  bool isSeed(const Address& address) const {
    return std::count(settings.seeds.begin(), settings.seeds.end(), address) > 0;
  }
  bool knowsNoController() const {
    return directory.read([](const LeaderRoute& route) { return route.controllers.empty(); });
  }

  // --- requests, on the serving threads ---

  // Runs a serving thread, which has its own event loop, listeners and connections to the leader.
  void serve() {
    const RcuReaderRegistration reader;
    EventLoop threadLoop;
    LeaderForwarder forwarder(
        threadLoop, [this] { return currentRoute(); }, settings.seeds,
        [this] { return abortPendingRequests.load(); });
    HttpServer http(threadLoop, clientLimits(),
                    [&](const HttpRequest& request) { return handle(forwarder, request); });
    HttpServer external(threadLoop, externalLimits(settings.externalInterface.limits),
                        [&](const HttpRequest& request) {
                          return settings.externalInterface.handle(
                              request, [&](const ApiRequest& apiRequest) {
                                return forwardBounded(forwarder, apiRequest);
                              });
                        });
    HttpServer readiness(threadLoop, readinessLimits, [&](const HttpRequest& request) {
      return settings.readiness(request, ready());
    });
    if (!listen(http, external, readiness)) {
      ++threadsFailed;
      return;
    }
    ++threadsListening;
    while (!stopping)
      sleepFor(stoppingFlagPollInterval);
    drain({&http, &external, &readiness});
    // The servers must live until the process ends, because fibers of aborted connections refer to
    // them.
    for (;;)
      sleepFor(parkedThreadSleep);
  }
  void drain(const std::vector<HttpServer*>& servers) {
    const ConnectionCounts aborted = drainConnections(servers, stoppedAt, drainSchedule());
    {
      const std::lock_guard lock(abortedMutex);
      allAborted += aborted;
    }
    ++threadsDrained;
  }
  ConnectionCounts abortedConnections() {
    const std::lock_guard lock(abortedMutex);
    return allAborted;
  }
  bool listen(HttpServer& http, HttpServer& external, HttpServer& readiness) const {
    constexpr bool shared = true;
    if (!settings.httpAddress.value.empty() && !listenOrLog(http, settings.httpAddress, shared))
      return false;
    if (settings.externalInterface.handle &&
        !listenOrLog(external, settings.externalInterface.address, shared))
      return false;
    return !settings.readiness || listenOrLog(readiness, settings.readinessAddress, shared);
  }
  ApiResponse handle(LeaderForwarder& forwarder, const HttpRequest& request) {
    if (request.target == "/healthz")
      return ApiResponse::of(200, {{"alive", json(true)}});
    if (request.target == "/readyz")
      return answerReadiness();
    auto contacts = directory.read(
        [&](const LeaderRoute& route) { return answerContactsRequest(request, route); });
    if (contacts)
      return *contacts;
    auto parsed = ApiRequest::parse(request.method, request.target, request.body);
    if (!parsed)
      return ApiResponse::fromError(parsed.error());
    parsed.value().apiKey = apiKeyOf(request);
    return forwardBounded(forwarder, parsed.value());
  }
  ApiResponse answerReadiness() const {
    const bool isReady = ready();
    const LeaderRoute route = currentRoute();
    return ApiResponse::of(isReady ? 200 : 503, {{"ready", json(isReady)},
                                                 {"leader", json(route.leader.value)},
                                                 {"term", json(route.term.value)},
                                                 {"config", json(route.config.value)}});
  }
  // Forwards a request to the leader, or rejects it if too many requests are in flight.
  ApiResponse forwardBounded(LeaderForwarder& forwarder, const ApiRequest& apiRequest) {
    const bool admitted = directory.read([&](const LeaderRoute& route) {
      return route.admits(apiRequest, std::size_t(inFlight),
                          std::size_t(settings.maxRequestsInFlight));
    });
    if (!admitted)
      return ApiResponse::error(429, "overloaded", "this gateway has too many requests in flight",
                                Duration{1000});
    ++inFlight;
    ApiResponse response = forwarder.forward(apiRequest);
    --inFlight;
    ++served;
    return response;
  }
  bool ready() const {
    return !stopping && monotonicNow() - MonotonicTime{routeConfirmedAt} < routeStaleAfter;
  }
  LeaderRoute currentRoute() const {
    return directory.read([](const LeaderRoute& route) { return route; });
  }

  // Used only by the main thread, except for constant settings, which the other threads read.
  GatewaySettings settings;
  EventLoop loop;
  RpcClientPool controllers{loop};
  std::set<Address> queriesInFlight;
  std::set<Address> discoveredControllers;  // controllers that other gateways named
  ForeignRouteLog foreignRoutes;
  std::vector<std::thread> threads;
  // Shared by all threads.
  LeaderDirectory directory;                                   // written by the main thread only
  std::atomic<std::int64_t> routeConfirmedAt{neverConfirmed};  // monotonic clock, in ms
  std::atomic<std::int64_t> inFlight{0};
  std::atomic<std::uint64_t> served{0};
  std::atomic<int> threadsListening{0};
  std::atomic<int> threadsFailed{0};
  std::atomic<int> threadsDrained{0};
  std::mutex abortedMutex;
  ConnectionCounts allAborted;  // connections aborted by all threads; guarded by `abortedMutex`
  std::atomic<MonotonicTime> stoppedAt{MonotonicTime{0}};  // set before `stopping`
  std::atomic<bool> stopping{false};  // the gateway is not ready; threads drain their connections
  std::atomic<bool> abortPendingRequests{false};  // pending requests are answered at once
};

}  // namespace

void runGateway(GatewaySettings settings) {
  GatewayProcess(std::move(settings)).run();
}

}  // namespace aniseline
