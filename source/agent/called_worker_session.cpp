#include "agent/called_worker_session.hpp"

namespace aniseline {

namespace {

WorkerReply reply(WorkerReply::Kind kind, WorkerTime now) {
  WorkerReply made;
  made.kind = kind;
  made.clock = now;
  return made;
}

}  // namespace

WorkerReply CalledWorkerSession::take(const WorkerCall& call, WorkerTime now) {
  if (call.life != life)
    return reply(WorkerReply::Kind::otherLife, now);
  if (call.fence < fence)
    return reply(WorkerReply::Kind::fenced, now);
  fence = call.fence;
  tick(now);
  auto made = call.kind == WorkerCall::Kind::start  ? start(call, now)
              : call.kind == WorkerCall::Kind::stop ? stop(call)
                                                    : look(call, now);
  made.clock = now;
  return made;
}

WorkerReply CalledWorkerSession::start(const WorkerCall& call, WorkerTime now) {
  RunName task = call.name;
  task.run = 0;
  if (auto found = latest.find(task); found != latest.end() && found->second >= call.name.run)
    return reply(WorkerReply::Kind::old, now);
  if (!call.deadline || *call.deadline <= now)
    return reply(WorkerReply::Kind::late, now);
  if (leaving || !fits(call.order))
    return reply(WorkerReply::Kind::room, now);
  remember(call.name);
  extend(call.deadline, now);
  running[call.order.attempt] = Running{call.name, call.order, now};
  effects.push_back({HandEffect::Kind::start, call.order.attempt, call.order});
  return reply(WorkerReply::Kind::done, now);
}

// A stop of what is not there is remembered: a start of it that comes late is turned away.
WorkerReply CalledWorkerSession::stop(const WorkerCall& call) {
  remember(call.name);
  for (auto task = running.begin(); task != running.end(); ++task)
    if (task->second.name == call.name) {
      end(task, EndingKind::stopped, false);
      break;
    }
  return reply(WorkerReply::Kind::done, WorkerTime{});
}

WorkerReply CalledWorkerSession::look(const WorkerCall& call, WorkerTime now) {
  while (!endings.empty() && endings.front().number <= call.lastSeen) {
    confirmed.emplace_back(endings.front().order, endings.front().kind);
    endings.pop_front();
  }
  extend(call.deadline, now);
  auto made = reply(WorkerReply::Kind::done, now);
  for (const auto& [attempt, task] : running)
    made.active.push_back({task.name, ""});
  for (const auto& ended : endings) {
    if (made.ended.size() >= options.endingsAtOnce) {
      made.whole = false;
      break;
    }
    made.ended.push_back({ended.number, ended.name, ended.kind, ""});
  }
  return made;
}

void CalledWorkerSession::extend(const std::optional<WorkerTime>& deadline, WorkerTime now) {
  if (deadline)
    hold = std::max(hold, std::min(*deadline, now + options.longestHold));
}

void CalledWorkerSession::tick(WorkerTime now) {
  if (now >= hold) {
    // What had ended well and was not confirmed may be started elsewhere from now on: it is void.
    // docs/design.md 5.5.
    for (auto& ended : endings)
      if (ended.kind == EndingKind::finished)
        ended.kind = EndingKind::stopped;
    while (!running.empty())
      end(running.begin(), EndingKind::stopped, false);
  }
  for (auto task = running.begin(); task != running.end();) {
    const auto present = task++;
    const Duration quantum = present->second.order.quantum;
    if (quantum.milliseconds > 0 && now - present->second.since >= quantum)
      end(present, EndingKind::ranOut, false);
  }
}

void CalledWorkerSession::ended(AttemptNumber attempt, bool well, WorkerTime now) {
  tick(now);
  if (auto task = running.find(attempt); task != running.end())
    end(task, well ? EndingKind::finished : EndingKind::failed, true);
}

void CalledWorkerSession::end(std::map<AttemptNumber, Running>::iterator task, EndingKind kind,
                              bool byItself) {
  if (!byItself)
    effects.push_back({HandEffect::Kind::stop, task->first, task->second.order});
  endings.push_back({++lastEnding, task->second.name, task->second.order, kind});
  running.erase(task);
}

void CalledWorkerSession::replaced(WorkerId next) {
  while (!running.empty())
    end(running.begin(), EndingKind::stopped, false);
  const auto stops = std::move(effects);
  *this = CalledWorkerSession(options, std::move(next));
  effects = stops;
}

bool CalledWorkerSession::fits(const Order& order) const {
  if (!options.capacity.guardsRoom)
    return true;
  std::uint64_t cores = order.cores, memory = order.memory;
  for (const auto& [attempt, task] : running)
    cores += task.order.cores, memory += task.order.memory;
  return cores <= options.capacity.cores && memory <= options.capacity.memory;
}

bool CalledWorkerSession::remember(const RunName& name) {
  RunName task = name;
  task.run = 0;
  auto [found, isNew] = latest.try_emplace(task, name.run);
  if (!isNew && found->second >= name.run)
    return false;
  found->second = name.run;
  if (!isNew)
    return true;
  known.push_back(task);
  if (known.size() > options.remembered) {
    latest.erase(known.front());
    known.pop_front();
  }
  return true;
}

}  // namespace aniseline
