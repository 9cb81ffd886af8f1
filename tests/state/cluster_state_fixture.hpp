// Test fixture with a cluster state that is changed by events only, as in the daemons, and a
// planner. Its workers are called by agents: they cannot suspend tasks, they kill them on lease
// expiry, and their gangs assemble themselves. Time advances only when a test sets it.
#ifndef ANISELINE_TESTS_STATE_CLUSTER_STATE_FIXTURE_HPP
#define ANISELINE_TESTS_STATE_CLUSTER_STATE_FIXTURE_HPP
#include "scheduling/planner.hpp"
#include <CppUTest/TestHarness.h>

namespace aniseline {

struct ClusterStateFixture {
  ClusterState clusterState;
  Planner planner;
  std::int64_t now = 1000;
  LastContactAges contactAges;

  static constexpr const char* configText =
      R"({"planner":{"trials":false,"urgency_first":true,"far":1.5,"known_after_ms":3000},
        "pools":{"press":{},"store":{}},"queues":{"q":{"pool":"press","tries":3},"other":{"pool":"store","tries":1},"plain":{"retries":1}}})";

  explicit ClusterStateFixture(const std::string& text = configText) {
    auto parsed = ClusterConfig::parse(text);
    CHECK_TEXT(parsed.has_value(), parsed ? "" : parsed.error().text().c_str());
    parsed.value().version = ConfigVersion{1};
    apply(ConfigCommitted{parsed.value()});
  }
  std::function<void(const LogRecord&)> onApplied;  // called after each applied record
  void apply(Event event) {
    const LogRecord record{ClusterTime{now}, std::move(event)};
    clusterState.apply(record);
    if (onApplied)
      onApplied(record);
  }

  struct WorkerOptions {
    std::uint32_t cores = 4000;
    std::string rack{}, pool = "press";
    std::vector<std::string> labels{};
    std::uint32_t accelerators = 0;
    std::string host{};
    std::uint64_t incarnation = 1;
  };
  void registerWorker(const std::string& id) { registerWorker(id, WorkerOptions{}); }
  void registerWorker(const std::string& id, const WorkerOptions& options) {
    Capacity capacity;
    capacity.cores = options.cores;
    capacity.memory = 32'768;
    capacity.rack = options.rack;
    capacity.pool = options.pool;
    capacity.labels = options.labels;
    if (!options.rack.empty())
      capacity.labels.push_back(options.rack);
    capacity.accelerators = options.accelerators;
    capacity.host = options.host.empty() ? id : options.host;
    capacity.honoursLeases = capacity.killsOnLeaseExpiry = capacity.selfAssemblingGangs = true;
    capacity.supportsSuspend = false;
    apply(WorkerRegistered{WorkerId{id}, Incarnation{options.incarnation}, capacity});
    contactAges[WorkerId{id}] = Duration{0};
  }
  static StepRequest step(std::size_t tasks, std::uint32_t cores = 1000,
                          StepRequirements stepRequirements = {}, bool gang = false,
                          std::int64_t runtime = 10'000) {
    TaskRequest task;
    task.cores = cores;
    task.memory = 100;
    task.runtime = Duration{runtime};
    StepRequest result;
    result.gang = gang;
    result.tasks.assign(tasks, task);
    result.requirements = std::move(stepRequirements);
    return result;
  }
  static StepRequest gang(std::size_t tasks, std::uint32_t cores = 1000,
                          StepRequirements stepRequirements = {}) {
    return step(tasks, cores, std::move(stepRequirements), true);
  }
  void submit(const std::string& id, std::vector<StepRequest> steps, const std::string& queue = "q",
              Timetable timetable = {}) {
    JobSubmission job;
    job.id = JobId{id};
    job.queue = QueueName{queue};
    job.timetable = timetable;
    for (auto& stepRequest : steps) {
      stepRequest.name = std::to_string(job.steps.size());
      job.steps.push_back(std::move(stepRequest));
    }
    apply(JobAccepted{std::move(job)});
  }
  // Makes and applies a plan and returns its actions as one line of text. The workers do not apply
  // the orders until applyOrders() is called.
  std::string plan() {
    auto result = planner.makePlan(clusterState, ClusterTime{now}, contactAges);
    std::string text;
    for (const auto& action : result.record.actions) {
      static const char* const names[] = {"start ", "stage ", "go ", "hold ", "stop "};
      const auto& job =
          action.job.value.empty() ? clusterState.attempts().at(action.attempt).job : action.job;
      text += (text.empty() ? "" : ", ") + std::string(names[int(action.kind)]) + job.value +
              " on " + action.worker.value;
    }
    apply(result.record);
    return text;
  }
  void applyOrders() {
    for (auto& [id, worker] : clusterState.workers())
      apply(WorkerSynced{id, worker.lastIssuedOrder, {}});
  }
  std::string planAndRun() {
    auto text = plan();
    applyOrders();
    return text;
  }
  // Returns the current attempt of a task, or its last one if the state still keeps that.
  AttemptNumber attempt(const std::string& id, std::size_t task = 0) const {
    return clusterState.jobs().at(JobId{id}).tasks.at(task).currentAttempt;
  }
  std::string workerOf(const std::string& id, std::size_t task = 0) const {
    return clusterState.attempts().at(attempt(id, task)).worker.value;
  }
  void endAttempt(AttemptNumber number, AttemptOutcome outcome,
                  const std::string& checkpoint = "") {
    apply(WorkerSynced{
        clusterState.attempts().at(number).worker, {}, {{number, outcome, checkpoint}}});
  }
  void endAttempt(const std::string& id, AttemptOutcome outcome = AttemptOutcome::succeeded,
                  std::size_t task = 0, const std::string& checkpoint = "") {
    endAttempt(attempt(id, task), outcome, checkpoint);
  }
  void saveCheckpoint(const std::string& id, std::size_t task, const std::string& checkpoint) {
    WorkerSynced synced{clusterState.attempts().at(attempt(id, task)).worker, {}, {}};
    synced.checkpoints.emplace_back(attempt(id, task), checkpoint);
    apply(std::move(synced));
  }
  const Job& job(const std::string& id) const { return clusterState.jobs().at(JobId{id}); }
  const Task& task(const std::string& id, std::size_t index = 0) const {
    return job(id).tasks.at(index);
  }
  std::string state(const std::string& id) const { return name(job(id).state); }
  std::string tasks(const std::string& id) const {
    std::string text;
    for (const auto& task : job(id).tasks)
      text += (text.empty() ? "" : " ") + std::string(name(task.state));
    return text;
  }
  // Returns the last order issued to the worker.
  const Order& lastOrder(const std::string& worker) const {
    return clusterState.workers().at(WorkerId{worker}).unappliedOrders.back();
  }
  bool stopOrdered(AttemptNumber number) const {
    return clusterState.attempts().count(number) &&
           clusterState.attempts().at(number).state == AttemptState::stopping;
  }
  std::size_t openAttempts(const std::string& id) const {
    return clusterState.attemptsOf(JobId{id}, AttemptScope::all).size();
  }
};

}  // namespace aniseline

#endif  // ANISELINE_TESTS_STATE_CLUSTER_STATE_FIXTURE_HPP
