// Keeps the set of open orders consistent with the runs that they refer to.
#include "agent/run_table.hpp"

namespace aniseline {

bool RunTable::anyRunning() const {
  return std::any_of(runs.begin(), runs.end(),
                     [](const auto& entry) { return entry.second.isRunning(); });
}

bool RunTable::anyUncertain() const {
  return std::any_of(runs.begin(), runs.end(),
                     [](const auto& entry) { return entry.second.isUncertain(); });
}

void RunTable::start(const TaskRunId& runId, const Order& order, MonotonicTime now) {
  if (contains(runId))
    return;
  auto run = TrackedRun::fromStartOrder(order, now);
  // An order to stage a run is carried out once the run is recorded here.
  if (!run.isStaged())
    addOrder(run, order.number);
  runs.emplace(runId, std::move(run));
}

void RunTable::launch(const TaskRunId& runId, const Order& order, MonotonicTime now) {
  auto found = runs.find(runId);
  if (found == runs.end() || !found->second.isStaged())
    return;
  found->second.launch(now);
  addOrder(found->second, order.number);
}

void RunTable::stop(const TaskRunId& runId, const Order& order, MonotonicTime now) {
  auto found = runs.find(runId);
  // A run whose start this process never received is stopped as well, and a poll then shows its
  // outcome.
  if (found == runs.end())
    found = runs.emplace(runId, TrackedRun::fromStopOrder(order)).first;
  found->second.requestStop(now);
  addOrder(found->second, order.number);
}

void RunTable::assumeMaybeStarted(const TaskRunId& runId) {
  if (auto found = runs.find(runId); found != runs.end())
    found->second.assumeMaybeStarted();
}

std::optional<OrderNumber> RunTable::oldestOpenOrder() const {
  if (openOrders.empty())
    return std::nullopt;
  return *openOrders.begin();
}

void RunTable::beginCall(TrackedRun& run) {
  run.beginCall();
  ++callsInFlight;
}

void RunTable::onReply(const WorkerCall& call, WorkerReply::Status status, MonotonicTime now,
                       std::uint64_t nextPoll) {
  if (callsInFlight > 0)
    --callsInFlight;
  auto found = runs.find(call.runId);
  if (found == runs.end())
    return;  // a poll has returned its result in the meantime
  TrackedRun& run = found->second;
  if (call.kind == WorkerCall::Kind::stop)
    run.onStopReply(status, now, nextPoll);
  else if (run.onStartReply(status, now, nextPoll)) {
    startLatency.record(now - run.startableSince());
    completeOrders(run);
  }
}

std::optional<MonotonicTime> RunTable::nextCallAt() const {
  std::optional<MonotonicTime> earliest;
  for (const auto& [runId, run] : runs) {
    const auto callAt = run.nextCallAt();
    if (callAt && (!earliest || *callAt < *earliest))
      earliest = callAt;
  }
  return earliest;
}

void RunTable::onRunListed(const TaskRunId& runId) {
  TrackedRun& run = runs.try_emplace(runId).first->second;
  if (run.onListedRunning())
    completeOrders(run);
}

std::vector<TaskRunResult> RunTable::resolveUnlisted(const std::set<TaskRunId>& listedRuns,
                                                     std::uint64_t poll) {
  std::vector<TaskRunResult> neverStarted;
  for (auto& [runId, run] : runs) {
    if (run.isAbsenceConclusive(poll) && !listedRuns.count(runId) && run.onNotListed())
      neverStarted.push_back({runId, run.outcomeWithoutRun(), ""});
  }
  return neverStarted;
}

void RunTable::erase(const TaskRunId& runId) {
  auto found = runs.find(runId);
  if (found == runs.end())
    return;
  completeOrders(found->second);
  runs.erase(found);
}

void RunTable::clear() {
  runs.clear();
  openOrders.clear();
}

void RunTable::completeOrders(TrackedRun& run) {
  for (const auto number : run.takeOpenOrders())
    openOrders.erase(number);
}

void RunTable::addOrder(TrackedRun& run, OrderNumber number) {
  run.addOpenOrder(number);
  openOrders.insert(number);
}

}  // namespace aniseline
