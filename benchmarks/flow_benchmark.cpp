// Measures a flow of jobs through three controllers that exchange messages in memory.
#include "benchmarks/benchmarks.hpp"
#include "benchmarks/hollow_worker.hpp"
#include "controller/controller.hpp"
#include "net/data_folder.hpp"
#include "net/wire.hpp"
#include <numeric>

namespace aniseline::benchmarks {

namespace {

// Runs three controllers with simulated workers and clients in one thread. Each tick delivers
// messages, completes disk writes and steps every controller once.
class InMemoryCluster {
 public:
  InMemoryCluster(const Sizes& sizes, std::uint64_t seed, std::int64_t tickMs)
      : sizes(sizes),
        random(seed),
        tickMs(tickMs),
        preset(presetClusterState(sizes, Random(seed))) {
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
      nodes.back().controller =
          std::make_unique<Controller>(members[index], options, seed * 3 + index,
                                       std::vector<WriteAheadRecord>{record}, MonotonicTime{0});
      for (std::size_t gateway = 0; gateway < sizes.gateways; ++gateway)
        nodes.back().controller->recordGateway(
            {Address{"10.0.0." + std::to_string(gateway) + ":8080"},
             ZoneName{"zone" + std::to_string(gateway % 3)}},
            MonotonicTime{0});
    }
    nextCommitted = LogIndex{2};
    for (std::size_t index = 0; index < sizes.workers; ++index) {
      workers.emplace_back(index, capacityOf(sizes, index),
                           preset.workers().at(workerIdOf(index)).lastIssuedOrder);
    }
  }

  Metrics measure(std::int64_t warmUp, std::int64_t length) {
    while (now < 5000 && !leader())
      runTick(false);
    const auto begin = now;
    while (now < begin + warmUp)
      runTick(true);
    leaderCosts.clear();
    followerCosts.clear();
    workerCosts.clear();
    counts.clear();
    planMicros.clear();
    committedRecords.clear();
    busyPlanPeriods.clear();
    if (!leader())
      return {};
    const ClusterState before = leader()->committed();
    const auto term = leader()->raftNode().term();
    const auto from = now;
    while (now < from + length)
      runTick(true);
    if (!leader() || leader()->raftNode().term() != term)
      return {};
    return summary(before, double(now - from) / 1000.0);
  }

 private:
  struct Node {
    std::unique_ptr<Controller> controller;
    std::optional<DiskVersion> syncingVersion;
    std::vector<std::string> inbox;
    std::vector<std::pair<RequestNumber, std::string>> requests;  // encoded, in order of arrival
  };
  struct PendingRequest {
    std::size_t worker = 0;
    bool sync = false, longPoll = false;
    SyncReport report;
  };
  Controller* leader() {
    for (auto& node : nodes)
      if (node.controller->raftNode().canServe())
        return node.controller.get();
    return nullptr;
  }
  static std::string bodyOf(const std::string& bytes) { return bytes.substr(16); }

  void sendRequest(ApiRequest request, PendingRequest pending) {
    const RequestNumber number{++lastRequest};
    ++counts[pending.sync                             ? "syncs"
             : request.kind == RequestKind::submitJob ? "submissions"
                                                      : "looks"];
    std::string bytes;
    {
      CpuMeter meter(workerCosts, "pack_exchange");
      bytes = encode(WireMessage{number.value, std::move(request)});
    }
    counts["exchange_bytes"] += double(bytes.size());
    pendingRequests.emplace(number, std::move(pending));
    for (auto& node : nodes)
      if (node.controller->raftNode().canServe())
        return void(node.requests.emplace_back(number, std::move(bytes)));
  }
  void sync(HollowWorker& worker, bool longPoll) {
    (longPoll ? worker.longPollInFlight : worker.urgentSyncInFlight) = true;
    ApiRequest request;
    request.kind = RequestKind::syncWorker;
    request.targetId = workerIdOf(worker.index).value;
    request.report = worker.makeReport(longPoll, now);
    PendingRequest pending{worker.index, true, longPoll, request.report};
    sendRequest(std::move(request), std::move(pending));
  }
  void submit() {
    const auto queue = queueName(std::size_t(random.between(0, std::int64_t(sizes.queues) - 1)));
    const std::string id = "job-0123456789-" + std::to_string(++lastJob);
    ApiRequest request;
    request.kind = RequestKind::submitJob;
    request.host = "jobs.example";
    request.path = "/" + queue.value + "/" + id;
    request.job = randomJob(random, id, queue);
    jobs.push_back(request.job);
    jobById[JobId{id}] = &jobs.back();
    sendRequest(request, {});
    request.kind = RequestKind::showPhase;
    request.job = {};
    for (std::int64_t poll = 1; poll <= 4; ++poll)
      statusPolls.emplace(now + poll * 700, request);
  }
  void generateLoad() {
    jobsDue += sizes.starts * double(tickMs) / 1000.0 / tasksPerJob;
    for (; jobsDue >= 1; jobsDue -= 1)
      submit();
    while (!statusPolls.empty() && statusPolls.begin()->first <= now) {
      sendRequest(std::move(statusPolls.begin()->second), {});
      statusPolls.erase(statusPolls.begin());
    }
    for (auto& worker : workers) {
      worker.endTasks(now);
      if (!worker.longPollInFlight && (now / tickMs + std::int64_t(worker.index)) % 7 == 0)
        sync(worker, true);
      if (worker.hasUrgentReport(now) && !worker.urgentSyncInFlight)
        sync(worker, false);
    }
  }
  void runTick(bool withLoad) {
    now += tickMs;
    if (withLoad && leader())
      generateLoad();
    for (auto& node : nodes)
      stepController(node);
    deliver();
  }
  Metrics& costsOf(const Controller& controller) {
    return controller.raftNode().isLeader() ? leaderCosts : followerCosts;
  }
  double& countOf(const Controller& controller, const std::string& what) {
    return counts[(controller.raftNode().isLeader() ? "leader_" : "follower_") + what];
  }
  // Runs one step of a controller: its finished write, received messages and requests, the step
  // itself, then the writes, messages and responses that it produced.
  void stepController(Node& node) {
    Controller& controller = *node.controller;
    Metrics& costs = costsOf(controller);
    if (node.syncingVersion) {
      CpuMeter meter(costs, "synced");
      controller.onRecordSynced(*node.syncingVersion, MonotonicTime{now});
      node.syncingVersion.reset();
    }
    receiveMessages(node, costs);
    receiveRequests(node, costs);
    measurePlanSometimes(controller);
    {
      CpuMeter meter(costs, "step");
      controller.step(MonotonicTime{now}, WallTime{now});
    }
    startWrite(node, costs);
    sendMessages(controller, costs);
    sendResponses(controller, costs);
  }
  WireMessage decode(const std::string& bytes, Metrics& costs, const char* meterName) {
    CpuMeter meter(costs, meterName);
    const auto body = bodyOf(bytes);
    counts["crc"] += checksum(body) & 1;
    return unpack<WireMessage>(body).value();
  }
  void receiveMessages(Node& node, Metrics& costs) {
    for (const auto& bytes : std::exchange(node.inbox, {})) {
      const WireMessage message = decode(bytes, costs, "unpack_messages");
      CpuMeter meter(costs, "receive");
      node.controller->receive(boost::get<PeerMessage>(message.body), MonotonicTime{now});
    }
  }
  void receiveRequests(Node& node, Metrics& costs) {
    for (const auto& [number, bytes] : std::exchange(node.requests, {})) {
      WireMessage message = decode(bytes, costs, "unpack_requests");
      CpuMeter meter(costs, "take");
      node.controller->submitRequest(number, std::move(boost::get<ApiRequest>(message.body)),
                                     MonotonicTime{now});
    }
  }
  // Measures the cost of a plan at every eighth step, with a planner separate from the leader's
  // own.
  void measurePlanSometimes(const Controller& controller) {
    constexpr std::size_t stepsBetween = 8;
    if (!controller.raftNode().canServe() || sizes.starts <= 0 ||
        ++planSampleSteps % stepsBetween != 0)
      return;
    const auto contactAges = zeroContactAges(sizes);
    planMicros.push_back(measureCpuMicros([&] {
      referencePlanner.makePlan(controller.committed(), controller.committed().now(), contactAges);
    }));
  }
  void startWrite(Node& node, Metrics& costs) {
    if (auto record = node.controller->takeWrite()) {
      CpuMeter meter(costs, "disk");
      const auto bytes = DataFolder::frame(pack(*record));
      countOf(*node.controller, "disk_bytes") += double(bytes.size());
      node.syncingVersion = record->version;
    }
    const auto work = node.controller->takeSnapshotWork();
    if (work && node.controller->raftNode().isLeader())
      ++counts["views"];
  }
  void sendMessages(Controller& controller, Metrics& costs) {
    for (auto& message : controller.takeMessages()) {
      const auto to = std::size_t(message.to.value[1] - '0');
      std::string bytes;
      {
        CpuMeter meter(costs, "pack_messages");
        bytes = encode(WireMessage{0, std::move(message)});
      }
      countOf(controller, "peer_bytes") += double(bytes.size());
      undeliveredMessages.emplace_back(to, std::move(bytes));
    }
  }
  void sendResponses(Controller& controller, Metrics& costs) {
    for (auto& [number, response] : controller.takeResponses()) {
      std::string bytes;
      {
        CpuMeter meter(costs, "pack_answers");
        bytes = encode(WireMessage{number.value, std::move(response)});
      }
      counts["answer_bytes"] += double(bytes.size());
      undeliveredResponses.emplace_back(number, std::move(bytes));
    }
  }
  void deliver() {
    for (auto& [to, bytes] : std::exchange(undeliveredMessages, {}))
      nodes[to].inbox.push_back(std::move(bytes));
    for (auto& [number, bytes] : std::exchange(undeliveredResponses, {})) {
      auto found = pendingRequests.find(number);
      if (found == pendingRequests.end())
        continue;
      const PendingRequest pending = std::move(found->second);
      pendingRequests.erase(found);
      auto message = unpack<WireMessage>(bodyOf(bytes)).value();
      const auto& response = boost::get<ApiResponse>(message.body);
      if (!pending.sync) {
        if (response.status >= 300)
          ++counts["status_" + std::to_string(response.status)];
        continue;
      }
      HollowWorker& worker = workers[pending.worker];
      (pending.longPoll ? worker.longPollInFlight : worker.urgentSyncInFlight) = false;
      if (response.status != 200) {
        ++counts["sync_status_" + std::to_string(response.status)];
        continue;
      }
      if (auto syncResponse = unpack<SyncResponse>(response.body)) {
        worker.onResponse(pending.report, syncResponse.value(), jobById, random, now);
        if (pending.longPoll)
          sync(worker, true);
      }
    }
    if (auto* controller = leader())
      for (; nextCommitted <= controller->raftNode().commitIndex();
           nextCommitted = nextCommitted.next())
        if (nextCommitted > controller->raftNode().logBaseIndex() &&
            !controller->raftNode().entry(nextCommitted).isMembership) {
          committedRecords.push_back(controller->raftNode().entry(nextCommitted).payload);
          busyPlanPeriods.insert(now / planPeriodMs);
        }
  }

  // Holds the CPU time of the records of a run, in microseconds. It is measured separately, by
  // applying the records once more after the run.
  struct RecordCosts {
    double unpacking = 0;
    double packing = 0;
    double bytes = 0;
    Metrics applyingByKind;
    Metrics countsByKind;
    double totalApplying() const { return sum(applyingByKind); }
  };
  static double sum(const Metrics& values) {
    return std::accumulate(values.begin(), values.end(), 0.0,
                           [](double total, const auto& entry) { return total + entry.second; });
  }
  RecordCosts replayRecords(const ClusterState& before) const {
    // In the order of the alternatives of Event.
    static const char* const kinds[] = {
        "opened", "config",     "allowed", "cancelled", "fired", "forgotten", "seen",  "synced",
        "leaves", "leave_over", "back",    "silent",    "gone",  "plan",      "named", "failed"};
    RecordCosts costs;
    ClusterState replayed = before;
    for (const auto& payload : committedRecords) {
      std::optional<LogRecord> record;
      costs.unpacking += measureCpuMicros([&] { record = unpack<LogRecord>(payload).value(); });
      costs.packing += measureCpuMicros([&] { costs.bytes += double(pack(*record).size()); });
      const char* kind = kinds[record->event.which()];
      costs.applyingByKind[kind] += measureCpuMicros([&] { replayed.apply(*record); });
      ++costs.countsByKind[kind];
    }
    return costs;
  }
  Metrics summary(const ClusterState& before, double seconds) {
    const auto& from = before.counters();
    const auto& to = leader()->committed().counters();
    const double tasks = double(to.starts - from.starts);
    const double jobsDone = double(to.succeeded + to.failed - from.succeeded - from.failed);
    const RecordCosts costs = replayRecords(before);
    // The leader makes a plan in each period in which records were committed.
    const double plansMade = double(busyPlanPeriods.size());
    const double planMean = planMicros.empty()
                                ? 0
                                : std::accumulate(planMicros.begin(), planMicros.end(), 0.0) /
                                      double(planMicros.size());
    Metrics values;
    addCpuShares(values, costs, plansMade * planMean, tasks, seconds);
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
    values["step_us"] = leaderCosts["step"] / (seconds * 1000.0 / double(tickMs));
    return values;
  }
  // Adds the CPU time of the leader and of one follower by activity, as a percentage of a core and
  // per task. A leader applies each record twice: to its working state and to the committed state.
  void addCpuShares(Metrics& values, const RecordCosts& costs, double planningMicros, double tasks,
                    double seconds) {
    constexpr double followers = 2;
    const auto add = [&](const std::string& name, double cost) {
      if (tasks > 0)
        values[name + "_us_per_task"] = cost / tasks;
      values[name + "_percent"] = cost / seconds / 1e4;
    };
    const double totalApplying = costs.totalApplying();
    add("leader", sum(leaderCosts));
    add("follower", sum(followerCosts) / followers);
    add("leader.plan", planningMicros);
    add("leader.fold_working", totalApplying);
    add("leader.fold_committed", totalApplying);
    add("follower.read_records", costs.unpacking);
    add("leader.pack_records", costs.packing);
    add("leader.passes", leaderCosts["step"] - planningMicros - 2 * totalApplying - costs.packing);
    for (const auto& [name, cost] : leaderCosts) {
      if (name != "step")
        add("leader." + name, cost);
    }
    for (const auto& [name, cost] : followerCosts) {
      add("follower." + name, cost / followers);
    }
    add("asker.pack_exchange", workerCosts["pack_exchange"]);
  }
  static void addRecords(Metrics& values, const RecordCosts& costs, double seconds) {
    constexpr double minSamplesForMean = 10;
    for (const auto& [kind, cost] : costs.applyingByKind) {
      const double count = costs.countsByKind.at(kind);
      if (count >= minSamplesForMean)
        values["fold." + kind + "_us"] = cost / count;
      values["records." + kind + "_per_s"] = count / seconds;
    }
    values["record_bytes_per_s"] = costs.bytes / seconds;
  }

  Sizes sizes;
  Random random;
  std::int64_t tickMs, now = 0;
  ClusterState preset;
  std::vector<Node> nodes;
  std::deque<HollowWorker> workers;
  std::deque<JobSubmission> jobs;
  std::map<JobId, const JobSubmission*> jobById;
  std::multimap<std::int64_t, ApiRequest> statusPolls;
  std::map<RequestNumber, PendingRequest> pendingRequests;
  std::vector<std::pair<std::size_t, std::string>> undeliveredMessages;
  std::vector<std::pair<RequestNumber, std::string>> undeliveredResponses;
  std::vector<std::string> committedRecords;
  LogIndex nextCommitted;
  std::set<std::int64_t> busyPlanPeriods;  // periods in which records were committed
  Planner referencePlanner;
  std::vector<double> planMicros;
  std::size_t planSampleSteps = 0;
  Metrics leaderCosts, followerCosts, workerCosts, counts;
  std::uint64_t lastRequest = 0, lastJob = 0;
  double jobsDue = 0;
};

}  // namespace

Metrics measureFlow(const Sizes& sizes, std::uint64_t seed, const FlowDurations& durations) {
  return InMemoryCluster(sizes, seed, durations.tickMs)
      .measure(durations.warmUpMs, durations.measuredMs);
}

}  // namespace aniseline::benchmarks
