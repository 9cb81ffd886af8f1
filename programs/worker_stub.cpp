// worker_stub: a stand-in worker, on the worker library or called by an agent. Its tasks are
// timers. docs/operations.md 7.
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
  std::int64_t cores = 16, memory = 32 * 1024, seed = 1, leaveWithin = 2000;
  double slow = 1, fail = 0;
  bool unguarded = false, leaseless = false, quiet = false, called = false;
  Address listen, agent;
};

// What the two ways of working need of each other's options.
std::string faultOf(const Settings& settings) {
  if (!settings.called)
    return settings.gateways.empty() ? "--gateways: is missing" : "";
  if (settings.listen.value.empty())
    return "--listen: is missing";
  if (settings.agent.value.empty())
    return "--agent: is missing";
  return settings.leaseless ? "--leaseless: is no option of a worker that is called" : "";
}

// The tasks as timers, and the history of what really ran.
class Timers {
 public:
  explicit Timers(const Settings& settings)
      : settings(settings), random(std::uint64_t(settings.seed)), history(settings.witness) {
    // What an earlier process of this name ran ended with it.
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
  void follow(const TaskCommand& command) {
    auto found = tasks.find(command.attempt);
    const MonotonicTime now = monotonicNow();
    if (command.kind == TaskCommand::Kind::start) {
      tasks[command.attempt] = Running{command.order, now, really(command.order), true};
      write(HistoryEvent::Kind::started, command.order);
    } else if (found == tasks.end())
      return;
    else if (command.kind == TaskCommand::Kind::suspend) {
      found->second.left = found->second.left - (now - found->second.since);
      found->second.active = false;
      write(HistoryEvent::Kind::suspended, found->second.order);
    } else if (command.kind == TaskCommand::Kind::resume) {
      found->second.since = now;
      found->second.active = true;
      write(HistoryEvent::Kind::resumed, found->second.order);
    } else {
      write(HistoryEvent::Kind::ended, found->second.order,
            found->second.order.quantum.milliseconds > 0 && spent(found->second, now) ? "ran_out"
                                                                                      : "stopped");
      tasks.erase(found);
    }
  }
  std::vector<AttemptNumber> due() const {
    const MonotonicTime now = monotonicNow();
    std::vector<AttemptNumber> due;
    for (const auto& [attempt, task] : tasks)
      if (task.active && now - task.since >= task.left)
        due.push_back(attempt);
    return due;
  }
  // Whether it ended well.
  bool finish(AttemptNumber attempt) {
    const bool well = !random.chance(settings.fail);
    write(HistoryEvent::Kind::ended, tasks[attempt].order, well ? "finished" : "failed");
    tasks.erase(attempt);
    return well;
  }
  [[noreturn]] void close() {
    log(LogLevel::info, log_events::stopped);
    // Whatever still runs ends with this process.
    write(HistoryEvent::Kind::workerLost, {});
    history.close();
    std::_Exit(0);
  }

 private:
  struct Running {
    Order order;
    MonotonicTime since;
    Duration left;
    bool active = true;
  };
  // A payload "run=250" says what the task really takes; else it takes what was requested.
  Duration really(const Order& order) const {
    std::int64_t run = order.runtime.milliseconds;
    if (order.payload.starts_with("run="))
      run = std::strtoll(order.payload.c_str() + 4, nullptr, 10);
    return Duration{std::int64_t(double(run) * settings.slow)};
  }
  bool spent(const Running& task, MonotonicTime now) const {
    const Duration ran =
        really(task.order) - task.left + (task.active ? now - task.since : Duration{0});
    return ran >= task.order.quantum;
  }
  const Settings& settings;
  Random random;
  HistoryFile history;
  std::map<AttemptNumber, Running> tasks;
};

Incarnation drawnIncarnation() {
  std::random_device device;
  return Incarnation{((std::uint64_t(device()) << 32) | device()) | 1};
}

// A worker that calls gateways. docs/api.md 3.
class CallingWorker {
 public:
  explicit CallingWorker(Settings given) : settings(std::move(given)), timers(settings) {}
  int run() {
    WorkerSession::Options options;
    options.id = WorkerId{settings.id};
    options.capacity = timers.capacity();
    client = std::make_unique<WorkerClient>(loop, options, drawnIncarnation(), settings.gateways);
    client->confirmed.connect([this](const Order& order, AttemptOutcome kind) {
      timers.write(HistoryEvent::Kind::resultConfirmed, order, name(kind));
    });
    client->rejected.connect([](const std::string& words) {
      log(LogLevel::warning, log_events::workerRejected, {{"error", json(words)}});
    });
    client->command.connect([this](const TaskCommand& command) { timers.follow(command); });
    std::atomic<bool> over{false};
    spawn([this, &over] { client->run(over); });
    StopSignal stop(loop);
    log(LogLevel::info, log_events::started, {{"worker", json(settings.id)}});
    while (!stop.requested()) {
      sleepFor(Duration{2});
      finishDue();
    }
    // docs/operations.md 4: it says that it leaves, lets its work end for a while, then goes.
    client->startDrain(Duration{settings.leaveWithin});
    timers.write(HistoryEvent::Kind::draining, {});
    log(LogLevel::info, log_events::draining);
    const MonotonicTime until = monotonicNow() + Duration{settings.leaveWithin + 1500};
    while (!client->session().empty() && monotonicNow() < until) {
      sleepFor(Duration{2});
      finishDue();
    }
    sleepFor(Duration{200});
    over = true;
    timers.close();
  }

 private:
  void finishDue() {
    for (auto attempt : timers.due()) {
      if (client->session().leaseExpired())
        return;  // held by a lapsed lease: nothing ends now
      client->attemptEnded(attempt, timers.finish(attempt));
    }
  }
  Settings settings;
  Timers timers;
  EventLoop loop;
  std::unique_ptr<WorkerClient> client;
};

// A worker that its agent calls. docs/api.md 5.
class CalledWorker {
 public:
  explicit CalledWorker(Settings given)
      : settings(std::move(given)), timers(settings), hand(options(), nextLife()) {}
  int run() {
    HttpServer server(loop, HttpLimits{64 * 1024, 50, Duration{60'000}, Duration{2000}},
                      [this](const HttpRequest& request) { return called(request); });
    if (!listenOrLog(server, settings.listen))
      return 1;
    StopSignal stop(loop);
    log(LogLevel::info, log_events::started,
        {{"worker", json(settings.id)}, {"worker_instance", json(hand.currentInstance().value)}});
    spawn([this] {
      for (;; sleepFor(Duration{300}))
        account();
    });
    while (!stop.requested())
      turn();
    // It says that it leaves; what runs may go on for a while, then it goes.
    leaving = true;
    timers.write(HistoryEvent::Kind::draining, {});
    log(LogLevel::info, log_events::draining);
    const MonotonicTime until = monotonicNow() + Duration{settings.leaveWithin + 1500};
    while ((!told || !hand.empty()) && monotonicNow() < until)
      turn();
    HttpClient client(loop);
    if (auto left = client.send(settings.agent, encodeShutdownNotice(hand.currentInstance()),
                                Duration{1500});
        !left)
      log(LogLevel::warning, log_events::shutdownNoticeFailed,
          {{"code", json(name(left.error().kind))}, {"error", json(left.error().text)}});
    hand.onReplaced(nextLife());
    deliver();
    timers.close();
  }

 private:
  CalledWorkerSession::Options options() const {
    CalledWorkerSession::Options made;
    made.capacity = timers.capacity();
    made.capacity.honoursLeases = made.capacity.killsOnLeaseExpiry = true;
    made.capacity.supportsSuspend = false;
    return made;
  }
  WorkerId nextLife() const {
    return WorkerId{settings.id + "." + std::to_string(drawnIncarnation().value)};
  }
  WorkerTime steadyNow() const { return WorkerTime{monotonicNow().milliseconds}; }
  void deliver() {
    for (const auto& [order, kind] : hand.takeConfirmedResults())
      timers.write(HistoryEvent::Kind::resultConfirmed, order, name(kind));
    for (const auto& command : hand.takeCommands())
      timers.follow(command);
  }
  void turn() {
    sleepFor(Duration{2});
    hand.tick(steadyNow());
    deliver();  // what the lapsed hold killed has no end of its own
    for (auto attempt : timers.due())
      hand.onTaskEnded(attempt, timers.finish(attempt), steadyNow());
  }
  ApiResponse called(const HttpRequest& request) {
    auto call = decodeWorkerCall(request);
    if (!call)
      return ApiResponse::fromError(call.error());
    const MonotonicTime until = monotonicNow() + call.value().longPollTimeout;
    auto reply = hand.onCall(call.value(), steadyNow());
    deliver();
    while (call.value().kind == WorkerCall::Kind::poll && reply.status == WorkerReply::Status::ok &&
           reply.results.empty() && monotonicNow() < until) {
      sleepFor(Duration{5});
      reply = hand.onCall(call.value(), steadyNow());
      deliver();
    }
    return encodeWorkerReply(call.value(), reply);
  }
  // Makes itself known. What it was told is over is over: it begins as another life.
  void account() {
    WorkerRegistration made{hand.currentInstance(), options().capacity, leaving,
                            Duration{settings.leaveWithin}, steadyNow()};
    const bool says = leaving;
    auto answer = accounts.send(settings.agent, encodeRegistration(made), Duration{1200});
    if (!answer || made.workerInstance != hand.currentInstance())
      return;
    if (answer.value().status == 200 && says) {
      told = true;
      hand.startDraining();
    }
    if (answer.value().status != 410)
      return;
    hand.onReplaced(nextLife());
    deliver();
    log(LogLevel::warning, log_events::instanceRestarted,
        {{"worker_instance", json(hand.currentInstance().value)}});
  }

  Settings settings;
  Timers timers;
  CalledWorkerSession hand;
  EventLoop loop;
  HttpClient accounts{loop};
  bool leaving = false, told = false;
};

}  // namespace

int main(int count, char** values) {
  Settings settings;
  OptionSet options("worker_stub", "a stand-in worker for aniseline");
  options.addText("id", settings.id, "the worker's id", OptionSet::Presence::required);
  options.addText("zone", settings.zone, "the zone of this machine", OptionSet::Presence::required);
  options.addText("rack", settings.rack, "the rack of this machine");
  options.addAddresses("gateways", settings.gateways,
                       "outer addresses of gateways, for first contact");
  options.addFlag("called", settings.called, "an agent calls it; it calls no gateway");
  options.addAddress("listen", settings.listen, "where its agent calls it");
  options.addAddress("agent", settings.agent, "where it makes itself known to its agent");
  options.addText("from", settings.from,
                  "the IP number to connect from, on a machine with several");
  options.addInteger("cores", settings.cores, "cores", 1, 65'536);
  options.addInteger("memory-mb", settings.memory, "memory", 1, 1'000'000'000);
  options.addInteger("seed", settings.seed, "of the draws for failures", 0, 1'000'000'000);
  options.addInteger("leave-within-ms", settings.leaveWithin,
                     "how long its work may go on when it leaves", 0, 3'600'000);
  options.addReal("slow", settings.slow, "its tasks take this many times as long", 0.01, 1000);
  options.addReal("fail", settings.fail, "this part of its tasks fails", 0, 1);
  options.addFlag("unguarded", settings.unguarded, "it does not guard its room");
  options.addFlag("leaseless", settings.leaseless, "it does not honour leases");
  options.addText("witness", settings.witness, "a file for the history of what really ran");
  options.addFlag("quiet", settings.quiet, "no logs");
  options.read(count, values);
  if (const auto fault = faultOf(settings); !fault.empty()) {
    std::cerr << "worker_stub: " << fault << "\n";
    return 2;
  }
  EventLoop::sourceIp = settings.from;
  startLog("worker_stub", settings.id, settings.quiet);
  return settings.called ? CalledWorker(settings).run() : CallingWorker(settings).run();
}
