// Measures the CPU time and the heap memory of one agent.
#include "benchmarks/benchmarks.hpp"
#include "agent/node_agent.hpp"
#include "net/wire.hpp"

namespace aniseline::benchmarks {

namespace {

// Runs one agent with a simulated worker and a scripted leader. The leader issues a start order for
// each task whose result it has received.
class AgentBenchmark {
 public:
  AgentBenchmark(const Sizes& sizes, std::uint64_t seed) : sizes(sizes), random(seed) {
    WorkerRegistration registration;
    registration.workerInstance = workerIdOf(0);
    registration.capacity = capacityOf(Sizes{}, 0);
    registration.clockReading = WorkerTime{now};
    agent->onRegistration(registration, MonotonicTime{now});
  }
  Metrics measure() {
    run(warmUpMs - tickMs);
    costs = {};
    measuring = true;
    runTick();  // the costs of the last warm-up tick are counted already
    const std::int64_t begin = now;
    run(measuredMs);
    return summary(double(now - begin) / 1000);
  }

 private:
  // Durations in virtual milliseconds.
  static constexpr std::int64_t tickMs = 5, warmUpMs = 4000, measuredMs = 20'000;
  static constexpr std::int64_t longPollMs = 1000, heapSampleIntervalMs = 500,
                                longRuntimeMs = 3'600'000;
  struct Task {
    TaskRunId runId;
    std::int64_t endsAt;
  };
  struct Poll {
    WorkerCall call;
    std::int64_t until;  // when the simulated worker answers even if no task ended
  };
  struct Costs {
    double agentMicros = 0, serializationMicros = 0, tasksDone = 0, calls = 0, syncs = 0,
           sentBytes = 0, receivedBytes = 0;
  };

  void run(std::int64_t length) {
    for (const std::int64_t end = now + length; now < end;)
      runTick();
  }
  void runTick() {
    now += tickMs;
    endTasks();
    if (poll && (now >= poll->until || hasUnconfirmedResults()))
      answerPoll();
    takeCalls();
    syncWhenDue();
    if (measuring && now % heapSampleIntervalMs == 0)
      peakHeap = std::max(peakHeap, heapBytes() - baselineHeap);
  }
  std::int64_t randomTaskRuntimeMs() {
    return sizes.starts > 0 ? randomRuntimeMs(random) : longRuntimeMs;
  }
  bool hasUnconfirmedResults() const {
    return !unconfirmedResults.empty() &&
           unconfirmedResults.back().sequenceNumber > poll->call.confirmedUpTo;
  }
  void endTasks() {
    std::erase_if(tasks, [&](const Task& task) {
      if (task.endsAt > now)
        return false;
      unconfirmedResults.push_back(
          {++lastSequenceNumber, task.runId,
           random.chance(0.05) ? AttemptOutcome::failed : AttemptOutcome::succeeded, ""});
      return true;
    });
  }
  WorkerReply okReply() const {
    WorkerReply reply;
    reply.status = WorkerReply::Status::ok;
    reply.clockReading = WorkerTime{now};
    return reply;
  }
  void reply(const WorkerCall& call, const WorkerReply& reply) {
    costs.agentMicros +=
        measureCpuMicros([&] { agent->onWorkerReply(call, reply, MonotonicTime{now}); });
  }
  void answerPoll() {
    WorkerReply response = okReply();
    std::erase_if(unconfirmedResults, [&](const auto& ending) {
      return ending.sequenceNumber <= poll->call.confirmedUpTo;
    });
    response.runningTasks.reserve(tasks.size());
    for (const auto& task : tasks)
      response.runningTasks.push_back({task.runId, ""});
    response.results = unconfirmedResults;
    reply(poll->call, response);
    poll.reset();
  }
  void takeCalls() {
    std::vector<WorkerCall> made;
    costs.agentMicros += measureCpuMicros([&] {
      made = agent->takeCalls(MonotonicTime{now});
      agent->nextWakeUp(MonotonicTime{now});
    });
    for (auto& call : made)
      answerCall(call);
  }
  void answerCall(const WorkerCall& call) {
    ++costs.calls;
    if (call.kind == WorkerCall::Kind::poll) {
      poll = Poll{call, now + call.longPollTimeout.milliseconds};
      if (call.longPollTimeout.milliseconds == 0)
        answerPoll();
      return;
    }
    if (call.kind == WorkerCall::Kind::start)
      tasks.push_back({call.runId, now + randomTaskRuntimeMs()});
    reply(call, okReply());
  }
  void syncWhenDue() {
    bool urgent = false;
    costs.agentMicros +=
        measureCpuMicros([&] { urgent = agent->hasUrgentReport(MonotonicTime{now}); });
    if (urgent)
      sync(false);
    else if (MonotonicTime{now} >= nextLongPollAt) {
      sync(true);
      nextLongPollAt = MonotonicTime{now + longPollMs};
    }
  }
  void sync(bool longPoll) {
    SyncReport report;
    costs.agentMicros +=
        measureCpuMicros([&] { report = agent->makeSyncReport(MonotonicTime{now}); });
    send(report, longPoll);
    SyncResponse response = leaderResponse(report);
    receive(response);
    costs.agentMicros += measureCpuMicros([&] {
      agent->onSyncResponse(report, response, MonotonicTime{now - 2}, MonotonicTime{now});
    });
  }
  void send(const SyncReport& report, bool longPoll) {
    ApiRequest request;
    request.kind = RequestKind::syncWorker;
    request.targetId = report.id.value;
    request.report = report;
    request.report.longPollTimeout = Duration{longPoll ? longPollMs : 0};
    std::string bytes;
    costs.serializationMicros += measureCpuMicros([&] { bytes = encode(WireMessage{1, request}); });
    costs.sentBytes += double(bytes.size());
    ++costs.syncs;
  }
  // Returns the leader's response: it accepts all reported results as final and issues start orders
  // until `sizes.runningTasks` tasks are open.
  SyncResponse leaderResponse(const SyncReport& report) {
    SyncResponse response;
    response.term = Term{2};
    response.lease = Duration{3000};
    response.finalResultCount = std::uint32_t(report.runResults.size());
    openTasks -= std::min<std::size_t>(openTasks, response.finalResultCount);
    costs.tasksDone += response.finalResultCount;
    for (; openTasks < sizes.runningTasks; ++openTasks)
      response.orders.push_back(nextOrder());
    return response;
  }
  Order nextOrder() {
    Order next;
    next.number = OrderNumber{++lastOrder};
    next.job = JobId{"job-0123456789-" + std::to_string(taskNumber / 30)};
    next.indexInStep = std::uint32_t(taskNumber % 30);
    next.runNumber = 1;
    next.runtime = Duration{randomTaskRuntimeMs()};
    next.payload = R"({"work":"separation","plate":"cyan"})";
    ++taskNumber;
    return next;
  }
  // Replaces the response by what the agent decodes from its wire format, and measures the
  // decoding.
  void receive(SyncResponse& response) {
    ApiResponse packedResponse;
    packedResponse.body = pack(response);
    const std::string bytes = encode(WireMessage{1, packedResponse});
    costs.receivedBytes += double(bytes.size());
    costs.serializationMicros += measureCpuMicros([&] {
      auto message = unpack<WireMessage>(bytes.substr(16)).value();
      response = unpack<SyncResponse>(boost::get<ApiResponse>(message.body).body).value();
    });
  }
  Metrics summary(double seconds) const {
    Metrics values;
    values["core_percent"] = costs.agentMicros / seconds / 1e4;
    values["pack_percent"] = costs.serializationMicros / seconds / 1e4;
    if (costs.tasksDone > 0) {
      values["core_us_per_task"] = costs.agentMicros / costs.tasksDone;
      values["pack_us_per_task"] = costs.serializationMicros / costs.tasksDone;
      values["calls_per_task"] = costs.calls / costs.tasksDone;
      values["syncs_per_task"] = costs.syncs / costs.tasksDone;
    }
    values["tasks_per_s"] = costs.tasksDone / seconds;
    values["calls_per_s"] = costs.calls / seconds;
    values["syncs_per_s"] = costs.syncs / seconds;
    values["sent_bytes_per_s"] = costs.sentBytes / seconds;
    values["taken_bytes_per_s"] = costs.receivedBytes / seconds;
    values["heap_bytes"] = peakHeap;
    return values;
  }

  const double baselineHeap =
      heapBytes();  // first member, so that it is read before the agent allocates
  std::unique_ptr<NodeAgent> agent = std::make_unique<NodeAgent>(NodeAgentOptions{});
  Sizes sizes;
  Random random;
  std::int64_t now = 1000, taskNumber = 0;
  std::vector<Task> tasks;
  std::vector<WorkerReply::RunResult> unconfirmedResults;
  std::optional<Poll> poll;
  std::uint64_t lastSequenceNumber = 0, lastOrder = 0;
  Costs costs;
  double peakHeap = 0;
  bool measuring = false;
  MonotonicTime nextLongPollAt{0};
  std::size_t openTasks = 0;
};

}  // namespace

Metrics measureAgent(const Sizes& sizes, std::uint64_t seed) {
  return AgentBenchmark(sizes, seed).measure();
}

}  // namespace aniseline::benchmarks
