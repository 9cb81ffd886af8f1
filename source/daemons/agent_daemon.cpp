#include "daemons/agent_daemon.hpp"
#include "net/log.hpp"
#include "net/signals.hpp"

namespace aniseline {

namespace {

class Program {
 public:
  explicit Program(AgentSettings settings)
      : settings(std::move(settings)),
        core(this->settings.options),
        relay(
            loop, [this] { return route; }, this->settings.seeds, [] { return false; }) {}

  int run() {
    HttpServer http(loop, HttpLimits{64 * 1024, 50, Duration{60'000}, Duration{2000}},
                    [this](const HttpRequest& request) { return hear(request); });
    if (auto listening = http.listen(settings.listenAddress, false); !listening) {
      log(LogLevel::error, listening.error().text);
      return 1;
    }
    log(LogLevel::info, "started",
        {{"listen", json(settings.listenAddress.value)},
         {"worker", json(settings.workerAddress.value)}});
    StopSignal stop(loop);
    ReloadSignal reload(loop, [this] { renewSeeds(); });
    spawn([this] { learnRoute(); });
    while (!stop.requested()) {
      const MonotonicTime now = monotonicNow();
      for (auto& call : core.takeCalls(now))
        spawn([this, call = std::move(call)] { perform(call); });
      if (core.mayReport() && !patientBusy)
        spawnSync(true);
      if (core.hasUrgentReport(now) && !urgentBusy)
        spawnSync(false);
      std::unique_lock lock(wakeMutex);
      const Duration rest = std::clamp(core.nextWakeUp(now) - now, Duration{1}, Duration{500});
      wake.wait_for(lock, std::chrono::milliseconds(rest.milliseconds), [&] { return woken; });
      woken = false;
    }
    // What runs goes on under its hold; the next process finds it by looking. docs/operations.md 4.
    log(LogLevel::info, "stopped");
    std::_Exit(0);
  }

 private:
  void renewSeeds() {
    if (aniseline::refreshSeeds(settings.seedSource, settings.seeds))
      relay.setSeeds(settings.seeds);
  }
  void nudge() {
    std::unique_lock lock(wakeMutex);
    woken = true;
    wake.notify_one();
  }
  ApiResponse hear(const HttpRequest& request) {
    auto word = settings.protocol.decodeNotice(request);
    if (!word)
      return ApiResponse::error(404, "missing", "an agent hears its worker only");
    const MonotonicTime now = monotonicNow();
    const WorkerId life = word->account.workerInstance;
    if (word->shuttingDown) {
      if (!core.onDrainNotice(life, settings.defaultDrainPeriod, now))
        tellOfUnknown(life);
      return acknowledgeLeaving(life, settings.defaultDrainPeriod, now);
    }
    const bool isNew = core.workerInstance() != life;
    if (!core.onRegistration(word->account, now))
      return ApiResponse::error(410, "gone", "a later word of this worker has come before");
    if (word->account.draining)
      return acknowledgeLeaving(life, word->account.drainTimeout, now);
    if (isNew)
      nudge();
    return ApiResponse::of(200, {});
  }
  // Acknowledged only once it is logged; the leader is told also when no acknowledgement can be
  // given in time. docs/design.md 5.7.
  ApiResponse acknowledgeLeaving(const WorkerId& life, Duration within, MonotonicTime since) {
    auto told = [&] {
      return core.drainAcknowledged(life) || toldOfUnknown.count(life);
    };
    if (!told()) {
      log(LogLevel::info, "worker leaves",
          {{"life", json(life.value)}, {"within_ms", json(within.milliseconds)}});
      nudge();
    }
    while (!told() && monotonicNow() - since < settings.drainAcknowledgementTimeout)
      sleepFor(Duration{5});
    return told() ? ApiResponse::of(200, {}) : ApiResponse::notApplied("no leader heard of it yet");
  }
  // A life that this process never heard of: the process before it may have reported it.
  void tellOfUnknown(const WorkerId& life) {
    if (toldOfUnknown.count(life) || !tellingOfUnknown.insert(life).second)
      return;
    spawn([this, life] {
      ApiRequest leaving;
      leaving.kind = RequestKind::workerShutdown;
      leaving.targetId = life.value;
      leaving.drainTimeout = settings.defaultDrainPeriod;
      leaving.clientTimeout = settings.drainAcknowledgementTimeout;
      for (std::size_t tries = 0; tries < tellingTries; ++tries) {
        const int status = relay.forward(leaving).status;
        if (status < 500) {  // logged, or the leader knows no such worker
          toldOfUnknown.insert(life);
          break;
        }
        sleepFor(Duration{100});
      }
      tellingOfUnknown.erase(life);
    });
  }
  void perform(const WorkerCall& call) {
    std::unique_ptr<HttpClient> client;
    if (idle.empty())
      client = std::make_unique<HttpClient>(loop);
    else {
      client = std::move(idle.back());
      idle.pop_back();
    }
    auto answer =
        client->send(settings.workerAddress, settings.protocol.encodeCall(call), call.timeout);
    core.onWorkerReply(call, settings.protocol.decodeReply(call, answer), monotonicNow());
    if (core.mayReport() && core.workerInstance() != shownLife) {
      shownLife = core.workerInstance();
      log(LogLevel::info, "worker", {{"life", json(shownLife.value)}});
    }
    idle.push_back(std::move(client));
    nudge();
  }
  void spawnSync(bool patient) {
    (patient ? patientBusy : urgentBusy) = true;
    spawn([this, patient] {
      sync(patient);
      (patient ? patientBusy : urgentBusy) = false;
      nudge();
    });
  }
  void sync(bool patient) {
    ApiRequest apiRequest;
    apiRequest.kind = RequestKind::syncWorker;
    const MonotonicTime sentAt = monotonicNow();
    apiRequest.report = core.makeSyncReport(sentAt);
    apiRequest.report.longPollTimeout = patient ? settings.syncWait : Duration{0};
    apiRequest.targetId = apiRequest.report.id.value;
    ApiResponse answer = relay.forward(apiRequest);
    const MonotonicTime now = monotonicNow();
    if (answer.status == 200) {
      if (auto told = unpack<SyncResponse>(answer.body))
        core.onSyncResponse(apiRequest.report, told.value(), sentAt, now);
      return;
    }
    if (answer.status == 410 && apiRequest.report.id == core.workerInstance()) {
      log(LogLevel::warning, "the leader holds this worker for gone",
          {{"life", json(apiRequest.report.id.value)}});
      core.onDeclaredGone(now);
    }
    sleepFor(Duration{100});
  }
  // Which controllers there are; which of them leads is learned by asking. docs/design.md 9.2.
  void learnRoute() {
    std::map<Address, std::shared_ptr<RpcClient>> callers;
    for (std::size_t turn = 0;; ++turn) {
      const auto& known = route.controllers.empty() ? settings.seeds : route.controllers;
      const Address target =
          known.empty() ? Address{}
                        : known[turn % known.size()];  // each in turn: one of them may be frozen
      bool learned = false;
      if (!target.value.empty()) {
        auto& caller = callers[target];
        if (!caller)
          caller = std::make_shared<RpcClient>(loop, target);
        auto answered = caller->call(RouteQuery{}, Duration{250});
        auto* told = answered ? boost::get<RouteReply>(&answered.value().body) : nullptr;
        if (told && !told->uninitialized) {
          route.mergeNewer(told->view);
          learned = true;
          route.gateways.clear();
        }
      }
      if (!learned)
        renewSeeds();
      // One that is silent costs no more than its wait: the next is asked at once.
      // docs/incidents.md 7.
      sleepFor(!learned                     ? Duration{20}
               : route.leader.value.empty() ? Duration{100}
                                            : Duration{300});
    }
  }

  // A life serves on for some seconds after it said that it leaves; by then the leader is told, or
  // it is gone and its lease ends.
  static constexpr std::size_t tellingTries = 30;

  AgentSettings settings;
  EventLoop loop;
  NodeAgent core;
  LeaderRoute route;
  LeaderForwarder relay;
  std::vector<std::unique_ptr<HttpClient>> idle;
  bool patientBusy = false, urgentBusy = false, woken = false;
  WorkerId shownLife;
  std::set<WorkerId> tellingOfUnknown, toldOfUnknown;
  boost::fibers::mutex wakeMutex;
  boost::fibers::condition_variable wake;
};

}  // namespace

int runAgent(AgentSettings settings) {
  return Program(std::move(settings)).run();
}

}  // namespace aniseline
