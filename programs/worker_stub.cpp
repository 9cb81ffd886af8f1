// worker_stub: a test worker whose tasks are timers. It either calls gateways with the worker
// library or is called by an agent. docs/operations.md 7.
#include "agent/called_worker_session.hpp"
#include "daemons/listening.hpp"
#include "net/worker_client.hpp"
#include "net/history_file.hpp"
#include "net/log.hpp"
#include "net/json_worker_protocol.hpp"
#include "net/options.hpp"
#include "net/signals.hpp"
#include <iostream>

using namespace aniseline;

namespace {

struct Settings {
  std::string id, zone, rack, witness, from;
  std::vector<Address> gateways;
  std::int64_t cores = 16, memory = 32 * 1024, seed = 1, leaveTimeoutMilliseconds = 2000;
  double slowdownFactor = 1, failureRatio = 0;
  bool unguarded = false, leaseless = false, quiet = false, called = false;
  Address listen, agent;
};

// Returns which option is missing or not allowed in the chosen mode, or an empty text.
std::string findOptionError(const Settings& settings) {
  if (!settings.called)
    return settings.gateways.empty() ? "--gateways: is missing" : "";
  if (settings.listen.value.empty())
    return "--listen: is missing";
  if (settings.agent.value.empty())
    return "--agent: is missing";
  return settings.leaseless ? "--leaseless: is no option of a worker that is called" : "";
}

// Simulates tasks by timers and records the history of all that ran.
class SimulatedTasks {
 public:
  explicit SimulatedTasks(const Settings& settings)
      : settings(settings), random(std::uint64_t(settings.seed)), history(settings.witness) {
    // Tasks of an earlier process with this id ended when that process did.
    write(HistoryEvent::Kind::workerLost, {});
    HistoryEvent event;
    event.kind = HistoryEvent::Kind::capacityReported;
    event.worker = settings.id;
    event.cores = std::uint32_t(settings.cores * 1000);
    event.memory = std::uint64_t(settings.memory);
    event.enforcesCapacity = !settings.unguarded;
    if (settings.leaseless)
      event.detail = "leaseless";
    history.write(std::move(event));
  }
  Capacity capacity() const {
    return Capacity{std::uint32_t(settings.cores * 1000),
                    std::uint64_t(settings.memory),
                    ZoneName{settings.zone},
                    settings.rack,
                    !settings.leaseless,
                    !settings.unguarded};
  }
  void write(HistoryEvent::Kind kind, const Order& order, std::string detail = {}) {
    HistoryEvent event;
    event.kind = kind;
    event.worker = settings.id;
    if (order.attempt.value) {
      event.job = order.job.value;
      event.task = order.taskIndex;
      event.attempt = std::to_string(order.attempt.value);
      event.cores = order.cores;
      event.memory = order.memory;
      event.trial = order.quantum.milliseconds > 0;
    }
    event.detail = std::move(detail);
    history.write(std::move(event));
  }
  void apply(const TaskCommand& command) {
    auto found = tasks.find(command.attempt);
    const MonotonicTime now = monotonicNow();
    if (command.kind == TaskCommand::Kind::start) {
      tasks[command.attempt] = RunningTask{command.order, now, actualRuntime(command.order), true};
      write(HistoryEvent::Kind::started, command.order);
    } else if (found == tasks.end())
      return;
    else if (command.kind == TaskCommand::Kind::suspend) {
      found->second.remaining = found->second.remaining - (now - found->second.runningSince);
      found->second.active = false;
      write(HistoryEvent::Kind::suspended, found->second.order);
    } else if (command.kind == TaskCommand::Kind::resume) {
      found->second.runningSince = now;
      found->second.active = true;
      write(HistoryEvent::Kind::resumed, found->second.order);
    } else {
      write(HistoryEvent::Kind::ended, found->second.order,
            found->second.order.quantum.milliseconds > 0 && hasUsedUpQuantum(found->second, now)
                ? "ran_out"
                : "stopped");
      tasks.erase(found);
    }
  }
  std::vector<AttemptNumber> dueAttempts() const {
    const MonotonicTime now = monotonicNow();
    std::vector<AttemptNumber> attempts;
    for (const auto& [attempt, task] : tasks)
      if (task.active && now - task.runningSince >= task.remaining)
        attempts.push_back(attempt);
    return attempts;
  }
  // Ends a task, at random as a failure. Returns whether it succeeded.
  bool finish(AttemptNumber attempt) {
    const bool succeeded = !random.chance(settings.failureRatio);
    write(HistoryEvent::Kind::ended, tasks[attempt].order, succeeded ? "finished" : "failed");
    tasks.erase(attempt);
    return succeeded;
  }
  [[noreturn]] void close() {
    log(LogLevel::info, log_events::stopped);
    // Tasks that still run end with this process.
    write(HistoryEvent::Kind::workerLost, {});
    history.close();
    std::_Exit(0);
  }

 private:
  struct RunningTask {
    Order order;
    MonotonicTime runningSince;
    Duration remaining;
    bool active = true;
  };
  // Returns how long the task runs: 250 ms for a payload "run=250", otherwise the requested
  // runtime.
  Duration actualRuntime(const Order& order) const {
    std::int64_t run = order.runtime.milliseconds;
    if (order.payload.starts_with("run="))
      run = std::strtoll(order.payload.c_str() + 4, nullptr, 10);
    return Duration{std::int64_t(double(run) * settings.slowdownFactor)};
  }
  // Reports whether a trial has used up its quantum.
  bool hasUsedUpQuantum(const RunningTask& task, MonotonicTime now) const {
    const Duration ran = actualRuntime(task.order) - task.remaining +
                         (task.active ? now - task.runningSince : Duration{0});
    return ran >= task.order.quantum;
  }
  const Settings& settings;
  Random random;
  HistoryFile history;
  std::map<AttemptNumber, RunningTask> tasks;
};

Incarnation randomIncarnation() {
  std::random_device device;
  return Incarnation{((std::uint64_t(device()) << 32) | device()) | 1};
}

// A worker that calls gateways. docs/api.md 3.
class CallingWorker {
 public:
  explicit CallingWorker(Settings given) : settings(std::move(given)), simulatedTasks(settings) {}
  int run() {
    WorkerSession::Options options;
    options.id = WorkerId{settings.id};
    options.capacity = simulatedTasks.capacity();
    client = std::make_unique<WorkerClient>(loop, options, randomIncarnation(), settings.gateways);
    client->confirmed.connect([this](const Order& order, AttemptOutcome kind) {
      simulatedTasks.write(HistoryEvent::Kind::resultConfirmed, order, name(kind));
    });
    client->rejected.connect([](const std::string& reason) {
      log(LogLevel::warning, log_events::workerRejected, {{"error", json(reason)}});
    });
    client->command.connect([this](const TaskCommand& command) { simulatedTasks.apply(command); });
    std::atomic<bool> stopClient{false};
    spawn([this, &stopClient] { client->run(stopClient); });
    StopSignal stop(loop);
    log(LogLevel::info, log_events::started, {{"worker", json(settings.id)}});
    while (!stop.requested()) {
      sleepFor(Duration{2});
      finishDueTasks();
    }
    // Announces that it drains, and lets its tasks end for a while before it exits.
    // docs/operations.md 4.
    client->startDrain(Duration{settings.leaveTimeoutMilliseconds});
    simulatedTasks.write(HistoryEvent::Kind::draining, {});
    log(LogLevel::info, log_events::draining);
    const MonotonicTime deadline =
        monotonicNow() + Duration{settings.leaveTimeoutMilliseconds + 1500};
    while (!client->session().empty() && monotonicNow() < deadline) {
      sleepFor(Duration{2});
      finishDueTasks();
    }
    sleepFor(Duration{200});
    stopClient = true;
    simulatedTasks.close();
  }

 private:
  void finishDueTasks() {
    for (auto attempt : simulatedTasks.dueAttempts()) {
      if (client->session().leaseExpired())
        return;  // the tasks are suspended since the lease expired, so none ends now
      client->attemptEnded(attempt, simulatedTasks.finish(attempt));
    }
  }
  Settings settings;
  SimulatedTasks simulatedTasks;
  EventLoop loop;
  std::unique_ptr<WorkerClient> client;
};

// A worker that is called by its agent. docs/api.md 5.
class CalledWorker {
 public:
  explicit CalledWorker(Settings given)
      : settings(std::move(given)),
        simulatedTasks(settings),
        workerSession(options(), newInstance()) {}
  int run() {
    HttpServer server(loop, HttpLimits{64 * 1024, 50, Duration{60'000}, Duration{2000}},
                      [this](const HttpRequest& request) { return handleCall(request); });
    if (!listenOrLog(server, settings.listen))
      return 1;
    StopSignal stop(loop);
    log(LogLevel::info, log_events::started,
        {{"worker", json(settings.id)},
         {"worker_instance", json(workerSession.currentInstance().value)}});
    spawn([this] {
      for (;; sleepFor(Duration{300}))
        sendRegistration();
    });
    while (!stop.requested())
      runOnce();
    // Announces that it drains, and lets its tasks end for a while before it exits.
    leaving = true;
    simulatedTasks.write(HistoryEvent::Kind::draining, {});
    log(LogLevel::info, log_events::draining);
    const MonotonicTime deadline =
        monotonicNow() + Duration{settings.leaveTimeoutMilliseconds + 1500};
    while ((!drainAcknowledged || !workerSession.empty()) && monotonicNow() < deadline)
      runOnce();
    HttpClient client(loop);
    if (auto answer = client.send(
            settings.agent, encodeShutdownNotice(workerSession.currentInstance()), Duration{1500});
        !answer)
      log(LogLevel::warning, log_events::shutdownNoticeFailed,
          {{"code", json(name(answer.error().kind))}, {"error", json(answer.error().text)}});
    workerSession.onReplaced(newInstance());
    deliver();
    simulatedTasks.close();
  }

 private:
  CalledWorkerSession::Options options() const {
    CalledWorkerSession::Options sessionOptions;
    sessionOptions.capacity = simulatedTasks.capacity();
    sessionOptions.capacity.honoursLeases = sessionOptions.capacity.killsOnLeaseExpiry = true;
    sessionOptions.capacity.supportsSuspend = false;
    return sessionOptions;
  }
  WorkerId newInstance() const {
    return WorkerId{settings.id + "." + std::to_string(randomIncarnation().value)};
  }
  WorkerTime steadyNow() const { return WorkerTime{monotonicNow().milliseconds}; }
  void deliver() {
    for (const auto& [order, kind] : workerSession.takeConfirmedResults())
      simulatedTasks.write(HistoryEvent::Kind::resultConfirmed, order, name(kind));
    for (const auto& command : workerSession.takeCommands())
      simulatedTasks.apply(command);
  }
  void runOnce() {
    sleepFor(Duration{2});
    workerSession.tick(steadyNow());
    deliver();  // tasks killed by lease expiry must not be reported as ended below
    for (auto attempt : simulatedTasks.dueAttempts())
      workerSession.onTaskEnded(attempt, simulatedTasks.finish(attempt), steadyNow());
  }
  ApiResponse handleCall(const HttpRequest& request) {
    auto call = decodeWorkerCall(request);
    if (!call)
      return ApiResponse::fromError(call.error());
    const MonotonicTime deadline = monotonicNow() + call.value().longPollTimeout;
    auto reply = workerSession.onCall(call.value(), steadyNow());
    deliver();
    while (call.value().kind == WorkerCall::Kind::poll && reply.status == WorkerReply::Status::ok &&
           reply.results.empty() && monotonicNow() < deadline) {
      sleepFor(Duration{5});
      reply = workerSession.onCall(call.value(), steadyNow());
      deliver();
    }
    return encodeWorkerReply(call.value(), reply);
  }
  // Registers with the agent. If the agent answers that this instance has been retired (410),
  // discards all tasks and continues as a new instance.
  void sendRegistration() {
    WorkerRegistration registration{workerSession.currentInstance(), options().capacity, leaving,
                                    Duration{settings.leaveTimeoutMilliseconds}, steadyNow()};
    const bool announcesDrain = leaving;
    auto answer =
        registrationClient.send(settings.agent, encodeRegistration(registration), Duration{1200});
    if (!answer || registration.workerInstance != workerSession.currentInstance())
      return;
    if (answer.value().status == 200 && announcesDrain) {
      drainAcknowledged = true;
      workerSession.startDraining();
    }
    if (answer.value().status != 410)
      return;
    workerSession.onReplaced(newInstance());
    deliver();
    log(LogLevel::warning, log_events::instanceRestarted,
        {{"worker_instance", json(workerSession.currentInstance().value)}});
  }

  Settings settings;
  SimulatedTasks simulatedTasks;
  CalledWorkerSession workerSession;
  EventLoop loop;
  HttpClient registrationClient{loop};
  bool leaving = false, drainAcknowledged = false;
};

}  // namespace

int main(int argc, char** argv) {
  Settings settings;
  OptionSet options("worker_stub", "a test worker for aniseline whose tasks are timers");
  options.addText("id", settings.id, "id of the worker", OptionSet::Presence::required);
  options.addText("zone", settings.zone, "zone of this machine", OptionSet::Presence::required);
  options.addText("rack", settings.rack, "rack of this machine");
  options.addAddresses("gateways", settings.gateways,
                       "client-facing addresses of gateways, used for first contact");
  options.addFlag("called", settings.called,
                  "the worker is called by an agent and calls no gateways");
  options.addAddress("listen", settings.listen, "address where its agent calls it");
  options.addAddress("agent", settings.agent, "address of its agent, where it registers");
  options.addText("from", settings.from,
                  "source IP address of connections, for machines with several");
  options.addInteger("cores", settings.cores, "number of cores", 1, 65'536);
  options.addInteger("memory-mb", settings.memory, "memory in MB", 1, 1'000'000'000);
  options.addInteger("seed", settings.seed, "seed of the random failures", 0, 1'000'000'000);
  options.addInteger("leave-within-ms", settings.leaveTimeoutMilliseconds,
                     "time in ms that its tasks may go on when it is stopped", 0, 3'600'000);
  options.addReal("slow", settings.slowdownFactor, "factor by which its tasks take longer", 0.01,
                  1000);
  options.addReal("fail", settings.failureRatio, "fraction of its tasks that fails", 0, 1);
  options.addFlag("unguarded", settings.unguarded,
                  "it does not reject starts that exceed its free capacity");
  options.addFlag("leaseless", settings.leaseless, "its tasks run on when its lease expires");
  options.addText("witness", settings.witness, "file for the history of the tasks that ran");
  options.addFlag("quiet", settings.quiet, "disable logging");
  options.read(argc, argv);
  if (const auto optionError = findOptionError(settings); !optionError.empty()) {
    std::cerr << "worker_stub: " << optionError << "\n";
    return 2;
  }
  EventLoop::sourceIp = settings.from;
  startLog("worker_stub", settings.id, settings.quiet);
  return settings.called ? CalledWorker(settings).run() : CallingWorker(settings).run();
}
