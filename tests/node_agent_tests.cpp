// The agent without sockets: its calls are taken as text, and each test answers, loses or delays
// them. docs/design.md 5.8.
#include "agent/node_agent.hpp"
#include <CppUTest/TestHarness.h>

using namespace aniseline;

namespace {

using CallKind = WorkerCall::Kind;
using ReplyKind = WorkerReply::Status;

TaskRunId run(const std::string& job, std::uint32_t number = 1) {
  return TaskRunId{JobId{job}, 0, 0, 0, number};
}
std::string text(const TaskRunId& name) {
  return name.job.value + "/" + std::to_string(name.runNumber);
}
Order order(std::uint64_t number, OrderKind kind, const std::string& job,
            std::uint32_t runNumber = 1) {
  Order made;
  made.number = OrderNumber{number};
  made.kind = kind;
  made.job = JobId{job};
  made.runNumber = runNumber;
  made.payload = "work of " + job;
  return made;
}
Order start(std::uint64_t number, const std::string& job, std::uint32_t runNumber = 1) {
  return order(number, OrderKind::start, job, runNumber);
}
Order stop(std::uint64_t number, const std::string& job, std::uint32_t runNumber = 1) {
  return order(number, OrderKind::stop, job, runNumber);
}
WorkerReply::RunningTask active(const std::string& job, const std::string& saved = "") {
  return {run(job), saved};
}
WorkerReply::RunResult ended(std::uint64_t number, const std::string& job,
                             AttemptOutcome kind = AttemptOutcome::succeeded) {
  return {number, run(job), kind, ""};
}

// An agent between a leader and a worker that are both the test.
struct Stand {
  NodeAgent agent{NodeAgentOptions{}};
  std::int64_t now = 100'000;
  double rate = 1.0;  // of the worker's clock against ours
  Term term{7};
  Duration lease{6000};
  std::string life = "life-1";
  std::uint64_t sequence = 0;    // of the next account; 0: accounts are not counted
  std::vector<WorkerCall> open;  // under way to the worker

  MonotonicTime at() const { return MonotonicTime{now}; }
  WorkerTime workerClock(std::int64_t time) const {
    return WorkerTime{5'000'000 + std::int64_t(double(time - 100'000) * rate)};
  }
  WorkerRegistration account(bool leaving = false) const {
    WorkerRegistration account;
    account.workerInstance = WorkerId{life};
    account.draining = leaving;
    account.drainTimeout = Duration{leaving ? 2000 : 0};
    account.clockReading = workerClock(now);
    account.sequence = sequence;
    return account;
  }
  bool beat(bool leaving = false) { return agent.onRegistration(account(leaving), at()); }
  bool countedBeat(std::uint64_t counted) {
    sequence = counted;
    return beat();
  }
  bool leave() { return agent.onDrainNotice(WorkerId{life}, Duration{2000}, at()); }
  bool leavingTold() const { return agent.drainAcknowledged(WorkerId{life}); }
  // Another life makes itself known while one stands, and answers the look that asks for it.
  void anotherLife(const std::string& name) {
    life = name;
    CHECK(beat());
    callsIn(30);
    const auto look = std::find_if(open.begin(), open.end(), [&](const WorkerCall& call) {
      return call.workerInstance.value == name;
    });
    CHECK_TEXT(look != open.end(), "the life that an account names is not asked for");
    const WorkerCall asked = *look;
    open.erase(look);
    agent.onWorkerReply(asked, lists({}, {}), at());
    STRCMP_EQUAL(name.c_str(), agent.workerInstance().value.c_str());
  }
  SyncResponse answer(std::vector<Order> orders, std::uint32_t closed = 0) const {
    SyncResponse made;
    made.term = term;
    made.lease = lease;
    made.orders = std::move(orders);
    made.finalResultCount = closed;
    return made;
  }
  // One request with the leader, over at once.
  SyncReport sync(std::vector<Order> orders = {}, std::uint32_t closed = 0) {
    auto report = agent.makeSyncReport(at());
    agent.onSyncResponse(report, answer(std::move(orders), closed), at(), at());
    return report;
  }
  // What the agent asks of its worker now; the calls stay open until they are answered.
  std::string calls() {
    std::string words;
    for (auto& call : agent.takeCalls(at())) {
      static const char* const names[] = {"start ", "stop ", "look"};
      words += (words.empty() ? "" : ", ") + std::string(names[int(call.kind)]) +
               (call.kind == CallKind::poll ? "" : text(call.runId));
      open.push_back(std::move(call));
    }
    return words;
  }
  std::string callsIn(std::int64_t span) {
    now += span;
    return calls();
  }
  WorkerCall take(CallKind kind, const std::string& job = "") {
    auto found = std::find_if(open.begin(), open.end(), [&](const WorkerCall& call) {
      return call.kind == kind && (job.empty() || call.runId.job.value == job);
    });
    CHECK_TEXT(found != open.end(), "no such call is under way");
    WorkerCall call = *found;
    open.erase(found);
    return call;
  }
  WorkerCall reply(CallKind kind, ReplyKind how, const std::string& job = "") {
    const WorkerCall call = take(kind, job);
    WorkerReply reply;
    reply.status = how;
    if (how != ReplyKind::noResponse)
      reply.clockReading = workerClock(now);
    agent.onWorkerReply(call, reply, at());
    return call;
  }
  WorkerReply lists(std::vector<WorkerReply::RunningTask> running,
                    std::vector<WorkerReply::RunResult> over) const {
    WorkerReply reply;
    reply.status = ReplyKind::ok;
    reply.clockReading = workerClock(now);
    reply.runningTasks = std::move(running);
    reply.results = std::move(over);
    return reply;
  }
  WorkerCall looked(std::vector<WorkerReply::RunningTask> running = {},
                    std::vector<WorkerReply::RunResult> over = {}) {
    const WorkerCall call = take(CallKind::poll);
    agent.onWorkerReply(call, lists(std::move(running), std::move(over)), at());
    return call;
  }
  // The worker is known, the leader grants a lease, and the first look finds nothing there.
  void begin() {
    CHECK(beat());
    sync();
    STRCMP_EQUAL("look", calls().c_str());
    looked();
    now += 30;
  }
  void beginWith(const std::string& job, std::uint64_t number = 1) {
    sync({start(number, job)});
    CHECK(calls().find("start " + job) != std::string::npos);
    reply(CallKind::start, ReplyKind::ok, job);
    now += 30;
  }
  // The endings that a report tells, in its order.
  static std::string endings(const SyncReport& report) {
    std::string words;
    for (const auto& ending : report.runResults)
      words += (words.empty() ? "" : ", ") + text(ending.runId) + " " + name(ending.outcome);
    return words;
  }
  std::string endings() { return endings(agent.makeSyncReport(at())); }
  std::uint64_t applied() { return agent.makeSyncReport(at()).lastAppliedOrder.value; }
};

}  // namespace

TEST_GROUP(AgentStarts){};

TEST(AgentStarts, withoutAnAnswerIsTriedAgainAndNothingIsTold) {
  Stand stand;
  stand.begin();
  stand.sync({start(1, "a")});
  STRCMP_EQUAL("start a/1", stand.calls().c_str());
  for (int count = 0; count < 5; ++count) {
    stand.reply(CallKind::start, ReplyKind::noResponse);
    STRCMP_EQUAL("", stand.calls().c_str());  // not at once
    STRCMP_EQUAL("", stand.endings().c_str());
    LONGS_EQUAL(0, stand.applied());
    STRCMP_EQUAL("start a/1", stand.callsIn(20).c_str());
  }
  auto call = stand.reply(CallKind::start, ReplyKind::ok);
  STRCMP_EQUAL("work of a", call.payload.c_str());
  LONGS_EQUAL(1, stand.applied());
  STRCMP_EQUAL("", stand.endings().c_str());
}

TEST(AgentStarts, isNeverUnstartedBeforeAStopOfItWasAnsweredAndALookSawNothing) {
  Stand stand;
  stand.begin();
  stand.sync({start(1, "a")});
  stand.calls();
  stand.reply(CallKind::start, ReplyKind::noResponse);
  stand.sync({stop(2, "a")});
  STRCMP_EQUAL("stop a/1", stand.calls().c_str());
  stand.reply(CallKind::stop, ReplyKind::noResponse);
  STRCMP_EQUAL("", stand.endings().c_str());
  STRCMP_EQUAL("stop a/1", stand.callsIn(100).c_str());
  stand.reply(CallKind::stop, ReplyKind::ok);
  STRCMP_EQUAL("", stand.endings().c_str());
  STRCMP_EQUAL("look", stand.callsIn(30).c_str());
  STRCMP_EQUAL("", stand.endings().c_str());
  stand.looked();
  STRCMP_EQUAL("a/1 unstarted", stand.endings().c_str());
  LONGS_EQUAL(2, stand.applied());
}

TEST(AgentStarts, carriedOutLateIsSeenAndEndsAsStopped) {
  Stand stand;
  stand.begin();
  stand.sync({start(1, "a")});
  stand.calls();
  stand.reply(CallKind::start, ReplyKind::noResponse);
  stand.sync({stop(2, "a")});
  stand.calls();
  stand.reply(CallKind::stop, ReplyKind::ok);  // it had begun meanwhile and is being stopped
  stand.callsIn(30);
  stand.looked({active("a")});
  STRCMP_EQUAL("", stand.endings().c_str());
  STRCMP_EQUAL("look", stand.callsIn(250).c_str());
  stand.looked({}, {ended(1, "a", AttemptOutcome::stopped)});
  STRCMP_EQUAL("a/1 stopped", stand.endings().c_str());
}

TEST(AgentStarts, aLookBegunBeforeTheStopsAnswerProvesNothing) {
  Stand stand;
  stand.begin();
  stand.beginWith("b");
  stand.sync({start(2, "a")});
  STRCMP_EQUAL("start a/1, look", stand.calls().c_str());
  stand.reply(CallKind::start, ReplyKind::noResponse, "a");
  stand.sync({stop(3, "a")});
  stand.calls();
  stand.reply(CallKind::stop, ReplyKind::ok, "a");
  stand.looked({active("b")});  // seen before the stop came there
  STRCMP_EQUAL("", stand.endings().c_str());
  STRCMP_EQUAL("look", stand.callsIn(250).c_str());
  stand.looked({active("b")});
  STRCMP_EQUAL("a/1 unstarted", stand.endings().c_str());
}

// A list that had no room for all endings proves no absence.
TEST(AgentStarts, aLookThatIsNotWholeProvesNothing) {
  Stand stand;
  stand.begin();
  stand.sync({start(1, "a")});
  stand.calls();
  stand.reply(CallKind::start, ReplyKind::noResponse);
  stand.sync({stop(2, "a")});
  stand.calls();
  stand.reply(CallKind::stop, ReplyKind::ok);
  stand.callsIn(30);
  auto reply = stand.lists({}, {});
  reply.complete = false;
  stand.agent.onWorkerReply(stand.take(CallKind::poll), reply, stand.at());
  STRCMP_EQUAL("", stand.endings().c_str());
  stand.callsIn(250);
  stand.looked();
  STRCMP_EQUAL("a/1 unstarted", stand.endings().c_str());
}

TEST(AgentStarts, turnedAwayForRoomIsRefusedWithoutAStop) {
  Stand stand;
  stand.begin();
  stand.sync({start(1, "a")});
  stand.calls();
  stand.reply(CallKind::start, ReplyKind::insufficientCapacity);
  STRCMP_EQUAL("", stand.calls().c_str());
  STRCMP_EQUAL("a/1 refused", stand.endings().c_str());
  LONGS_EQUAL(1, stand.applied());
}

TEST(AgentStarts, turnedAwayForRoomAfterSilenceIsStoppedFirst) {
  Stand stand;
  stand.begin();
  stand.sync({start(1, "a")});
  stand.calls();
  stand.reply(CallKind::start, ReplyKind::noResponse);
  stand.callsIn(20);
  stand.reply(CallKind::start, ReplyKind::insufficientCapacity);
  STRCMP_EQUAL("stop a/1", stand.calls().c_str());
  STRCMP_EQUAL("", stand.endings().c_str());
  stand.reply(CallKind::stop, ReplyKind::ok);
  STRCMP_EQUAL("look", stand.callsIn(30).c_str());
  stand.looked();
  STRCMP_EQUAL("a/1 refused", stand.endings().c_str());
}

TEST(AgentStarts, behindAFenceWaitsForTheNewerLeader) {
  Stand stand;
  stand.begin();
  stand.sync({start(1, "a")});
  stand.calls();
  LONGS_EQUAL(7, stand.reply(CallKind::start, ReplyKind::fenced).fencingTerm.value);
  STRCMP_EQUAL("", stand.endings().c_str());
  STRCMP_EQUAL("", stand.callsIn(100).c_str());
  stand.term = Term{8};
  stand.sync();
  STRCMP_EQUAL("start a/1", stand.callsIn(100).c_str());
  LONGS_EQUAL(8, stand.reply(CallKind::start, ReplyKind::ok).fencingTerm.value);
  LONGS_EQUAL(1, stand.applied());
}

TEST(AgentStarts, calledOldIsLookedFor) {
  Stand there;
  there.begin();
  there.sync({start(1, "a")});
  there.calls();
  there.reply(CallKind::start, ReplyKind::staleRun);
  STRCMP_EQUAL("", there.endings().c_str());
  STRCMP_EQUAL("look", there.callsIn(30).c_str());
  there.looked({active("a")});
  LONGS_EQUAL(1, there.applied());
  STRCMP_EQUAL("", there.endings().c_str());
  CHECK(there.callsIn(30).find("start") == std::string::npos);

  Stand over;
  over.begin();
  over.sync({start(1, "a")});
  over.calls();
  over.reply(CallKind::start, ReplyKind::staleRun);
  over.callsIn(30);
  over.looked({}, {ended(4, "a")});
  STRCMP_EQUAL("a/1 finished", over.endings().c_str());

  Stand nowhere;
  nowhere.begin();
  nowhere.sync({start(1, "a")});
  nowhere.calls();
  nowhere.reply(CallKind::start, ReplyKind::staleRun);
  nowhere.callsIn(30);
  nowhere.looked();
  STRCMP_EQUAL("", nowhere.endings().c_str());
  STRCMP_EQUAL("stop a/1", nowhere.calls().c_str());
  nowhere.reply(CallKind::stop, ReplyKind::ok);
  nowhere.callsIn(30);
  nowhere.looked();
  STRCMP_EQUAL("a/1 unstarted", nowhere.endings().c_str());
}

TEST(AgentStarts, calledLateIsTriedWithTheNextLease) {
  Stand stand;
  stand.begin();
  stand.sync({start(1, "a")});
  stand.calls();
  const auto first = stand.reply(CallKind::start, ReplyKind::deadlineExceeded);
  STRCMP_EQUAL("", stand.calls().c_str());
  stand.now += 50;
  stand.sync();
  STRCMP_EQUAL("start a/1", stand.calls().c_str());
  const auto second = stand.reply(CallKind::start, ReplyKind::ok);
  CHECK(first.leaseDeadline && second.leaseDeadline &&
        *second.leaseDeadline > *first.leaseDeadline);
  STRCMP_EQUAL("", stand.endings().c_str());
}

TEST(AgentStarts, atASickWorkerIsTriedThreeTimes) {
  Stand stand;
  stand.begin();
  stand.sync({start(1, "a")});
  STRCMP_EQUAL("start a/1", stand.calls().c_str());
  for (int count = 0; count < 2; ++count) {
    stand.reply(CallKind::start, ReplyKind::unavailable);
    STRCMP_EQUAL("", stand.calls().c_str());
    STRCMP_EQUAL("", stand.endings().c_str());
    STRCMP_EQUAL("start a/1", stand.callsIn(1000).c_str());
  }
  stand.reply(CallKind::start, ReplyKind::unavailable);
  STRCMP_EQUAL("", stand.callsIn(1000).c_str());
  STRCMP_EQUAL("a/1 refused", stand.endings().c_str());
}

TEST(AgentStarts, theStopIsTriedUntilASickWorkerAnswers) {
  Stand stand;
  stand.begin();
  stand.beginWith("a");
  stand.sync({stop(2, "a")});
  for (int count = 0; count < 8; ++count) {
    CHECK(stand.callsIn(1000).find("stop a/1") != std::string::npos);
    stand.reply(CallKind::stop, ReplyKind::unavailable);
    stand.sync();
    LONGS_EQUAL(1, stand.applied());
    if (!stand.open.empty())
      stand.looked({active("a")});
  }
}

TEST(AgentStarts, ofAnotherLifeIsTriedAgainLater) {
  Stand stand;
  stand.begin();
  stand.sync({start(1, "a")});
  stand.calls();
  stand.reply(CallKind::start, ReplyKind::instanceMismatch);
  STRCMP_EQUAL("", stand.calls().c_str());
  STRCMP_EQUAL("", stand.endings().c_str());
  STRCMP_EQUAL("start a/1", stand.callsIn(300).c_str());
}

TEST(AgentStarts, waitForALease) {
  Stand stand;
  CHECK(stand.beat());
  // No leader has been heard: whether this life stands there is asked, and nothing is held by that.
  STRCMP_EQUAL("look", stand.calls().c_str());
  CHECK_FALSE(stand.looked().leaseDeadline.has_value());
  STRCMP_EQUAL("", stand.calls().c_str());
  stand.sync({start(1, "a")});
  stand.now += 6000;
  STRCMP_EQUAL("", stand.calls().c_str());
  stand.sync();
  CHECK(stand.calls().find("start a/1") != std::string::npos);
}

TEST_GROUP(AgentStops){};

TEST(AgentStops, ofARunNeverBegunNeedNoCall) {
  Stand stand;
  stand.begin();
  stand.sync({start(1, "a"), stop(2, "a")});
  STRCMP_EQUAL("", stand.calls().c_str());
  STRCMP_EQUAL("a/1 unstarted", stand.endings().c_str());
  LONGS_EQUAL(2, stand.applied());
}

// Given to an earlier process: this one fences the run before it says that it never began.
TEST(AgentStops, ofAnUnknownRunAreFencedAndLookedFor) {
  Stand stand;
  stand.begin();
  stand.sync({stop(9, "a")});
  STRCMP_EQUAL("stop a/1", stand.calls().c_str());
  LONGS_EQUAL(8, stand.applied());
  stand.reply(CallKind::stop, ReplyKind::ok);
  STRCMP_EQUAL("", stand.endings().c_str());
  STRCMP_EQUAL("look", stand.callsIn(30).c_str());
  stand.looked();
  STRCMP_EQUAL("a/1 unstarted", stand.endings().c_str());
  LONGS_EQUAL(9, stand.applied());
}

TEST(AgentStops, whileAStartIsUnderWayWaitForItsAnswer) {
  Stand stand;
  stand.begin();
  stand.sync({start(1, "a")});
  stand.calls();
  stand.sync({stop(2, "a")});
  STRCMP_EQUAL("", stand.calls().c_str());
  stand.reply(CallKind::start, ReplyKind::ok);
  CHECK(stand.calls().find("stop a/1") != std::string::npos);
  LONGS_EQUAL(0, stand.applied());
}

TEST(AgentStops, ofARunThatEndedByItselfAreDone) {
  Stand stand;
  stand.begin();
  stand.beginWith("a");
  stand.calls();
  stand.looked({}, {ended(1, "a")});
  stand.sync({stop(2, "a")});
  CHECK(stand.callsIn(30).find("stop") == std::string::npos);
  STRCMP_EQUAL("a/1 finished", stand.endings().c_str());
  LONGS_EQUAL(2, stand.applied());
}

// Each look costs its worker: one that waits comes back with the ending, so nothing asks again and
// again while a stop takes its time.
TEST(AgentStops, ofARunThatIsThereAreSeenByTheLookThatWaits) {
  Stand stand;
  stand.begin();
  stand.beginWith("a");
  STRCMP_EQUAL("look", stand.calls().c_str());
  stand.sync({stop(2, "a")});
  STRCMP_EQUAL("stop a/1", stand.calls().c_str());
  stand.reply(CallKind::stop, ReplyKind::ok);
  STRCMP_EQUAL("", stand.callsIn(30).c_str());
  stand.looked({active("a")});
  STRCMP_EQUAL("look", stand.callsIn(30).c_str());
  STRCMP_EQUAL("", stand.callsIn(300).c_str());
  const auto waited = stand.looked({}, {ended(1, "a", AttemptOutcome::stopped)});
  CHECK_TEXT(waited.longPollTimeout.milliseconds > 0, "the look does not wait for the ending");
  STRCMP_EQUAL("a/1 stopped", stand.endings().c_str());
  LONGS_EQUAL(2, stand.applied());
}

TEST_GROUP(AgentEndings){};

// docs/design.md 5.5: a look passes an ending only when the leader's log holds it.
TEST(AgentEndings, passLastSeenOnlyOnceClosed) {
  Stand stand;
  stand.begin();
  stand.beginWith("a", 1);
  stand.beginWith("b", 2);
  stand.calls();
  stand.looked({active("b")}, {ended(1, "a")});
  CHECK(stand.agent.hasUrgentReport(stand.at()));
  const auto told = stand.sync();
  STRCMP_EQUAL("a/1 finished", Stand::endings(told).c_str());
  CHECK_FALSE(stand.agent.hasUrgentReport(stand.at()));
  stand.callsIn(1500);
  LONGS_EQUAL(0, stand.looked({active("b")}, {ended(1, "a")}).confirmedUpTo);
  STRCMP_EQUAL("a/1 finished", stand.endings().c_str());  // told again, and once
  stand.sync({}, 1);
  STRCMP_EQUAL("", stand.endings().c_str());
  stand.callsIn(1500);
  LONGS_EQUAL(1, stand.looked({active("b")}).confirmedUpTo);
}

TEST(AgentEndings, areClosedInTheirOrderOnly) {
  Stand stand;
  stand.begin();
  stand.beginWith("a", 1);
  stand.beginWith("b", 2);
  stand.calls();
  stand.looked({active("b")}, {ended(1, "a")});
  const auto first = stand.agent.makeSyncReport(stand.at());
  stand.callsIn(1500);
  stand.looked({}, {ended(1, "a"), ended(2, "b", AttemptOutcome::failed)});
  const auto second = stand.agent.makeSyncReport(stand.at());
  STRCMP_EQUAL("a/1 finished, b/1 failed", Stand::endings(second).c_str());
  stand.agent.onSyncResponse(second, stand.answer({}, 1), stand.at(), stand.at());
  STRCMP_EQUAL("b/1 failed", stand.endings().c_str());
  stand.agent.onSyncResponse(first, stand.answer({}, 1), stand.at(), stand.at());  // overtaken
  STRCMP_EQUAL("b/1 failed", stand.endings().c_str());
  stand.agent.onSyncResponse(second, stand.answer({}, 2), stand.at(), stand.at());
  STRCMP_EQUAL("", stand.endings().c_str());
  stand.beginWith("c", 3);
  stand.calls();
  LONGS_EQUAL(2, stand.looked({active("c")}).confirmedUpTo);
}

TEST(AgentEndings, ofOlderLeadersAnswersCloseNothing) {
  Stand stand;
  stand.begin();
  stand.beginWith("a");
  stand.calls();
  stand.looked({}, {ended(1, "a")});
  stand.term = Term{6};
  stand.sync({}, 1);
  STRCMP_EQUAL("a/1 finished", stand.endings().c_str());
}

// Those of no number have nothing to wait for; those with one go first.
TEST(AgentEndings, thatNeverBeganStandBehindTheNumbered) {
  Stand stand;
  stand.begin();
  stand.beginWith("a", 1);
  stand.sync({start(2, "b"), stop(3, "b")});
  stand.calls();
  stand.looked({}, {ended(1, "a")});
  const auto report = stand.agent.makeSyncReport(stand.at());
  STRCMP_EQUAL("a/1 finished, b/1 unstarted", Stand::endings(report).c_str());
  stand.agent.onSyncResponse(report, stand.answer({}, 2), stand.at(), stand.at());
  STRCMP_EQUAL("", stand.endings().c_str());
}

TEST(AgentEndings, goFiveHundredAtATime) {
  Stand stand;
  stand.begin();
  stand.beginWith("a", 1);
  stand.calls();
  std::vector<WorkerReply::RunResult> many;
  for (std::uint64_t number = 1; number <= 700; ++number)
    many.push_back(ended(number, "job" + std::to_string(number)));
  stand.looked({active("a")}, many);
  LONGS_EQUAL(500, stand.sync({}, 500).runResults.size());
  LONGS_EQUAL(200, stand.sync({}, 200).runResults.size());
  stand.callsIn(1000);
  LONGS_EQUAL(700, stand.looked({active("a")}).confirmedUpTo);
}

TEST(AgentEndings, checkpointsAreToldOnceEach) {
  Stand stand;
  stand.begin();
  stand.beginWith("a");
  auto saves = [](const SyncReport& report) {
    std::string words;
    for (const auto& save : report.checkpoints)
      words += (words.empty() ? "" : ", ") + text(save.runId) + " " + save.checkpoint;
    return words;
  };
  auto lookSeeing = [&](const std::string& saved) {
    CHECK(stand.callsIn(1000).find("look") != std::string::npos);
    stand.looked({active("a", saved)});
  };
  lookSeeing("");
  STRCMP_EQUAL("", saves(stand.sync()).c_str());
  lookSeeing("x1");
  STRCMP_EQUAL("a/1 x1",
               saves(stand.agent.makeSyncReport(stand.at())).c_str());  // this sync is lost
  STRCMP_EQUAL("a/1 x1", saves(stand.sync()).c_str());
  STRCMP_EQUAL("", saves(stand.sync()).c_str());
  lookSeeing("x1");
  STRCMP_EQUAL("", saves(stand.sync()).c_str());
  lookSeeing("x2");
  const auto told = stand.agent.makeSyncReport(stand.at());
  lookSeeing("x3");
  stand.agent.onSyncResponse(told, stand.answer({}), stand.at(), stand.at());  // says nothing of x3
  STRCMP_EQUAL("a/1 x3", saves(stand.sync()).c_str());
  stand.calls();
  auto over = ended(1, "a", AttemptOutcome::stopped);
  over.checkpoint = "x4";
  stand.callsIn(1000);
  stand.looked({}, {over});
  const auto last = stand.sync();
  STRCMP_EQUAL("", saves(last).c_str());
  STRCMP_EQUAL("x4", last.runResults.at(0).checkpoint.c_str());
}

TEST_GROUP(AgentBegunAnew){};

// docs/design.md 5.8: killed and empty, it learns from both lists what runs, and neither stops nor
// starts any of it again.
TEST(AgentBegunAnew, learnsWhatRunsAndTouchesNoneOfIt) {
  Stand stand;
  CHECK(stand.beat());
  stand.sync({start(5, "a"), start(6, "d")});  // given to the process before, and carried out by it
  STRCMP_EQUAL("start a/1, start d/1, look", stand.calls().c_str());
  LONGS_EQUAL(0, stand.open.back().confirmedUpTo);
  stand.reply(CallKind::start, ReplyKind::ok, "a");        // it is there already
  stand.reply(CallKind::start, ReplyKind::staleRun, "d");  // it has ended
  const std::vector<WorkerReply::RunResult> over{ended(3, "d"),
                                                 ended(4, "e", AttemptOutcome::failed)};
  stand.looked({active("a"), active("c", "x1")}, over);
  const auto report = stand.agent.makeSyncReport(stand.at());
  STRCMP_EQUAL("d/1 finished, e/1 failed", Stand::endings(report).c_str());
  LONGS_EQUAL(6, report.lastAppliedOrder.value);
  LONGS_EQUAL(1, report.checkpoints.size());
  for (int count = 0; count < 40; ++count) {
    stand.sync();
    const std::string calls = stand.callsIn(100);
    CHECK_TEXT(calls.empty() || calls == "look", calls.c_str());
    if (!calls.empty())
      stand.looked({active("a"), active("c", "x1")}, over);
  }
  STRCMP_EQUAL("d/1 finished, e/1 failed", stand.endings().c_str());
  stand.sync({stop(7, "c")});  // what it found it can stop by order
  CHECK(stand.calls().find("stop c/1") != std::string::npos);
}

TEST(AgentBegunAnew, asksAgainWhenTheFirstLookIsLost) {
  Stand stand;
  CHECK(stand.beat());
  stand.sync();
  STRCMP_EQUAL("look", stand.calls().c_str());
  stand.reply(CallKind::poll, ReplyKind::noResponse);
  STRCMP_EQUAL("look", stand.callsIn(100).c_str());
  stand.looked({active("a")});
  LONGS_EQUAL(1, stand.agent.runCount());
}

// An order for a run that ended and was closed before the kill: the worker turns it away, and
// nothing runs.
TEST(AgentBegunAnew, doesNotRunAgainWhatWasClosed) {
  Stand stand;
  CHECK(stand.beat());
  stand.sync({start(5, "a")});
  stand.calls();
  stand.reply(CallKind::start, ReplyKind::staleRun);
  stand.looked();  // begun before: proves nothing
  STRCMP_EQUAL("look", stand.callsIn(300).c_str());
  stand.looked();
  STRCMP_EQUAL("stop a/1", stand.callsIn(30).c_str());
  stand.reply(CallKind::stop, ReplyKind::ok);
  stand.callsIn(300);
  stand.looked();
  STRCMP_EQUAL("a/1 unstarted", stand.endings().c_str());
  STRCMP_EQUAL("", stand.callsIn(300).c_str());
}

TEST_GROUP(AgentOrders){};

TEST(AgentOrders, mayBeginAnywhereForANewProcessAndAreCarriedOutOnce) {
  Stand stand;
  stand.begin();
  stand.sync({start(41, "a"), start(42, "b")});
  STRCMP_EQUAL("start a/1, start b/1", stand.calls().c_str());
  LONGS_EQUAL(40, stand.applied());
  LONGS_EQUAL(42, stand.agent.makeSyncReport(stand.at()).lastReceivedOrder.value);
  stand.sync({start(41, "a"), start(42, "b")});
  STRCMP_EQUAL("", stand.calls().c_str());
  stand.reply(CallKind::start, ReplyKind::ok, "b");
  LONGS_EQUAL(40, stand.applied());  // 41 is not carried out yet
  stand.reply(CallKind::start, ReplyKind::ok, "a");
  LONGS_EQUAL(42, stand.applied());
  stand.sync({start(41, "a"), start(42, "b"), start(43, "c")});
  CHECK(stand.calls().find("start c/1") == 0);
}

// An answer that was overtaken repeats what was long carried out, told and closed.
TEST(AgentOrders, areNotRepeatedAfterTheirRunIsClosed) {
  Stand stand;
  stand.begin();
  const auto overtaken = stand.agent.makeSyncReport(stand.at());
  stand.beginWith("a", 1);
  stand.calls();
  stand.looked({}, {ended(1, "a")});
  stand.sync({}, 1);
  stand.agent.onSyncResponse(overtaken, stand.answer({start(1, "a")}), stand.at(), stand.at());
  STRCMP_EQUAL("", stand.callsIn(30).c_str());
  LONGS_EQUAL(1, stand.applied());
}

TEST(AgentOrders, ofAnOlderTermAreIgnored) {
  Stand stand;
  stand.begin();
  const auto report = stand.agent.makeSyncReport(stand.at());
  stand.term = Term{8};
  stand.sync();
  stand.term = Term{7};
  stand.agent.onSyncResponse(report, stand.answer({start(1, "a")}), stand.at(), stand.at());
  STRCMP_EQUAL("", stand.calls().c_str());
  LONGS_EQUAL(0, stand.agent.makeSyncReport(stand.at()).lastReceivedOrder.value);
}

TEST(AgentOrders, inAnAnswerPastItsLeaseAreIgnored) {
  Stand stand;
  stand.begin();
  const auto report = stand.agent.makeSyncReport(stand.at());
  const MonotonicTime sentAt = stand.at();
  stand.now += 6000;
  stand.agent.onSyncResponse(report, stand.answer({start(1, "a")}), sentAt, stand.at());
  STRCMP_EQUAL("", stand.calls().c_str());
  LONGS_EQUAL(0, stand.agent.makeSyncReport(stand.at()).lastReceivedOrder.value);
  stand.sync({start(1, "a")});  // they come again
  CHECK(stand.calls().find("start a/1") != std::string::npos);
}

TEST(AgentOrders, ofAnotherLifeAreIgnored) {
  Stand stand;
  stand.begin();
  const auto report = stand.agent.makeSyncReport(stand.at());
  stand.anotherLife("life-2");
  stand.agent.onSyncResponse(report, stand.answer({start(1, "a")}), stand.at(), stand.at());
  CHECK(stand.calls().find("start") == std::string::npos);
}

TEST_GROUP(AgentLeases){};

// Whatever the latencies and the worker's clock, what is held there is over when the lease is, or
// before. docs/design.md 5.4.
TEST(AgentLeases, deadlinesAreNeverLaterThanTheLease) {
  for (double rate : {0.98, 0.985, 0.99, 1.0})
    for (std::uint64_t seed = 1; seed <= 50; ++seed) {
      Random random(seed);
      Stand stand;
      stand.rate = rate;
      stand.begin();
      std::int64_t leaseUntil = stand.now - 30 + 6000, calls = 0;
      std::uint64_t number = 0;
      for (int count = 0; count < 200; ++count) {
        stand.now += random.between(0, 300);
        if (random.chance(0.1)) {  // heard late
          auto account = stand.account();
          account.clockReading = stand.workerClock(stand.now - random.between(0, 900));
          stand.agent.onRegistration(account, stand.at());
        }
        if (random.chance(0.2)) {
          const MonotonicTime sentAt = stand.at();
          const auto report = stand.agent.makeSyncReport(sentAt);
          ++number;
          stand.now += random.between(0, 1500);
          stand.agent.onSyncResponse(report,
                                     stand.answer({start(number, "job" + std::to_string(number))}),
                                     sentAt, stand.at());
          leaseUntil = std::max(leaseUntil, sentAt.milliseconds + 6000);
        }
        for (const auto& call : stand.agent.takeCalls(stand.at())) {
          if (call.leaseDeadline) {
            ++calls;
            const double until =
                double(call.leaseDeadline->milliseconds - 5'000'000) / rate + 100'000;
            CHECK_TEXT(until <= double(leaseUntil) + 1, "a deadline past the lease");
          }
          WorkerReply reply;
          reply.status = random.chance(0.2) ? ReplyKind::noResponse : ReplyKind::ok;
          if (reply.status == ReplyKind::ok)
            reply.clockReading = stand.workerClock(stand.now);
          stand.now += random.between(0, 50);
          stand.agent.onWorkerReply(call, reply, stand.at());
        }
      }
      CHECK(calls > 20);
    }
}

TEST(AgentLeases, areUsedNearlyWhole) {
  Stand stand;
  stand.begin();
  stand.now += 500;
  stand.sync({start(1, "a")});
  stand.calls();
  const auto call = stand.reply(CallKind::start, ReplyKind::ok);
  CHECK(call.leaseDeadline.has_value());
  CHECK(*call.leaseDeadline > stand.workerClock(stand.now + 5800));
}

TEST(AgentLeases, anAccountHeardLateSetsNoClockBack) {
  Stand stand;
  stand.begin();
  stand.sync({start(1, "a")});
  auto late = stand.account();
  late.clockReading = stand.workerClock(stand.now - 2000);
  CHECK(stand.agent.onRegistration(late, stand.at()));
  stand.calls();
  CHECK(*stand.take(CallKind::start).leaseDeadline > stand.workerClock(stand.now + 5800));
}

TEST(AgentLeases, noCallGoesPastTheWorkersOwnLimit) {
  Stand stand;
  stand.lease = Duration{60'000};
  stand.begin();
  stand.sync({start(1, "a")});
  stand.calls();
  const auto call = stand.reply(CallKind::start, ReplyKind::ok);
  CHECK(*call.leaseDeadline <= stand.workerClock(stand.now + 6000));
}

// What ended and was not confirmed when the hold ran out is void; nothing starts before a look
// tells. docs/design.md 5.5.
TEST(AgentLeases, aHoldThatLapsedVoidsWhatWasUnconfirmed) {
  Stand stand;
  stand.begin();
  stand.beginWith("a", 1);
  stand.beginWith("b", 2);
  stand.calls();
  stand.looked({active("b")}, {ended(1, "a")});
  stand.now += 7000;  // no leader all this time
  STRCMP_EQUAL("", stand.calls().c_str());
  const auto report = stand.sync({start(3, "c")});
  STRCMP_EQUAL("a/1 stopped", Stand::endings(report).c_str());
  STRCMP_EQUAL("look", stand.calls().c_str());
  STRCMP_EQUAL("", stand.callsIn(300).c_str());
  stand.looked({}, {ended(1, "a"), ended(2, "d"), ended(3, "b", AttemptOutcome::stopped)});
  STRCMP_EQUAL("a/1 stopped, d/1 stopped, b/1 stopped", stand.endings().c_str());
  STRCMP_EQUAL("start c/1", stand.callsIn(30).c_str());
}

TEST(AgentLeases, aHoldThatIsKeptUpVoidsNothing) {
  Stand stand;
  stand.begin();
  stand.beginWith("a", 1);
  stand.beginWith("b", 2);
  stand.calls();
  stand.looked({active("b")}, {ended(1, "a")});
  for (int count = 0; count < 20; ++count) {
    stand.sync();
    CHECK(stand.callsIn(1000).find("start") == std::string::npos);
    if (!stand.open.empty())
      stand.looked({active("b")}, {ended(1, "a")});
  }
  STRCMP_EQUAL("a/1 finished", stand.endings().c_str());
}

// What was confirmed before the lapse stays closed, and a failure stays one.
TEST(AgentLeases, aLapseTouchesNothingElse) {
  Stand stand;
  stand.begin();
  stand.beginWith("a", 1);
  stand.beginWith("b", 2);
  stand.calls();
  stand.looked({}, {ended(1, "a"), ended(2, "b", AttemptOutcome::failed)});
  stand.sync({}, 1);
  stand.now += 7000;
  stand.calls();
  STRCMP_EQUAL("b/1 failed", stand.endings().c_str());
}

// With a hold of 2 s, as at the platform: a look waits half of it, and when it is lost two more fit
// in before the hold runs out.
TEST(AgentLeases, aLostLookLeavesTimeForOthersWhateverTheHold) {
  for (const std::int64_t hold : {1500, 2000, 3000, 6000}) {
    Stand stand;
    NodeAgentOptions options;
    options.workerLease = Duration{hold};
    stand.agent = NodeAgent{options};
    stand.begin();
    stand.beginWith("a");
    STRCMP_EQUAL("look", stand.calls().c_str());
    const std::int64_t begun = stand.now;
    const Duration wait = stand.open.back().longPollTimeout, within = stand.open.back().timeout;
    CHECK_TEXT(hold != 2000 || wait == Duration{1000}, "a look may wait a second");
    stand.now += within.milliseconds;
    stand.reply(CallKind::poll, ReplyKind::noResponse);
    int others = 0;
    while (stand.now < begun + hold * 95 / 100 && others < 2) {
      stand.sync();
      STRCMP_EQUAL("look", stand.calls().c_str());
      LONGS_EQUAL(0, stand.open.back().longPollTimeout.milliseconds);  // whether it answers at all
                                                                       // is asked without a wait
      CHECK(stand.open.back().leaseDeadline.has_value());
      stand.now += 400;
      stand.reply(CallKind::poll, ReplyKind::noResponse);
      ++others;
    }
    LONGS_EQUAL(2, others);
  }
}

// A lease of 3 s is renewed once a sync, so only a second of it may be left when a look begins.
TEST(AgentLeases, noLookWaitsPastWhatIsLeftOfTheLease) {
  Stand stand;
  stand.lease = Duration{3000};
  stand.begin();
  stand.beginWith("a");
  const std::int64_t begun = stand.now;
  for (std::int64_t gone = 100; gone <= 2400; gone += 100) {
    stand.now = begun + gone;
    const auto calls = stand.calls();
    if (calls.empty())
      continue;
    STRCMP_EQUAL("look", calls.c_str());
    const auto look = stand.looked({active("a")});
    CHECK_TEXT(look.longPollTimeout <= std::max(Duration{750}, Duration{3000 - gone - 1000}),
               "the look may outlast the hold");
  }
}

TEST_GROUP(AgentLives){};

TEST(AgentLives, leavingStartsNothingAndIsTold) {
  Stand stand;
  stand.begin();
  stand.beginWith("a", 1);
  CHECK_FALSE(stand.agent.hasUrgentReport(stand.at()));
  CHECK(stand.beat(true));
  CHECK(stand.agent.hasUrgentReport(stand.at()));
  CHECK_FALSE(stand.agent.drainAcknowledged(WorkerId{stand.life}));
  const auto report = stand.sync({start(2, "b")});
  CHECK(report.draining);
  LONGS_EQUAL(2000, report.drainTimeout.milliseconds);
  CHECK(stand.agent.drainAcknowledged(WorkerId{stand.life}));
  const std::string calls = stand.calls();
  CHECK_TEXT(calls.find("start") == std::string::npos && calls.find("stop") == std::string::npos,
             calls.c_str());
  STRCMP_EQUAL("b/1 unstarted", stand.endings().c_str());
  CHECK(stand.beat(false));  // an account sent before the word came later
  CHECK(stand.sync().draining);
}

TEST(AgentLives, leavingStopsAStartThatGotNoAnswer) {
  Stand stand;
  stand.begin();
  stand.sync({start(1, "a")});
  stand.calls();
  stand.reply(CallKind::start, ReplyKind::noResponse);
  CHECK(stand.beat(true));
  STRCMP_EQUAL("stop a/1", stand.callsIn(30).c_str());
  STRCMP_EQUAL("", stand.endings().c_str());
  stand.reply(CallKind::stop, ReplyKind::ok);
  stand.callsIn(30);
  stand.looked();
  STRCMP_EQUAL("a/1 unstarted", stand.endings().c_str());
}

TEST(AgentLives, anotherLifeKnowsNothingOfTheFormer) {
  Stand stand;
  stand.begin();
  stand.beginWith("a", 1);
  stand.calls();
  stand.looked({active("a")}, {ended(5, "b")});
  stand.sync({}, 1);
  stand.callsIn(1500);  // a look that the former life answers too late
  stand.anotherLife("life-2");
  LONGS_EQUAL(0, stand.agent.runCount());
  stand.looked({active("a")}, {ended(6, "c")});
  LONGS_EQUAL(0, stand.agent.runCount());
  const auto report = stand.sync({start(1, "d")});
  STRCMP_EQUAL("life-2", report.id.value.c_str());
  STRCMP_EQUAL("", Stand::endings(report).c_str());
  LONGS_EQUAL(0, report.lastAppliedOrder.value);
  STRCMP_EQUAL("start d/1, look", stand.calls().c_str());
  for (const auto& call : stand.open)
    STRCMP_EQUAL("life-2", call.workerInstance.value.c_str());
  LONGS_EQUAL(0, stand.open.back().confirmedUpTo);
  stand.life = "life-1";
  CHECK_FALSE(stand.beat());  // its last words come late
  STRCMP_EQUAL("life-2", stand.agent.workerInstance().value.c_str());
}

TEST(AgentLives, anotherLifeIsStillFencedByTheNewestLeader) {
  Stand stand;
  stand.begin();
  stand.anotherLife("life-2");
  stand.term = Term{6};
  stand.sync({start(1, "a")});
  STRCMP_EQUAL("", stand.calls().c_str());
}

// A leave announces an end: what runs there runs on, is held, and its ends count.
TEST(AgentLives, oneThatSaysThatItLeavesIsHeldAndItsEndsAreTold) {
  Stand stand;
  stand.begin();
  stand.beginWith("a", 1);
  CHECK(stand.leave());
  CHECK(stand.agent.hasUrgentReport(stand.at()));
  CHECK_FALSE(stand.leavingTold());
  CHECK(stand.agent.mayReport());
  LONGS_EQUAL(1, stand.agent.runCount());
  const auto report = stand.sync({start(2, "b")});
  CHECK(report.draining);
  LONGS_EQUAL(2000, report.drainTimeout.milliseconds);
  CHECK(stand.leavingTold());
  stand.callsIn(1500);
  STRCMP_EQUAL("b/1 unstarted", stand.endings().c_str());
  const auto look = stand.looked({active("a")});
  CHECK_TEXT(look.leaseDeadline && *look.leaseDeadline > stand.workerClock(stand.now),
             "what runs at one that leaves is held no more");
  stand.sync({}, 1);
  stand.callsIn(1500);
  stand.looked({}, {ended(1, "a")});
  STRCMP_EQUAL("a/1 finished", stand.endings().c_str());
}

TEST(AgentLives, oneThatLeavesIsLookedAtUntilItAnswersNoMore) {
  Stand stand;
  stand.begin();
  CHECK(stand.leave());
  stand.sync();
  STRCMP_EQUAL("look", stand.callsIn(1100).c_str());
  stand.looked();
  STRCMP_EQUAL("", stand.callsIn(500).c_str());
  stand.sync();
  STRCMP_EQUAL("look", stand.callsIn(600).c_str());
  stand.reply(CallKind::poll, ReplyKind::noResponse);
  stand.now += 800;
  CHECK(stand.sync().unresponsive);
  // The leader finds nothing there that may still run, and holds it for gone.
  stand.agent.onDeclaredGone(stand.at());
  CHECK_FALSE(stand.agent.mayReport());
  CHECK(stand.leavingTold());
  stand.now += 20'000;
  stand.beat();  // came late
  CHECK_FALSE(stand.agent.mayReport());
  STRCMP_EQUAL("", stand.callsIn(30).c_str());
}

TEST(AgentLives, oneThatIsHeldForGoneMayLeave) {
  Stand stand;
  stand.begin();
  stand.agent.onDeclaredGone(stand.at());
  CHECK(stand.beat(true));
  CHECK(stand.leavingTold());
  stand.callsIn(20'000);
  CHECK_FALSE(stand.agent.mayReport());
}

TEST(AgentLives, nothingTakesBackThatItLeaves) {
  Stand stand;
  stand.begin();
  CHECK(stand.countedBeat(4));
  CHECK(stand.leave());
  CHECK(stand.countedBeat(5));  // newer, and still `up`: it said so by a leave only
  CHECK(stand.countedBeat(3));  // older
  const auto report = stand.sync();
  CHECK(report.draining);
  LONGS_EQUAL(2000, report.drainTimeout.milliseconds);
  CHECK(stand.leavingTold());
}

TEST(AgentLives, aLeaveAfterDrainingChangesNothing) {
  Stand stand;
  stand.begin();
  stand.beginWith("a", 1);
  CHECK(stand.beat(true));
  stand.sync();
  CHECK(stand.leave());
  CHECK(stand.leavingTold());
  LONGS_EQUAL(1, stand.agent.runCount());
  CHECK(stand.agent.mayReport());
}

// The process before this one heard the worker's accounts; this one hears its leave first.
TEST(AgentLives, aLeaveThatComesBeforeAnyAccountIsRemembered) {
  Stand stand;
  CHECK_FALSE(stand.leave());
  CHECK_FALSE(stand.leavingTold());
  CHECK(stand.beat());
  CHECK(stand.agent.makeSyncReport(stand.at()).draining);
  LONGS_EQUAL(2000, stand.agent.makeSyncReport(stand.at()).drainTimeout.milliseconds);
}

TEST(AgentLives, anOvertakenAccountChangesNothing) {
  Stand stand;
  stand.begin();
  CHECK(stand.countedBeat(7));
  auto old = stand.account();
  old.sequence = 6;
  old.capacity.cores = 99;
  CHECK(stand.agent.onRegistration(old, stand.at()));
  LONGS_EQUAL(0, stand.agent.makeSyncReport(stand.at()).capacity.cores);
  // No leader is told of it, so it must not be acknowledged either.
  old.draining = true;
  CHECK(stand.agent.onRegistration(old, stand.at()));
  CHECK_FALSE(stand.sync().draining);
  CHECK_FALSE(stand.leavingTold());
  stand.sequence = 1;
  stand.anotherLife("life-2");  // counts anew
  old = stand.account();
  old.sequence = 2;
  old.capacity.cores = 5;
  CHECK(stand.agent.onRegistration(old, stand.at()));
  LONGS_EQUAL(5, stand.agent.makeSyncReport(stand.at()).capacity.cores);
}

// A process that never saw the former life can't know it by its name: the worker itself tells.
TEST(AgentLives, aLateAccountOfALifeNeverSeenDoesNotEndTheOneThatStands) {
  Stand stand;
  stand.life = "life-2";
  stand.begin();
  stand.beginWith("a", 1);
  stand.life = "life-1";
  CHECK(stand.beat());
  LONGS_EQUAL(1, stand.agent.runCount());
  const std::string asked = stand.callsIn(30);
  STRCMP_EQUAL("look", asked.substr(0, 4).c_str());
  CHECK(stand.open.front().workerInstance == WorkerId{"life-1"});
  stand.reply(CallKind::poll, ReplyKind::instanceMismatch);
  STRCMP_EQUAL("life-2", stand.agent.workerInstance().value.c_str());
  LONGS_EQUAL(1, stand.agent.runCount());
  CHECK(stand.agent.mayReport());
  stand.life = "life-2";
  CHECK(stand.beat());
  STRCMP_EQUAL("life-2", stand.sync().id.value.c_str());
}

TEST(AgentLives, anotherLifeIsAskedForAFewTimesAnAccount) {
  Stand stand;
  stand.begin();
  stand.life = "life-2";
  CHECK(stand.beat());
  std::size_t asked = 0;
  for (int turn = 0; turn < 100; ++turn) {
    stand.callsIn(100);
    for (auto& call : std::exchange(stand.open, {}))
      if (call.workerInstance == WorkerId{"life-2"}) {
        ++asked;
        stand.agent.onWorkerReply(call, WorkerReply{}, stand.at());
      }
  }
  LONGS_EQUAL(NodeAgentOptions{}.maxInstanceProbes, asked);
  STRCMP_EQUAL("life-1", stand.agent.workerInstance().value.c_str());
}

// The leader ends all of the former life once another is reported: it is reported once it answered.
TEST(AgentLives, aLifeIsReportedOnceItAnswered) {
  Stand stand;
  CHECK(stand.beat());
  CHECK_FALSE(stand.agent.mayReport());
  STRCMP_EQUAL("look", stand.callsIn(30).c_str());
  stand.reply(CallKind::poll, ReplyKind::instanceMismatch);
  CHECK_FALSE(stand.agent.mayReport());
  STRCMP_EQUAL("", stand.callsIn(1000).c_str());
  CHECK(stand.beat());
  STRCMP_EQUAL("look", stand.callsIn(30).c_str());
  stand.reply(CallKind::poll, ReplyKind::unavailable);  // may be said by another life as well
  CHECK_FALSE(stand.agent.mayReport());
  STRCMP_EQUAL("look", stand.callsIn(300).c_str());
  stand.reply(CallKind::poll, ReplyKind::fenced);  // it has seen a newer leader than this process
  CHECK(stand.agent.mayReport());
}

TEST(AgentLives, aLifeWhoseAddressAnotherAnswersIsNotReported) {
  Stand stand;
  stand.begin();
  stand.beginWith("a", 1);
  stand.callsIn(1500);
  stand.reply(CallKind::poll, ReplyKind::instanceMismatch);
  CHECK_FALSE(stand.agent.mayReport());
  CHECK(stand.beat());
  CHECK(stand.callsIn(300).find("look") != std::string::npos);
  stand.looked({active("a")});
  CHECK(stand.agent.mayReport());
  LONGS_EQUAL(1, stand.agent.runCount());
}

// A look that got no answer in time is given up: what it would have told is older than what the
// next one tells.
TEST(AgentEndings, aLooksAnswerBehindANewerOnesIsNotHeard) {
  Stand stand;
  stand.begin();
  stand.beginWith("a", 1);
  stand.callsIn(1500);
  const auto older = stand.reply(CallKind::poll, ReplyKind::noResponse);
  const auto stale = stand.lists({active("a")}, {});
  stand.callsIn(300);
  stand.agent.onWorkerReply(older, stale, stand.at());  // while the newer one is under way
  stand.looked({}, {ended(1, "a")});
  stand.sync({}, 1);
  LONGS_EQUAL(0, stand.agent.runCount());
  stand.agent.onWorkerReply(older, stale, stand.at());
  LONGS_EQUAL(0, stand.agent.runCount());
}

// An account may be seconds old: what it shows of the clock is no bound from above.
TEST(AgentLeases, anAccountThatCameLateKeepsNoHoldAlive) {
  Stand stand;
  stand.begin();
  stand.beginWith("a", 1);
  stand.beginWith("b", 2);
  const auto held = stand.looked({active("b")}, {ended(1, "a")}).leaseDeadline;
  CHECK(held.has_value());
  stand.now += 5900;  // the hold may be over by now
  auto late = stand.account();
  late.clockReading = stand.workerClock(stand.now - 4000);
  CHECK(stand.agent.onRegistration(late, stand.at()));
  stand.sync();
  for (const auto& call : stand.agent.takeCalls(stand.at()))
    CHECK_TEXT(!call.leaseDeadline,
               "a hold that may be over is renewed while an end is unconfirmed");
}

// The leader holds this life for gone: all that runs there dies with its hold before it is used
// again.
TEST(AgentLives, replacedWaitsUntilTheHoldIsSurelyOver) {
  Stand stand;
  stand.begin();
  stand.beginWith("a", 1);
  stand.calls();
  stand.looked({active("a")});
  const auto before = stand.agent.makeSyncReport(stand.at());
  const std::int64_t replacedAt = stand.now;
  stand.agent.onDeclaredGone(stand.at());
  LONGS_EQUAL(0, stand.agent.runCount());
  stand.agent.onSyncResponse(before, stand.answer({start(2, "b")}), stand.at(),
                             stand.at());  // to the former incarnation
  auto report = stand.agent.makeSyncReport(stand.at());
  LONGS_EQUAL(before.incarnation.value + 1, report.incarnation.value);
  LONGS_EQUAL(0, report.lastAppliedOrder.value);
  STRCMP_EQUAL("", Stand::endings(report).c_str());
  stand.sync({start(1, "c")});
  while (stand.now < replacedAt + 6200) {  // 6000 ms on a clock 2% slow
    stand.sync();
    STRCMP_EQUAL("", stand.callsIn(100).c_str());
  }
  stand.sync();
  STRCMP_EQUAL("look", stand.callsIn(2000).c_str());
  stand.looked({}, {ended(1, "a", AttemptOutcome::stopped)});
  STRCMP_EQUAL("start c/1", stand.callsIn(30).c_str());
}

// Two syncs wait at the leader, and it gives each order in one answer only. The later answer may
// come first; the orders of the earlier one are not lost by that, and never said to be carried out.
// docs/design.md 5.3.
TEST(AgentOrders, anAnswerThatOvertakesAnotherLosesNothing) {
  Stand stand;
  stand.begin();
  stand.beginWith("a", 1);
  const auto patient = stand.agent.makeSyncReport(stand.at()),
             urgent = stand.agent.makeSyncReport(stand.at());
  stand.agent.onSyncResponse(urgent, stand.answer({start(4, "d")}), stand.at(), stand.at());
  const auto applied = stand.applied();
  CHECK_TEXT(applied < 2, "orders that never came are said to be carried out");
  stand.agent.onSyncResponse(patient, stand.answer({start(2, "b"), start(3, "c")}), stand.at(),
                             stand.at());
  stand.sync(
      {start(2, "b"), start(3, "c"), start(4, "d")});  // whatever is still not applied comes again
  const std::string calls = stand.calls();
  for (const char* wanted : {"start b/1", "start c/1", "start d/1"})
    CHECK_TEXT(calls.find(wanted) != std::string::npos, calls.c_str());
}

// The worker's clock may be slow: what may have lapsed has not surely lapsed. An ending that was
// called void may not be kept alive by a call that extends the hold, or it is confirmed later and
// its task has been started again. docs/design.md 5.5.
TEST(AgentLeases, nothingIsCalledVoidWhileTheHoldMayStillBeExtended) {
  for (std::int64_t away = 5500; away < 6200; away += 20) {
    Stand stand;
    stand.rate = 0.98;
    stand.begin();
    stand.sync({start(1, "a")});
    stand.calls();
    const auto held = stand.reply(CallKind::start, ReplyKind::ok).leaseDeadline;
    stand.now += 30;
    STRCMP_EQUAL("look", stand.calls().c_str());
    const auto heldByLook = stand.looked({}, {ended(1, "a")}).leaseDeadline;
    CHECK(held && heldByLook);
    stand.now += away;  // no leader all this time
    stand.calls();
    const bool isVoid = Stand::endings(stand.sync()) == "a/1 stopped";
    stand.calls();
    bool extended = false;
    for (const auto& call : stand.open)
      extended = extended || call.leaseDeadline;
    const bool lapsed = stand.workerClock(stand.now) >= std::max(*held, *heldByLook);
    CHECK_TEXT(!isVoid || !extended || lapsed,
               ("void, and extended, " + std::to_string(away) + " ms after the last call").c_str());
  }
}

// Until then the leader hears nothing of the new incarnation: it would give it work at once, and
// that would lie there for 7 s.
TEST(AgentLives, replacedIsNotReportedBeforeItCanWork) {
  Stand stand;
  stand.begin();
  stand.beginWith("a", 1);
  CHECK(stand.agent.mayReport());
  stand.agent.onDeclaredGone(stand.at());
  CHECK_FALSE(stand.agent.mayReport());
}

// A stop brings its worker no deadline, so it keeps nothing there alive. docs/design.md 5.4.
TEST(AgentLeases, aStopExtendsNoHold) {
  Stand stand;
  stand.begin();
  stand.beginWith("a", 1);
  stand.beginWith("b", 2);
  stand.calls();
  stand.looked({active("b")}, {ended(1, "a")});
  stand.now += 1400;
  stand.sync({stop(3, "b")});
  STRCMP_EQUAL("stop b/1", stand.calls().c_str());
  stand.reply(CallKind::stop, ReplyKind::noResponse);
  stand.now += 4700;  // 6.1 s after the look that granted the last hold
  stand.calls();
  STRCMP_EQUAL("a/1 stopped", stand.endings().c_str());
}

// Whoever asks for a report first, a lapse is noted before anything is told.
TEST(AgentLeases, aReportAfterTheLapseTellsNothingVoid) {
  Stand stand;
  stand.begin();
  stand.beginWith("a", 1);
  stand.calls();
  stand.looked({}, {ended(1, "a")});
  stand.now += 7000;
  STRCMP_EQUAL("a/1 stopped", stand.endings().c_str());
}

// The answer to a look that was given before the lapse tells nothing of it.
TEST(AgentLeases, aLookAnsweredBeforeTheLapseDoesNotEndIt) {
  Stand stand;
  stand.begin();
  stand.beginWith("a", 1);
  stand.now += 5500;
  STRCMP_EQUAL("look", stand.calls().c_str());
  stand.now += 200;
  const auto early = stand.lists({active("a")}, {});
  stand.now += 600;  // it comes late, when the hold has run out
  STRCMP_EQUAL("", stand.calls().c_str());
  stand.agent.onWorkerReply(stand.take(CallKind::poll), early, stand.at());
  stand.sync({start(2, "b")});
  const std::string calls = stand.calls();
  CHECK_TEXT(calls.find("start") == std::string::npos, calls.c_str());
  stand.looked({}, {ended(1, "a")});  // ended before the lapse, unconfirmed
  STRCMP_EQUAL("a/1 stopped", stand.endings().c_str());
}

// The orders that a new process gets first may have been carried out by the one before: the run may
// be there, or a start of it be under way still. It is fenced and looked for before it is said that
// it never began.
TEST(AgentBegunAnew, doesNotCallUnstartedWhatTheProcessBeforeMayHaveStarted) {
  for (const bool leaves : {false, true}) {
    Stand stand;
    CHECK(stand.beat(leaves));
    if (leaves)
      stand.sync({start(5, "a")});
    else
      stand.sync({start(5, "a"), stop(6, "a")});
    stand.calls();  // the look
    STRCMP_EQUAL("", stand.endings().c_str());
    CHECK(std::any_of(stand.open.begin(), stand.open.end(),
                      [](const WorkerCall& call) { return call.kind == CallKind::stop; }));
    stand.reply(CallKind::stop, ReplyKind::ok);
    stand.looked({active("a")});
    stand.callsIn(300);
    stand.looked({}, {ended(1, "a")});
    STRCMP_EQUAL("a/1 finished", stand.endings().c_str());
  }
}

TEST(AgentBegunAnew, stopsWhatIsTurnedAwayForRoomToo) {
  Stand stand;
  CHECK(stand.beat());
  stand.sync({start(5, "a")});
  stand.calls();
  stand.reply(
      CallKind::start,
      ReplyKind::insufficientCapacity);  // a start that the process before sent may come yet
  STRCMP_EQUAL("stop a/1", stand.calls().c_str());
  STRCMP_EQUAL("", stand.endings().c_str());
}

// An order is carried out when its run's ending can be told with it: killed in between, the next
// process would know of neither order nor run, for what never began is on no list, and the leader
// would hold it for running or stopping for ever.
TEST(AgentStops, areNotAppliedBeforeTheirRunsEndingIsKnown) {
  Stand stand;
  stand.begin();
  stand.sync({start(1, "a")});
  stand.calls();
  stand.reply(CallKind::start, ReplyKind::noResponse);
  stand.sync({stop(2, "a")});
  stand.calls();
  stand.reply(CallKind::stop, ReplyKind::ok);
  auto report = stand.agent.makeSyncReport(stand.at());
  CHECK_TEXT(report.lastAppliedOrder.value < 1 || !report.runResults.empty(),
             "applied, and no ending is told");
  stand.callsIn(30);
  stand.looked();
  report = stand.agent.makeSyncReport(stand.at());
  LONGS_EQUAL(2, report.lastAppliedOrder.value);
  STRCMP_EQUAL("a/1 unstarted", Stand::endings(report).c_str());
}

TEST(AgentStarts, turnedAwayForRoomAfterSilenceAreNotAppliedBeforeThatIsTold) {
  Stand stand;
  stand.begin();
  stand.sync({start(1, "a")});
  stand.calls();
  stand.reply(CallKind::start, ReplyKind::noResponse);
  stand.callsIn(20);
  stand.reply(CallKind::start, ReplyKind::insufficientCapacity);
  stand.calls();
  stand.reply(CallKind::stop, ReplyKind::ok);
  LONGS_EQUAL(0, stand.applied());
}

// What a leader gave up comes as a stop; while that is in an answer yet to come the start it takes
// back is not begun. docs/incidents.md 12.
TEST(AgentOrders, nothingIsStartedWhileOrdersAreKnownToBeMissing) {
  Stand stand;
  stand.beat();
  stand.sync({start(1, "a")});
  stand.now += 20'000;  // cut off before the start was sent; the lease is long over and the leader
                        // has begun the work elsewhere
  stand.beat();
  auto first = stand.agent.makeSyncReport(stand.at());
  stand.now += 5;
  auto second = stand.agent.makeSyncReport(stand.at());
  auto later = stand.answer({});
  later.ordersAfter = OrderNumber{2};
  stand.agent.onSyncResponse(second, later, stand.at(), stand.at());
  for (const auto& call : stand.agent.takeCalls(stand.at()))
    CHECK(call.kind != CallKind::start);
  auto earlier = stand.answer({stop(2, "a")});
  earlier.ordersAfter = OrderNumber{1};
  stand.agent.onSyncResponse(first, earlier, stand.at(), stand.at());
  for (const auto& call : stand.agent.takeCalls(stand.at()))
    CHECK(call.kind != CallKind::start);
}

// The word that the worker is unresponsive stands until a leader has heard one that was given after
// it.
TEST(AgentOrders, anEarlierWordDoesNotTakeBackThatTheWorkerIsUnresponsive) {
  Stand stand;
  stand.beat();
  stand.sync();
  const auto before = stand.agent.makeSyncReport(stand.at());  // its answer is long in coming
  const MonotonicTime sentAt = stand.at();
  stand.now += 10;
  for (const auto& call : stand.agent.takeCalls(stand.at()))
    stand.agent.onWorkerReply(call, WorkerReply{}, stand.at());
  stand.now += 800;
  const auto unresponsive = stand.agent.makeSyncReport(stand.at());
  CHECK(unresponsive.unresponsive);
  CHECK(before.reportedAt < unresponsive.reportedAt);
  stand.now += 5;
  stand.beat();  // it answers again
  for (const auto& call : stand.agent.takeCalls(stand.at())) {
    WorkerReply heard;
    heard.status = ReplyKind::ok;
    heard.clockReading = stand.workerClock(stand.now);
    stand.agent.onWorkerReply(call, heard, stand.at());
  }
  stand.agent.onSyncResponse(before, stand.answer({start(1, "a")}), sentAt, stand.at());
  for (const auto& call : stand.agent.takeCalls(stand.at()))
    CHECK(call.kind != CallKind::start);
  stand.now += 5;
  const auto after = stand.agent.makeSyncReport(stand.at());
  CHECK(!after.unresponsive);
  stand.agent.onSyncResponse(after, stand.answer({}), stand.at(), stand.at());
  std::size_t starts = 0;
  for (const auto& call : stand.agent.takeCalls(stand.at()))
    starts += call.kind == CallKind::start;
  LONGS_EQUAL(1, starts);
}
