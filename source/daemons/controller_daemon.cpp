// Implements the controller process: one event loop steps the core, carries out the effects that
// the core requests, and shuts the process down in order. Storage, background writers, peer
// transport and cluster discovery are classes of their own in this folder.
#include "daemons/controller_daemon.hpp"
#include "daemons/cluster_discovery.hpp"
#include "daemons/connection_drain.hpp"
#include "daemons/listening.hpp"
#include "daemons/peer_transport.hpp"
#include "daemons/process_memory.hpp"
#include "daemons/state_writers.hpp"
#include "net/contacts.hpp"
#include "net/log.hpp"
#include "net/signals.hpp"

namespace aniseline {

namespace {

constexpr HttpLimits probeLimits{64 * 1024, 100, Duration{30'000}, Duration{2000}};
// The health probe fails if the event loop has not stepped the core for this long.
constexpr Duration livenessTimeout{2000};
// The longest waits between steps. A member has to serve the core's timers; a blank controller has
// no timers.
constexpr Duration memberStepInterval{10};
constexpr Duration blankStepInterval{100};
// The time allowed for writing the last responses to gateways and agents: this duration, but at
// most a tenth of the shutdown's timeout.
constexpr Duration maxFlushTime{300};
constexpr std::int64_t flushTimeDivisor = 10;
// The interval between attempts to transfer leadership during a shutdown. It covers an election and
// its messages.
constexpr Duration transferInterval{700};

constexpr Duration memoryReportInterval{10'000};
constexpr Duration loadReportInterval{1000};

std::string joinAddresses(const std::vector<Address>& addresses) {
  std::string text;
  for (const auto& address : addresses)
    text += (text.empty() ? "" : ",") + address.value;
  return text;
}

ControllerOptions coreOptions(const ControllerSettings& settings) {
  ControllerOptions options;
  options.raft.heartbeatInterval = Duration{settings.heartbeatMilliseconds};
  options.raft.electionTimeoutMin = Duration{settings.electionLowMilliseconds};
  options.raft.electionTimeoutMax = Duration{settings.electionHighMilliseconds};
  options.deadMemberTimeout = Duration{settings.replaceAfterMilliseconds};
  options.voterCount = std::size_t(settings.voters);
  options.leaseDuration = Duration{settings.leaseMilliseconds};
  options.leaseMargin = Duration{settings.leaseMarginMilliseconds};
  options.maxPassedOverTime = Duration{settings.maxPassedOverMilliseconds};
  options.parseConfig = settings.parseConfig;
  options.explainLateJobs = settings.explainLateJobs;
  options.policies = settings.policies;
  options.maxRecordsBetweenSnapshots = std::uint64_t(settings.snapshotVersions);
  options.applyMemoryLimit(settings.memoryBytes);
  return options;
}

std::uint64_t randomSeed() {
  std::random_device device;
  return (std::uint64_t(device()) << 32) | device();
}

class ControllerProcess {
 public:
  explicit ControllerProcess(ControllerSettings initialSettings)
      : settings(std::move(initialSettings)),
        options(coreOptions(settings)),
        storage(settings.dataFolder),
        peerSender(loop, options.maxOutboxBytes, options.raft.electionTimeoutMax),
        peerServer(loop, {[this](WireMessage message, const PeerServer::Connection& connection) {
                            onPeerMessage(std::move(message), connection);
                          },
                          [this](const PeerServer::Connection& connection) {
                            pendingResponses.dropConnection(connection);
                          }}),
        discovery(loop,
                  {settings.advertisedAddress, ZoneName{settings.zone}, storage.isPersistent(),
                   settings.bootstrap},
                  settings.seeds,
                  {[this]() -> Controller& { return *core; }, [this] { refreshSeeds(); },
                   [this] { wakeUp(); },
                   [this](const ClusterId& cluster) {
                     onClusterLearnt(cluster);
                   }}),
        forwarder(
            loop, [this] { return discovery.route(); }, settings.seeds,
            [this] { return abortPendingRequests; }),
        probeServer(loop, probeLimits,
                    [this](const HttpRequest& request) { return handleProbe(request); }),
        externalServer(loop, settings.externalInterface.limits,
                       [this](const HttpRequest& request) { return serveExternally(request); }) {}

  // Returns the exit status if the controller can't start or has to end with an error; otherwise
  // ends the process itself.
  int run() {
    const StopSignal stop(loop);
    const ReloadSignal reload(loop, [this] { refreshSeeds(); });
    auto recovered = storage.recover();
    if (!recovered)
      return 1;
    adoptIdentity(*recovered);
    if (storage.hasKnownCluster())
      discovery.withdrawBootstrap();
    if (!listen())
      return 1;
    startWriters();
    discovery.start();
    log(LogLevel::info, log_events::started,
        {{"identity", json(identity.value)},
         {"peer", json(settings.peerAddress.value)},
         {"zone", json(settings.zone)},
         {"seeds", json(joinAddresses(settings.seeds))}});
    for (;;) {
      if (!step())
        return 1;
      if (stop.requested() && readyToStop())
        shutDown();
      waitForWork();
    }
  }

 private:
  // --- start-up and recovery ---

  // Sets the current identity and creates its core from the recovered records.
  void adoptIdentity(const RecoveredState& recovered) {
    identity = recovered.identity;
    core = std::make_unique<Controller>(
        Member{identity, settings.advertisedAddress, ZoneName{settings.zone}, false}, options,
        randomSeed(), recovered.records, monotonicNow());
    core->bindToCluster(storage.cluster());
    core->logEvent.connect([](const LogEvent& event) {
      const RenderedLogEvent rendered = render(event);
      log(LogLevel::info, rendered.name, rendered.fields);
    });
  }
  void startWriters() {
    writers = std::make_unique<StateWriters>(
        loop, storage,
        StateWriters::Callbacks{[this](DiskVersion version) { onRecordWritten(version); },
                                [this](const DiskError& error) { onWriteFailed(error); },
                                [this](PackedSnapshot snapshot) {
                                  core->onSnapshotPacked(std::move(snapshot));
                                  wakeUp();
                                }});
  }
  // Starts a new identity after the cluster has removed the current one, because the state of a
  // removed identity must not vote any more. Returns false if the process has to end.
  bool rejoinAsNewMember() {
    log(LogLevel::warning, log_events::identityRemovedFromCluster,
        {{"identity", json(identity.value)}});
    writers.reset();
    storage.rememberCluster(core->raftNode().cluster());
    LeaderRoute lastRoute = core->route(monotonicNow());
    auto newState = storage.beginAsNewIdentity();
    if (!newState)
      return false;
    adoptIdentity(*newState);
    discovery.resumeSearch(std::move(lastRoute));
    startWriters();
    return true;
  }
  void onClusterLearnt(const ClusterId& cluster) {
    core->bindToCluster(cluster);
    storage.rememberCluster(cluster);
  }
  bool listen() {
    if (const IoError error = peerServer.listen(settings.peerAddress)) {
      logListenFailure(ListenError{settings.peerAddress, error});
      return false;
    }
    if (!settings.httpAddress.value.empty() && !listenOrLog(probeServer, settings.httpAddress))
      return false;
    return !settings.externalInterface.handle ||
           listenOrLog(externalServer, settings.externalInterface.address);
  }

  // --- event loop ---

  // Steps the core once and carries out the effects that it requests. Returns false if the process
  // has to end with an error, which has been logged.
  bool step() {
    lastStepAt.store(monotonicNow().milliseconds);
    const auto began = std::chrono::steady_clock::now();
    core->step(monotonicNow(), wallNow());
    carryOutEffects();
    recordStep(std::chrono::steady_clock::now() - began);
    reportMemory();
    if (core->raftNode().removedFromCluster() && !rejoinAsNewMember())
      return false;
    if (core->hasUnreadableState()) {
      log(LogLevel::error, log_events::stateUnreadable, {{"data", json(settings.dataFolder)}});
      std::_Exit(1);
    }
    return true;
  }
  void carryOutEffects() {
    if (auto record = core->takeWrite())
      writers->write(std::move(*record));
    if (auto work = core->takeSnapshotWork())
      writers->packSnapshot(std::move(*work));
    for (auto& message : core->takeMessages()) {
      ++load.messagesSent;
      peerSender.send(std::move(message));
    }
    for (auto& [number, response] : core->takeResponses()) {
      ++load.responses;
      pendingResponses.respond(number, std::move(response));
    }
  }
  // Logs once a second how busy a leader's event loop is.
  void recordStep(std::chrono::nanoseconds took) {
    core->recordStepTime(std::chrono::duration_cast<std::chrono::microseconds>(took));
    ++load.steps;
    load.stepTime += took;
    load.longestStep = std::max(load.longestStep, took);
    if (monotonicNow() < nextLoadReport)
      return;
    nextLoadReport = monotonicNow() + loadReportInterval;
    using Milliseconds = std::chrono::duration<double, std::milli>;
    if (core->raftNode().isLeader())
      log(LogLevel::info, log_events::leaderLoad,
          {{"steps", json(load.steps)},
           {"step_ms", json(Milliseconds(load.stepTime).count())},
           {"longest_step_ms", json(Milliseconds(load.longestStep).count())},
           {"requests", json(load.requests)},
           {"responses", json(load.responses)},
           {"peer_messages_in", json(load.messagesReceived)},
           {"peer_messages_out", json(load.messagesSent)}});
    load = LoopLoad{};
  }
  // Logs the estimated size of the state beside the memory that the process really takes.
  void reportMemory() {
    if (monotonicNow() < nextMemoryReport)
      return;
    nextMemoryReport = monotonicNow() + memoryReportInterval;
    const std::uint64_t residentBytes = residentMemoryBytes();
    core->recordResidentMemory(residentBytes);
    log(LogLevel::info, log_events::memoryUsage,
        {{"resident_bytes", json(residentBytes)},
         {"job_bytes", json(core->committed().estimatedJobBytes())},
         {"job_bytes_limit", json(options.maxJobBytes)},
         {"pending_bytes", json(core->pendingBytes())}});
  }
  void onRecordWritten(DiskVersion version) {
    setDiskWritable(true);
    core->onRecordSynced(version, monotonicNow());
    // Only now: a bootstrap that is not durable has bootstrapped nothing.
    storage.rememberCluster(core->raftNode().cluster());
    wakeUp();
  }
  // The record is written again until the disk takes it. Meanwhile nothing that it holds is
  // acknowledged. docs/design.md 3.3.
  void onWriteFailed(const DiskError& error) {
    if (diskWritable)
      logDiskError(log_events::diskWriteFailed, error);
    setDiskWritable(false);
    wakeUp();
  }
  void setDiskWritable(bool writable) {
    if (writable && !diskWritable)
      log(LogLevel::info, log_events::diskWritable);
    diskWritable = writable;
    core->setDiskWritable(writable);
  }
  void wakeUp() {
    const std::unique_lock lock(wakeMutex);
    wakeRequested = true;
    wakeCondition.notify_one();
  }
  void waitForWork() {
    const Duration interval = core->raftNode().isBlank() ? blankStepInterval : memberStepInterval;
    std::unique_lock lock(wakeMutex);
    wakeCondition.wait_for(lock, std::chrono::milliseconds(interval.milliseconds),
                           [this] { return wakeRequested; });
    wakeRequested = false;
  }
  // Re-reads the seeds, which may change with or without a reload signal.
  void refreshSeeds() {
    if (!aniseline::refreshSeeds(settings.seedSource, settings.seeds))
      return;
    forwarder.setSeeds(settings.seeds);
    discovery.setSeeds(settings.seeds);
  }

  // --- requests ---

  void onPeerMessage(WireMessage message, const PeerServer::Connection& connection) {
    const std::uint64_t correlationId = message.correlationId;
    if (const auto* peerMessage = boost::get<PeerMessage>(&message.body)) {
      ++load.messagesReceived;
      core->receive(*peerMessage, monotonicNow());
    } else if (auto* request = boost::get<ApiRequest>(&message.body)) {
      ++load.requests;
      core->submitRequest(pendingResponses.add(connection, correlationId), std::move(*request),
                          monotonicNow());
    } else if (const auto* query = boost::get<RouteQuery>(&message.body)) {
      discovery.onRouteQuery(*query);
      connection->send(encode(WireMessage{correlationId, discovery.routeReply(identity, *query)}));
    } else if (boost::get<BootstrapRequest>(&message.body))
      connection->send(encode(WireMessage{correlationId, bootstrapOnRequest()}));
    wakeUp();
  }
  ApiResponse bootstrapOnRequest() {
    if (!storage.isPersistent())
      return ApiResponse::error(409, "conflict", "this controller has no disk");
    if (!core->raftNode().isBlank())
      return ApiResponse::error(409, "conflict", "this controller already belongs to a cluster");
    if (storage.hasKnownCluster() || !discovery.route().controllers.empty())
      return ApiResponse::error(409, "conflict",
                                "this machine has known cluster '" + storage.cluster().value +
                                    "'; only a machine with an empty disk bootstraps another one");
    discovery.withdrawBootstrap();
    core->bootstrap(monotonicNow());
    return ApiResponse::of(202, {{"founded", json(identity.value)}});
  }
  // Serves an adapter's interface beside the standard one. docs/design.md 9.6.
  ApiResponse serveExternally(const HttpRequest& request) {
    return settings.externalInterface.handle(request, [this](const ApiRequest& apiRequest) {
      const MonotonicTime startedAt = monotonicNow();
      ApiResponse response = forwarder.forward(apiRequest);
      if (changesConfig(apiRequest.kind))
        log(LogLevel::info, log_events::configurationAnswered,
            {{"order", json(name(apiRequest.kind))},
             {"status", json(response.status)},
             {"error", json(response.errorKind)},
             {"base", json(apiRequest.baseVersion.value)},
             {"took_ms", json((monotonicNow() - startedAt).milliseconds)}});
      return response;
    });
  }
  ApiResponse handleProbe(const HttpRequest& request) {
    const bool alive = monotonicNow() - MonotonicTime{lastStepAt.load()} < livenessTimeout;
    if (request.target == "/healthz")
      return ApiResponse::of(alive ? 200 : 503, {{"alive", json(alive)}});
    if (request.target == "/readyz")
      return answerReadiness(alive);
    if (auto contacts = answerContactsRequest(request, discovery.route()))
      return *contacts;
    return ApiResponse::error(
        404, "missing",
        "a controller serves only /healthz, /readyz and /v1/contacts; ask a gateway for the rest");
  }
  ApiResponse answerReadiness(bool alive) const {
    const RaftNode& raft = core->raftNode();
    const bool ready = alive && diskWritable && !raft.isBlank() &&
                       (raft.canServe() || !raft.leaderId().value.empty());
    return ApiResponse::of(ready ? 200 : 503,
                           {{"ready", json(ready)},
                            {"role", json(name(raft.role()))},
                            {"disk_writable", json(diskWritable)},
                            {"term", json(raft.term().value)},
                            {"identity", json(identity.value)},
                            {"cluster", json(raft.cluster().value)},
                            {"config", json(core->committed().config().version.value)}});
  }

  // --- shutdown ---

  // Advances the shutdown and reports whether the process can end. A leader first transfers
  // leadership; every controller waits until the cluster does not need its copy of the state, and
  // drains the connections of operators and probes. The shutdown's timeout bounds all of this.
  // docs/operations.md 4.
  bool readyToStop() {
    const MonotonicTime now = monotonicNow();
    if (!stopStartedAt)
      beginStop(now);
    const RaftNode& raft = core->raftNode();
    if (raft.isLeader() && now >= nextTransferAt) {
      core->transferLeadership(now);
      nextTransferAt = now + transferInterval;
    }
    const bool isNeeded = raft.isLeader() || !raft.isSafeToStop();
    const bool waitedLongEnough = now >= *stopStartedAt + stopSchedule().waitUntil;
    if (!drainStarted && (!isNeeded || waitedLongEnough))
      beginDrain();
    return (!isNeeded && abortedConnections) || now >= *stopStartedAt + stopSchedule().abortAt;
  }
  DrainSchedule stopSchedule() const {
    return drainScheduleWithin(Duration{settings.stopTimeoutMilliseconds}, Duration{0});
  }
  void beginStop(MonotonicTime now) {
    log(LogLevel::info, log_events::stopping);
    stopStartedAt = now;
    probeServer.drain();
    externalServer.drain();
    runAfter(stopSchedule().waitUntil, [this] { abortPendingRequests = true; });
  }
  void beginDrain() {
    drainStarted = true;
    spawn([this] {
      abortedConnections =
          drainConnections({&probeServer, &externalServer}, *stopStartedAt, stopSchedule());
      wakeUp();
    });
  }
  // Flushes the last responses, joins the threads and ends the process, and with it the fibers that
  // wait on sockets.
  [[noreturn]] void shutDown() {
    peerServer.stop();
    const bool flushed = peerServer.flush(
        std::min(maxFlushTime, Duration{settings.stopTimeoutMilliseconds / flushTimeDivisor}));
    writers.reset();
    const ConnectionCounts aborted = abortedConnections.value_or(openConnections());
    picojson::object fields = abortedConnectionFields(aborted);
    fields["led"] = json(core->raftNode().isLeader());
    fields["others_hold_all"] = json(core->raftNode().isSafeToStop());
    fields["connections_drained"] = json(aborted.all() == 0);
    fields["responses_flushed"] = json(flushed);
    log(LogLevel::info, log_events::stopped, fields);
    std::_Exit(0);
  }
  ConnectionCounts openConnections() const {
    ConnectionCounts open = probeServer.counts();
    open += externalServer.counts();
    return open;
  }

  ControllerSettings settings;
  ControllerOptions options;
  EventLoop loop;
  ControllerStorage storage;
  ControllerId identity;
  std::unique_ptr<Controller> core;       // belongs to the current identity
  std::unique_ptr<StateWriters> writers;  // belongs to the current identity
  PendingResponses pendingResponses;
  PeerSender peerSender;
  PeerServer peerServer;
  ClusterDiscovery discovery;
  LeaderForwarder forwarder;
  HttpServer probeServer;
  HttpServer externalServer;
  std::atomic<std::int64_t> lastStepAt{0};  // in milliseconds of the monotonic clock
  std::optional<MonotonicTime> stopStartedAt;
  bool drainStarted = false;
  // Connections of operators and probes that a shutdown aborts; set once the drain has finished.
  std::optional<ConnectionCounts> abortedConnections;
  bool abortPendingRequests = false;  // pending requests of operators are answered at once
  MonotonicTime nextTransferAt{0};
  MonotonicTime nextMemoryReport;
  // What the event loop did since the last report.
  struct LoopLoad {
    std::uint64_t steps = 0;
    std::chrono::nanoseconds stepTime{};
    std::chrono::nanoseconds longestStep{};
    std::uint64_t requests = 0;
    std::uint64_t responses = 0;
    std::uint64_t messagesReceived = 0;
    std::uint64_t messagesSent = 0;
  };
  LoopLoad load;
  MonotonicTime nextLoadReport;
  bool diskWritable = true;
  bool wakeRequested = false;
  boost::fibers::mutex wakeMutex;
  boost::fibers::condition_variable wakeCondition;
};

}  // namespace

int runController(ControllerSettings settings) {
  return ControllerProcess(std::move(settings)).run();
}

}  // namespace aniseline
