// Worker contacts, and the expiry of leases and drains. docs/design.md 5.4 to 5.8.
#include "controller/lease_manager.hpp"

namespace aniseline {

namespace {

// The contact age reported to the planner for an unresponsive worker, even if its agent was heard
// from recently. It is long enough that the worker receives no tasks.
constexpr Duration unresponsiveUnheardDuration{60'000};
// The longest time by which a report can be delayed. An agent whose clock is further behind was
// restarted together with its machine.
constexpr Duration maxReportDelay{10'000};

bool isDrainPending(const Worker& worker) {
  return (worker.state == WorkerState::draining || worker.state == WorkerState::drained) &&
         !worker.drainDeadlinePassed;
}

}  // namespace

void LeaseManager::restart(MonotonicTime now) {
  leaderSince = now;
  lastContacts.clear();
  latestReports.clear();
  latestReportsByHost.clear();
  unresponsiveUntil.clear();
  deadlinesStale = true;
}

// An unresponsive worker is treated as out of contact even if its agent reports: it gets no new
// lease, and its tasks are abandoned when its last lease ends. docs/design.md 5.8.
LeaseManager::ReportEffect LeaseManager::recordReport(const SyncReport& report, MonotonicTime now) {
  ReportEffect effect;
  MonotonicTime& latest = latestReports[report.id];
  effect.outOfOrder = report.wantsPackedResponse && report.reportedAt < latest;
  latest = std::max(latest, report.reportedAt);
  if (effect.outOfOrder)
    return effect;
  if (report.wantsPackedResponse && !report.capacity.host.empty())
    latestReportsByHost[report.capacity.host] = {report.id, report.reportedAt};
  if (report.unresponsive) {
    const MonotonicTime noTasksAfter = now + report.remainingLease + options.unresponsiveMargin;
    auto [known, isNew] = unresponsiveUntil.try_emplace(report.id, noTasksAfter);
    if (!isNew)
      known->second = std::min(known->second, noTasksAfter);
    deadlinesStale = true;
  } else {
    effect.becameResponsive = unresponsiveUntil.erase(report.id) > 0;
    lastContacts[report.id] = now;
  }
  return effect;
}

bool LeaseManager::isSupersededByOtherInstance(const SyncReport& report) const {
  if (!report.wantsPackedResponse || report.capacity.host.empty())
    return false;
  const auto known = latestReportsByHost.find(report.capacity.host);
  if (known == latestReportsByHost.end() || known->second.instance == report.id)
    return false;
  const Duration lag = known->second.reportedAt - report.reportedAt;
  return lag > Duration{0} && lag <= maxReportDelay;
}

MonotonicTime LeaseManager::lastContact(const WorkerId& worker) const {
  auto contact = lastContacts.find(worker);
  return contact == lastContacts.end() ? leaderSince : std::max(leaderSince, contact->second);
}

LastContactAges LeaseManager::timesSinceLastContact(MonotonicTime now) const {
  LastContactAges durations;
  for (const auto& [worker, contact] : lastContacts)
    durations[worker] =
        unresponsiveUntil.count(worker) ? unresponsiveUnheardDuration : now - contact;
  return durations;
}

MonotonicTime LeaseManager::leaseExpiry(const WorkerId& worker) const {
  const MonotonicTime expiry =
      lastContact(worker) + options.leaseDuration + options.leaseMargin + Duration{1};
  auto unresponsive = unresponsiveUntil.find(worker);
  return unresponsive == unresponsiveUntil.end()
             ? expiry
             : std::min(expiry, unresponsive->second + Duration{1});
}

void LeaseManager::collectExpired(const ClusterState& state, MonotonicTime now,
                                  ClusterTime clusterNow) {
  deadlinesStale = false;
  expired.clear();
  nextLeaseExpiry = MonotonicTime{std::numeric_limits<std::int64_t>::max()};
  nextDrainDeadline = ClusterTime{std::numeric_limits<std::int64_t>::max()};
  for (const auto& [id, worker] : state.workers()) {
    if (worker.state == WorkerState::removed)
      continue;
    const MonotonicTime leaseEnd = leaseExpiry(id);
    const bool drains = isDrainPending(worker);
    if (now >= leaseEnd || (drains && clusterNow >= worker.drainDeadline)) {
      expired.insert(id);
      continue;
    }
    nextLeaseExpiry = std::min(nextLeaseExpiry, leaseEnd);
    if (drains)
      nextDrainDeadline = std::min(nextDrainDeadline, worker.drainDeadline);
  }
}

bool LeaseManager::isUnreachable(const WorkerId& worker, MonotonicTime now) const {
  return now >= leaseExpiry(worker);
}

// Reports whether an attempt on an unreachable worker is to be abandoned by now. The attempt's
// queue can be configured to wait longer. docs/design.md 5.5.
bool LeaseManager::isLost(const Attempt& attempt, const ClusterState& state,
                          MonotonicTime now) const {
  if (attempt.abandoned)
    return false;
  auto job = state.jobs().find(attempt.job);
  const auto* queue =
      job == state.jobs().end() ? nullptr : state.config().findQueue(job->second.submission.queue);
  const Duration patience = queue ? queue->reassignAfter : Duration{0};
  auto unresponsive = unresponsiveUntil.find(attempt.worker);
  if (unresponsive != unresponsiveUntil.end() && now > unresponsive->second + patience)
    return true;
  return now - lastContact(attempt.worker) > options.leaseDuration + options.leaseMargin + patience;
}

WorkerUnreachable LeaseManager::unreachableEvent(const Worker& worker, const ClusterState& state,
                                                 MonotonicTime now) const {
  WorkerUnreachable event{worker.id, {}};
  if (!worker.capacity.honoursLeases)
    return event;
  for (auto number : state.attemptsOn(worker.id))
    if (isLost(state.attempts().at(number), state, now))
      event.abandoned.push_back(number);
  return event;
}

std::optional<Event> LeaseManager::eventOfUnreachable(const Worker& worker,
                                                      const ClusterState& state,
                                                      MonotonicTime now) const {
  if (worker.state == WorkerState::draining && state.attemptsOn(worker.id).empty())
    return WorkerRemoved{worker.id, "left"};
  WorkerUnreachable event = unreachableEvent(worker, state, now);
  const bool isNewlyUnreachable =
      worker.state != WorkerState::unreachable && worker.state != WorkerState::drained;
  if (event.abandoned.empty() && !isNewlyUnreachable)
    return std::nullopt;
  return event;
}

std::vector<Event> LeaseManager::expire(const ClusterState& state, MonotonicTime now,
                                        ClusterTime clusterNow) {
  if (deadlinesStale || now >= nextLeaseExpiry || clusterNow >= nextDrainDeadline)
    collectExpired(state, now, clusterNow);
  std::vector<Event> events;
  for (const auto& id : expired) {
    auto found = state.workers().find(id);
    if (found == state.workers().end() || found->second.state == WorkerState::removed)
      continue;
    const Worker& worker = found->second;
    if (isUnreachable(id, now))
      if (auto event = eventOfUnreachable(worker, state, now))
        events.push_back(std::move(*event));
    if (isDrainPending(worker) && clusterNow >= worker.drainDeadline)
      events.push_back(WorkerDrainDeadlinePassed{id});
  }
  return events;
}

}  // namespace aniseline
