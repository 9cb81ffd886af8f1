#include "daemons/gateway_daemon.hpp"
#include "net/log.hpp"
#include "net/signals.hpp"
#include <thread>

namespace aniseline {

namespace {

class Program {
 public:
  explicit Program(GatewaySettings settings) : settings(std::move(settings)) {}

  int run() {
    RcuReaderRegistration reader;
    std::vector<std::thread> threads;
    std::atomic<int> listening{0}, failed{0};
    for (std::int64_t count = 0; count < settings.threads; ++count)
      threads.emplace_back([&] { work(listening, failed); });
    StopSignal stop(loop);
    ReloadSignal reload(loop, [this] { renewSeeds(); });
    while (listening + failed < settings.threads)
      sleepFor(Duration{5});
    if (failed) {
      stopping = true;
      for (auto& thread : threads)
        thread.join();
      return 1;
    }
    log(LogLevel::info, "started",
        {{"http", json(settings.httpAddress.value)}, {"zone", json(settings.zone)}});
    while (!stop.requested()) {
      refresh();
      for (Duration waited{0};
           waited < Duration{settings.routeRefreshMilliseconds} && !stop.requested();
           waited = waited + Duration{100})
        sleepFor(Duration{100});
    }
    // Not ready first, so that the platform stops sending; then the listeners close.
    // docs/operations.md 4.
    stopping = true;
    log(LogLevel::info, "stopping", {{"requests", json(inFlight.load())}});
    const MonotonicTime until = monotonicNow() + Duration{2500};
    // Whatever is still under way is answered at once: unknown, or surely not taken.
    // docs/design.md 8.3.
    runAfter(Duration{1500}, [this] { givingUp = true; });
    while ((inFlight > 0 || monotonicNow() < until - Duration{1500}) && monotonicNow() < until)
      sleepFor(Duration{20});
    log(LogLevel::info, "stopped", {{"served", json(served.load())}});
    std::_Exit(0);
  }

 private:
  // The seeds may have changed, with or without a signal; only the thread of the route works with
  // them.
  void renewSeeds() { aniseline::refreshSeeds(settings.seedSource, settings.seeds); }
  // Asks controllers for the route; the first contact goes to the seeds, later ones to whoever the
  // state names.
  void refresh() {
    if (!ready())
      renewSeeds();
    std::vector<Address> known =
        board.read([](const LeaderRoute& view) { return view.controllers; });
    for (const auto& seed : settings.seeds)
      if (!std::count(known.begin(), known.end(), seed))
        known.push_back(seed);
    for (const auto& address : found)
      if (!std::count(known.begin(), known.end(), address))
        known.push_back(address);
    for (const auto& address : known) {
      auto& caller = callers[address];
      if (!caller)
        caller = std::make_shared<RpcClient>(loop, address);
      if (busy.count(address))
        continue;
      busy.insert(address);
      spawn([this, address, caller] {
        auto answered = caller->call(
            RouteQuery{{settings.advertisedAddress, ZoneName{settings.zone}}, {}, false},
            Duration{1000});
        auto* told = answered ? boost::get<RouteReply>(&answered.value().body) : nullptr;
        // docs/design.md 9.5: a seed may be another gateway, which names the controllers.
        if (!told && isSeed(address) &&
            board.read([](const LeaderRoute& view) { return view.controllers.empty(); }))
          for (const auto& controller : fetchControllers(loop, address))
            found.insert(controller);
        busy.erase(address);
        if (!told || told->uninitialized)
          return;
        LeaderRoute view = told->view;
        const Address before = board.read([](const LeaderRoute& view) { return view.leader; });
        if (!board.publish(view))
          return;
        if (told->isLeader || !view.leader.value.empty())
          freshAt = monotonicNow().milliseconds;
        if (view.leader != before && !view.leader.value.empty())
          log(LogLevel::info, "leader",
              {{"address", json(view.leader.value)}, {"term", json(view.term.value)}});
      });
    }
  }

  bool isSeed(const Address& address) const {
    return std::count(settings.seeds.begin(), settings.seeds.end(), address) > 0;
  }

  void work(std::atomic<int>& listening, std::atomic<int>& failed) {
    RcuReaderRegistration reader;
    EventLoop threadLoop;
    LeaderForwarder relay(
        threadLoop, [this] { return board.read([](const LeaderRoute& view) { return view; }); },
        settings.seeds, [this] { return givingUp.load(); });
    HttpServer http(threadLoop, HttpLimits{},
                    [&](const HttpRequest& request) { return handle(relay, request); });
    if (!settings.httpAddress.value.empty())
      if (auto opened = http.listen(settings.httpAddress, true); !opened) {
        log(LogLevel::error, opened.error().text);
        ++failed;
        return;
      }
    const ForwardRequest serve = [this, &relay](const ApiRequest& apiRequest) {
      return bounded(relay, apiRequest);
    };
    HttpServer outer(threadLoop, settings.externalInterface.limits,
                     [&](const HttpRequest& request) {
                       return settings.externalInterface.handle(request, serve);
                     });
    HttpServer readiness(
        threadLoop, HttpLimits{4096, 100, Duration{30'000}, Duration{2000}},
        [&](const HttpRequest& request) { return settings.readiness(request, ready()); });
    auto opened = settings.externalInterface.handle
                      ? outer.listen(settings.externalInterface.address, true)
                      : Result<bool, HttpError>(true);
    if (opened && settings.readiness)
      opened = readiness.listen(settings.readinessAddress, true);
    if (!opened) {
      log(LogLevel::error, opened.error().text);
      ++failed;
      return;
    }
    ++listening;
    while (!stopping)
      sleepFor(Duration{50});
    sleepFor(Duration{1000});
    http.stop();
    outer.stop();
    sleepFor(Duration{5000});
  }

  ApiResponse handle(LeaderForwarder& relay, const HttpRequest& request) {
    if (request.target == "/healthz")
      return ApiResponse::of(200, {{"alive", json(true)}});
    if (request.target == "/readyz") {
      const bool served = ready();
      return ApiResponse::of(served ? 200 : 503, board.read([&](const LeaderRoute& view) {
        return picojson::object{{"ready", json(served)},
                                {"leader", json(view.leader.value)},
                                {"term", json(view.term.value)},
                                {"config", json(view.config.value)}};
      }));
    }
    if (auto contacts = board.read(
            [&](const LeaderRoute& view) { return answerContactsRequest(request, view); }))
      return *contacts;
    auto parsed = ApiRequest::parse(request.method, request.target, request.body);
    if (!parsed)
      return ApiResponse::fromError(parsed.error());
    return bounded(relay, parsed.value());
  }
  bool ready() const { return monotonicNow().milliseconds - freshAt < 2500 && !stopping; }
  ApiResponse bounded(LeaderForwarder& relay, const ApiRequest& apiRequest) {
    if (!board.read([&](const LeaderRoute& view) {
          return view.admits(apiRequest, std::size_t(inFlight),
                             std::size_t(settings.maxRequestsInFlight));
        }))
      return ApiResponse::error(429, "overloaded", "this gateway has too many requests under way",
                                Duration{1000});
    ++inFlight;
    ApiResponse answer = relay.forward(apiRequest);
    --inFlight;
    ++served;
    return answer;
  }

  GatewaySettings settings;
  EventLoop loop;
  LeaderDirectory board;
  std::map<Address, std::shared_ptr<RpcClient>> callers;
  std::set<Address> busy, found;  // found: controllers that other gateways named
  std::atomic<std::int64_t> freshAt{-1'000'000}, inFlight{0};
  std::atomic<std::uint64_t> served{0};
  std::atomic<bool> stopping{false}, givingUp{false};
};

}  // namespace

int runGateway(GatewaySettings settings) {
  return Program(std::move(settings)).run();
}

}  // namespace aniseline
