// Workers: registration, syncs, leases, leaving and their ends. docs/design.md 5.
#include "controller/controller.hpp"

namespace aniseline {

void Controller::handleSync(PendingRequest& record) {
  const SyncReport& report = record.request.report;
  auto found = speculative().workers.find(report.id);
  const Worker* known = found == speculative().workers.end() ? nullptr : &found->second;
  if (known && (std::count(known->retired.begin(), known->retired.end(), report.incarnation) ||
                (known->state == WorkerState::gone && known->incarnation == report.incarnation)))
    return decide(record,
                  ApiResponse::error(410, "gone",
                                     "this incarnation is replaced: stop all tasks and begin anew"),
                  false);
  // Two processes with one id would put each other out for ever: while the one that is known is
  // alive the other is told so.
  if (known && known->incarnation != report.incarnation && known->state != WorkerState::gone &&
      now - heardFrom(report.id) < options.aliveWithin) {
    emitLogEvent("worker id in use", {{"worker", json(report.id.value)}});
    return decide(record,
                  ApiResponse::error(409, "conflict",
                                     "worker " + report.id.value +
                                         " is alive as another process; give each its own id",
                                     options.aliveWithin),
                  false);
  }
  bool prompt = false;
  if (!known || known->incarnation != report.incarnation || known->capacity != report.capacity) {
    append(WorkerRegistered{report.id, report.incarnation, report.capacity});
    prompt = true;
  }
  const Worker& worker = speculative().workers.at(report.id);
  auto& waiting = polls[report.id];
  if (!report.packed ||
      report.wait.milliseconds)  // a newer sync that waits takes the place of one that still does
    for (auto other : waiting) {
      requests.at(other).pollUntil = now;
      pollsToLook.insert(other);
    }
  // A unresponsive worker is not in touch, whoever speaks for it: no lease is granted, and it is
  // given up when the last one is over. A report that a later one has overtaken says nothing of
  // that any more. docs/design.md 5.8.
  MonotonicTime& latest = reported[report.id];
  const bool overtaken = report.packed && report.reportedAt < latest;
  latest = std::max(latest, report.reportedAt);
  if (report.unresponsive && !overtaken) {
    const MonotonicTime over = now + report.heldFor + options.unresponsiveMargin;
    auto [known, isNew] = unresponsive.try_emplace(report.id, over);
    if (!isNew)
      known->second = std::min(known->second, over);
    workersChanged = true;
  } else if (!overtaken) {
    if (unresponsive.erase(report.id))
      planWanted = true;
    contacts[report.id] = now;
  }
  if (worker.state == WorkerState::silent && !report.unresponsive && !overtaken)
    append(WorkerReturned{report.id});
  const bool unlogged = worker.state == WorkerState::present ||
                        (worker.state == WorkerState::silent && worker.leaveBy == ClusterTime{});
  if (report.leaving && unlogged) {
    append(WorkerLeaves{report.id, report.leaveWithin, false});
    emitLogEvent("worker leaves", {{"worker", json(report.id.value)}});
  }
  WorkerSynced synced{report.id, std::min(report.lastOrder, worker.lastOrder), {}};
  for (const auto& ending : report.endings) {
    auto attempt = speculative().attempts.find(ending.attempt);
    if (attempt != speculative().attempts.end() && attempt->second.worker == report.id)
      synced.endings.push_back(ending);
  }
  for (const auto& ending : report.namedEndings)
    if (auto number = speculative().attemptNamed(report.id, ending.name); number.value)
      synced.endings.push_back({number, ending.kind, ending.saved});
  recordPace(synced);
  for (const auto& save : report.saves)
    if (auto number = speculative().attemptNamed(report.id, save.name); number.value)
      synced.saves.emplace_back(number, save.saved);
  if (synced.applied > worker.applied || !synced.endings.empty() || !synced.saves.empty())
    append(std::move(synced));
  record.stage = Stage::polling;
  unanswered.erase(record.place);
  waiting.insert(record.place);
  pollsToLook.insert(record.place);
  record.logged = false;
  record.barrier = raft.last();
  record.round = raft.startRound(now);
  record.pollUntil = prompt || !report.endings.empty() || !report.namedEndings.empty() ||
                             (report.leaving && !report.packed)
                         ? now
                         : now + std::min(report.wait, options.longestPoll);
  record.deadline = now + options.longestPoll + options.answerWithin;
}

void Controller::handleWorkerOrder(PendingRequest& record) {
  const WorkerId id{record.request.id};
  auto found = speculative().workers.find(id);
  if (found == speculative().workers.end())
    return decide(record, ApiResponse::error(404, "missing", "no worker " + id.value), false);
  const Worker& worker = found->second;
  bool logged = true;
  switch (record.request.kind) {
    case RequestKind::leave:
      // One that is silent may return: it is not used then either.
      if (worker.state == WorkerState::present || worker.state == WorkerState::silent)
        append(WorkerLeaves{id, record.request.within, false});
      else
        logged = false;
      break;
    case RequestKind::drain:
      if (worker.state != WorkerState::drained && worker.state != WorkerState::gone)
        append(WorkerLeaves{id, record.request.within, true});
      else
        logged = false;
      break;
    case RequestKind::undrain:
      if (worker.state == WorkerState::drained || worker.state == WorkerState::leaving)
        append(WorkerReturned{id});
      else
        logged = false;
      break;
    default:
      if (worker.state != WorkerState::gone)
        append(WorkerGone{id, "declared gone by an operator"});
      else
        logged = false;
  }
  decide(record,
         ApiResponse::of(200, {{"worker", json(id.value)}, {"state", json(name(worker.state))}}),
         logged);
}

MonotonicTime Controller::heardFrom(const WorkerId& id) const {
  auto contact = contacts.find(id);
  return contact == contacts.end() ? leaderSince : std::max(leaderSince, contact->second);
}

// Which tasks of a silent worker are given up by now: their queues may ask for more patience.
// docs/design.md 5.5.
WorkerSilent Controller::silenceOf(const Worker& worker, MonotonicTime heard) {
  WorkerSilent silent{worker.id, {}};
  if (!worker.capacity.honoursLeases)
    return silent;
  for (auto number : speculative().attemptsOn(worker.id)) {
    const Attempt& attempt = speculative().attempts.at(number);
    auto job = speculative().jobs.find(attempt.job);
    const auto* queue = job == speculative().jobs.end()
                            ? nullptr
                            : speculative().config.queue(job->second.submission.queue);
    const Duration patience = queue ? queue->replaceAfter : Duration{0};
    auto unheard = unresponsive.find(worker.id);
    const bool over = unheard != unresponsive.end() && now > unheard->second + patience;
    if (!attempt.lost && (over || now - heard > options.lease + options.margin + patience))
      silent.givenUp.push_back(number);
  }
  return silent;
}

void Controller::findOverdue() {
  workersChanged = false;
  overdue.clear();
  nextLapse = MonotonicTime{std::numeric_limits<std::int64_t>::max()};
  nextLeaveOver = ClusterTime{std::numeric_limits<std::int64_t>::max()};
  for (const auto& [id, worker] : speculative().workers) {
    if (worker.state == WorkerState::gone)
      continue;
    MonotonicTime lapse = heardFrom(id) + options.lease + options.margin + Duration{1};
    if (auto unheard = unresponsive.find(id); unheard != unresponsive.end())
      lapse = std::min(lapse, unheard->second + Duration{1});
    const bool leaves =
        (worker.state == WorkerState::leaving || worker.state == WorkerState::drained) &&
        !worker.leaveStopped;
    if (now >= lapse || (leaves && clusterNow() >= worker.leaveBy)) {
      overdue.insert(id);
      continue;
    }
    nextLapse = std::min(nextLapse, lapse);
    if (leaves)
      nextLeaveOver = std::min(nextLeaveOver, worker.leaveBy);
  }
}

// Leases, leavings, and their ends. docs/design.md 5.4 to 5.7.
void Controller::expireLeases() {
  if (workersChanged || now >= nextLapse || clusterNow() >= nextLeaveOver)
    findOverdue();
  std::vector<Event> events;
  for (const auto& id : overdue) {
    auto found = speculative().workers.find(id);
    if (found == speculative().workers.end() || found->second.state == WorkerState::gone)
      continue;
    const Worker& worker = found->second;
    const MonotonicTime heard = heardFrom(id);
    auto unheard = unresponsive.find(id);
    if (now - heard > options.lease + options.margin ||
        (unheard != unresponsive.end() && now > unheard->second)) {
      auto silent = silenceOf(worker, heard);
      if (worker.state == WorkerState::leaving && speculative().attemptsOn(id).empty())
        events.push_back(WorkerGone{id, "left"});
      else if (!silent.givenUp.empty() ||
               (worker.state != WorkerState::silent && worker.state != WorkerState::drained))
        events.push_back(std::move(silent));
    }
    if ((worker.state == WorkerState::leaving || worker.state == WorkerState::drained) &&
        !worker.leaveStopped && clusterNow() >= worker.leaveBy)
      events.push_back(WorkerLeaveOver{id});
  }
  for (auto& event : events) {
    if (auto* silent = boost::get<WorkerSilent>(&event);
        silent && speculative().workers.at(silent->worker).state != WorkerState::silent)
      emitLogEvent("worker silent", {{"worker", json(silent->worker.value)}});
    append(std::move(event));
  }
}

}  // namespace aniseline
