// Replays the history event by event. docs/design.md 11.
#include "checker/invariant_checker.hpp"

namespace aniseline {

namespace {

// The time in ms for which a fault has effects after its end: lease, margin and a change of leader.
constexpr std::int64_t faultEffectMs = 6000;

}  // namespace

InvariantChecker::InvariantChecker(std::vector<HistoryEvent> given,
                                   const std::map<std::string, JobSubmission>& submissions,
                                   const InvariantOptions& options)
    : history(std::move(given)),
      submissions(submissions),
      options(options),
      starvation(submissions, options,
                 [this](std::int64_t from, std::int64_t to) { return !hadFaultWithin(from, to); }) {
  std::stable_sort(history.begin(), history.end(),
                   [](auto& left, auto& right) { return left.timestamp < right.timestamp; });
}

CheckReport InvariantChecker::check() {
  findFaultIntervals();
  for (const auto& event : history) {
    checkCancelsAnsweredBy(event.timestamp);
    observe(event);
    for (auto& violation : starvation.observe(event))
      report.violations.push_back(std::move(violation));
  }
  if (!history.empty())
    checkAtEndOfHistory(history.back().timestamp);
  checkLinearizability();
  return std::move(report);
}

void InvariantChecker::reportViolation(Invariant rule, std::int64_t at, std::string text) {
  report.violations.push_back({rule, at, std::move(text)});
}
void InvariantChecker::reportUnavoidableViolation(Invariant rule, std::int64_t at,
                                                  std::string text) {
  report.unavoidableViolations.push_back({rule, at, std::move(text)});
}

void InvariantChecker::findFaultIntervals() {
  std::map<std::string, std::int64_t> open;
  for (const auto& event : history)
    if (event.kind == HistoryEvent::Kind::faultBegan)
      open.emplace(event.detail, event.timestamp);
    else if (event.kind == HistoryEvent::Kind::faultEnded) {
      if (auto begun = open.find(event.detail); begun != open.end()) {
        faultIntervals.emplace_back(begun->second, event.timestamp + faultEffectMs);
        open.erase(begun);
      }
    } else if (event.kind == HistoryEvent::Kind::clusterHealed) {
      for (const auto& [name, begun] : open)
        faultIntervals.emplace_back(begun, event.timestamp + faultEffectMs);
      open.clear();
    }
  for (const auto& [name, begun] : open)
    faultIntervals.emplace_back(begun, std::numeric_limits<std::int64_t>::max());
}

// Every kind is listed so that the compiler warns if a new one is missing.
void InvariantChecker::observe(const HistoryEvent& event) {
  using Kind = HistoryEvent::Kind;
  switch (event.kind) {
    case Kind::submitted:
      return void(++jobs[event.job].submissions);
    case Kind::accepted:
      return onAccepted(event);
    case Kind::rejected:
      return void(++jobs[event.job].rejections);
    case Kind::cancelSubmitted:
      return onCancelSubmitted(event);
    case Kind::cancelAcknowledged:
    case Kind::cancelNotFound:  // also applies to a submission that arrives later
      return onCancelAcknowledged(event);
    case Kind::stateObserved:
      return onStateObserved(event);
    case Kind::waitExplained:
      return void(jobs[event.job].waitExplained = true);
    case Kind::started:
      return onStarted(event);
    case Kind::suspended:
      return onSuspended(event);
    case Kind::resumed:
      return onResumed(event);
    case Kind::ended:
      return onEnded(event);
    case Kind::resultConfirmed:
      return onResultConfirmed(event);
    case Kind::checkpointed:
      return onCheckpointed(event);
    case Kind::workerLost:
      return onWorkerLost(event);
    case Kind::draining:
      return void(drainingSince.emplace(event.worker, event.timestamp));
    case Kind::drainCancelled:
      return void(drainingSince.erase(event.worker));
    case Kind::capacityReported:
      return onCapacityReported(event);
    case Kind::configSubmitted:
    case Kind::configRejected:
      return checkConfigOrder(event);
    case Kind::configAcknowledged:
      return onConfigAcknowledged(event);
    case Kind::configObserved:
      return onConfigObserved(event);
    case Kind::clusterHealed:
      return void(healedAt = event.timestamp);
    case Kind::serviceRestored:
      return onServiceRestored(event);
    case Kind::quiescent:
      return void(quiescentAt = event.timestamp);
    // These kinds are used only by findFaultIntervals and the linearizability check.
    case Kind::outcomeUnknown:
    case Kind::faultBegan:
    case Kind::faultEnded:
    case Kind::stateUnchanged:
    case Kind::configReturned:
    case Kind::closed:
      return;
  }
}

CheckReport checkInvariants(std::vector<HistoryEvent> history,
                            const std::map<std::string, JobSubmission>& submissions,
                            const InvariantOptions& options) {
  CheckReport report = InvariantChecker(std::move(history), submissions, options).check();
  if (options.storedClusters.size() > 1) {
    std::string clusters;
    for (const auto& cluster : options.storedClusters)
      clusters += (clusters.empty() ? "" : ", ") + cluster.value;
    report.violations.push_back(
        {Invariant::oneCluster, 0, "there were several clusters: " + clusters});
  }
  return report;
}

}  // namespace aniseline
