// core_benchmark: processor time and memory of each role, on the core alone: no sockets, no files,
// virtual time. docs/CAPACITY.md.
#include "net/data_folder.hpp"
#include "net/options.hpp"
#include "net/wire.hpp"
#include "agent/node_agent.hpp"
#include <iostream>
#include <malloc.h>
#include <numeric>

using namespace aniseline;

namespace {

// This thread's processor time in microseconds.
double spent() {
  timespec now{};
  clock_gettime(CLOCK_THREAD_CPUTIME_ID, &now);
  return double(now.tv_sec) * 1e6 + double(now.tv_nsec) / 1e3;
}
double heapBytes() {
  const auto info = mallinfo2();
  return double(info.uordblks) + double(info.hblkhd);
}

using Values = std::map<std::string, double>;

// Adds the processor time of a scope to one of the values.
class Meter {
 public:
  Meter(Values& values, const char* name) : target(values[name]), begun(spent()) {}
  ~Meter() { target += spent() - begun; }

 private:
  double& target;
  double begun;
};

template <class Work>
double timed(Work work) {
  const double begun = spent();
  work();
  return spent() - begun;
}

struct Sizes {
  std::size_t workers = 60, kept = 0, waiting = 0, running = 0, queues = 10, gateways = 7, gang = 0;
  double starts = 100;  // task starts a second
  picojson::object shown() const {
    return {{"workers", json(workers)},       {"jobs_kept", json(kept)},
            {"tasks_waiting", json(waiting)}, {"tasks_running", json(running)},
            {"queues", json(queues)},         {"gateways", json(gateways)},
            {"starts_per_s", json(starts)},   {"gang", json(gang)}};
  }
};

// Steps have 14 to 46 tasks, jobs one step or two; most tasks are short, some take 6 s.
constexpr std::uint32_t taskCores = 1500;
constexpr std::int64_t planPeriod = 20;
std::int64_t drawRuntime(Random& random) {
  const auto kind = random.between(0, 99);
  return kind < 60 ? random.between(200, 300) : kind < 85 ? random.between(700, 1100) : 6000;
}
constexpr double meanRuntime = 0.6 * 250 + 0.25 * 900 + 0.15 * 6000;
constexpr double tasksPerJob = 30 * 1.5;
std::size_t slotsOf(const Sizes& sizes) {
  return std::size_t(1.6 * sizes.starts * meanRuntime / 1000.0 / double(sizes.workers)) + 4;
}

JobSubmission drawJob(Random& random, const std::string& id, const QueueName& queue) {
  JobSubmission job;
  job.id = JobId{id};
  job.queue = queue;
  job.payload = R"({"work":"separation","plate":"cyan"})";
  const bool gang = random.chance(0.1);
  const auto steps = random.between(1, 2);
  for (std::int64_t step = 0; step < steps; ++step) {
    StepRequest request;
    request.name = "step" + std::to_string(step);
    if (step > 0)
      request.dependencies = {"step" + std::to_string(step - 1)};
    request.gang = gang;
    request.tasks.assign(std::size_t(random.between(14, 46)),
                         TaskRequest{taskCores, 64, Duration{drawRuntime(random)}, ""});
    job.steps.push_back(std::move(request));
  }
  return job;
}

QueueName queueNamed(std::size_t place) {
  return QueueName{"team-" + std::to_string(place)};
}
std::string configText(std::size_t queues, std::int64_t change = 0) {
  picojson::object listed;
  picojson::array entrances;
  for (std::size_t place = 0; place <= queues; ++place) {
    // The last one is less urgent than all others: its work only waits.
    const std::string name = place < queues ? queueNamed(place).value : "patient";
    listed[name] = json(picojson::object{
        {"urgency", json(place < queues ? std::int64_t(1 + place % 3) : std::int64_t(0))},
        {"tries", json(4)},
        {"open_limit", json(100'000)},
        {"reserved", json(place < queues ? 1 : 0)},
        {"pool", json("press")},
        {"extend", json(2.5)},
        {"target_ms", json(1000 + change)}});
    entrances.push_back(json(picojson::object{{"host", json("jobs.example")},
                                              {"prefix", json("/" + name + "/")},
                                              {"queue", json(name)}}));
  }
  return json(picojson::object{
                  {"queues", json(listed)},
                  {"entrances", json(entrances)},
                  {"pools", json(picojson::object{
                                {"press", json(picojson::object{{"guards_room", json(true)}})}})},
                  {"planner", json(picojson::object{{"period_ms", json(planPeriod)},
                                                    {"urgency_first", json(true)},
                                                    {"open_limit", json(100'000)}})}})
      .serialize();
}

WorkerId workerNamed(std::size_t place) {
  return WorkerId{"worker-" + std::to_string(place) + "-0123456789ab"};
}
Capacity capacityOf(const Sizes& sizes, std::size_t place) {
  Capacity capacity;
  const std::size_t held = sizes.running / sizes.workers + 2;
  capacity.cores = std::uint32_t((slotsOf(sizes) + held) * taskCores + 16'000);
  capacity.memory = 64 * (slotsOf(sizes) + held) + 32 * 1024;
  capacity.zone = ZoneName{"zone" + std::to_string(place % 3)};
  capacity.rack = "rack" + std::to_string(place / 3);
  capacity.honoursLeases = capacity.enforcesCapacity = capacity.killsOnLeaseExpiry =
      capacity.selfAssemblingGangs = true;
  capacity.supportsSuspend = false;
  capacity.pool = "press";
  capacity.host = "10.1." + std::to_string(place / 250) + "." + std::to_string(place % 250);
  return capacity;
}

// A cluster state by events alone: workers, kept jobs, tasks that run for long, tasks that find no
// room.
ClusterState presetClusterState(const Sizes& sizes, Random random) {
  ClusterState clusterState;
  ClusterTime now{1000};
  auto apply = [&](Event event) {
    clusterState.apply(LogRecord{now, std::move(event)});
  };
  auto config = ClusterConfig::parse(configText(sizes.queues));
  if (!config) {
    std::cerr << "core_benchmark: " << config.error().text() << "\n";
    std::exit(1);
  }
  config.value().version = ConfigVersion{1};
  apply(ConfigCommitted{config.value()});
  for (std::size_t place = 0; place < sizes.workers; ++place)
    apply(WorkerRegistered{workerNamed(place), Incarnation{1}, capacityOf(sizes, place)});
  JobsExpired shortened;
  for (std::size_t place = 0; place < sizes.kept; ++place) {
    auto job = drawJob(random, "kept-0123456789-" + std::to_string(place),
                       queueNamed(place % sizes.queues));
    apply(JobAccepted{job});
    apply(JobCancelled{job.id});
    shortened.compacted.push_back(job.id);
    if (shortened.compacted.size() >= 1000)
      apply(std::exchange(shortened, {}));
  }
  apply(shortened);
  PlanMade plan;
  plan.number = PlanNumber{1};
  AttemptNumber attempt;
  auto run = [&](std::size_t count, const char* name, std::uint32_t cores) {
    for (std::size_t begun = 0; begun < count;) {
      JobSubmission job;
      job.id = JobId{name + std::to_string(begun)};
      job.queue = queueNamed(begun % sizes.queues);
      job.steps = {{"long", {}, false, {}}};
      for (std::size_t task = 0; task < 30 && begun + task < count; ++task) {
        job.steps[0].tasks.push_back(
            TaskRequest{cores, 64, Duration{random.between(600'000, 7'200'000)}, ""});
        Action action;
        action.attempt = attempt = attempt.next();
        action.job = job.id;
        action.taskIndex = std::uint32_t(task);
        action.worker = workerNamed((begun + task) % sizes.workers);
        action.memory = 64;
        plan.actions.push_back(std::move(action));
      }
      begun += job.steps[0].tasks.size();
      apply(JobAccepted{std::move(job)});
    }
  };
  run(sizes.running, "running-", taskCores);
  run(sizes.workers, "filling-", taskCores + 16'000);  // leaves the room of the short tasks
  apply(plan);
  for (std::size_t place = 0; place < sizes.workers; ++place)
    apply(WorkerSynced{
        workerNamed(place), clusterState.workers().at(workerNamed(place)).lastIssuedOrder, {}});
  const std::uint32_t room = std::uint32_t(slotsOf(sizes)) * taskCores;
  for (std::size_t begun = 0; begun < sizes.waiting;) {
    JobSubmission job;
    job.id = JobId{"waiting-" + std::to_string(begun)};
    job.queue = QueueName{"patient"};
    job.steps = {{"wide", {}, false, {}}};
    const TaskRequest request{room + std::uint32_t(random.between(2000, 16'000)), 64,
                              Duration{random.between(200, 600'000)}, ""};
    for (std::size_t task = 0; task < 30 && begun + task < sizes.waiting; ++task)
      job.steps[0].tasks.push_back(request);
    begun += job.steps[0].tasks.size();
    apply(JobAccepted{std::move(job)});
  }
  return clusterState;
}

LastContactAges heardNow(const Sizes& sizes) {
  LastContactAges heard;
  for (std::size_t place = 0; place < sizes.workers; ++place)
    heard[workerNamed(place)] = Duration{0};
  return heard;
}

// A worker with its agent, as the leader sees them: what it is told, when it ends, what it has yet
// to tell.
struct HollowWorker {
  std::size_t place = 0;
  Incarnation incarnation{1};
  Capacity capacity;
  OrderNumber received, applied, toldApplied;
  std::map<TaskRunId, std::int64_t> ends;  // below 0: as failed
  std::vector<TaskRunResult> endings;      // not yet closed
  std::size_t toldEndings = 0;
  bool patientBusy = false, urgentBusy = false;
  std::int64_t appliedAt = 0;

  SyncReport report(bool patient, std::int64_t now) {
    SyncReport report;
    report.id = workerNamed(place);
    report.incarnation = incarnation;
    report.capacity = capacity;
    report.wantsPackedResponse = true;
    report.lastReceivedOrder = received;
    report.lastAppliedOrder = toldApplied = applied;
    appliedAt = now;
    report.longPollTimeout = Duration{patient ? 1000 : 0};
    report.runResults = endings;
    toldEndings = endings.size();
    return report;
  }
  bool urgent(std::int64_t now) const {
    return toldEndings < endings.size() || (applied != toldApplied && now - appliedAt > 400);
  }
  void hear(const SyncReport& asked, const SyncResponse& answer,
            const std::map<JobId, const JobSubmission*>& jobs, Random& random, std::int64_t now) {
    for (std::size_t closed = 0; closed < answer.finalResultCount; ++closed) {
      auto found = std::find_if(endings.begin(), endings.end(), [&](const auto& ending) {
        return ending.runId == asked.runResults[closed].runId;
      });
      if (found == endings.end())
        continue;
      if (std::size_t(found - endings.begin()) < toldEndings)
        --toldEndings;
      endings.erase(found);
    }
    for (const auto& order : answer.orders) {
      if (order.number <= received)
        continue;
      received = applied = order.number;
      const TaskRunId name = TaskRunId::of(order);
      if (order.kind == OrderKind::start) {
        // Of a gang one part in all decides whether it fails, so that gangs fail as often as tasks.
        const auto job = jobs.find(order.job);
        const bool gang = job != jobs.end() && job->second->steps[order.stepIndex].gang;
        const bool fails = (!gang || order.indexInStep == 0) && random.chance(0.05);
        // Tasks take about what was requested, each its own time; the parts of a gang end together.
        const std::int64_t takes = gang
                                       ? order.runtime.milliseconds
                                       : order.runtime.milliseconds * random.between(80, 120) / 100;
        ends[name] = (now + takes) * (fails ? -1 : 1);
      } else if (ends.erase(name))
        endings.push_back({name, AttemptOutcome::stopped});
    }
  }
  void run(std::int64_t now) {
    for (auto place = ends.begin(); place != ends.end();) {
      if (std::abs(place->second) > now) {
        ++place;
        continue;
      }
      endings.push_back(
          {place->first, place->second < 0 ? AttemptOutcome::failed : AttemptOutcome::succeeded});
      place = ends.erase(place);
    }
  }
};

// Three controllers joined in memory, hollow workers and callers. A tick carries messages, syncs
// disks and takes one step.
class Cluster {
 public:
  Cluster(const Sizes& sizes, std::uint64_t seed, std::int64_t tick)
      : sizes(sizes), random(seed), tick(tick), preset(presetClusterState(sizes, Random(seed))) {
    Membership members;
    for (const char* name : {"r0", "r1", "r2"})
      members.push_back({ControllerId{name}, Address{std::string(name) + ":1"},
                         ZoneName{std::string("zone") + name[1]}, true});
    WriteAheadRecord record;
    record.version = DiskVersion{1};
    record.holdsSnapshot = true;
    record.term = Term{1};
    record.snapshot = Snapshot{LogIndex{1}, Term{1}, members, pack(preset)};
    record.firstIndex = LogIndex{2};
    ControllerOptions options;
    options.maxPendingRequests = 20'000;
    for (std::size_t place = 0; place < 3; ++place) {
      nodes.emplace_back();
      nodes.back().core =
          std::make_unique<Controller>(members[place], options, seed * 3 + place,
                                       std::vector<WriteAheadRecord>{record}, MonotonicTime{0});
      for (std::size_t gateway = 0; gateway < sizes.gateways; ++gateway)
        nodes.back().core->recordGateway({Address{"10.0.0." + std::to_string(gateway) + ":8080"},
                                          ZoneName{"zone" + std::to_string(gateway % 3)}},
                                         MonotonicTime{0});
    }
    nextCommitted = LogIndex{2};
    for (std::size_t place = 0; place < sizes.workers; ++place) {
      HollowWorker worker;
      worker.place = place;
      worker.capacity = capacityOf(sizes, place);
      worker.received = worker.applied = worker.toldApplied =
          preset.workers().at(workerNamed(place)).lastIssuedOrder;
      workers.push_back(std::move(worker));
    }
  }

  Values measure(std::int64_t warm, std::int64_t length) {
    while (now < 5000 && !leader())
      turn(false);
    const auto begin = now;
    while (now < begin + warm)
      turn(true);
    leaderCosts.clear();
    followerCosts.clear();
    workerCosts.clear();
    counts.clear();
    plans.clear();
    records.clear();
    newsAt.clear();
    if (!leader())
      return {};
    const ClusterState before = leader()->committed();
    const auto term = leader()->raftNode().term();
    const auto from = now;
    while (now < from + length)
      turn(true);
    if (!leader() || leader()->raftNode().term() != term)
      return {};
    return summary(before, double(now - from) / 1000.0);
  }

 private:
  struct Node {
    std::unique_ptr<Controller> core;
    std::optional<DiskVersion> writing;
    std::vector<std::string> inbox;
    std::vector<std::pair<RequestNumber, std::string>> requests;  // encoded, as they come in
  };
  struct Asker {
    std::size_t worker = 0;
    bool sync = false, patient = false;
    SyncReport report;
  };
  Controller* leader() {
    for (auto& node : nodes)
      if (node.core->raftNode().canServe())
        return node.core.get();
    return nullptr;
  }
  static std::string bodyOf(const std::string& bytes) { return bytes.substr(16); }

  void ask(ApiRequest request, Asker asker) {
    const RequestNumber number{++lastRequest};
    ++counts[asker.sync                               ? "syncs"
             : request.kind == RequestKind::submitJob ? "submissions"
                                                      : "looks"];
    std::string bytes;
    {
      Meter meter(workerCosts, "pack_exchange");
      bytes = encode(WireMessage{number.value, std::move(request)});
    }
    counts["exchange_bytes"] += double(bytes.size());
    askers.emplace(number, std::move(asker));
    for (auto& node : nodes)
      if (node.core->raftNode().canServe())
        return void(node.requests.emplace_back(number, std::move(bytes)));
  }
  void sync(HollowWorker& worker, bool patient) {
    (patient ? worker.patientBusy : worker.urgentBusy) = true;
    ApiRequest request;
    request.kind = RequestKind::syncWorker;
    request.targetId = workerNamed(worker.place).value;
    request.report = worker.report(patient, now);
    Asker asker{worker.place, true, patient, request.report};
    ask(std::move(request), std::move(asker));
  }
  void submit() {
    const auto queue = queueNamed(std::size_t(random.between(0, std::int64_t(sizes.queues) - 1)));
    const std::string id = "job-0123456789-" + std::to_string(++lastJob);
    ApiRequest request;
    request.kind = RequestKind::submitJob;
    request.host = "jobs.example";
    request.path = "/" + queue.value + "/" + id;
    request.job = drawJob(random, id, queue);
    jobs.push_back(request.job);
    jobById[JobId{id}] = &jobs.back();
    ask(request, {});
    request.kind = RequestKind::showPhase;
    request.job = {};
    for (std::int64_t look = 1; look <= 4; ++look)
      looks.emplace(now + look * 700, request);
  }
  void load() {
    owed += sizes.starts * double(tick) / 1000.0 / tasksPerJob;
    for (; owed >= 1; owed -= 1)
      submit();
    while (!looks.empty() && looks.begin()->first <= now) {
      ask(std::move(looks.begin()->second), {});
      looks.erase(looks.begin());
    }
    for (auto& worker : workers) {
      worker.run(now);
      if (!worker.patientBusy && (now / tick + std::int64_t(worker.place)) % 7 == 0)
        sync(worker, true);
      if (worker.urgent(now) && !worker.urgentBusy)
        sync(worker, false);
    }
  }
  void turn(bool loaded) {
    now += tick;
    if (loaded && leader())
      load();
    for (auto& node : nodes)
      drive(node);
    follow();
  }
  void drive(Node& node) {
    Controller& core = *node.core;
    auto& costs = core.raftNode().isLeader() ? leaderCosts : followerCosts;
    if (node.writing) {
      Meter meter(costs, "synced");
      core.onRecordSynced(*node.writing, MonotonicTime{now});
      node.writing.reset();
    }
    for (auto& bytes : std::exchange(node.inbox, {})) {
      std::optional<WireMessage> message;
      {
        Meter meter(costs, "unpack_messages");
        const auto body = bodyOf(bytes);
        counts["crc"] += checksum(body) & 1;
        message = unpack<WireMessage>(body).value();
      }
      Meter meter(costs, "receive");
      core.receive(boost::get<PeerMessage>(message->body), MonotonicTime{now});
    }
    for (auto& [number, bytes] : std::exchange(node.requests, {})) {
      std::optional<WireMessage> message;
      {
        Meter meter(costs, "unpack_requests");
        const auto body = bodyOf(bytes);
        counts["crc"] += checksum(body) & 1;
        message = unpack<WireMessage>(body).value();
      }
      Meter meter(costs, "take");
      core.submitRequest(number, std::move(boost::get<ApiRequest>(message->body)),
                         MonotonicTime{now});
    }
    if (core.raftNode().canServe() && sizes.starts > 0 && ++planTurn % 8 == 0) {
      const auto heard = heardNow(sizes);
      plans.push_back(
          timed([&] { shadow.makePlan(core.committed(), core.committed().now(), heard); }));
    }
    {
      Meter meter(costs, "step");
      core.step(MonotonicTime{now}, WallTime{now});
    }
    if (auto record = core.takeWrite()) {
      Meter meter(costs, "disk");
      const auto bytes = DataFolder::frame(pack(*record));
      counts[core.raftNode().isLeader() ? "leader_disk_bytes" : "follower_disk_bytes"] +=
          double(bytes.size());
      node.writing = record->version;
    }
    if (auto work = core.takeSnapshotWork(); work.packThrough && core.raftNode().isLeader())
      ++counts["views"];
    for (auto& message : core.takeMessages()) {
      const auto to = std::size_t(message.to.value[1] - '0');
      std::string bytes;
      {
        Meter meter(costs, "pack_messages");
        bytes = encode(WireMessage{0, std::move(message)});
      }
      counts[core.raftNode().isLeader() ? "leader_peer_bytes" : "follower_peer_bytes"] +=
          double(bytes.size());
      later.emplace_back(to, std::move(bytes));
    }
    for (auto& [number, answer] : core.takeResponses()) {
      std::string bytes;
      {
        Meter meter(costs, "pack_answers");
        bytes = encode(WireMessage{number.value, std::move(answer)});
      }
      counts["answer_bytes"] += double(bytes.size());
      answers.emplace_back(number, std::move(bytes));
    }
  }
  void follow() {
    for (auto& [to, bytes] : std::exchange(later, {}))
      nodes[to].inbox.push_back(std::move(bytes));
    for (auto& [number, bytes] : std::exchange(answers, {})) {
      auto found = askers.find(number);
      if (found == askers.end())
        continue;
      const Asker asker = std::move(found->second);
      askers.erase(found);
      auto message = unpack<WireMessage>(bodyOf(bytes)).value();
      const auto& answer = boost::get<ApiResponse>(message.body);
      if (!asker.sync) {
        if (answer.status >= 300)
          ++counts["status_" + std::to_string(answer.status)];
        continue;
      }
      HollowWorker& worker = workers[asker.worker];
      (asker.patient ? worker.patientBusy : worker.urgentBusy) = false;
      if (answer.status != 200) {
        ++counts["sync_status_" + std::to_string(answer.status)];
        continue;
      }
      if (auto told = unpack<SyncResponse>(answer.body)) {
        worker.hear(asker.report, told.value(), jobById, random, now);
        if (asker.patient)
          sync(worker, true);
      }
    }
    if (auto* core = leader())
      for (; nextCommitted <= core->raftNode().commitIndex(); nextCommitted = nextCommitted.next())
        if (nextCommitted > core->raftNode().logBaseIndex() &&
            !core->raftNode().entry(nextCommitted).isMembership) {
          records.push_back(core->raftNode().entry(nextCommitted).payload);
          newsAt.insert(now / planPeriod);
        }
  }

  // What a record costs is measured apart, by folding the run's own records once more.
  Values summary(const ClusterState& before, double seconds) {
    Values values;
    const ClusterState& after = leader()->committed();
    const double tasks = double(after.counters().starts - before.counters().starts),
                 jobsDone = double(after.counters().succeeded + after.counters().failed -
                                   before.counters().succeeded - before.counters().failed);
    const double perTask = tasks > 0 ? 1.0 / tasks : 0;
    ClusterState replayed = before;
    double unpacking = 0, packing = 0, bytes = 0;
    Values folds;
    Values kinds;
    static const char* const names[] = {
        "opened", "config",     "allowed", "cancelled", "fired", "forgotten", "seen",  "synced",
        "leaves", "leave_over", "back",    "silent",    "gone",  "plan",      "named", "failed"};
    for (const auto& payload : records) {
      std::optional<LogRecord> record;
      unpacking += timed([&] { record = unpack<LogRecord>(payload).value(); });
      packing += timed([&] { bytes += double(pack(*record).size()); });
      const char* kind = names[record->event.which()];
      folds[kind] += timed([&] { replayed.apply(*record); });
      ++kinds[kind];
    }
    const double fold =
        std::accumulate(folds.begin(), folds.end(), 0.0,
                        [](double sum, const auto& entry) { return sum + entry.second; });
    // A plan is made in each period in which there was anything new; what one costs was timed at
    // every eighth step.
    const double plansMade = double(newsAt.size());
    const double planMean =
        plans.empty() ? 0 : std::accumulate(plans.begin(), plans.end(), 0.0) / double(plans.size());
    const double planning = plansMade * planMean;
    double all = 0;
    for (const auto& [name, cost] : leaderCosts)
      all += cost;
    double followers = 0;
    for (const auto& [name, cost] : followerCosts)
      followers += cost / 2;
    const double other = leaderCosts["step"] - planning - 2 * fold - packing;
    auto share = [&](const std::string& name, double cost) {
      if (tasks > 0)
        values[name + "_us_per_task"] = cost * perTask;
      values[name + "_percent"] = cost / seconds / 1e4;
    };
    share("leader", all);
    share("follower", followers);
    share("leader.plan", planning);
    share("leader.fold_working", fold);
    share("leader.fold_committed", fold);
    share("follower.read_records", unpacking);
    share("leader.pack_records", packing);
    share("leader.passes", other);
    for (const auto& [name, cost] : leaderCosts)
      if (name != "step")
        share("leader." + name, cost);
    for (const auto& [name, cost] : followerCosts)
      share("follower." + name, cost / 2);
    share("asker.pack_exchange", workerCosts["pack_exchange"]);
    for (const auto& [kind, cost] : folds) {
      if (kinds[kind] >= 10)
        values["fold." + kind + "_us"] = cost / kinds[kind];
      values["records." + kind + "_per_s"] = kinds[kind] / seconds;
    }
    values["plan_us"] = planMean;
    values["plans_per_s"] = plansMade / seconds;
    values["tasks_per_s"] = tasks / seconds;
    values["jobs_per_s"] = jobsDone / seconds;
    if (jobsDone > 0)
      values["leader_us_per_job"] = all / jobsDone;
    values["record_bytes_per_s"] = bytes / seconds;
    counts.erase("crc");
    for (const auto& [name, count] : counts)
      values[name + "_per_s"] = count / seconds;
    values["step_us"] = leaderCosts["step"] / (seconds * 1000.0 / double(tick));
    return values;
  }

  Sizes sizes;
  Random random;
  std::int64_t tick, now = 0;
  ClusterState preset;
  std::vector<Node> nodes;
  std::vector<HollowWorker> workers;
  std::deque<JobSubmission> jobs;
  std::map<JobId, const JobSubmission*> jobById;
  std::multimap<std::int64_t, ApiRequest> looks;
  std::map<RequestNumber, Asker> askers;
  std::vector<std::pair<std::size_t, std::string>> later;
  std::vector<std::pair<RequestNumber, std::string>> answers;
  std::vector<std::string> records;
  LogIndex nextCommitted;
  std::set<std::int64_t> newsAt;  // periods in which records were committed
  Planner shadow;
  std::vector<double> plans;
  std::size_t planTurn = 0;
  Values leaderCosts, followerCosts, workerCosts, counts;
  std::uint64_t lastRequest = 0, lastJob = 0;
  double owed = 0;
};

Values measurePlan(const Sizes& sizes, std::uint64_t seed) {
  const ClusterState clusterState = presetClusterState(sizes, Random(seed));
  const auto heard = heardNow(sizes);
  Planner planner;
  Values values;
  planner.makePlan(ClusterState{}, ClusterTime{0}, heard);
  planner.makePlan(presetClusterState(Sizes{}, Random(1)), ClusterTime{0}, heard);
  values["plan_us"] = timed([&] { planner.makePlan(clusterState, ClusterTime{5000}, heard); });
  values["next_due_us"] = timed([&] { Planner::nextPlanTime(clusterState, ClusterTime{5000}); });
  return values;
}

// One gang, and room for it: the plan that starts it.
Values measureGang(const Sizes& sizes, std::uint64_t seed) {
  ClusterState clusterState = presetClusterState(sizes, Random(seed));
  JobSubmission job;
  job.id = JobId{"gang"};
  job.queue = queueNamed(0);
  job.steps = {
      {"together",
       {},
       true,
       std::vector<TaskRequest>(sizes.gang, TaskRequest{taskCores, 64, Duration{6000}, ""})}};
  const auto heard = heardNow(sizes);
  Planner planner;
  Values values;
  planner.makePlan(clusterState, ClusterTime{5000}, heard);
  values["plan_without_us"] =
      timed([&] { planner.makePlan(clusterState, ClusterTime{5000}, heard); });
  clusterState.apply(LogRecord{ClusterTime{5000}, JobAccepted{job}});
  Plan plan;
  values["plan_us"] =
      timed([&] { plan = planner.makePlan(clusterState, ClusterTime{5000}, heard); });
  values["parts_started"] = double(plan.record.actions.size());
  values["fold_us"] = timed([&] { clusterState.apply(LogRecord{ClusterTime{5000}, plan.record}); });
  return values;
}

Values measureState(const Sizes& sizes, std::uint64_t seed) {
  Values values;
  const double empty = heapBytes();
  const ClusterState clusterState = presetClusterState(sizes, Random(seed));
  const double once = heapBytes();
  std::optional<ClusterState> copy;
  values["copy_ms"] = timed([&] { copy = clusterState; }) / 1000;
  values["cluster_state_bytes"] = heapBytes() - once;
  values["heap_bytes_after_folding"] = once - empty;
  copy.reset();
  std::string packed;
  values["view_pack_ms"] = timed([&] { packed = pack(clusterState); }) / 1000;
  values["view_bytes"] = double(packed.size());
  values["view_read_ms"] = timed([&] { copy = unpack<ClusterState>(packed).value(); }) / 1000;
  copy.reset();
  {
    WriteAheadRecord record;
    record.version = DiskVersion{1};
    record.holdsSnapshot = true;
    record.term = Term{1};
    const Member self{ControllerId{"r0"}, Address{"r0:1"}, ZoneName{"zone0"}, true};
    record.snapshot = Snapshot{LogIndex{1}, Term{1}, {self}, packed};
    record.firstIndex = LogIndex{2};
    const double before = heapBytes();
    Controller core(self, {}, seed, {record}, MonotonicTime{0});
    core.takeSnapshotWork();
    values["follower_heap_bytes"] =
        heapBytes() -
        before;  // one cluster state and the view it came from; a leader has one cluster state more
  }
  {
    ClusterState changed = clusterState;
    const LogRecord seen{changed.now(), WorkerRegistered{WorkerId{"another"}, Incarnation{1},
                                                         capacityOf(sizes, sizes.workers)}};
    values["fold_seen_us"] = timed([&] { changed.apply(seen); });
  }
  // An ending that is closed already is looked for among all attempts; so is a job that settles.
  const TaskRunId closed{JobId{"running-0"}, 0, 0, 0, 99};
  values["closed_ending_us"] = timed([&] {
                                 for (int round = 0; round < 20; ++round)
                                   clusterState.findAttempt(workerNamed(0), closed);
                               }) /
                               20;
  values["attempts_of_job_us"] =
      timed([&] {
        for (int round = 0; round < 20; ++round)
          clusterState.attemptsOf(JobId{"running-0"}, AttemptScope::withoutAbandoned);
      }) /
      20;
  return values;
}

Values measureConfig(const Sizes& sizes, std::uint64_t) {
  Values values;
  const std::string text = configText(sizes.queues, 1);
  values["text_bytes"] = double(text.size());
  ClusterConfig config;
  values["parse_us"] = timed([&] { config = ClusterConfig::parse(text).value(); });
  config.version = ConfigVersion{2};
  std::string packed;
  values["pack_us"] = timed([&] {
    packed = pack(LogRecord{ClusterTime{0}, ConfigCommitted{config}});
  });
  values["record_bytes"] = double(packed.size());
  values["read_us"] = timed([&] { unpack<LogRecord>(packed).value(); });
  ClusterState clusterState =
      presetClusterState(Sizes{11, 0, 0, 0, sizes.queues, 7, 0, 10}, Random(1));
  Planner planner;
  const auto heard = heardNow(Sizes{11});
  planner.makePlan(clusterState, ClusterTime{2000}, heard);
  values["fold_us"] = timed([&] {
    clusterState.apply(LogRecord{ClusterTime{2000}, ConfigCommitted{config}});
  });
  values["compile_us"] = timed([&] { planner.makePlan(clusterState, ClusterTime{2000}, heard); });
  values["entrance_us"] = timed([&] {
                            for (int round = 0; round < 100; ++round)
                              config.findIngressRoute("jobs.example", "/team-3/job-1");
                          }) /
                          100;
  return values;
}

Values measureRoute(const Sizes& sizes, std::uint64_t seed) {
  Values values;
  WriteAheadRecord record;
  record.version = DiskVersion{1};
  record.holdsSnapshot = true;
  record.term = Term{1};
  const Member self{ControllerId{"r0"}, Address{"r0:1"}, ZoneName{"zone0"}, true};
  record.snapshot =
      Snapshot{LogIndex{1},
               Term{1},
               {self},
               pack(presetClusterState(Sizes{11, 0, 0, 0, sizes.queues, 0, 0, 10}, Random(seed)))};
  record.firstIndex = LogIndex{2};
  Controller core(self, {}, seed, {record}, MonotonicTime{0});
  for (std::size_t gateway = 0; gateway < sizes.gateways; ++gateway)
    core.recordGateway({Address{"10.0." + std::to_string(gateway / 250) + "." +
                                std::to_string(gateway % 250) + ":8080"},
                        ZoneName{"zone" + std::to_string(gateway % 3)}},
                       MonotonicTime{0});
  std::string bytes;
  constexpr int rounds = 200;
  values["tell_us"] = timed([&] {
                        for (int round = 0; round < rounds; ++round) {
                          RouteReply told;
                          told.view = core.route(MonotonicTime{100});
                          bytes = encode(WireMessage{1, told});
                        }
                      }) /
                      rounds;
  values["tell_bytes"] = double(bytes.size());
  LeaderRoute view;
  values["take_us"] = timed([&] {
                        for (int round = 0; round < rounds; ++round) {
                          auto message = unpack<WireMessage>(bytes.substr(16)).value();
                          view.mergeNewer(std::move(boost::get<RouteReply>(message.body).view));
                        }
                      }) /
                      rounds;
  return values;
}

// What a gateway does with a request besides HTTP: reads the caller's JSON, packs it, unpacks the
// answer.
Values measureGateway(const Sizes&, std::uint64_t seed) {
  Values values;
  Random random(seed);
  constexpr int rounds = 300;
  std::vector<std::string> bodies, packed;
  for (int round = 0; round < rounds; ++round)
    bodies.push_back(
        renderJobSubmission(drawJob(random, "job-" + std::to_string(round), queueNamed(0))));
  std::vector<ApiRequest> requests;
  values["parse_submission_us"] =
      timed([&] {
        for (const auto& body : bodies)
          requests.push_back(ApiRequest::parse("POST", "/v1/jobs", body).value());
      }) /
      rounds;
  values["pack_submission_us"] = timed([&] {
                                   for (const auto& request : requests)
                                     packed.push_back(encode(WireMessage{1, request}));
                                 }) /
                                 rounds;
  values["submission_bytes"] =
      std::accumulate(packed.begin(), packed.end(), 0.0,
                      [](double sum, const auto& bytes) { return sum + double(bytes.size()); }) /
      rounds;
  ApiRequest look;
  look.kind = RequestKind::showPhase;
  look.host = "jobs.example";
  look.path = "/team-0/job-0123456789-1";
  std::string bytes;
  values["pack_look_us"] = timed([&] {
                             for (int round = 0; round < rounds; ++round)
                               bytes = encode(WireMessage{1, look});
                           }) /
                           rounds;
  values["look_bytes"] = double(bytes.size());
  const std::string answer = encode(WireMessage{
      1, ApiResponse::of(202, {{"id", json("job-0123456789-1")}, {"accepted", json(true)}})});
  values["unpack_answer_us"] = timed([&] {
                                 for (int round = 0; round < rounds; ++round)
                                   unpack<WireMessage>(answer.substr(16)).value();
                               }) /
                               rounds;
  values["answer_bytes"] = double(answer.size());
  return values;
}

// One agent, its worker hollow, its leader a script that orders the next task when one is closed.
class AgentBench {
 public:
  AgentBench(const Sizes& sizes, std::uint64_t seed) : sizes(sizes), random(seed) {
    WorkerRegistration account;
    account.workerInstance = workerNamed(0);
    account.capacity = capacityOf(Sizes{}, 0);
    account.clockReading = WorkerTime{now};
    core->onRegistration(account, MonotonicTime{now});
  }
  Values measure() {
    run(warmLength - tick);
    costs = {};
    measuring = true;
    turn();  // the last turn of the warm-up counts already
    const std::int64_t begin = now;
    run(measuredLength);
    return summary(double(now - begin) / 1000);
  }

 private:
  // Virtual milliseconds.
  static constexpr std::int64_t tick = 5, warmLength = 4000, measuredLength = 20'000;
  static constexpr std::int64_t patientWait = 1000, heapEvery = 500, longRuntime = 3'600'000;
  struct Task {
    TaskRunId name;
    std::int64_t ends;
  };
  struct Look {
    WorkerCall call;
    std::int64_t until;  // when the hollow worker answers though nothing ended
  };
  struct Costs {
    double coreMicros = 0, packMicros = 0, tasksDone = 0, calls = 0, syncs = 0, sentBytes = 0,
           tookBytes = 0;
  };

  void run(std::int64_t length) {
    for (const std::int64_t end = now + length; now < end;)
      turn();
  }
  void turn() {
    now += tick;
    endTasks();
    if (look && (now >= look->until || hasNews()))
      answerLook();
    takeCalls();
    syncWhenDue();
    if (measuring && now % heapEvery == 0)
      peakHeap = std::max(peakHeap, heapBytes() - empty);
  }
  std::int64_t drawTask() { return sizes.starts > 0 ? drawRuntime(random) : longRuntime; }
  bool hasNews() const {
    return !ended.empty() && ended.back().sequenceNumber > look->call.confirmedUpTo;
  }
  void endTasks() {
    std::erase_if(tasks, [&](const Task& task) {
      if (task.ends > now)
        return false;
      ended.push_back({++endings, task.name,
                       random.chance(0.05) ? AttemptOutcome::failed : AttemptOutcome::succeeded,
                       ""});
      return true;
    });
  }
  WorkerReply done() const {
    WorkerReply reply;
    reply.status = WorkerReply::Status::ok;
    reply.clockReading = WorkerTime{now};
    return reply;
  }
  void reply(const WorkerCall& call, const WorkerReply& reply) {
    costs.coreMicros += timed([&] { core->onWorkerReply(call, reply, MonotonicTime{now}); });
  }
  void answerLook() {
    WorkerReply answer = done();
    std::erase_if(ended, [&](const auto& ending) {
      return ending.sequenceNumber <= look->call.confirmedUpTo;
    });
    answer.runningTasks.reserve(tasks.size());
    for (const auto& task : tasks)
      answer.runningTasks.push_back({task.name, ""});
    answer.results = ended;
    reply(look->call, answer);
    look.reset();
  }
  void takeCalls() {
    std::vector<WorkerCall> made;
    costs.coreMicros += timed([&] {
      made = core->takeCalls(MonotonicTime{now});
      core->nextWakeUp(MonotonicTime{now});
    });
    for (auto& call : made)
      answerCall(call);
  }
  void answerCall(const WorkerCall& call) {
    ++costs.calls;
    if (call.kind == WorkerCall::Kind::poll) {
      look = Look{call, now + call.longPollTimeout.milliseconds};
      if (call.longPollTimeout.milliseconds == 0)
        answerLook();
      return;
    }
    if (call.kind == WorkerCall::Kind::start)
      tasks.push_back({call.runId, now + drawTask()});
    reply(call, done());
  }
  void syncWhenDue() {
    bool urgent = false;
    costs.coreMicros += timed([&] { urgent = core->hasUrgentReport(MonotonicTime{now}); });
    if (urgent)
      sync(false);
    else if (MonotonicTime{now} >= patientUntil) {
      sync(true);
      patientUntil = MonotonicTime{now + patientWait};
    }
  }
  void sync(bool patient) {
    SyncReport report;
    costs.coreMicros += timed([&] { report = core->makeSyncReport(MonotonicTime{now}); });
    send(report, patient);
    SyncResponse answer = lead(report);
    take(answer);
    costs.coreMicros += timed(
        [&] { core->onSyncResponse(report, answer, MonotonicTime{now - 2}, MonotonicTime{now}); });
  }
  void send(const SyncReport& report, bool patient) {
    ApiRequest request;
    request.kind = RequestKind::syncWorker;
    request.targetId = report.id.value;
    request.report = report;
    request.report.longPollTimeout = Duration{patient ? patientWait : 0};
    std::string bytes;
    costs.packMicros += timed([&] { bytes = encode(WireMessage{1, request}); });
    costs.sentBytes += double(bytes.size());
    ++costs.syncs;
  }
  // What the leader answers: all endings are closed, and as many tasks ordered.
  SyncResponse lead(const SyncReport& report) {
    SyncResponse answer;
    answer.term = Term{2};
    answer.lease = Duration{3000};
    answer.finalResultCount = std::uint32_t(report.runResults.size());
    open -= std::min<std::size_t>(open, answer.finalResultCount);
    costs.tasksDone += answer.finalResultCount;
    for (; open < sizes.running; ++open)
      answer.orders.push_back(nextOrder());
    return answer;
  }
  Order nextOrder() {
    Order next;
    next.number = OrderNumber{++order};
    next.job = JobId{"job-0123456789-" + std::to_string(taskNumber / 30)};
    next.indexInStep = std::uint32_t(taskNumber % 30);
    next.runNumber = 1;
    next.runtime = Duration{drawTask()};
    next.payload = R"({"work":"separation","plate":"cyan"})";
    ++taskNumber;
    return next;
  }
  // The answer as the agent reads it off the wire.
  void take(SyncResponse& answer) {
    ApiResponse packedAnswer;
    packedAnswer.body = pack(answer);
    const std::string bytes = encode(WireMessage{1, packedAnswer});
    costs.tookBytes += double(bytes.size());
    costs.packMicros += timed([&] {
      auto message = unpack<WireMessage>(bytes.substr(16)).value();
      answer = unpack<SyncResponse>(boost::get<ApiResponse>(message.body).body).value();
    });
  }
  Values summary(double seconds) const {
    Values values;
    values["core_percent"] = costs.coreMicros / seconds / 1e4;
    values["pack_percent"] = costs.packMicros / seconds / 1e4;
    if (costs.tasksDone > 0) {
      values["core_us_per_task"] = costs.coreMicros / costs.tasksDone;
      values["pack_us_per_task"] = costs.packMicros / costs.tasksDone;
      values["calls_per_task"] = costs.calls / costs.tasksDone;
      values["syncs_per_task"] = costs.syncs / costs.tasksDone;
    }
    values["tasks_per_s"] = costs.tasksDone / seconds;
    values["calls_per_s"] = costs.calls / seconds;
    values["syncs_per_s"] = costs.syncs / seconds;
    values["sent_bytes_per_s"] = costs.sentBytes / seconds;
    values["taken_bytes_per_s"] = costs.tookBytes / seconds;
    values["heap_bytes"] = peakHeap;
    return values;
  }

  const double empty = heapBytes();  // the first: what the agent holds is measured against it
  std::unique_ptr<NodeAgent> core = std::make_unique<NodeAgent>(NodeAgentOptions{});
  Sizes sizes;
  Random random;
  std::int64_t now = 1000, taskNumber = 0;
  std::vector<Task> tasks;
  std::vector<WorkerReply::RunResult> ended;
  std::optional<Look> look;
  std::uint64_t endings = 0, order = 0;
  Costs costs;
  double peakHeap = 0;
  bool measuring = false;
  MonotonicTime patientUntil{0};
  std::size_t open = 0;
};

Values measureAgent(const Sizes& sizes, std::uint64_t seed) {
  return AgentBench(sizes, seed).measure();
}

class Gauge {
 public:
  std::int64_t repeats = 3, seed = 1, budget = 230, tick = 5, length = 4000;
  std::string only;
  std::size_t points = 0;

  void point(const char* part, const char* grows, const Sizes& sizes,
             const std::function<Values(const Sizes&, std::uint64_t)>& measure) {
    if (!only.empty() && only != part)
      return;
    ++points;
    picojson::object shown{
        {"part", json(part)}, {"grows", json(grows)}, {"sizes", json(sizes.shown())}};
    if (spent() > double(budget) * 1e6) {
      shown["skipped"] = json("the budget of processor time is used up");
      std::cout << json(shown).serialize() << "\n";
      return;
    }
    const double begun = spent();
    std::map<std::string, std::vector<double>> all;
    std::int64_t failed = 0;
    for (std::int64_t round = 0; round < repeats; ++round) {
      const auto values = measure(sizes, std::uint64_t(seed + round));
      failed += values.empty();
      for (const auto& [name, value] : values)
        all[name].push_back(value);
    }
    std::string median, spread;
    for (auto& [name, values] : all) {
      std::sort(values.begin(), values.end());
      const auto add = [&name = name](std::string& shown, double value) {
        char text[160];
        std::snprintf(text, sizeof text, "%s\"%s\":%.*g", shown.empty() ? "" : ",", name.c_str(),
                      std::abs(value) >= 10'000 ? 8 : 4, value);
        shown += text;
      };
      add(median, values[values.size() / 2]);
      add(spread, values.back() - values.front());
    }
    shown["repeats"] = json(repeats);
    shown["took_ms"] = json(std::round((spent() - begun) / 1000));
    if (failed)
      shown["runs_without_a_steady_leader"] = json(failed);
    std::string line = json(shown).serialize();
    line.pop_back();
    std::cout << line << ",\"median\":{" << median << "},\"spread\":{" << spread << "}}"
              << std::endl;
  }
  void oneFlow(const Sizes& sizes) {
    only.clear();
    point("flow", "nothing", sizes, flow());
  }
  // Every part, in the order of the report.
  void run() {
    flows();
    idleFlows();
    plans();
    gangs();
    states();
    configs();
    routes();
    gateways();
    agents();
  }

 private:
  using Measure = std::function<Values(const Sizes&, std::uint64_t)>;
  static constexpr std::int64_t flowWarmLength = 1500;  // virtual ms before a flow is measured
  template <class Change>
  static Sizes with(Change change) {
    Sizes sizes;
    change(sizes);
    return sizes;
  }
  Measure flow() const {
    return [this](const Sizes& sizes, std::uint64_t random) {
      return Cluster(sizes, random, tick).measure(flowWarmLength, length);
    };
  }
  void flows() {
    for (double starts : {50, 150, 500, 1500})
      point("flow", "starts", with([&](Sizes& sizes) { sizes.starts = starts; }), flow());
    for (std::size_t workers : {11, 60, 250, 1000, 2000})
      point("flow", "workers", with([&](Sizes& sizes) { sizes.workers = workers; }), flow());
    for (std::size_t running : {100, 1000, 10'000})
      point("flow", "running", with([&](Sizes& sizes) { sizes.running = running; }), flow());
    for (std::size_t waiting : {100, 1000, 10'000})
      point("flow", "waiting", with([&](Sizes& sizes) { sizes.waiting = waiting; }), flow());
    for (std::size_t kept : {1000, 5000, 20'000})
      point("flow", "kept", with([&](Sizes& sizes) { sizes.kept = kept; }), flow());
    for (std::size_t queues : {10, 100, 830})
      point("flow", "queues", with([&](Sizes& sizes) { sizes.queues = queues; }), flow());
  }
  void idleFlows() {
    for (std::size_t workers : {11, 250, 2000})
      point("idle", "workers",
            with([&](Sizes& sizes) { sizes.workers = workers, sizes.starts = 0; }), flow());
    for (std::size_t running : {100, 1000, 10'000})
      point("idle", "running",
            with([&](Sizes& sizes) { sizes.running = running, sizes.starts = 0; }), flow());
  }
  void plans() {
    for (std::size_t workers : {11, 60, 250, 1000, 2000})
      point("plan", "workers",
            with([&](Sizes& sizes) { sizes.workers = workers, sizes.waiting = 100; }), measurePlan);
    for (std::size_t waiting : {100, 1000, 10'000})
      point("plan", "waiting", with([&](Sizes& sizes) { sizes.waiting = waiting; }), measurePlan);
    for (std::size_t running : {100, 1000, 10'000})
      point("plan", "running", with([&](Sizes& sizes) { sizes.running = running; }), measurePlan);
    for (std::size_t running : {100, 1000, 10'000})
      point("plan", "running, one waits",
            with([&](Sizes& sizes) { sizes.running = running, sizes.waiting = 1; }), measurePlan);
  }
  void gangs() {
    for (std::size_t gang : {14, 46, 128})
      point("gang", "gang", with([&](Sizes& sizes) { sizes.workers = 1800, sizes.gang = gang; }),
            measureGang);
    for (std::size_t workers : {60, 250, 1000})
      point("gang", "workers",
            with([&](Sizes& sizes) { sizes.workers = workers, sizes.gang = 128; }), measureGang);
  }
  void states() {
    for (std::size_t kept : {1000, 10'000, 50'000})
      point("state", "kept", with([&](Sizes& sizes) { sizes.kept = kept; }), measureState);
    for (std::size_t running : {1000, 10'000, 100'000})
      point("state", "running", with([&](Sizes& sizes) { sizes.running = running; }), measureState);
    for (std::size_t waiting : {100, 1000, 10'000})
      point("state", "waiting", with([&](Sizes& sizes) { sizes.waiting = waiting; }), measureState);
    for (std::size_t workers : {60, 1000, 18'000})
      point("state", "workers", with([&](Sizes& sizes) { sizes.workers = workers; }), measureState);
  }
  void configs() {
    for (std::size_t queues : {10, 100, 830})
      point("config", "queues", with([&](Sizes& sizes) { sizes.queues = queues; }), measureConfig);
  }
  void routes() {
    for (std::size_t gateways : {7, 40, 160})
      point("route", "gateways", with([&](Sizes& sizes) { sizes.gateways = gateways; }),
            measureRoute);
    for (std::size_t queues : {10, 100, 830})
      point("route", "queues", with([&](Sizes& sizes) { sizes.queues = queues; }), measureRoute);
  }
  void gateways() { point("gateway", "nothing", Sizes{}, measureGateway); }
  void agents() {
    for (std::size_t running : {8, 26, 128})
      point("agent", "running", with([&](Sizes& sizes) { sizes.running = running; }), measureAgent);
    for (std::size_t running : {8, 26, 128})
      point("agent", "running, none ends",
            with([&](Sizes& sizes) { sizes.running = running, sizes.starts = 0; }), measureAgent);
  }
};

// The sizes of a single flow, as options.
struct FlowOptions {
  bool single = false;
  std::int64_t workers = 60, kept = 0, waiting = 0, running = 0, queues = 10, starts = 100;

  void addTo(OptionSet& options) {
    options.addFlag("one", single, "measure one flow of the sizes given below only");
    options.addInteger("workers", workers, "of that flow", 1, 100'000);
    options.addInteger("jobs-kept", kept, "of that flow", 0, 1'000'000);
    options.addInteger("tasks-waiting", waiting, "of that flow", 0, 1'000'000);
    options.addInteger("tasks-running", running, "of that flow, beside those it starts", 0,
                       1'000'000);
    options.addInteger("queues", queues, "of that flow", 1, 2000);
    options.addInteger("starts", starts, "of that flow, a second", 0, 100'000);
  }
  Sizes sizes() const {
    Sizes sizes;
    sizes.workers = std::size_t(workers);
    sizes.kept = std::size_t(kept);
    sizes.waiting = std::size_t(waiting);
    sizes.running = std::size_t(running);
    sizes.queues = std::size_t(queues);
    sizes.starts = double(starts);
    return sizes;
  }
};

}  // namespace

int main(int count, char** values) {
  Gauge gauge;
  FlowOptions flow;
  OptionSet options("core_benchmark",
                    "processor time and memory of each role on the core alone, as JSON lines: "
                    "medians and spreads (most less least)");
  options.addText("part", gauge.only,
                  "only this part: flow, idle, plan, gang, state, config, route, gateway or agent");
  options.addInteger("repeats", gauge.repeats, "how often each is measured", 1, 100);
  options.addInteger("seed", gauge.seed, "the first seed; each repeat takes the next", 0,
                     1'000'000'000);
  options.addInteger("budget-s", gauge.budget,
                     "processor time past which the rest is left out, and said to be", 1, 86'400);
  options.addInteger("tick-ms", gauge.tick, "virtual time between two steps of a controller", 1,
                     20);
  options.addInteger("length-ms", gauge.length, "virtual time measured of a flow", 500, 3'600'000);
  flow.addTo(options);
  options.read(count, values);
  if (flow.single)
    gauge.oneFlow(flow.sizes());
  else
    gauge.run();
  if (!gauge.points) {
    std::cerr << "core_benchmark: --part: there is no part " << gauge.only << "\n";
    return 2;
  }
  return 0;
}
