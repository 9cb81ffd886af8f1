// What is shown to clients, operators and gateways. docs/api.md.
#include "controller/controller.hpp"

namespace aniseline {

LeaderRoute Controller::route(MonotonicTime at) const {
  LeaderRoute view;
  view.term = raft.term();
  view.config = committedState.config().version;
  for (const auto& [name, queue] : committedState.config().queues)
    if (queue.priority > 0)
      view.priorityQueues.push_back(name);
  for (const auto& member : raft.membership()) {
    view.controllers.push_back(member.address);
    if (member.id == raft.leaderId())
      view.leader = member.address;
  }
  view.gateways = liveGateways(at);
  return view;
}

std::vector<GatewayEndpoint> Controller::liveGateways(MonotonicTime at) const {
  std::vector<GatewayEndpoint> heard;
  for (const auto& [address, seen] : gateways)
    if (at - seen.lastContact < Duration{10'000})
      heard.push_back({address, seen.zone});
  return heard;
}

// A job's phase alone. docs/api.md 1.
ApiResponse Controller::showJobPhase(const JobId& id) const {
  auto found = speculativeState->jobs().find(id);
  if (found == speculativeState->jobs().end())
    return ApiResponse::error(410, "gone", "no job " + id.value);
  const Job& job = found->second;
  const bool begun = job.state == JobState::scheduled
                         ? job.firedOccurrences > 0
                         : std::any_of(job.tasks.begin(), job.tasks.end(),
                                       [](const Task& task) { return task.runNumber > 0; });
  ApiResponse answer;
  answer.phase = job.isTerminal()                    ? name(job.state)
                 : job.state == JobState::cancelling ? "cancelled"
                 : job.terminating                   ? "failed"
                 : begun                             ? "running"
                                                     : "waiting";
  answer.body = json(picojson::object{{"phase", json(answer.phase)}}).serialize();
  return answer;
}

picojson::object Controller::showJob(const Job& job) const {
  picojson::array tasks;
  std::map<std::string, double> counts;
  for (std::size_t place = 0; place < job.tasks.size(); ++place) {
    const Task& task = job.tasks[place];
    std::string state = name(task.state);
    picojson::object shown;
    auto attempt = speculativeState->attempts().find(task.currentAttempt);
    if (task.state == TaskState::placed && attempt != speculativeState->attempts().end()) {
      state = name(attempt->second.state);
      shown["worker"] = json(attempt->second.worker.value);
      if (attempt->second.isTrial())
        shown["trial"] = json(true);
    }
    ++counts[state];
    if (place >= 200)
      continue;
    shown["task"] = json(place);
    shown["step"] = json(job.submission.steps[task.stepIndex].name);
    shown["state"] = json(state);
    shown["starts"] = json(task.countedStarts);
    tasks.push_back(json(shown));
  }
  picojson::object byState;
  for (const auto& [state, count] : counts)
    byState[state] = json(count);
  if (job.compactedTaskCount)
    byState["no longer kept"] = json(job.compactedTaskCount);
  picojson::object shown{{"id", json(job.submission.id.value)},
                         {"queue", json(job.submission.queue.value)},
                         {"state", json(name(job.state))},
                         {"allowed_at_ms", json(job.admittedAt.milliseconds)},
                         {"tasks", json(tasks)},
                         {"tasks_by_state", json(byState)}};
  if (!job.reason.empty())
    shown["reason"] = json(job.reason);
  if (job.isTerminal())
    shown["ended_at_ms"] = json(job.endedAt.milliseconds);
  if (job.submission.hasTimetable())
    shown["fired"] = json(job.firedOccurrences);
  return shown;
}

picojson::object Controller::listJobs(const ApiRequest& request) const {
  picojson::array listed;
  for (const auto& [id, job] : speculativeState->jobs()) {
    if (!request.text.empty() && request.text != name(job.state))
      continue;
    if (listed.size() >= request.limit)
      break;
    listed.push_back(json(picojson::object{{"id", json(id.value)},
                                           {"queue", json(job.submission.queue.value)},
                                           {"state", json(name(job.state))}}));
  }
  return {{"jobs", json(listed)},
          {"kept", json(speculativeState->jobs().size())},
          {"open", json(speculativeState->openJobs().size())}};
}

picojson::object Controller::showWorkers() const {
  picojson::array listed;
  const auto known = unheardDurations();
  for (const auto& [id, worker] : speculativeState->workers()) {
    std::uint64_t cores = 0, memory = 0, held = 0, count = 0;
    for (auto number : speculativeState->attemptsOn(id)) {
      const Attempt& attempt = speculativeState->attempts().at(number);
      ++count;
      held += attempt.state == AttemptState::suspended;
      memory += attempt.memory;
      if (attempt.usesCores())
        cores += attempt.cores;
    }
    auto quiet = known.find(id);
    listed.push_back(json(picojson::object{
        {"id", json(id.value)},
        {"state", json(name(worker.state))},
        {"zone", json(worker.capacity.zone.value)},
        {"rack", json(worker.capacity.rack)},
        {"cores", json(worker.capacity.cores / 1000.0)},
        {"cores_used", json(double(cores) / 1000.0)},
        {"memory_mb", json(worker.capacity.memory)},
        {"memory_used_mb", json(memory)},
        {"attempts", json(count)},
        {"held", json(held)},
        {"honours_leases", json(worker.capacity.honoursLeases)},
        {"guards_room", json(worker.capacity.enforcesCapacity)},
        {"failureScore", json(worker.failureScoreAt(clusterNow()))},
        {"orders_pending", json(worker.unappliedOrders.size())},
        {"unheard_ms", json(quiet == known.end() ? -1 : quiet->second.milliseconds)}}));
  }
  return {{"workers", json(listed)}};
}

picojson::object Controller::showCluster() const {
  picojson::array listed, outer;
  for (const auto& member : raft.membership()) {
    const bool own = member.id == raft.self().id;
    listed.push_back(json(picojson::object{
        {"id", json(member.id.value)},
        {"address", json(member.address.value)},
        {"zone", json(member.zone.value)},
        {"voter", json(member.voter)},
        {"leads", json(own)},
        {"match", json(own ? raft.lastIndex().value : raft.matchIndexOf(member.id).value)},
        {"unheard_ms", json(own ? 0 : (now - raft.lastHeardFrom(member.id)).milliseconds)}}));
  }
  for (const auto& [address, seen] : gateways)
    outer.push_back(
        json(picojson::object{{"address", json(address.value)},
                              {"zone", json(seen.zone.value)},
                              {"unheard_ms", json((now - seen.lastContact).milliseconds)}}));
  return {{"term", json(raft.term().value)},
          {"commit", json(raft.commitIndex().value)},
          {"last", json(raft.lastIndex().value)},
          {"view", json(raft.snapshot().lastIncludedIndex.value)},
          {"config", json(speculativeState->config().version.value)},
          {"cluster_time_ms", json(clusterNow().milliseconds)},
          {"controllers", json(listed)},
          {"gateways", json(outer)}};
}

picojson::object Controller::showPlan() {
  Plan plan = planner.makePlan(speculative(), clusterNow(), unheardDurations(), true, hints());
  picojson::array reasons;
  for (const auto& reason : plan.explanations) {
    if (reasons.size() >= 200)
      break;
    reasons.push_back(json(picojson::object{{"job", json(reason.job.value)},
                                            {"step", json(reason.step)},
                                            {"priority", json(reason.rank)},
                                            {"reason", json(reason.text)}}));
  }
  picojson::object shown{{"plan", json(speculative().lastPlan().value)},
                         {"waiting", json(plan.pendingUnits)},
                         {"reasons", json(reasons)}};
  const Reservation& reservation = speculative().reservation();
  if (reservation.isActive()) {
    picojson::array placements;
    for (const auto& placement : reservation.placements)
      placements.push_back(json(picojson::object{{"task", json(placement.taskIndex)},
                                                 {"worker", json(placement.worker.value)}}));
    shown["reservation"] =
        json(picojson::object{{"job", json(reservation.job.value)},
                              {"step", json(reservation.stepIndex)},
                              {"in_ms", json((reservation.start - clusterNow()).milliseconds)},
                              {"moved", json(reservation.timesMoved)},
                              {"placements", json(placements)}});
  }
  return shown;
}

picojson::object Controller::showCounters() const {
  const Counters& counters = speculativeState->counters();
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
          {"open", json(speculativeState->openJobs().size())},
          {"kept", json(speculativeState->jobs().size())},
          {"attempts", json(speculativeState->attempts().size())},
          {"requests", json(requests.size())},
          {"commit", json(raft.commitIndex().value)},
          {"term", json(raft.term().value)}};
}

}  // namespace aniseline
