#include "daemons/controller_daemon.hpp"
#include "net/data_folder.hpp"
#include "net/log.hpp"
#include "net/peer_outbox.hpp"
#include "net/signals.hpp"
#include "net/wire.hpp"
#include "raft/cluster_bootstrap.hpp"
#include <thread>

namespace aniseline {

namespace {

// Works off what it is handed, in order, off consensus's thread. docs/design.md 9.1.
class WorkThread {
 public:
  WorkThread() : thread([this] { run(); }) {}
  ~WorkThread() {
    hand({});
    thread.join();
  }
  void hand(std::function<void()> work) {  // an empty one ends it
    {
      std::lock_guard lock(mutex);
      waiting.push_back(std::move(work));
    }
    some.notify_one();
  }

 private:
  void run() {
    for (;;) {
      std::function<void()> work;
      {
        std::unique_lock lock(mutex);
        some.wait(lock, [&] { return !waiting.empty(); });
        work = std::move(waiting.front());
        waiting.pop_front();
      }
      if (!work)
        return;
      work();
    }
  }
  std::mutex mutex;
  std::condition_variable some;
  std::deque<std::function<void()>> waiting;
  std::thread thread;
};

class Program {
 public:
  explicit Program(ControllerSettings settings)
      : settings(std::move(settings)), folder(this->settings.dataFolder) {}

  int run() {
    if (!openCore())
      return 1;
    if (!listenPeers())
      return 1;
    HttpServer http(loop, HttpLimits{64 * 1024, 100, Duration{30'000}, Duration{2000}},
                    [this](const HttpRequest& request) { return readiness(request); });
    if (!settings.httpAddress.value.empty())
      if (auto listening = http.listen(settings.httpAddress, false); !listening) {
        log(LogLevel::error, listening.error().text);
        return 1;
      }
    // What an adapter serves here beside the product's own interface. docs/design.md 9.6.
    LeaderForwarder relay(
        loop, [this] { return way(); }, settings.seeds, [] { return false; });
    const ForwardRequest serve = [&relay](const ApiRequest& apiRequest) {
      return relay.forward(apiRequest);
    };
    HttpServer outer(loop, settings.externalInterface.limits, [&](const HttpRequest& request) {
      return settings.externalInterface.handle(request, serve);
    });
    if (settings.externalInterface.handle)
      if (auto listening = outer.listen(settings.externalInterface.address, false); !listening) {
        log(LogLevel::error, listening.error().text);
        return 1;
      }
    disk = std::make_unique<WorkThread>();
    views = std::make_unique<WorkThread>();
    spawn([this] { seekCluster(); });
    spawn([this] { followCluster(); });
    log(LogLevel::info, "started",
        {{"identity", json(identity.value)},
         {"peer", json(settings.peerAddress.value)},
         {"zone", json(settings.zone)},
         {"seeds", json(joined(settings.seeds))}});
    StopSignal stop(loop);
    ReloadSignal reload(loop, [&] { renewSeeds(relay); });
    lookForSeeds = [&] {
      renewSeeds(relay);
    };
    MonotonicTime transferAt{0}, stopBy{0};
    while (true) {
      stepped.store(monotonicNow().milliseconds);
      core->step(monotonicNow(), wallNow());
      drive();
      if (core->raftNode().removedFromCluster() && !renew())
        return 1;
      if (core->hasUnreadableState()) {
        log(LogLevel::error,
            "the state can't be read by this version; stopping, nothing is changed",
            {{"data", json(settings.dataFolder)}});
        broken = true;
      }
      if (broken)
        std::_Exit(1);
      if (stop.requested()) {
        // SIGTERM hands leadership over before the process ends, and waits until its copy is not
        // missed. docs/operations.md 4.
        if (stopBy == MonotonicTime{0}) {
          stopBy = monotonicNow() + Duration{settings.stopTimeoutMilliseconds};
          log(LogLevel::info, "stopping");
        }
        if (mayStop() || monotonicNow() >= stopBy)
          break;
        if (core->raftNode().isLeader() && monotonicNow() >= transferAt) {
          core->transferLeadership(monotonicNow());
          transferAt = monotonicNow() + Duration{700};
        }
      }
      std::unique_lock lock(wakeMutex);
      wake.wait_for(lock, std::chrono::milliseconds(core->raftNode().isBlank() ? 100 : 10),
                    [&] { return woken; });
      woken = false;
    }
    http.stop();
    outer.stop();
    disk.reset();
    views.reset();
    log(LogLevel::info, "stopped",
        {{"led", json(core->raftNode().isLeader())},
         {"others_hold_all", json(core->raftNode().isSafeToStop())}});
    std::_Exit(0);  // fibers that wait on sockets end with the process
  }

 private:
  bool stores() const { return !settings.dataFolder.empty(); }
  bool mayStop() const { return !core->raftNode().isLeader() && core->raftNode().isSafeToStop(); }
  static std::string joined(const std::vector<Address>& addresses) {
    std::string text;
    for (const auto& address : addresses)
      text += (text.empty() ? "" : ",") + address.value;
    return text;
  }
  bool openCore() {
    if (!stores()) {
      std::random_device device;
      identity = ControllerId{"no-disk-" + std::to_string(device())};
      makeCore({});
      return true;
    }
    auto opened = folder.open();
    DiskResult<std::vector<WriteAheadRecord>> restored = std::vector<WriteAheadRecord>{};
    if (opened)
      restored = folder.load();
    if (!opened || !restored) {
      const auto& error = opened ? restored.error() : opened.error();
      log(LogLevel::error, "the data folder can't be used", {{"why", json(error.message())}});
      if (!error.isCorruption())
        return false;  // the state may be sound; it is tried again with the next start
      // docs/design.md 3.5: damaged state never votes; this machine goes on as a new identity.
      auto aside = folder.quarantine();
      if (!aside) {
        log(LogLevel::error, "the data folder can't be set aside",
            {{"why", json(aside.error().message())}});
        return false;
      }
      opened = folder.openLocked();
      if (!opened)
        return false;
      restored = std::vector<WriteAheadRecord>{};
      log(LogLevel::warning, "began as a new identity; the damaged state is kept aside",
          {{"identity", json(opened.value().value)}});
    }
    identity = opened.value();
    makeCore(restored.value());
    return true;
  }
  void makeCore(const std::vector<WriteAheadRecord>& restored) {
    ControllerOptions options;
    options.raft.heartbeatInterval = Duration{settings.heartbeatMilliseconds};
    options.raft.electionTimeoutMin = Duration{settings.electionLowMilliseconds};
    options.raft.electionTimeoutMax = Duration{settings.electionHighMilliseconds};
    options.deadMemberTimeout = Duration{settings.replaceAfterMilliseconds};
    options.voterCount = std::size_t(settings.voters);
    options.leaseDuration = Duration{settings.leaseMilliseconds};
    options.leaseMargin = Duration{settings.leaseMarginMilliseconds};
    options.maxRecordsBetweenSnapshots = std::uint64_t(settings.snapshotVersions);
    options.applyMemoryLimit(settings.memoryBytes);
    std::random_device device;
    core = std::make_unique<Controller>(
        Member{identity, settings.advertisedAddress, ZoneName{settings.zone}, false}, options,
        (std::uint64_t(device()) << 32) | device(), restored, monotonicNow());
    keeper = std::make_shared<SnapshotWriter>();
    core->logEvent.connect([](const LogEvent& event) {
      const RenderedLogEvent rendered = render(event);
      log(LogLevel::info, rendered.name, rendered.fields);
    });
  }
  bool renew() {
    log(LogLevel::warning, "this identity is no member any more; beginning anew",
        {{"identity", json(identity.value)}});
    disk.reset();
    views.reset();
    if (!folder.quarantine())
      return false;
    auto opened = folder.openLocked();
    if (!opened)
      return false;
    identity = opened.value();
    makeCore({});
    disk = std::make_unique<WorkThread>();
    views = std::make_unique<WorkThread>();
    return true;
  }
  void written(const DiskResult<void>& result, DiskVersion version) {
    if (!result) {
      log(LogLevel::error, "a write to disk failed; stopping rather than vouch for it",
          {{"why", json(result.error().message())}});
      broken = true;
    } else
      core->onRecordSynced(version, monotonicNow());
    nudge();
  }
  // The seeds may have changed, with or without a signal.
  void renewSeeds(LeaderForwarder& relay) {
    if (aniseline::refreshSeeds(settings.seedSource, settings.seeds))
      relay.setSeeds(settings.seeds);
  }
  void nudge() {
    std::unique_lock lock(wakeMutex);
    woken = true;
    wake.notify_one();
  }
  void drive() {
    if (auto record = core->takeWrite())
      disk->hand([this, record = std::move(*record), keeper = keeper] {
        auto result = folder.write(record);
        asio::post(loop.context, [this, result, keeper, version = record.version] {
          if (keeper == this->keeper)
            written(result, version);
        });
      });
    if (auto work = core->takeSnapshotWork(); !work.empty())
      views->hand([this, work = std::move(work), keeper = keeper] {
        if (auto view = keeper->process(work))
          asio::post(loop.context, [this, keeper, view = std::move(*view)]() mutable {
            if (keeper != this->keeper)
              return;  // of an identity that is no more
            core->onSnapshotPacked(std::move(view));
            nudge();
          });
      });
    for (auto& message : core->takeMessages()) {
      if (message.toAddress.value.empty())
        continue;
      auto& queue = outbox[message.toAddress];
      if (!queue) {
        queue = std::make_shared<Outbox>(core->controllerOptions().maxOutboxBytes);
        spawn([this, queue, address = message.toAddress] { sendTo(address, *queue); });
      }
      std::unique_lock lock(queue->mutex);
      queue->messages.push(std::move(message));  // one without room is made good by consensus
      queue->some.notify_one();
    }
    for (auto& [number, answer] : core->takeResponses()) {
      auto found = askers.find(number);
      if (found == askers.end())
        continue;
      found->second.first->send(encode(WireMessage{found->second.second, std::move(answer)}));
      askers.erase(found);
    }
  }
  struct Outbox {
    explicit Outbox(std::size_t mostBytes) : messages(mostBytes) {}
    boost::fibers::mutex mutex;
    boost::fibers::condition_variable some;
    PeerOutbox messages;
  };
  void sendTo(const Address& address, Outbox& queue) {
    RpcClient caller(loop, address);
    for (;;) {
      PeerMessage message;
      {
        std::unique_lock lock(queue.mutex);
        queue.some.wait(lock, [&] { return !queue.messages.empty(); });
        message = queue.messages.pop();
      }
      caller.sendOneWay(
          WireMessage{0, std::move(message)});  // a lost one is made good by consensus
    }
  }
  bool listenPeers() {
    auto endpoint = parseEndpoint(settings.peerAddress);
    auto acceptor = std::make_shared<tcp::acceptor>(loop.context);
    const IoError error = listenOn(*acceptor, endpoint.value(), peerBacklog);
    if (error) {
      log(LogLevel::error, "can't listen",
          {{"address", json(settings.peerAddress.value)}, {"why", json(error.message())}});
      return false;
    }
    spawn([this, acceptor] {
      for (;;) {
        auto socket = std::make_shared<tcp::socket>(loop.context);
        if (await([&](auto done) { acceptor->async_accept(*socket, done); }).error) {
          sleepFor(Duration{10});
          continue;
        }
        spawn([this, socket] { servePeer(socket); });
      }
    });
    return true;
  }
  void servePeer(std::shared_ptr<tcp::socket> socket) {
    IoError ignored;
    socket->set_option(tcp::no_delay(true), ignored);
    auto writer = std::make_shared<WireWriter>(socket);
    spawn([writer] { writer->run(); });
    WireReader reader(socket);
    for (;;) {
      auto message = reader.readNext();
      if (!message) {
        if (message.error().kind == WireError::Kind::malformed)
          log(LogLevel::warning, "a peer's message was not taken",
              {{"why", json(message.error().text)}});
        writer->close();
        std::erase_if(askers, [&](const auto& entry) { return entry.second.first == writer; });
        return;
      }
      const auto correlation = message.value().correlationId;
      if (auto* peer = boost::get<PeerMessage>(&message.value().body))
        core->receive(*peer, monotonicNow());
      else if (auto* apiRequest = boost::get<ApiRequest>(&message.value().body)) {
        const RequestNumber number{++lastRequest};
        askers[number] = {writer, correlation};
        core->submitRequest(number, std::move(*apiRequest), monotonicNow());
      } else if (auto* ask = boost::get<RouteQuery>(&message.value().body)) {
        if (!ask->gateway.address.value.empty())
          core->recordGateway(ask->gateway, monotonicNow());
        // Where no seed has a disk one of them names the controller that founds, once and for all.
        // docs/design.md 3.7.
        if (!stores() && named.value.empty() && ask->canBootstrap)
          named = ask->controller;
        if (core->raftNode().isBlank() && !ask->controller.value.empty() && visitors.size() < 32)
          visitors.insert(ask->controller);
        writer->send(encode(WireMessage{correlation, tell()}));
      } else if (boost::get<BootstrapRequest>(&message.value().body)) {
        const bool blank = core->raftNode().isBlank() && stores();
        if (blank)
          core->bootstrap(monotonicNow());
        writer->send(encode(WireMessage{
            correlation, blank
                             ? ApiResponse::of(202, {{"founded", json(identity.value)}})
                             : ApiResponse::error(409, "conflict",
                                                  stores() ? "this controller has a cluster already"
                                                           : "this controller has no disk")}));
      }
      nudge();
    }
  }
  // One that belongs to no cluster tells of the cluster that it has heard of. docs/design.md 9.7.
  LeaderRoute way() const {
    return core->raftNode().isBlank() ? heardOf : core->route(monotonicNow());
  }
  RouteReply tell() const {
    RouteReply told;
    told.view = way();
    told.id = identity;
    told.peer = settings.advertisedAddress;
    told.zone = ZoneName{settings.zone};
    told.uninitialized = core->raftNode().isBlank() && heardOf.controllers.empty();
    told.isLeader = core->raftNode().isLeader();
    told.hasDisk = stores();
    told.bootstrapCandidate = named;
    return told;
  }
  // A blank controller looks for a cluster through its seeds and whom they name, and asks to join
  // it. docs/design.md 3.5.
  void seekCluster() {
    std::map<Address, std::shared_ptr<RpcClient>> callers;
    for (;; sleepFor(heardOf.controllers.empty() ? Duration{200} : Duration{400})) {
      if (lookForSeeds && way().leader.value.empty())
        lookForSeeds();
      if (!core->raftNode().isBlank()) {
        heardOf = LeaderRoute{};
        visitors.clear();
        meetSeeds(callers);
        sleepFor(Duration{1000});
        continue;
      }
      ClusterBootstrap founding(settings.advertisedAddress, stores(), settings.seeds);
      std::vector<Address> asked = settings.seeds;
      for (const auto& address : heardOf.controllers)
        if (!std::count(asked.begin(), asked.end(), address))
          asked.push_back(address);
      for (const auto& address : visitors)
        if (!std::count(asked.begin(), asked.end(), address))
          asked.push_back(address);
      for (const auto& address : asked) {
        if (address == settings.advertisedAddress)
          continue;
        auto& caller = callers[address];
        if (!caller)
          caller = std::make_shared<RpcClient>(loop, address);
        auto answered =
            caller->call(RouteQuery{{}, settings.advertisedAddress, settings.bootstrap && stores()},
                         Duration{500});
        auto* told = answered ? boost::get<RouteReply>(&answered.value().body) : nullptr;
        if (!told) {
          // docs/design.md 9.5: a seed may be a gateway; it names the controllers.
          for (const auto& controller : fetchControllers(loop, address))
            joinAt(controller);
          continue;
        }
        if (told->uninitialized) {
          founding.addBlankSeed(address, told->hasDisk, told->bootstrapCandidate);
          continue;
        }
        heardOf.mergeNewer(told->view);
        if (!told->view.leader.value.empty())
          joinAt(told->view.leader);
        else if (!told->view.controllers.empty())
          joinAt(told->view.controllers.front());
      }
      if (!heardOf.leader.value.empty())
        joinAt(heardOf.leader);
      if (settings.bootstrap && core->raftNode().isBlank() && heardOf.controllers.empty() &&
          founding.mayBootstrap()) {
        log(LogLevel::info, "founds a cluster");
        core->bootstrap(monotonicNow());
        nudge();
      }
    }
  }
  // One that belongs to no cluster serves callers all the same, by the way that it has heard of: it
  // must learn of a new leader as soon as gateways do, however many controllers are silent.
  void followCluster() {
    constexpr Duration between{200};  // less than an election takes
    constexpr Duration longestAnswer{500};
    std::map<Address, std::shared_ptr<RpcClient>> callers;
    auto asking = std::make_shared<std::set<Address>>();
    for (;; sleepFor(between)) {
      if (!core->raftNode().isBlank())
        continue;
      for (const auto& address : heardOf.controllers) {
        if (address == settings.advertisedAddress || !asking->insert(address).second)
          continue;
        auto& caller = callers[address];
        if (!caller)
          caller = std::make_shared<RpcClient>(loop, address);
        spawn([this, asking, address, caller] {
          auto answered =
              caller->call(RouteQuery{{}, settings.advertisedAddress, false}, longestAnswer);
          asking->erase(address);
          auto* told = answered ? boost::get<RouteReply>(&answered.value().body) : nullptr;
          if (told && !told->uninitialized && core->raftNode().isBlank())
            heardOf.mergeNewer(told->view);
        });
      }
    }
  }
  // A seed may belong to no cluster and have no disk, and others begin there: it must learn of us,
  // also after it began anew. docs/design.md 9.7, docs/incidents.md 8.
  void meetSeeds(std::map<Address, std::shared_ptr<RpcClient>>& callers) {
    const auto known = core->raftNode().membership();
    for (const auto& seed : std::vector<Address>(settings.seeds)) {
      if (std::any_of(known.begin(), known.end(),
                      [&](const Member& member) { return member.address == seed; }))
        continue;
      auto& caller = callers[seed];
      if (!caller)
        caller = std::make_shared<RpcClient>(loop, seed);
      [[maybe_unused]] const auto met =
          caller->call(RouteQuery{{}, settings.advertisedAddress, false}, Duration{300});
    }
  }
  void joinAt(const Address& leader) {
    if (stores())
      core->join(leader);
  }
  ApiResponse readiness(const HttpRequest& request) {
    const bool alive = monotonicNow().milliseconds - stepped.load() < 2000;
    if (request.target == "/healthz")
      return ApiResponse::of(alive ? 200 : 503, {{"alive", json(alive)}});
    if (request.target == "/readyz") {
      const bool ready =
          alive && !core->raftNode().isBlank() &&
          (core->raftNode().canServe() || !core->raftNode().leaderId().value.empty());
      return ApiResponse::of(ready ? 200 : 503,
                             {{"ready", json(ready)},
                              {"role", json(name(core->raftNode().role()))},
                              {"term", json(core->raftNode().term().value)},
                              {"identity", json(identity.value)},
                              {"config", json(core->committed().config().version.value)}});
    }
    if (auto contacts = answerContactsRequest(request, way()))
      return *contacts;
    return ApiResponse::error(
        404, "missing",
        "a controller serves /healthz, /readyz and /v1/contacts here; all else is at the gateways");
  }

  ControllerSettings settings;
  EventLoop loop;
  DataFolder folder;
  ControllerId identity;
  std::unique_ptr<Controller> core;
  std::shared_ptr<SnapshotWriter> keeper;
  std::unique_ptr<WorkThread> disk, views;
  std::map<Address, std::shared_ptr<Outbox>> outbox;
  std::map<RequestNumber, std::pair<std::shared_ptr<WireWriter>, std::uint64_t>> askers;
  std::uint64_t lastRequest = 0;
  LeaderRoute heardOf;         // while it belongs to no cluster: the one it has heard of
  std::set<Address> visitors;  // and the controllers that asked it meanwhile
  Address named;               // to found a cluster, by one that has no disk
  std::atomic<std::int64_t> stepped{0};
  std::function<void()> lookForSeeds;
  bool broken = false, woken = false;
  boost::fibers::mutex wakeMutex;
  boost::fibers::condition_variable wake;
};

}  // namespace

int runController(ControllerSettings settings) {
  return Program(std::move(settings)).run();
}

}  // namespace aniseline
