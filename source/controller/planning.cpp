// When and with which hints a plan is made. docs/design.md 7.
#include "controller/controller.hpp"

#include <cmath>

namespace aniseline {

Silence Controller::silence() const {
  Silence known;
  for (const auto& [id, heard] : contacts)
    known[id] = unresponsive.count(id) ? Duration{60'000} : now - heard;
  return known;
}

void Controller::recordPace(const WorkerSynced& synced) {
  for (const auto& ending : synced.endings) {
    auto attempt = speculative().attempts.find(ending.attempt);
    if (ending.kind != EndingKind::finished || attempt == speculative().attempts.end() ||
        attempt->second.trial())
      continue;
    const double ratio = double((clusterNow() - attempt->second.orderedAt).milliseconds) /
                         double(std::max<std::int64_t>(50, attempt->second.runtime.milliseconds));
    Pace& pace = paces[synced.worker];
    pace.value +=
        (std::log(std::clamp(ratio, 0.05, 20.0)) - pace.value) * (pace.samples < 8 ? 0.15 : 0.06);
    ++pace.samples;
    pace.at = now;
  }
}

// A worker that has ended nothing for a while is given the benefit of the doubt, the more the
// longer.
Hints Controller::hints() const {
  Hints known;
  for (const auto& [id, pace] : paces) {
    const double age = double(std::max<std::int64_t>(0, (now - pace.at).milliseconds - 1000));
    if (pace.samples >= 8)
      known.paces[id] = std::exp(pace.value * std::exp2(-age / 4000.0));
  }
  for (const auto& [pool, demand] : urgentDemand)
    known.urgentDemand[pool] =
        std::int64_t(demand.peak * std::exp2(-double((now - demand.at).milliseconds) / 5000.0));
  return known;
}

void Controller::recordDemand(const Plan& plan) {
  for (const auto& [pool, wanted] : plan.urgentDemand) {
    Demand& known = urgentDemand[pool];
    const double faded = known.peak * std::exp2(-double((now - known.at).milliseconds) / 5000.0);
    known.peak = std::max(faded, double(wanted));
    known.at = now;
  }
}

void Controller::planStarts() {
  if (!planWanted) {
    if (now < nextDueLook)
      return;
    nextDueLook = now + Duration{50};
    auto due = Planner::nextDue(speculative(), clusterNow());
    if (due && *due - clusterNow() <= Duration{1})
      planWanted = true;
    if (due && now - lastPlan >= Duration{500})
      planWanted = true;
    if (!planWanted)
      return;
  }
  // What a plan costs grows with what waits, and so does the rest after it: there is a share of the
  // time that it never takes.
  const Duration rest{std::int64_t(waitingAtPlan) / 100};
  if (now - lastPlan < (planAtOnce ? rest : std::max(speculative().config.planner.period, rest)))
    return;
  lastPlan = now;
  planAtOnce = false;
  Plan plan = planner.make(speculative(), clusterNow(), silence(), false, hints());
  recordDemand(plan);
  waitingAtPlan = plan.waiting;
  planWanted = false;
  if (now >= nextOccupancy) {
    nextOccupancy = now + Duration{1000};
    emitLogEvent("occupancy", {{"waiting", json(plan.waiting)},
                               {"in_time", json(plan.standings[0])},
                               {"late", json(plan.standings[1])},
                               {"past", json(plan.standings[2])},
                               {"attempts", json(speculative().attempts.size())},
                               {"open", json(speculative().open.size())},
                               {"workers", json(plan.usable)},
                               {"passed_over", json(plan.passedOver)},
                               {"copies", json(plan.copies)},
                               {"cores", json(double(plan.cores) / 1000)},
                               {"cores_used", json(double(plan.coresUsed) / 1000)}});
  }
  if (plan.empty(speculative().reservation))
    return;
  append(std::move(plan.made));
  planWanted = false;
}

}  // namespace aniseline
