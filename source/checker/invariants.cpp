// A history played through, line by line. docs/design.md 11.
#include "checker/invariant_checker.hpp"

namespace aniseline {

namespace {

// ms of a fault's consequences: lease, margin and a change of leader.
constexpr std::int64_t aftermath = 6000;

}  // namespace

InvariantChecker::InvariantChecker(std::vector<HistoryEvent> given,
                                   const std::map<std::string, JobSubmission>& submissions,
                                   const InvariantOptions& options)
    : history(std::move(given)), submissions(submissions), options(options) {
  std::stable_sort(history.begin(), history.end(),
                   [](auto& left, auto& right) { return left.timestamp < right.timestamp; });
}

CheckReport InvariantChecker::check() {
  findFaultIntervals();
  for (const auto& witness : history)
    observe(witness);
  if (!history.empty())
    checkAtEndOfHistory(history.back().timestamp);
  checkLinearizability();
  return std::move(report);
}

void InvariantChecker::reportViolation(int rule, std::int64_t at, std::string text) {
  report.violations.push_back({rule, at, std::move(text)});
}
void InvariantChecker::reportUnavoidableViolation(int rule, std::int64_t at, std::string text) {
  report.unavoidableViolations.push_back({rule, at, std::move(text)});
}

void InvariantChecker::findFaultIntervals() {
  std::map<std::string, std::int64_t> open;
  for (const auto& witness : history)
    if (witness.kind == HistoryEvent::Kind::faultBegan)
      open.emplace(witness.detail, witness.timestamp);
    else if (witness.kind == HistoryEvent::Kind::faultEnded) {
      if (auto begun = open.find(witness.detail); begun != open.end()) {
        faultIntervals.emplace_back(begun->second, witness.timestamp + aftermath);
        open.erase(begun);
      }
    } else if (witness.kind == HistoryEvent::Kind::clusterHealed) {
      for (const auto& [name, begun] : open)
        faultIntervals.emplace_back(begun, witness.timestamp + aftermath);
      open.clear();
    }
  for (const auto& [name, begun] : open)
    faultIntervals.emplace_back(begun, std::numeric_limits<std::int64_t>::max());
}

// Every kind of line is listed, so that the compiler tells of a new one.
void InvariantChecker::observe(const HistoryEvent& witness) {
  using Kind = HistoryEvent::Kind;
  switch (witness.kind) {
    case Kind::submitted:
      return void(++jobs[witness.job].submissions);
    case Kind::accepted:
      return onAccepted(witness);
    case Kind::rejected:
      return void(++jobs[witness.job].rejections);
    case Kind::cancelAcknowledged:
      return onCancelAcknowledged(witness);
    case Kind::stateObserved:
      return onStateObserved(witness);
    case Kind::waitExplained:
      return void(jobs[witness.job].waitExplained = true);
    case Kind::started:
      return onStarted(witness);
    case Kind::suspended:
      return onSuspended(witness);
    case Kind::resumed:
      return onResumed(witness);
    case Kind::ended:
      return onEnded(witness);
    case Kind::resultConfirmed:
      return onResultConfirmed(witness);
    case Kind::checkpointed:
      return onCheckpointed(witness);
    case Kind::workerLost:
      return onWorkerLost(witness);
    case Kind::draining:
      return void(drainingSince.emplace(witness.worker, witness.timestamp));
    case Kind::drainCancelled:
      return void(drainingSince.erase(witness.worker));
    case Kind::capacityReported:
      return onCapacityReported(witness);
    case Kind::configSubmitted:
    case Kind::configRejected:
      return checkOrder(witness);
    case Kind::configAcknowledged:
      return onConfigAcknowledged(witness);
    case Kind::configObserved:
      return onConfigObserved(witness);
    case Kind::clusterHealed:
      return void(healedAt = witness.timestamp);
    case Kind::serviceRestored:
      return onServiceRestored(witness);
    case Kind::quiescent:
      return void(quiescentAt = witness.timestamp);
    // What only findDisturbances and the search for an order of operations look at.
    case Kind::outcomeUnknown:
    case Kind::faultBegan:
    case Kind::faultEnded:
    case Kind::stateUnchanged:
    case Kind::cancelSubmitted:
    case Kind::cancelNotFound:
    case Kind::configReturned:
    case Kind::closed:
      return;
  }
}

CheckReport checkInvariants(std::vector<HistoryEvent> history,
                            const std::map<std::string, JobSubmission>& submissions,
                            const InvariantOptions& options) {
  return InvariantChecker(std::move(history), submissions, options).check();
}

}  // namespace aniseline
