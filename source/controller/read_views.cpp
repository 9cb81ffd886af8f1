// JSON rendering of the cluster state for clients, operators and gateways. docs/api.md.
#include "controller/read_views.hpp"
#include "state/occurrence.hpp"

namespace aniseline {

namespace {

// Longer lists are truncated: they are meant for people, and response bodies must stay bounded.
constexpr std::size_t maxListedTasks = 200;
constexpr std::size_t maxListedReasons = 200;

bool hasStarted(const Job& job) {
  if (job.state == JobState::scheduled)
    return job.firedOccurrences > 0;
  return std::any_of(job.tasks.begin(), job.tasks.end(),
                     [](const Task& task) { return task.runNumber > 0; });
}

// Reports whether a worker has confirmed that the task has started. An order that is still in
// transit does not count as a start.
bool hasStartedOnWorker(const ClusterState& state, const Task& task) {
  if (task.state == TaskState::succeeded || task.failureCount > 0 || !task.checkpoint.empty())
    return true;
  const auto attempt = state.attempts().find(task.currentAttempt);
  if (attempt == state.attempts().end())
    return task.countedStarts > 0;
  return attempt->second.state == AttemptState::running ||
         attempt->second.state == AttemptState::suspended || task.countedStarts > 1;
}

bool hasStartedOnWorker(const ClusterState& state, const Job& job) {
  return job.isTerminal() || std::any_of(job.tasks.begin(), job.tasks.end(), [&](const Task& task) {
           return hasStartedOnWorker(state, task);
         });
}

// An occurrence that is no longer stored has ended some time ago.
bool hasStartedOccurrence(const ClusterState& state, const Job& timetable) {
  for (std::uint32_t number = 0; number < timetable.firedOccurrences; ++number) {
    const auto occurrence = state.jobs().find(OccurrenceId::make(timetable.submission.id, number));
    if (occurrence == state.jobs().end() || hasStartedOnWorker(state, occurrence->second))
      return true;
  }
  return false;
}

bool isPending(const ClusterState& state, const Job& job) {
  if (job.terminating || OccurrenceId::parse(job.submission.id))
    return false;
  if (job.state == JobState::scheduled)
    return !hasStartedOccurrence(state, job);
  return job.state == JobState::active && !hasStartedOnWorker(state, job);
}

const char* phaseOf(const Job& job) {
  if (job.isTerminal())
    return name(job.state);
  if (job.state == JobState::cancelling)
    return "cancelled";
  if (job.terminating)
    return "failed";
  return hasStarted(job) ? "running" : "waiting";
}

// Returns the attempt that currently runs a task, or null.
const Attempt* currentAttempt(const ClusterState& state, const Task& task) {
  auto attempt = state.attempts().find(task.currentAttempt);
  const bool isPlaced = task.state == TaskState::placed && attempt != state.attempts().end();
  return isPlaced ? &attempt->second : nullptr;
}

picojson::object renderTask(const Job& job, std::size_t taskIndex, const Attempt* attempt,
                            const std::string& taskState) {
  const Task& task = job.tasks[taskIndex];
  picojson::object rendered{{"task", json(taskIndex)},
                            {"step", json(job.submission.steps[task.stepIndex].name)},
                            {"state", json(taskState)},
                            {"starts", json(task.countedStarts)}};
  if (attempt) {
    rendered["worker"] = json(attempt->worker.value);
    if (attempt->isTrial())
      rendered["trial"] = json(true);
  }
  return rendered;
}

struct WorkerUsage {
  std::uint64_t attempts = 0;
  std::uint64_t suspended = 0;
  std::uint64_t cores = 0;  // in thousandths of a core
  std::uint64_t memory = 0;
};
WorkerUsage usageOf(const ClusterState& state, const WorkerId& worker) {
  WorkerUsage usage;
  for (auto number : state.attemptsOn(worker)) {
    const Attempt& attempt = state.attempts().at(number);
    ++usage.attempts;
    usage.suspended += attempt.state == AttemptState::suspended;
    usage.memory += attempt.memory;
    if (attempt.usesCores())
      usage.cores += attempt.cores;
  }
  return usage;
}

struct TenantWork {
  std::uint64_t openJobs = 0;
  std::uint64_t attempts = 0;
  std::uint64_t cores = 0;   // in thousandths of a core, for these attempts
  std::uint64_t memory = 0;  // in MB
  std::uint64_t accelerators = 0;
  void add(const Attempt& attempt) {
    ++attempts;
    cores += attempt.cores;
    memory += attempt.memory;
    accelerators += attempt.accelerators;
  }
};

// Only the number of keys is shown, never a key.
picojson::object renderTenant(const TenantName& name, const TenantOptions& options,
                              const TenantWork& work) {
  return {{"name", json(name.value)},
          {"api_keys", json(options.keys.size())},
          {"weight", json(options.weight)},
          {"open", json(work.openJobs)},
          {"attempts", json(work.attempts)},
          {"cores_used", json(double(work.cores) / 1000)},
          {"cores_cap", json(double(options.cap.cores) / 1000)},
          {"memory_used_mb", json(work.memory)},
          {"memory_cap_mb", json(options.cap.memory)},
          {"accelerators_used", json(work.accelerators)},
          {"accelerators_cap", json(options.cap.accelerators)}};
}

picojson::object renderMember(const Member& member, const RaftNode& raft, MonotonicTime now) {
  const bool isSelf = member.id == raft.self().id;
  const LogIndex match = isSelf ? raft.lastIndex() : raft.matchIndexOf(member.id);
  const auto unheard = isSelf ? 0 : (now - raft.lastContactWith(member.id)).milliseconds;
  return {{"id", json(member.id.value)},     {"address", json(member.address.value)},
          {"zone", json(member.zone.value)}, {"voter", json(member.voter)},
          {"leads", json(isSelf)},           {"match", json(match.value)},
          {"unheard_ms", json(unheard)}};
}

picojson::object renderReservation(const Reservation& reservation, ClusterTime clusterNow) {
  picojson::array placements;
  for (const auto& placement : reservation.placements)
    placements.push_back(json(picojson::object{{"task", json(placement.taskIndex)},
                                               {"worker", json(placement.worker.value)}}));
  return {{"job", json(reservation.job.value)},
          {"step", json(reservation.stepIndex)},
          {"in_ms", json((reservation.start - clusterNow).milliseconds)},
          {"moved", json(reservation.timesMoved)},
          {"placements", json(placements)}};
}

}  // namespace

LeaderRoute routeView(const RaftNode& raft, const ClusterState& committed,
                      const GatewayRegistry& gateways, MonotonicTime now) {
  LeaderRoute view;
  view.cluster = raft.cluster();
  view.term = raft.term();
  view.config = committed.config().version;
  for (const auto& [name, queue] : committed.config().queues)
    if (queue.priority > 0)
      view.priorityQueues.push_back(name);
  for (const auto& member : raft.membership()) {
    view.controllers.push_back(member.address);
    if (member.id == raft.leaderId())
      view.leader = member.address;
  }
  view.gateways = gateways.live(now);
  return view;
}

ApiResponse jobPhaseResponse(const ClusterState& state, const JobId& id) {
  auto job = state.jobs().find(id);
  if (job == state.jobs().end())
    return ApiResponse::error(410, "gone", "no job " + id.value);
  ApiResponse response;
  response.phase = phaseOf(job->second);
  response.body = json(picojson::object{{"phase", json(response.phase)}}).serialize();
  return response;
}

ApiResponse jobResponse(const ClusterState& state, const JobId& id) {
  auto job = state.jobs().find(id);
  if (job == state.jobs().end())
    return ApiResponse::error(404, "missing", "no job " + id.value);
  return ApiResponse::of(200, renderJob(state, job->second));
}

ApiResponse pendingJobCountResponse(const ClusterState& state, const QueueName& queue) {
  ApiResponse response;
  for (const auto& id : state.openJobs()) {
    const Job& job = state.jobs().at(id);
    if (job.submission.queue == queue && isPending(state, job))
      ++response.pendingJobCount;
  }
  return response;
}

ApiResponse configTextResponse(const ClusterState& state) {
  if (!state.config().version.value)
    return ApiResponse::error(404, "missing", "no configuration has been applied yet");
  ApiResponse response;
  response.body = state.config().text;
  return response;
}

picojson::object renderConfig(const ClusterState& state) {
  picojson::object rendered{{"version", json(state.config().version.value)}};
  picojson::value config;
  if (!state.config().text.empty() && picojson::parse(config, state.config().text).empty())
    rendered["config"] = config;
  return rendered;
}

picojson::object renderJob(const ClusterState& state, const Job& job) {
  picojson::array tasks;
  std::map<std::string, double> countsByState;
  for (std::size_t taskIndex = 0; taskIndex < job.tasks.size(); ++taskIndex) {
    const Task& task = job.tasks[taskIndex];
    const Attempt* attempt = currentAttempt(state, task);
    const std::string taskState = attempt ? name(attempt->state) : name(task.state);
    ++countsByState[taskState];
    if (taskIndex < maxListedTasks)
      tasks.push_back(json(renderTask(job, taskIndex, attempt, taskState)));
  }
  picojson::object tasksByState;
  for (const auto& [taskState, count] : countsByState)
    tasksByState[taskState] = json(count);
  if (job.compactedTaskCount)
    tasksByState["no longer kept"] = json(job.compactedTaskCount);
  picojson::object rendered{{"id", json(job.submission.id.value)},
                            {"queue", json(job.submission.queue.value)},
                            {"state", json(name(job.state))},
                            {"allowed_at_ms", json(job.admittedAt.milliseconds)},
                            {"tasks", json(tasks)},
                            {"tasks_by_state", json(tasksByState)}};
  if (!job.reason.empty())
    rendered["reason"] = json(job.reason);
  if (job.isTerminal())
    rendered["ended_at_ms"] = json(job.endedAt.milliseconds);
  if (job.submission.hasTimetable())
    rendered["fired"] = json(job.firedOccurrences);
  return rendered;
}

picojson::object renderJobList(const ClusterState& state, const ApiRequest& request) {
  picojson::array listed;
  for (const auto& [id, job] : state.jobs()) {
    if (!request.text.empty() && request.text != name(job.state))
      continue;
    if (listed.size() >= request.limit)
      break;
    listed.push_back(json(picojson::object{{"id", json(id.value)},
                                           {"queue", json(job.submission.queue.value)},
                                           {"state", json(name(job.state))}}));
  }
  return {{"jobs", json(listed)},
          {"kept", json(state.jobs().size())},
          {"open", json(state.openJobs().size())}};
}

picojson::object renderExport(const ClusterState& state, ClusterTime clusterNow) {
  picojson::array jobs;
  for (const auto& [id, job] : state.jobs())
    jobs.push_back(json(renderJob(state, job)));
  return {{"jobs", json(jobs)}, {"cluster_time_ms", json(clusterNow.milliseconds)}};
}

picojson::object renderWorkers(const ClusterState& state, const LastContactAges& unheard,
                               ClusterTime clusterNow) {
  picojson::array listed;
  for (const auto& [id, worker] : state.workers()) {
    const WorkerUsage usage = usageOf(state, id);
    auto duration = unheard.find(id);
    const auto unheardMs = duration == unheard.end() ? -1 : duration->second.milliseconds;
    listed.push_back(
        json(picojson::object{{"id", json(id.value)},
                              {"state", json(name(worker.state))},
                              {"zone", json(worker.capacity.zone.value)},
                              {"rack", json(worker.capacity.rack)},
                              {"cores", json(worker.capacity.cores / 1000.0)},
                              {"cores_used", json(double(usage.cores) / 1000.0)},
                              {"memory_mb", json(worker.capacity.memory)},
                              {"memory_used_mb", json(usage.memory)},
                              {"attempts", json(usage.attempts)},
                              {"held", json(usage.suspended)},
                              {"honours_leases", json(worker.capacity.honoursLeases)},
                              {"guards_room", json(worker.capacity.enforcesCapacity)},
                              {"failureScore", json(worker.failureScoreAt(clusterNow))},
                              {"orders_pending", json(worker.unappliedOrders.size())},
                              {"unheard_ms", json(unheardMs)}}));
  }
  return {{"workers", json(listed)}};
}

picojson::object renderTenants(const ClusterState& state) {
  std::map<TenantName, TenantWork> works;
  for (const auto& id : state.openJobs()) {
    TenantWork& work = works[state.jobs().at(id).submission.tenant];
    ++work.openJobs;
    for (auto number : state.attemptsOf(id, AttemptScope::withoutAbandoned))
      work.add(state.attempts().at(number));
  }
  picojson::array listed;
  for (const auto& [name, options] : state.config().tenants.all())
    listed.push_back(json(renderTenant(name, options, works[name])));
  return {{"version", json(state.config().version.value)}, {"tenants", json(listed)}};
}

picojson::object renderCluster(const ClusterState& state, const RaftNode& raft,
                               const GatewayRegistry& gateways, MonotonicTime now,
                               ClusterTime clusterNow) {
  picojson::array members;
  for (const auto& member : raft.membership())
    members.push_back(json(renderMember(member, raft, now)));
  picojson::array knownGateways;
  for (const auto& [address, gateway] : gateways.all())
    knownGateways.push_back(
        json(picojson::object{{"address", json(address.value)},
                              {"zone", json(gateway.zone.value)},
                              {"unheard_ms", json((now - gateway.lastContact).milliseconds)}}));
  return {{"cluster", json(raft.cluster().value)},
          {"term", json(raft.term().value)},
          {"commit", json(raft.commitIndex().value)},
          {"last", json(raft.lastIndex().value)},
          {"view", json(raft.snapshot().lastIncludedIndex.value)},
          {"config", json(state.config().version.value)},
          {"cluster_time_ms", json(clusterNow.milliseconds)},
          {"controllers", json(members)},
          {"gateways", json(knownGateways)}};
}

picojson::object renderPlan(const ClusterState& state, const Plan& plan, ClusterTime clusterNow) {
  picojson::array reasons;
  for (const auto& reason : plan.explanations) {
    if (reasons.size() >= maxListedReasons)
      break;
    reasons.push_back(json(picojson::object{{"job", json(reason.job.value)},
                                            {"step", json(reason.step)},
                                            {"priority", json(reason.rank)},
                                            {"reason", json(reason.text)}}));
  }
  picojson::object rendered{{"plan", json(state.lastPlan().value)},
                            {"waiting", json(plan.pendingUnits)},
                            {"reasons", json(reasons)}};
  if (state.reservation().isActive())
    rendered["reservation"] = json(renderReservation(state.reservation(), clusterNow));
  return rendered;
}

picojson::object renderCounters(const ClusterState& state, const RaftNode& raft,
                                std::size_t pendingRequests, const MemoryUsage& memory) {
  const Counters& counters = state.counters();
  return {{"allowed", json(counters.admitted)},
          {"finished", json(counters.succeeded)},
          {"failed", json(counters.failed)},
          {"cancelled", json(counters.cancelled)},
          {"starts", json(counters.starts)},
          {"trials", json(counters.trials)},
          {"trials_ran_out", json(counters.trialsExpired)},
          {"trials_finished", json(counters.trialsSucceeded)},
          {"holds", json(counters.suspends)},
          {"retries", json(counters.retries)},
          {"lost", json(counters.abandoned)},
          {"plans", json(counters.plans)},
          {"reservations_moved", json(counters.reservationsMoved)},
          {"open", json(state.openJobs().size())},
          {"kept", json(state.jobs().size())},
          {"cancelled_unknown", json(state.tombstones().size())},
          {"attempts", json(state.attempts().size())},
          {"requests", json(pendingRequests)},
          {"job_bytes", json(state.estimatedJobBytes())},
          {"job_bytes_limit", json(memory.jobBytesLimit)},
          {"pending_bytes", json(memory.pendingBytes)},
          {"resident_bytes", json(memory.residentBytes)},
          {"commit", json(raft.commitIndex().value)},
          {"term", json(raft.term().value)}};
}

}  // namespace aniseline
