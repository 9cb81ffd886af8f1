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
                   [](auto& left, auto& right) { return left.at < right.at; });
}

CheckReport InvariantChecker::check() {
  findDisturbances();
  for (const auto& witness : history)
    see(witness);
  if (!history.empty())
    judgeSilence(history.back().at);
  judgeOperations();
  return std::move(found);
}

void InvariantChecker::broken(int rule, std::int64_t at, std::string text) {
  found.broken.push_back({rule, at, std::move(text)});
}
void InvariantChecker::limit(int rule, std::int64_t at, std::string text) {
  found.limits.push_back({rule, at, std::move(text)});
}

void InvariantChecker::findDisturbances() {
  std::map<std::string, std::int64_t> open;
  for (const auto& witness : history)
    if (witness.kind == HistoryEvent::Kind::disturbed)
      open.emplace(witness.detail, witness.at);
    else if (witness.kind == HistoryEvent::Kind::mended) {
      if (auto begun = open.find(witness.detail); begun != open.end()) {
        disturbances.emplace_back(begun->second, witness.at + aftermath);
        open.erase(begun);
      }
    } else if (witness.kind == HistoryEvent::Kind::whole) {
      for (const auto& [name, begun] : open)
        disturbances.emplace_back(begun, witness.at + aftermath);
      open.clear();
    }
  for (const auto& [name, begun] : open)
    disturbances.emplace_back(begun, std::numeric_limits<std::int64_t>::max());
}

// Every kind of line is listed, so that the compiler tells of a new one.
void InvariantChecker::see(const HistoryEvent& witness) {
  using Kind = HistoryEvent::Kind;
  switch (witness.kind) {
    case Kind::submitted:
      return void(++jobs[witness.job].submissions);
    case Kind::accepted:
      return accepted(witness);
    case Kind::rejected:
      return void(++jobs[witness.job].rejections);
    case Kind::cancelAcknowledged:
      return cancelAcknowledged(witness);
    case Kind::shown:
      return shown(witness);
    case Kind::explained:
      return void(jobs[witness.job].explained = true);
    case Kind::started:
      return started(witness);
    case Kind::held:
      return held(witness);
    case Kind::resumed:
      return resumed(witness);
    case Kind::ended:
      return ended(witness);
    case Kind::confirmed:
      return confirmed(witness);
    case Kind::saved:
      return saved(witness);
    case Kind::vanished:
      return vanished(witness);
    case Kind::leaving:
      return void(leavingSince.emplace(witness.worker, witness.at));
    case Kind::staying:
      return void(leavingSince.erase(witness.worker));
    case Kind::capacity:
      return capacityTold(witness);
    case Kind::configAcknowledged:
      return configAcknowledged(witness);
    case Kind::configSeen:
      return configSeen(witness);
    case Kind::whole:
      return void(wholeSince = witness.at);
    case Kind::served:
      return served(witness);
    case Kind::settled:
      return void(settledAt = witness.at);
    // What only findDisturbances and the search for an order of operations look at.
    case Kind::unknown:
    case Kind::disturbed:
    case Kind::mended:
    case Kind::looked:
    case Kind::cancelAsked:
    case Kind::cancelMissing:
    case Kind::configAsked:
    case Kind::configRefused:
    case Kind::configRead:
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
