#include "simulator/called_worker.hpp"

namespace aniseline {

namespace {
// What a stand-in's task does is said in its payload: "run=800" or "run=800 fail".
std::int64_t runOf(const std::string& payload, std::int64_t otherwise) {
  return payload.starts_with("run=") ? std::strtoll(payload.c_str() + 4, nullptr, 10) : otherwise;
}
bool failsAlways(const std::string& payload) {
  return payload.ends_with(" fail");
}
EndingKind kindOf(const std::string& how) {
  return how == "finished" ? EndingKind::finished
         : how == "failed" ? EndingKind::failed
                           : EndingKind::stopped;
}
// A checkpoint says how far the work is; the mark makes each one's text its own.
std::int64_t progressOf(const std::string& saved) {
  return std::strtoll(saved.c_str(), nullptr, 10);
}
}  // namespace

CalledWorker::CalledWorker(CalledWorkerOptions given, GangMeetings& meetings, std::uint64_t seed,
                           Book book, Tell tell, std::int64_t now)
    : options(std::move(given)),
      meetings(meetings),
      random(seed),
      book(std::move(book)),
      tell(std::move(tell)),
      bornAt(now),
      tickedAt(now) {}

WorkerAccount CalledWorker::account(std::int64_t now) const {
  return {options.life, options.capacity, leaving, leaveWithin, clock(now)};
}

HistoryEvent CalledWorker::witness(HistoryEvent::Kind kind, const RunName& name) const {
  HistoryEvent given;
  given.kind = kind;
  given.worker = options.life.value;
  given.job = name.job.value;
  given.attempt = std::to_string(name.run);
  const auto* job = book(name.job);
  if (!job)
    return given;
  if (job->timed())
    given.job += "@" + std::to_string(name.occurrence);
  given.task = name.within;
  for (std::uint32_t step = 0; step < std::min<std::size_t>(name.step, job->steps.size()); ++step)
    given.task += std::uint32_t(job->steps[step].tasks.size());
  return given;
}

void CalledWorker::hold(const std::optional<WorkerTime>& deadline, std::int64_t now) {
  if (!deadline)
    return;
  const WorkerTime until = std::min(*deadline, clock(now) + options.longestHold);
  if (until > clock(now) && (!heldUntil || until > *heldUntil))
    heldUntil = until;
}

WorkerReply CalledWorker::take(const WorkerCall& call, std::int64_t now, bool late) {
  tick(now);
  WorkerReply reply;
  if (call.life != options.life) {
    reply.kind = WorkerReply::Kind::otherLife;
    return reply;
  }
  reply.clock = clock(now);
  if (call.kind == WorkerCall::Kind::start && sickness == Sickness::refusing) {
    reply.kind = WorkerReply::Kind::sick;  // nothing was done
    return reply;
  }
  if (call.fence < fence) {
    reply.kind = WorkerReply::Kind::fenced;
    return reply;
  }
  fence = call.fence;
  reply.kind = WorkerReply::Kind::done;
  if (call.kind == WorkerCall::Kind::stop)
    stop(call, now);
  else
    hold(call.deadline, now);
  if (call.kind == WorkerCall::Kind::look)
    forget(call.lastSeen);
  if (call.kind == WorkerCall::Kind::start)
    start(call, reply, now, late);
  return reply;
}

bool CalledWorker::hasRoom(const TaskRequest& request) const {
  std::uint64_t cores = request.cores, memory = request.memory, accelerators = request.accelerators;
  for (const auto& [name, run] : runs) {
    cores += run.request.cores;
    memory += run.request.memory;
    accelerators += run.request.accelerators;
  }
  return cores <= options.capacity.cores && memory <= options.capacity.memory &&
         accelerators <= options.capacity.accelerators;
}

void CalledWorker::start(const WorkerCall& call, WorkerReply& reply, std::int64_t now, bool late) {
  if (runs.count(call.name))
    return;  // it is there already
  const bool newerHere = std::any_of(runs.begin(), runs.end(), [&](const auto& entry) {
    return task(entry.first) == task(call.name) && entry.first.run > call.name.run;
  });
  if (auto known = fenced.find(task(call.name));
      newerHere || (known != fenced.end() && call.name.run <= known->second)) {
    reply.kind = WorkerReply::Kind::old;
    return;
  }
  if (!heldUntil || !call.deadline || *call.deadline <= clock(now)) {
    reply.kind = WorkerReply::Kind::late;
    return;
  }
  Run run;
  run.job = book(call.name.job);
  if (run.job && call.name.step < run.job->steps.size())
    run.step = &run.job->steps[call.name.step];
  if (run.step && call.name.within < run.step->tasks.size())
    run.request = run.step->tasks[call.name.within];
  if (options.capacity.guardsRoom && !hasRoom(run.request)) {
    reply.kind = WorkerReply::Kind::room;
    return;
  }
  run.payload = call.payload;
  run.saved = call.saved;
  run.startedAt = now;
  run.done = run.savedAt = progressOf(call.saved);
  run.restoredAt = call.saved.empty() ? now : now + options.restoreTakes.milliseconds;
  run.length = runOf(call.payload, run.request.runtime.milliseconds);
  run.fails = failsAlways(call.payload);
  if (run.step && run.step->needs.lasts) {  // it goes on until it is stopped, or fails at some time
    run.length = random.between(4000, 40'000);
    run.fails = true;
  }
  if (run.step && !run.step->needs.near.empty() && !options.capacity.has(run.step->needs.near))
    run.length = std::int64_t(double(run.length) * options.far);
  if (sickness == Sickness::failing) {
    run.length = std::min<std::int64_t>(run.length, run.done + 100);
    run.fails = true;
  }
  auto given = witness(HistoryEvent::Kind::started, call.name);
  given.payload = call.payload;
  given.saved = call.saved;
  given.cores = run.request.cores;
  given.memory = run.request.memory;
  given.accelerators = run.request.accelerators;
  given.late = late;
  tell(given);
  if (run.gang()) {
    auto& met = meeting(call.name);
    met.present.insert(call.name.within);
    met.racks.insert(options.capacity.rack);
    if (!met.assembledAt && met.over.empty() && met.present.size() == run.step->tasks.size())
      met.assembledAt = run.restoredAt;
  }
  runs.emplace(call.name, std::move(run));
}

void CalledWorker::stop(const WorkerCall& call, std::int64_t now) {
  auto& fencedTo = fenced[task(call.name)];
  fencedTo = std::max(fencedTo, call.name.run);
  auto found = runs.find(call.name);
  if (found != runs.end() && !found->second.stoppedBy)
    found->second.stoppedBy = now + random.between(0, options.stopTakes.milliseconds);
}

// Endings that nobody asks for again are final, unless the hold ran out before they were taken note
// of.
void CalledWorker::forget(std::uint64_t lastSeen) {
  while (!endings.empty() && endings.front().number <= lastSeen) {
    const Ended& ended = endings.front();
    if (!ended.lapsed) {
      auto given = witness(HistoryEvent::Kind::confirmed, ended.name);
      given.detail = ended.how;
      tell(given);
    }
    endings.pop_front();
  }
}

void CalledWorker::list(WorkerReply& reply, std::int64_t now) const {
  reply.clock = clock(now);
  for (const auto& [name, run] : runs)
    reply.active.push_back({name, run.saved});
  for (const auto& ended : endings) {
    if (reply.ended.size() >= options.endingsAtOnce) {
      reply.whole = false;
      break;
    }
    reply.ended.push_back({ended.number, ended.name, kindOf(ended.how), ended.saved});
  }
}

void CalledWorker::save(const RunName& name, Run& run) {
  if (!run.step || !run.step->needs.saves || run.done <= run.savedAt)
    return;
  run.savedAt = run.done;
  run.saved = std::to_string(run.done) + ":" + std::to_string(random.next());
  auto given = witness(HistoryEvent::Kind::saved, name);
  given.saved = run.saved;
  tell(given);
}

void CalledWorker::end(RunName name, const std::string& how) {
  auto found = runs.find(name);
  auto given = witness(HistoryEvent::Kind::ended, name);
  given.detail = how;
  tell(given);
  endings.push_back({++lastEnding, name, how, found->second.saved});
  if (found->second.gang()) {
    auto& met = meeting(name);
    if (met.over.empty())
      met.over = how == "finished" ? "finished" : "broken";
  }
  runs.erase(found);
  auto& fencedTo = fenced[task(name)];
  fencedTo = std::max(fencedTo, name.run);
}

void CalledWorker::tick(std::int64_t now) {
  const std::int64_t before = std::exchange(tickedAt, now);
  if (heldUntil && clock(now) >= *heldUntil) {
    heldUntil.reset();
    while (!runs.empty())
      end(runs.begin()->first, "lapsed");
    for (auto& ended : endings)
      ended.lapsed = true;
  }
  std::vector<std::pair<RunName, std::string>> over;
  for (auto& [name, run] : runs) {
    GangMeeting* met = run.gang() ? &meeting(name) : nullptr;
    const bool works = !met || met->assembledAt;
    if (works && sickness != Sickness::stalled) {
      const std::int64_t from =
          std::max({before, run.restoredAt, met ? *met->assembledAt : run.startedAt});
      run.done += std::max<std::int64_t>(0, now - from);
      const std::int64_t every = options.saveEvery.milliseconds;
      if (run.done / every > run.savedAt / every && run.done < run.length)
        save(name, run);
    }
    const std::int64_t length = met && run.step->needs.sameRack && met->racks.size() > 1
                                    ? std::int64_t(double(run.length) * options.far)
                                    : run.length;
    if (run.stoppedBy) {
      if (now < *run.stoppedBy)
        continue;
      save(name, run);
      over.emplace_back(name, "stopped");
    } else if (met && !met->over.empty())
      over.emplace_back(name, met->over);
    else if (met && !met->assembledAt) {
      if (now - run.startedAt >= options.gangWait.milliseconds)
        over.emplace_back(name, "alone");
    } else if (run.done >= length)
      over.emplace_back(name, run.fails ? "failed" : "finished");
  }
  for (const auto& [name, how] : over) {
    // Another member may have ended in this very tick: the first ending speaks for all.
    const bool worked = how == "finished" || how == "failed";
    const auto& run = runs.at(name);
    end(name, worked && run.gang() && !meeting(name).over.empty() ? meeting(name).over : how);
  }
}

void CalledWorker::vanish() {
  for (auto& [name, run] : runs)
    if (run.gang()) {
      auto& met = meeting(name);
      if (met.over.empty())
        met.over = "broken";
    }
  runs.clear();
}

}  // namespace aniseline
