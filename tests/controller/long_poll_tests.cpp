// An open sync is answered in the first step in which there is an answer for it, and never earlier.
// docs/design.md 5.2, 5.8, 8.2.
#include "controller/controller.hpp"
#include <CppUTest/TestHarness.h>

using namespace aniseline;

namespace {

// Model of a single controller with random workers and jobs. After each step, the model determines
// for every open sync whether it is due, by examining all of them.
struct LongPollModel {
  struct ModelWorker {
    WorkerId id;
    Incarnation incarnation{1};
    bool packed = false, seen = false;
    OrderNumber received, applied;
    std::vector<Order> running;
    std::vector<TaskRunResult> endedRuns;
    std::vector<AttemptResult> endedAttempts;
  };
  struct OpenSync {
    SyncReport report;
    std::size_t worker = 0;
    MonotonicTime at, pollUntil;
  };
  Random random;
  std::unique_ptr<Controller> core;
  std::vector<ModelWorker> workers;
  std::map<RequestNumber, OpenSync> openSyncs;
  std::map<WorkerId, std::pair<OrderNumber, MonotonicTime>> sentOrders;
  MonotonicTime now{0};
  std::uint64_t lastRequest = 0, jobs = 0, incarnations = 1;
  std::uint64_t withOrders = 0, withoutOrders = 0, replacedIncarnations = 0, replacedPolls = 0,
                withheldOrders = 0;

  explicit LongPollModel(std::uint64_t seed) : random(seed) {
    const Member self{ControllerId{"r"}, Address{"r:1"}, ZoneName{"x"}, true};
    ClusterState clusterState;
    auto config =
        ClusterConfig::parse(R"({"queues":{"q":{"retries":3}},"planner":{"period_ms":20}})");
    config.value().version = ConfigVersion{1};
    clusterState.apply(LogRecord{ClusterTime{1}, ConfigCommitted{config.value()}});
    WriteAheadRecord record;
    record.version = DiskVersion{1};
    record.holdsSnapshot = true;
    record.term = Term{1};
    record.snapshot = Snapshot{LogIndex{1}, Term{1}, {self}, pack(clusterState)};
    record.firstIndex = LogIndex{2};
    core = std::make_unique<Controller>(self, ControllerOptions{}, seed,
                                        std::vector<WriteAheadRecord>{record}, now);
    for (int workerIndex = 0; workerIndex < 6; ++workerIndex) {
      ModelWorker worker;
      worker.id = WorkerId{"worker" + std::to_string(workerIndex)};
      worker.packed = workerIndex % 3 != 0;
      workers.push_back(worker);
    }
    while (!core->raftNode().canServe())
      step();
  }
  ApiRequest syncOf(std::size_t workerIndex) {
    ModelWorker& worker = workers[workerIndex];
    ApiRequest request;
    request.kind = RequestKind::syncWorker;
    request.targetId = worker.id.value;
    SyncReport& report = request.report;
    report.id = worker.id;
    report.incarnation = worker.incarnation;
    report.capacity.cores = 2000;
    report.capacity.memory = 4096;
    report.capacity.honoursLeases = true;
    report.lastAppliedOrder = worker.applied;
    report.wantsPackedResponse = worker.packed;
    report.lastReceivedOrder = worker.packed ? worker.received : OrderNumber{};
    report.longPollTimeout = Duration{random.chance(0.6) ? random.between(50, 1500) : 0};
    report.runResults = worker.endedRuns;
    report.results = worker.endedAttempts;
    report.unresponsive = worker.packed && random.chance(0.03);
    return request;
  }
  void sync(std::size_t workerIndex) {
    ModelWorker& worker = workers[workerIndex];
    if (std::count_if(openSyncs.begin(), openSyncs.end(),
                      [&](const auto& other) { return other.second.worker == workerIndex; }) >= 3)
      return;
    ApiRequest request = syncOf(workerIndex);
    const SyncReport& report = request.report;
    const bool answerAtOnce = !worker.seen || !report.results.empty() || !report.runResults.empty();
    worker.seen = true;
    const MonotonicTime handledAt = now + Duration{5};  // the next step
    if (!report.wantsPackedResponse || report.longPollTimeout.milliseconds)
      for (auto& [number, other] : openSyncs)
        if (other.worker == workerIndex) {
          replacedPolls += other.pollUntil > handledAt;
          other.pollUntil = std::min(other.pollUntil, handledAt);
        }
    const RequestNumber number{++lastRequest};
    openSyncs.emplace(number, OpenSync{report, workerIndex, handledAt,
                                       answerAtOnce ? handledAt
                                                    : handledAt + std::min(report.longPollTimeout,
                                                                           Duration{1000})});
    core->submitRequest(number, std::move(request), now);
  }
  void sendRequest(RequestKind kind, const std::string& id) {
    ApiRequest request;
    request.kind = kind;
    request.targetId = id;
    core->submitRequest(RequestNumber{++lastRequest}, std::move(request), now);
  }
  void submit() {
    ApiRequest request;
    request.kind = RequestKind::submitJob;
    request.job.id = JobId{"job" + std::to_string(++jobs)};
    request.job.queue = QueueName{"q"};
    request.job.steps = {
        {"s",
         {},
         random.chance(0.2),
         std::vector<TaskRequest>(std::size_t(random.between(1, 4)),
                                  TaskRequest{500, 64, Duration{random.between(50, 3000)}, ""})}};
    core->submitRequest(RequestNumber{++lastRequest}, std::move(request), now);
  }
  // Reports whether there is an order that this sync has not acknowledged and that, if
  // `countSentAsKnown` is set, was not recently sent in response to another sync of the same agent.
  bool hasOrders(const OpenSync& sync, bool countSentAsKnown) const {
    const auto& report = sync.report;
    OrderNumber known = report.wantsPackedResponse
                            ? std::max(report.lastAppliedOrder, report.lastReceivedOrder)
                            : report.lastAppliedOrder;
    auto other = sentOrders.find(report.id);
    if (countSentAsKnown && report.wantsPackedResponse && report.lastReceivedOrder.value &&
        other != sentOrders.end() && now - other->second.second < Duration{500})
      known = std::max(known, other->second.first);
    const auto& orders = core->committed().workers().at(report.id).unappliedOrders;
    return std::any_of(orders.begin(), orders.end(),
                       [&](const Order& order) { return order.number > known; });
  }
  bool isDue(const OpenSync& sync) const {
    if (now - sync.at >= Duration{3000})
      return true;
    auto found = core->committed().workers().find(sync.report.id);
    if (found == core->committed().workers().end())
      return false;
    return found->second.incarnation != sync.report.incarnation || now >= sync.pollUntil ||
           hasOrders(sync, true);
  }
  void onResponse(const OpenSync& sync, const ApiResponse& apiResponse) {
    ModelWorker& worker = workers[sync.worker];
    if (apiResponse.status == 410) {
      ++replacedIncarnations;
      return;
    }
    LONGS_EQUAL(200, apiResponse.status);
    auto response = sync.report.wantsPackedResponse ? unpack<SyncResponse>(apiResponse.body)
                                                    : SyncResponse::parse(apiResponse.body);
    CHECK(response.has_value());
    ++(response.value().orders.empty() ? withoutOrders : withOrders);
    if (sync.report.wantsPackedResponse && !response.value().orders.empty())
      sentOrders[sync.report.id] = {response.value().orders.back().number, now};
    if (sync.report.incarnation != worker.incarnation || random.chance(0.1))
      return;  // the response is sometimes lost
    for (std::uint32_t closed = 0; closed < response.value().finalResultCount; ++closed)
      std::erase_if(worker.endedRuns, [&](const auto& result) {
        return result.runId == sync.report.runResults[closed].runId;
      });
    std::erase_if(worker.endedAttempts, [&](const auto& result) {
      return std::count(response.value().confirmedAttempts.begin(),
                        response.value().confirmedAttempts.end(), result.attempt);
    });
    for (const auto& order : response.value().orders) {
      if (order.number <= worker.received)
        continue;
      worker.received = order.number;
      if (order.kind == OrderKind::start || order.kind == OrderKind::stage)
        worker.running.push_back(order);
      if (order.kind == OrderKind::stop)
        finish(worker, order.attempt, AttemptOutcome::stopped);
    }
    if (random.chance(0.7))
      worker.applied = worker.received;
  }
  void finish(ModelWorker& worker, AttemptNumber attempt, AttemptOutcome kind) {
    auto found = std::find_if(worker.running.begin(), worker.running.end(),
                              [&](const Order& order) { return order.attempt == attempt; });
    if (found == worker.running.end())
      return;
    if (worker.packed)
      worker.endedRuns.push_back({TaskRunId::of(*found), kind});
    else
      worker.endedAttempts.push_back({attempt, kind});
    worker.running.erase(found);
  }
  void step() {
    now = now + Duration{5};
    core->step(now, WallTime{now.milliseconds});
    for (auto& [number, apiResponse] : core->takeResponses()) {
      auto found = openSyncs.find(number);
      if (found == openSyncs.end())
        continue;
      CHECK_TEXT(isDue(found->second), "answered too early");
      const OpenSync sync = found->second;
      openSyncs.erase(found);
      onResponse(sync, apiResponse);
    }
    const bool allCommitted = core->raftNode().commitIndex() == core->raftNode().lastIndex();
    for (const auto& [number, sync] : openSyncs) {
      if (!allCommitted || now - sync.at < Duration{20})
        continue;
      CHECK_TEXT(!isDue(sync), "not answered although it is due");
      withheldOrders += hasOrders(sync, false);
    }
    auto diskRecord = core->takeWrite();
    core->takeMessages();
    core->takeSnapshotWork();
    if (diskRecord && !random.chance(0.1))
      core->onRecordSynced(diskRecord->version, now);
    else if (diskRecord)
      delayedWrite = diskRecord->version;
    else if (delayedWrite)
      core->onRecordSynced(*std::exchange(delayedWrite, std::nullopt), now);
  }
  std::optional<DiskVersion> delayedWrite;
  void round() {
    for (std::size_t workerIndex = 0; workerIndex < workers.size(); ++workerIndex) {
      ModelWorker& worker = workers[workerIndex];
      if (!worker.running.empty() && random.chance(0.03))
        finish(worker, worker.running.front().attempt,
               random.chance(0.8) ? AttemptOutcome::succeeded : AttemptOutcome::failed);
      if (random.chance(0.04))
        sync(workerIndex);
    }
    if (random.chance(0.05))
      submit();
    if (random.chance(0.005))
      sendRequest(RequestKind::cancelJob,
                  "job" + std::to_string(random.between(1, std::int64_t(jobs) + 1)));
    if (random.chance(0.008)) {
      ModelWorker& worker =
          workers[std::size_t(random.between(0, std::int64_t(workers.size()) - 1))];
      sendRequest(RequestKind::removeWorker, worker.id.value);
      step();
      worker.incarnation = Incarnation{++incarnations};
      worker.received = worker.applied = OrderNumber{};
      worker.seen = false;
      worker.running.clear();
      worker.endedRuns.clear();
      worker.endedAttempts.clear();
    }
    step();
  }
};

}  // namespace

TEST_GROUP(LongPollTests){};

TEST(LongPollTests, pollsAreAnsweredExactlyWhenDue) {
  std::uint64_t withOrders = 0, withoutOrders = 0, replacedIncarnations = 0, replacedPolls = 0,
                withheldOrders = 0;
  for (std::uint64_t seed = 1; seed <= 6; ++seed) {
    LongPollModel model(seed);
    for (int round = 0; round < 3000; ++round)
      model.round();
    withOrders += model.withOrders, withoutOrders += model.withoutOrders,
        replacedIncarnations += model.replacedIncarnations, replacedPolls += model.replacedPolls,
        withheldOrders += model.withheldOrders;
  }
  CHECK(withOrders > 200);
  CHECK(withoutOrders > 200);
  CHECK(replacedIncarnations > 5);
  CHECK(replacedPolls > 100);
  CHECK(withheldOrders > 20);
}
