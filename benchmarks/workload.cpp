// Draws jobs and builds cluster states by applying events.
#include "benchmarks/workload.hpp"
#include <iostream>

namespace aniseline::benchmarks {

namespace {

constexpr double meanRuntimeMs =
    0.6 * 250 + 0.25 * 900 + 0.15 * 6000;  // expected value of randomRuntimeMs

}  // namespace

std::int64_t randomRuntimeMs(Random& random) {
  const auto kind = random.between(0, 99);
  return kind < 60 ? random.between(200, 300) : kind < 85 ? random.between(700, 1100) : 6000;
}

std::size_t shortTasksPerWorker(const Sizes& sizes) {
  return std::size_t(1.6 * sizes.starts * meanRuntimeMs / 1000.0 / double(sizes.workers)) + 4;
}

JobSubmission randomJob(Random& random, const std::string& id, const QueueName& queue) {
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
                         TaskRequest{taskMillicores, 64, Duration{randomRuntimeMs(random)}, ""});
    job.steps.push_back(std::move(request));
  }
  return job;
}

QueueName queueName(std::size_t index) {
  return QueueName{"team-" + std::to_string(index)};
}

std::string configText(std::size_t queues, std::int64_t change) {
  picojson::object listed;
  picojson::array entrances;
  for (std::size_t index = 0; index <= queues; ++index) {
    // The last queue has a lower urgency than all others, so that its tasks only wait.
    const std::string name = index < queues ? queueName(index).value : "patient";
    listed[name] = json(picojson::object{
        {"urgency", json(index < queues ? std::int64_t(1 + index % 3) : std::int64_t(0))},
        {"tries", json(4)},
        {"open_limit", json(100'000)},
        {"reserved", json(index < queues ? 1 : 0)},
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
                  {"planner", json(picojson::object{{"period_ms", json(planPeriodMs)},
                                                    {"urgency_first", json(true)},
                                                    {"open_limit", json(100'000)}})}})
      .serialize();
}

WorkerId workerIdOf(std::size_t index) {
  return WorkerId{"worker-" + std::to_string(index) + "-0123456789ab"};
}

Capacity capacityOf(const Sizes& sizes, std::size_t index) {
  Capacity capacity;
  const std::size_t longTasks = sizes.runningTasks / sizes.workers + 2;
  capacity.cores =
      std::uint32_t((shortTasksPerWorker(sizes) + longTasks) * taskMillicores + 16'000);
  capacity.memory = 64 * (shortTasksPerWorker(sizes) + longTasks) + 32 * 1024;
  capacity.zone = ZoneName{"zone" + std::to_string(index % 3)};
  capacity.rack = "rack" + std::to_string(index / 3);
  capacity.honoursLeases = capacity.enforcesCapacity = capacity.killsOnLeaseExpiry =
      capacity.selfAssemblingGangs = true;
  capacity.supportsSuspend = false;
  capacity.pool = "press";
  capacity.host = "10.1." + std::to_string(index / 250) + "." + std::to_string(index % 250);
  return capacity;
}

namespace {

constexpr std::size_t longTasksPerJob = 30;
constexpr std::size_t jobsPerCompaction = 1000;  // in one JobsExpired record

// Builds a cluster state by applying events to an empty state.
class PresetBuilder {
 public:
  PresetBuilder(const Sizes& sizes, Random random) : sizes(sizes), random(random) {}

  ClusterState build() {
    commitConfig();
    registerWorkers();
    addFinishedJobs();
    startLongTasks();
    submitWaitingTasks();
    return std::move(clusterState);
  }

 private:
  void apply(Event event) { clusterState.apply(LogRecord{now, std::move(event)}); }

  void commitConfig() {
    auto config = ClusterConfig::parse(configText(sizes.queues));
    if (!config) {
      std::cerr << "core_benchmark: " << config.error().text() << "\n";
      std::exit(1);
    }
    config.value().version = ConfigVersion{1};
    apply(ConfigCommitted{config.value()});
  }

  void registerWorkers() {
    for (std::size_t index = 0; index < sizes.workers; ++index) {
      apply(WorkerRegistered{workerIdOf(index), Incarnation{1}, capacityOf(sizes, index)});
    }
  }

  void addFinishedJobs() {
    JobsExpired expired;
    for (std::size_t index = 0; index < sizes.keptJobs; ++index) {
      const auto job = randomJob(random, "kept-0123456789-" + std::to_string(index),
                                 queueName(index % sizes.queues));
      apply(JobAccepted{job});
      apply(JobCancelled{job.id});
      expired.compacted.push_back(job.id);
      if (expired.compacted.size() >= jobsPerCompaction)
        apply(std::exchange(expired, {}));
    }
    apply(expired);
  }

  void startLongTasks() {
    PlanMade plan;
    plan.number = PlanNumber{1};
    startLongTasks(plan, sizes.runningTasks, "running-", taskMillicores);
    // One large task on each worker leaves free capacity for the short tasks only.
    startLongTasks(plan, sizes.workers, "filling-", taskMillicores + 16'000);
    apply(plan);
    for (std::size_t index = 0; index < sizes.workers; ++index) {
      const WorkerId id = workerIdOf(index);
      apply(WorkerSynced{id, clusterState.workers().at(id).lastIssuedOrder, {}});
    }
  }

  void startLongTasks(PlanMade& plan, std::size_t count, const char* prefix, std::uint32_t cores) {
    for (std::size_t created = 0; created < count;) {
      JobSubmission job;
      job.id = JobId{prefix + std::to_string(created)};
      job.queue = queueName(created % sizes.queues);
      job.steps = {{"long", {}, false, {}}};
      for (std::size_t task = 0; task < longTasksPerJob && created + task < count; ++task) {
        job.steps[0].tasks.push_back(
            TaskRequest{cores, 64, Duration{random.between(600'000, 7'200'000)}, ""});
        Action action;
        action.attempt = lastAttempt = lastAttempt.next();
        action.job = job.id;
        action.taskIndex = std::uint32_t(task);
        action.worker = workerIdOf((created + task) % sizes.workers);
        action.memory = 64;
        plan.actions.push_back(std::move(action));
      }
      created += job.steps[0].tasks.size();
      apply(JobAccepted{std::move(job)});
    }
  }

  // Submits tasks that each request more CPU than any worker has free.
  void submitWaitingTasks() {
    const std::uint32_t worker = std::uint32_t(shortTasksPerWorker(sizes)) * taskMillicores;
    for (std::size_t created = 0; created < sizes.waitingTasks;) {
      JobSubmission job;
      job.id = JobId{"waiting-" + std::to_string(created)};
      job.queue = QueueName{"patient"};
      job.steps = {{"wide", {}, false, {}}};
      const TaskRequest request{worker + std::uint32_t(random.between(2000, 16'000)), 64,
                                Duration{random.between(200, 600'000)}, ""};
      job.steps[0].tasks.assign(std::min(longTasksPerJob, sizes.waitingTasks - created), request);
      created += job.steps[0].tasks.size();
      apply(JobAccepted{std::move(job)});
    }
  }

  const Sizes& sizes;
  Random random;
  ClusterState clusterState;
  ClusterTime now{1000};
  AttemptNumber lastAttempt;
};

}  // namespace

ClusterState presetClusterState(const Sizes& sizes, Random random) {
  return PresetBuilder(sizes, random).build();
}

LastContactAges zeroContactAges(const Sizes& sizes) {
  LastContactAges contactAges;
  for (std::size_t index = 0; index < sizes.workers; ++index)
    contactAges[workerIdOf(index)] = Duration{0};
  return contactAges;
}

}  // namespace aniseline::benchmarks
