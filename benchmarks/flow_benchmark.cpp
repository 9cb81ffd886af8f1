// A flow of jobs through three controllers that are joined in memory.
#include "benchmarks/benchmarks.hpp"
#include "benchmarks/hollow_worker.hpp"
#include "controller/controller.hpp"
#include "net/data_folder.hpp"
#include "net/wire.hpp"
#include <numeric>

namespace aniseline::benchmarks {

namespace {

// Three controllers joined in memory, hollow workers and callers. A tick carries messages, syncs
// disks and takes one step.
class InMemoryCluster {
 public:
  InMemoryCluster(const Sizes& sizes, std::uint64_t seed, std::int64_t tick)
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
    for (std::size_t index = 0; index < 3; ++index) {
      nodes.emplace_back();
      nodes.back().core =
          std::make_unique<Controller>(members[index], options, seed * 3 + index,
                                       std::vector<WriteAheadRecord>{record}, MonotonicTime{0});
      for (std::size_t gateway = 0; gateway < sizes.gateways; ++gateway)
        nodes.back().core->recordGateway({Address{"10.0.0." + std::to_string(gateway) + ":8080"},
                                          ZoneName{"zone" + std::to_string(gateway % 3)}},
                                         MonotonicTime{0});
    }
    nextCommitted = LogIndex{2};
    for (std::size_t index = 0; index < sizes.workers; ++index) {
      workers.emplace_back(index, capacityOf(sizes, index),
                           preset.workers().at(workerIdOf(index)).lastIssuedOrder);
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
    busyPlanPeriods.clear();
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
    (patient ? worker.longPollInFlight : worker.urgentSyncInFlight) = true;
    ApiRequest request;
    request.kind = RequestKind::syncWorker;
    request.targetId = workerIdOf(worker.index).value;
    request.report = worker.makeReport(patient, now);
    Asker asker{worker.index, true, patient, request.report};
    ask(std::move(request), std::move(asker));
  }
  void submit() {
    const auto queue = queueName(std::size_t(random.between(0, std::int64_t(sizes.queues) - 1)));
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
    for (std::int64_t poll = 1; poll <= 4; ++poll)
      looks.emplace(now + poll * 700, request);
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
      worker.endTasks(now);
      if (!worker.longPollInFlight && (now / tick + std::int64_t(worker.index)) % 7 == 0)
        sync(worker, true);
      if (worker.hasUrgentReport(now) && !worker.urgentSyncInFlight)
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
  Values& costsOf(const Controller& core) {
    return core.raftNode().isLeader() ? leaderCosts : followerCosts;
  }
  double& countOf(const Controller& core, const std::string& what) {
    return counts[(core.raftNode().isLeader() ? "leader_" : "follower_") + what];
  }
  // One step of a controller: what its disk and the network brought, the step, and its effects.
  void drive(Node& node) {
    Controller& core = *node.core;
    Values& costs = costsOf(core);
    if (node.writing) {
      Meter meter(costs, "synced");
      core.onRecordSynced(*node.writing, MonotonicTime{now});
      node.writing.reset();
    }
    receiveMessages(node, costs);
    receiveRequests(node, costs);
    measurePlanSometimes(core);
    {
      Meter meter(costs, "step");
      core.step(MonotonicTime{now}, WallTime{now});
    }
    startWrite(node, costs);
    sendMessages(core, costs);
    sendResponses(core, costs);
  }
  WireMessage decode(const std::string& bytes, Values& costs, const char* meterName) {
    Meter meter(costs, meterName);
    const auto body = bodyOf(bytes);
    counts["crc"] += checksum(body) & 1;
    return unpack<WireMessage>(body).value();
  }
  void receiveMessages(Node& node, Values& costs) {
    for (const auto& bytes : std::exchange(node.inbox, {})) {
      const WireMessage message = decode(bytes, costs, "unpack_messages");
      Meter meter(costs, "receive");
      node.core->receive(boost::get<PeerMessage>(message.body), MonotonicTime{now});
    }
  }
  void receiveRequests(Node& node, Values& costs) {
    for (const auto& [number, bytes] : std::exchange(node.requests, {})) {
      WireMessage message = decode(bytes, costs, "unpack_requests");
      Meter meter(costs, "take");
      node.core->submitRequest(number, std::move(boost::get<ApiRequest>(message.body)),
                               MonotonicTime{now});
    }
  }
  // What a plan costs is timed at every eighth step, by a planner beside the leader's own.
  void measurePlanSometimes(const Controller& core) {
    constexpr std::size_t stepsBetween = 8;
    if (!core.raftNode().canServe() || sizes.starts <= 0 || ++planTurn % stepsBetween != 0)
      return;
    const auto heard = noSilence(sizes);
    plans.push_back(
        timed([&] { shadow.makePlan(core.committed(), core.committed().now(), heard); }));
  }
  void startWrite(Node& node, Values& costs) {
    if (auto record = node.core->takeWrite()) {
      Meter meter(costs, "disk");
      const auto bytes = DataFolder::frame(pack(*record));
      countOf(*node.core, "disk_bytes") += double(bytes.size());
      node.writing = record->version;
    }
    const auto work = node.core->takeSnapshotWork();
    if (work.packThrough && node.core->raftNode().isLeader())
      ++counts["views"];
  }
  void sendMessages(Controller& core, Values& costs) {
    for (auto& message : core.takeMessages()) {
      const auto to = std::size_t(message.to.value[1] - '0');
      std::string bytes;
      {
        Meter meter(costs, "pack_messages");
        bytes = encode(WireMessage{0, std::move(message)});
      }
      countOf(core, "peer_bytes") += double(bytes.size());
      later.emplace_back(to, std::move(bytes));
    }
  }
  void sendResponses(Controller& core, Values& costs) {
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
      (asker.patient ? worker.longPollInFlight : worker.urgentSyncInFlight) = false;
      if (answer.status != 200) {
        ++counts["sync_status_" + std::to_string(answer.status)];
        continue;
      }
      if (auto notified = unpack<SyncResponse>(answer.body)) {
        worker.onResponse(asker.report, notified.value(), jobById, random, now);
        if (asker.patient)
          sync(worker, true);
      }
    }
    if (auto* core = leader())
      for (; nextCommitted <= core->raftNode().commitIndex(); nextCommitted = nextCommitted.next())
        if (nextCommitted > core->raftNode().logBaseIndex() &&
            !core->raftNode().entry(nextCommitted).isMembership) {
          records.push_back(core->raftNode().entry(nextCommitted).payload);
          busyPlanPeriods.insert(now / planPeriodMs);
        }
  }

  // What the records of a run cost, measured apart by applying them once more; in microseconds.
  struct RecordCosts {
    double unpacking = 0;
    double packing = 0;
    double bytes = 0;
    Values foldsByKind;
    Values countsByKind;
    double folds() const { return sum(foldsByKind); }
  };
  static double sum(const Values& values) {
    return std::accumulate(values.begin(), values.end(), 0.0,
                           [](double total, const auto& entry) { return total + entry.second; });
  }
  RecordCosts replayRecords(const ClusterState& before) const {
    // By the order of the kinds in Event.
    static const char* const kinds[] = {
        "opened", "config",     "allowed", "cancelled", "fired", "forgotten", "seen",  "synced",
        "leaves", "leave_over", "back",    "silent",    "gone",  "plan",      "named", "failed"};
    RecordCosts costs;
    ClusterState replayed = before;
    for (const auto& payload : records) {
      std::optional<LogRecord> record;
      costs.unpacking += timed([&] { record = unpack<LogRecord>(payload).value(); });
      costs.packing += timed([&] { costs.bytes += double(pack(*record).size()); });
      const char* kind = kinds[record->event.which()];
      costs.foldsByKind[kind] += timed([&] { replayed.apply(*record); });
      ++costs.countsByKind[kind];
    }
    return costs;
  }
  Values summary(const ClusterState& before, double seconds) {
    const auto& from = before.counters();
    const auto& to = leader()->committed().counters();
    const double tasks = double(to.starts - from.starts);
    const double jobsDone = double(to.succeeded + to.failed - from.succeeded - from.failed);
    const RecordCosts costs = replayRecords(before);
    // A plan is made in each period in which there was anything new.
    const double plansMade = double(busyPlanPeriods.size());
    const double planMean =
        plans.empty() ? 0 : std::accumulate(plans.begin(), plans.end(), 0.0) / double(plans.size());
    Values values;
    addShares(values, costs, plansMade * planMean, tasks, seconds);
    addRecords(values, costs, seconds);
    values["plan_us"] = planMean;
    values["plans_per_s"] = plansMade / seconds;
    values["tasks_per_s"] = tasks / seconds;
    values["jobs_per_s"] = jobsDone / seconds;
    if (jobsDone > 0)
      values["leader_us_per_job"] = sum(leaderCosts) / jobsDone;
    counts.erase("crc");
    for (const auto& [name, count] : counts) {
      values[name + "_per_s"] = count / seconds;
    }
    values["step_us"] = leaderCosts["step"] / (seconds * 1000.0 / double(tick));
    return values;
  }
  // Where the processor time of the leader and of one follower went, as a share of a core and by
  // task. A leader applies each record twice: to its working state and to the committed one.
  void addShares(Values& values, const RecordCosts& costs, double planning, double tasks,
                 double seconds) {
    constexpr double followers = 2;
    const auto add = [&](const std::string& name, double cost) {
      if (tasks > 0)
        values[name + "_us_per_task"] = cost / tasks;
      values[name + "_percent"] = cost / seconds / 1e4;
    };
    const double folds = costs.folds();
    add("leader", sum(leaderCosts));
    add("follower", sum(followerCosts) / followers);
    add("leader.plan", planning);
    add("leader.fold_working", folds);
    add("leader.fold_committed", folds);
    add("follower.read_records", costs.unpacking);
    add("leader.pack_records", costs.packing);
    add("leader.passes", leaderCosts["step"] - planning - 2 * folds - costs.packing);
    for (const auto& [name, cost] : leaderCosts) {
      if (name != "step")
        add("leader." + name, cost);
    }
    for (const auto& [name, cost] : followerCosts) {
      add("follower." + name, cost / followers);
    }
    add("asker.pack_exchange", workerCosts["pack_exchange"]);
  }
  static void addRecords(Values& values, const RecordCosts& costs, double seconds) {
    constexpr double fewestForAMean = 10;
    for (const auto& [kind, cost] : costs.foldsByKind) {
      const double count = costs.countsByKind.at(kind);
      if (count >= fewestForAMean)
        values["fold." + kind + "_us"] = cost / count;
      values["records." + kind + "_per_s"] = count / seconds;
    }
    values["record_bytes_per_s"] = costs.bytes / seconds;
  }

  Sizes sizes;
  Random random;
  std::int64_t tick, now = 0;
  ClusterState preset;
  std::vector<Node> nodes;
  std::deque<HollowWorker> workers;
  std::deque<JobSubmission> jobs;
  std::map<JobId, const JobSubmission*> jobById;
  std::multimap<std::int64_t, ApiRequest> looks;
  std::map<RequestNumber, Asker> askers;
  std::vector<std::pair<std::size_t, std::string>> later;
  std::vector<std::pair<RequestNumber, std::string>> answers;
  std::vector<std::string> records;
  LogIndex nextCommitted;
  std::set<std::int64_t> busyPlanPeriods;  // periods in which records were committed
  Planner shadow;
  std::vector<double> plans;
  std::size_t planTurn = 0;
  Values leaderCosts, followerCosts, workerCosts, counts;
  std::uint64_t lastRequest = 0, lastJob = 0;
  double owed = 0;
};

}  // namespace

Values measureFlow(const Sizes& sizes, std::uint64_t seed, const FlowLengths& lengths) {
  return InMemoryCluster(sizes, seed, lengths.tickMs).measure(lengths.warmUpMs, lengths.measuredMs);
}

}  // namespace aniseline::benchmarks
