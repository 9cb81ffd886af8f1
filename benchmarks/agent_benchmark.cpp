// One agent beside a worker.
#include "benchmarks/benchmarks.hpp"
#include "agent/node_agent.hpp"
#include "net/wire.hpp"

namespace aniseline::benchmarks {

namespace {

// One agent, its worker hollow, its leader a script that orders the next task when one is closed.
class AgentBenchmark {
 public:
  AgentBenchmark(const Sizes& sizes, std::uint64_t seed) : sizes(sizes), random(seed) {
    WorkerRegistration account;
    account.workerInstance = workerIdOf(0);
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

}  // namespace

Values measureAgent(const Sizes& sizes, std::uint64_t seed) {
  return AgentBenchmark(sizes, seed).measure();
}

}  // namespace aniseline::benchmarks
