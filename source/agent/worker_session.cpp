#include "agent/worker_session.hpp"

namespace aniseline {

SyncReport WorkerSession::report(MonotonicTime now) {
  tick(now);
  SyncReport report;
  report.id = options.id;
  report.incarnation = incarnation;
  report.capacity = options.capacity;
  report.lastOrder = applied;
  for (const auto& [attempt, ended] : endings)
    report.endings.push_back({attempt, ended.kind});
  report.leaving = leaving;
  report.leaveWithin = leaveWithin;
  report.wait = urgent() ? Duration{0} : options.wait;
  // Applied orders are told at once, but such a sync may then wait for new ones.
  if (endings.empty() && leaving == toldLeaving)
    report.wait = options.wait;
  toldApplied = applied;
  toldLeaving = leaving;
  return report;
}

bool WorkerSession::answered(Incarnation asked, const SyncResponse& answer, MonotonicTime sentAt,
                             MonotonicTime now) {
  tick(now);
  // Orders are counted anew for each incarnation: another's would be taken for this one's.
  if (asked != incarnation)
    return false;
  // docs/design.md 5.3: an order from a superseded leader, or under a lease that is over, is not
  // followed.
  if (answer.term < seenTerm || now >= sentAt + answer.lease)
    return false;
  seenTerm = answer.term;
  for (const auto& attempt : answer.confirmed)
    if (auto found = endings.find(attempt); found != endings.end()) {
      if (found->second.order.attempt.value)
        confirmed.emplace_back(found->second.order, found->second.kind);
      endings.erase(found);
    }
  if (!answer.gateways.empty())
    knownGateways = answer.gateways;
  leaseEnds = std::max(leaseEnds, sentAt + answer.lease);
  const bool wasHolding = std::exchange(holding, false);
  for (const auto& order : answer.orders)
    if (order.number == applied.next()) {
      applied = order.number;
      apply(order, now);
    }
  if (wasHolding)
    for (auto& [number, task] : tasks)
      setPaused(task, false, now);
  return true;
}

void WorkerSession::replaced(Incarnation next) {
  for (auto& [attempt, task] : tasks)
    if (task.started)
      effects.push_back({HandEffect::Kind::stop, attempt, {}});
  tasks.clear();
  endings.clear();
  incarnation = next;
  applied = toldApplied = OrderNumber{};
  holding = true;
}

void WorkerSession::setPaused(Running& task, bool pause, MonotonicTime now) {
  if (task.paused == pause)
    return;
  const bool before = active(task);
  task.paused = pause;
  const bool after = active(task);
  if (before && !after) {
    task.ran = task.ran + (now - task.since);
    effects.push_back({HandEffect::Kind::hold, task.order.attempt, {}});
  } else if (!before && after) {
    task.since = now;
    effects.push_back({HandEffect::Kind::resume, task.order.attempt, {}});
  }
}

void WorkerSession::tick(MonotonicTime now) {
  if (!holding && now >= leaseEnds && options.capacity.honoursLeases) {
    holding = true;
    for (auto& [attempt, task] : tasks)
      setPaused(task, true, now);
  }
  std::vector<AttemptNumber> spent;
  for (const auto& [attempt, task] : tasks)
    if (task.order.quantum.milliseconds > 0 && active(task) &&
        task.ran + (now - task.since) >= task.order.quantum)
      spent.push_back(attempt);
  for (auto attempt : spent) {
    effects.push_back({HandEffect::Kind::stop, attempt, {}});
    end(attempt, EndingKind::ranOut);
  }
}

MonotonicTime WorkerSession::nextDue() const {
  MonotonicTime due{std::numeric_limits<std::int64_t>::max()};
  if (!holding && options.capacity.honoursLeases)
    due = leaseEnds;
  for (const auto& [attempt, task] : tasks)
    if (task.order.quantum.milliseconds > 0 && active(task))
      due = std::min(due, task.since + (task.order.quantum - task.ran));
  return due;
}

void WorkerSession::end(AttemptNumber attempt, EndingKind kind) {
  endings[attempt] = Ended{tasks[attempt].order, kind};
  tasks.erase(attempt);
}

void WorkerSession::ended(AttemptNumber attempt, bool well, MonotonicTime) {
  if (tasks.count(attempt))
    end(attempt, well ? EndingKind::finished : EndingKind::failed);
}

void WorkerSession::leave(Duration within) {
  leaving = true;
  leaveWithin = within;
}

void WorkerSession::apply(const Order& order, MonotonicTime now) {
  auto found = tasks.find(order.attempt);
  switch (order.kind) {
    case OrderKind::start:
    case OrderKind::stage: {
      if (found != tasks.end() || endings.count(order.attempt))
        return;
      if (leaving) {  // docs/design.md 5.7: nothing starts once the word is given
        endings[order.attempt] = Ended{{}, EndingKind::unstarted};
        return;
      }
      Running task;
      task.order = order;
      task.staged = order.kind == OrderKind::stage;
      task.since = now;
      task.started = !task.staged;
      if (task.started)
        effects.push_back({HandEffect::Kind::start, order.attempt, order});
      tasks[order.attempt] = std::move(task);
      return;
    }
    case OrderKind::go:
      if (found == tasks.end() || !found->second.staged)
        return;
      if (leaving)
        return end(order.attempt, EndingKind::unstarted);
      found->second.staged = false;
      found->second.started = true;
      found->second.paused = false;
      found->second.since = now;
      effects.push_back({HandEffect::Kind::start, order.attempt, found->second.order});
      return;
    case OrderKind::hold:
    case OrderKind::resume: {
      if (found == tasks.end())
        return;
      Running& task = found->second;
      const bool before = active(task);
      task.held = order.kind == OrderKind::hold;
      const bool after = active(task);
      if (before && !after) {
        task.ran = task.ran + (now - task.since);
        effects.push_back({HandEffect::Kind::hold, order.attempt, {}});
      } else if (!before && after) {
        task.since = now;
        effects.push_back({HandEffect::Kind::resume, order.attempt, {}});
      }
      return;
    }
    case OrderKind::stop:
      if (found == tasks.end()) {
        if (!endings.count(order.attempt))
          endings[order.attempt] = Ended{{}, EndingKind::unstarted};
        return;
      }
      const bool started = found->second.started;
      if (started)
        effects.push_back({HandEffect::Kind::stop, order.attempt, {}});
      end(order.attempt, started ? EndingKind::stopped : EndingKind::unstarted);
      return;
  }
}

}  // namespace aniseline
