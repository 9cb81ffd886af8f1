// Tests of the leader's lease and the worker's lease with clocks that run at different rates.
// docs/design.md 5.4, 5.5, 5.8.
#include "support/node_agent_fixture.hpp"

using namespace aniseline;
using namespace aniseline::agent_testing;

TEST_GROUP(WorkerLeaseTests) {
  NodeAgentFixture fixture;
};

// The worker's lease never ends after the leader's, for any latencies and any permitted rate of the
// worker's clock. docs/design.md 5.4.
TEST(WorkerLeaseTests, deadlineIsNeverLaterThanTheLeadersLease) {
  for (double rate : {0.98, 0.985, 0.99, 1.0})
    for (std::uint64_t seed = 1; seed <= 50; ++seed) {
      Random random(seed);
      fixture = NodeAgentFixture{};
      fixture.clockRate = rate;
      fixture.connect();
      std::int64_t leaseUntil = fixture.now - 30 + 6000, calls = 0;
      std::uint64_t number = 0;
      for (int count = 0; count < 200; ++count) {
        fixture.now += random.between(0, 300);
        if (random.chance(0.1)) {  // a late registration
          auto registration = fixture.registration();
          registration.clockReading = fixture.workerClock(fixture.now - random.between(0, 900));
          fixture.agent.onRegistration(registration, fixture.time());
        }
        if (random.chance(0.2)) {
          const MonotonicTime sentAt = fixture.time();
          const auto report = fixture.agent.makeSyncReport(sentAt);
          ++number;
          fixture.now += random.between(0, 1500);
          fixture.agent.onSyncResponse(
              report, fixture.response({startOf(number, "job" + std::to_string(number))}), sentAt,
              fixture.time());
          leaseUntil = std::max(leaseUntil, sentAt.milliseconds + 6000);
        }
        for (const auto& call : fixture.agent.takeCalls(fixture.time())) {
          if (call.leaseDeadline) {
            ++calls;
            const double until =
                double(call.leaseDeadline->milliseconds - 5'000'000) / rate + 100'000;
            CHECK_TEXT(until <= double(leaseUntil) + 1,
                       "a deadline is later than the leader's lease");
          }
          WorkerReply reply;
          reply.status = random.chance(0.2) ? ReplyStatus::noResponse : ReplyStatus::ok;
          if (reply.status == ReplyStatus::ok)
            reply.clockReading = fixture.workerClock(fixture.now);
          fixture.now += random.between(0, 50);
          fixture.agent.onWorkerReply(call, reply, fixture.time());
        }
      }
      CHECK(calls > 20);
    }
}

TEST(WorkerLeaseTests, deadlineUsesNearlyTheWholeLease) {
  fixture.connect();
  fixture.now += 500;
  fixture.sync({startOf(1, "a")});
  fixture.calls();
  const auto call = fixture.reply(CallKind::start, ReplyStatus::ok);
  CHECK(call.leaseDeadline.has_value());
  CHECK(*call.leaseDeadline > fixture.workerClock(fixture.now + 5800));
}

TEST(WorkerLeaseTests, lateRegistrationDoesNotSetTheClockBack) {
  fixture.connect();
  fixture.sync({startOf(1, "a")});
  auto late = fixture.registration();
  late.clockReading = fixture.workerClock(fixture.now - 2000);
  CHECK(fixture.agent.onRegistration(late, fixture.time()));
  fixture.calls();
  CHECK(*fixture.takeOpenCall(CallKind::start).leaseDeadline >
        fixture.workerClock(fixture.now + 5800));
}

TEST(WorkerLeaseTests, noDeadlineExceedsTheWorkersOwnLimit) {
  fixture.lease = Duration{60'000};
  fixture.connectAndSendStart();
  const auto call = fixture.reply(CallKind::start, ReplyStatus::ok);
  CHECK(*call.leaseDeadline <= fixture.workerClock(fixture.now + 6000));
}

// A success that was unconfirmed when the lease expired is void, and no run starts before a poll.
// docs/design.md 5.5.
TEST(WorkerLeaseTests, expiredLeaseVoidsUnconfirmedSuccesses) {
  fixture.connectWithOneEndedOneRunning();
  fixture.now += 7000;  // no leader all this time
  STRCMP_EQUAL("", fixture.calls().c_str());
  const auto report = fixture.sync({startOf(3, "c")});
  STRCMP_EQUAL("a/1 stopped", resultsIn(report).c_str());
  STRCMP_EQUAL("poll", fixture.calls().c_str());
  STRCMP_EQUAL("", fixture.callsAfter(300).c_str());
  fixture.replyToPoll(
      {}, {resultOf(1, "a"), resultOf(2, "d"), resultOf(3, "b", AttemptOutcome::stopped)});
  STRCMP_EQUAL("a/1 stopped, d/1 stopped, b/1 stopped", fixture.reportedResults().c_str());
  STRCMP_EQUAL("start c/1", fixture.callsAfter(30).c_str());
}

TEST(WorkerLeaseTests, renewedLeaseVoidsNothing) {
  fixture.connectWithOneEndedOneRunning();
  for (int count = 0; count < 20; ++count) {
    fixture.sync();
    CHECK(fixture.callsAfter(1000).find("start") == std::string::npos);
    if (!fixture.openCalls.empty())
      fixture.replyToPoll({running("b")}, {resultOf(1, "a")});
  }
  STRCMP_EQUAL("a/1 finished", fixture.reportedResults().c_str());
}

// Results that were confirmed before the expiry stay confirmed, and failures stay failures.
TEST(WorkerLeaseTests, expiredLeaseChangesNoFailureAndNothingConfirmed) {
  fixture.connect();
  fixture.startRun("a", 1);
  fixture.startRun("b", 2);
  fixture.calls();
  fixture.replyToPoll({}, {resultOf(1, "a"), resultOf(2, "b", AttemptOutcome::failed)});
  fixture.sync({}, 1);
  fixture.now += 7000;
  fixture.calls();
  STRCMP_EQUAL("b/1 failed", fixture.reportedResults().c_str());
}

// A poll waits for half of the lease, which is 2 s on the platform. If the poll is lost, two more
// fit into the remaining lease.
TEST(WorkerLeaseTests, lostPollLeavesTimeForTwoMoreForAnyLease) {
  for (const std::int64_t lease : {1500, 2000, 3000, 6000}) {
    fixture = NodeAgentFixture{};
    NodeAgentOptions options;
    options.workerLease = Duration{lease};
    fixture.agent = NodeAgent{options};
    fixture.connect();
    fixture.startRun("a");
    STRCMP_EQUAL("poll", fixture.calls().c_str());
    const std::int64_t pollStart = fixture.now;
    const WorkerCall lost = fixture.openCalls.back();
    CHECK_TEXT(lease != 2000 || lost.longPollTimeout == Duration{1000},
               "a poll must wait for half of a lease of two seconds");
    fixture.now += lost.timeout.milliseconds;
    fixture.reply(CallKind::poll, ReplyStatus::noResponse);
    int followingPolls = 0;
    while (fixture.now < pollStart + lease * 95 / 100 && followingPolls < 2) {
      fixture.sync();
      STRCMP_EQUAL("poll", fixture.calls().c_str());
      // These polls only check whether the worker replies, so they do not wait.
      LONGS_EQUAL(0, fixture.openCalls.back().longPollTimeout.milliseconds);
      CHECK(fixture.openCalls.back().leaseDeadline.has_value());
      fixture.now += 400;
      fixture.reply(CallKind::poll, ReplyStatus::noResponse);
      ++followingPolls;
    }
    LONGS_EQUAL(2, followingPolls);
  }
}

// A lease of 3 s is renewed once per sync, so only a second of it may be left when a poll starts.
TEST(WorkerLeaseTests, longPollLeavesASecondOfTheLease) {
  fixture.lease = Duration{3000};
  fixture.connect();
  fixture.startRun("a");
  const std::int64_t pollStart = fixture.now;
  for (std::int64_t elapsed = 100; elapsed <= 2400; elapsed += 100) {
    fixture.now = pollStart + elapsed;
    const auto calls = fixture.calls();
    if (calls.empty())
      continue;
    STRCMP_EQUAL("poll", calls.c_str());
    const auto poll = fixture.replyToPoll({running("a")});
    CHECK_TEXT(poll.longPollTimeout <= std::max(Duration{750}, Duration{3000 - elapsed - 1000}),
               "the poll may outlast the lease");
  }
}

// A registration may be seconds old, so its clock reading is no upper bound.
TEST(WorkerLeaseTests, lateRegistrationDoesNotExtendTheLease) {
  fixture.connect();
  fixture.startRun("a", 1);
  fixture.startRun("b", 2);
  const auto granted = fixture.replyToPoll({running("b")}, {resultOf(1, "a")}).leaseDeadline;
  CHECK(granted.has_value());
  fixture.now += 5900;  // the lease may have expired by now
  auto late = fixture.registration();
  late.clockReading = fixture.workerClock(fixture.now - 4000);
  CHECK(fixture.agent.onRegistration(late, fixture.time()));
  fixture.sync();
  for (const auto& call : fixture.agent.takeCalls(fixture.time()))
    CHECK_TEXT(!call.leaseDeadline,
               "a lease that may have expired is renewed while a result is unconfirmed");
}

// The worker's clock may be slow, so a lease that may have expired has not certainly expired. If a
// call extended the lease of a result that counts as void, the worker would keep that result valid
// and it would be confirmed later, although its task had been started again. docs/design.md 5.5.
TEST(WorkerLeaseTests, noResultIsVoidedWhileTheLeaseMayBeExtended) {
  for (std::int64_t leaderlessTime = 5500; leaderlessTime < 6200; leaderlessTime += 20) {
    fixture = NodeAgentFixture{};
    fixture.clockRate = 0.98;
    fixture.connect();
    fixture.sync({startOf(1, "a")});
    fixture.calls();
    const auto granted = fixture.reply(CallKind::start, ReplyStatus::ok).leaseDeadline;
    fixture.now += 30;
    STRCMP_EQUAL("poll", fixture.calls().c_str());
    const auto grantedByPoll = fixture.replyToPoll({}, {resultOf(1, "a")}).leaseDeadline;
    CHECK(granted && grantedByPoll);
    fixture.now += leaderlessTime;  // no leader all this time
    fixture.calls();
    const bool isVoid = resultsIn(fixture.sync()) == "a/1 stopped";
    fixture.calls();
    bool extended = false;
    for (const auto& call : fixture.openCalls)
      extended = extended || call.leaseDeadline;
    const bool expired = fixture.workerClock(fixture.now) >= std::max(*granted, *grantedByPoll);
    CHECK_TEXT(!isVoid || !extended || expired,
               ("voided although its lease was extended, " + std::to_string(leaderlessTime) +
                " ms after the last call")
                   .c_str());
  }
}

// A stop has no deadline, so it extends no lease at the worker. docs/design.md 5.4.
TEST(WorkerLeaseTests, stopExtendsNoLease) {
  fixture.connectWithOneEndedOneRunning();
  fixture.now += 1400;
  fixture.sync({stopOf(3, "b")});
  STRCMP_EQUAL("stop b/1", fixture.calls().c_str());
  fixture.reply(CallKind::stop, ReplyStatus::noResponse);
  fixture.now += 4700;  // 6.1 s after the poll that granted the latest lease
  fixture.calls();
  STRCMP_EQUAL("a/1 stopped", fixture.reportedResults().c_str());
}

// Making a report records an expired lease before the report is filled.
TEST(WorkerLeaseTests, reportAfterTheExpiryShowsNoVoidSuccess) {
  fixture.connectWithOneEnded();
  fixture.now += 7000;
  STRCMP_EQUAL("a/1 stopped", fixture.reportedResults().c_str());
}

// A reply sent before the lease expired says nothing about the state after the expiry.
TEST(WorkerLeaseTests, pollAnsweredBeforeTheExpiryDoesNotClearTheExpiredState) {
  fixture.connect();
  fixture.startRun("a", 1);
  fixture.now += 5500;
  STRCMP_EQUAL("poll", fixture.calls().c_str());
  fixture.now += 200;
  const auto early = fixture.pollReply({running("a")}, {});
  fixture.now += 600;  // it arrives late, after the lease has expired
  STRCMP_EQUAL("", fixture.calls().c_str());
  fixture.agent.onWorkerReply(fixture.takeOpenCall(CallKind::poll), early, fixture.time());
  fixture.sync({startOf(2, "b")});
  const std::string calls = fixture.calls();
  CHECK_TEXT(calls.find("start") == std::string::npos, calls.c_str());
  fixture.replyToPoll({}, {resultOf(1, "a")});  // ended before the expiry, unconfirmed
  STRCMP_EQUAL("a/1 stopped", fixture.reportedResults().c_str());
}

// The worker's clock may be slow: until the lease has certainly expired, a success is not void and
// no call renews the lease. docs/design.md 5.8.
TEST(WorkerLeaseTests, resultIsVoidedOnlyOnceItsLeaseHasCertainlyExpired) {
  NodeAgent agent{NodeAgentOptions{}};
  agent.onRegistration(registrationOf("w", 0), MonotonicTime{0});
  const auto report = agent.makeSyncReport(MonotonicTime{0});
  agent.onSyncResponse(report, responseOf({startOf(1, "a")}, 0), MonotonicTime{0},
                       MonotonicTime{0});
  for (const auto& call : agent.takeCalls(MonotonicTime{0})) {
    WorkerReply reply;
    reply.status = WorkerReply::Status::ok;
    reply.clockReading = WorkerTime{98};
    if (call.kind == WorkerCall::Kind::poll)
      reply.results.push_back({1, runIdOf("a"), AttemptOutcome::succeeded, ""});
    agent.onWorkerReply(call, reply, MonotonicTime{100});
  }
  LONGS_EQUAL(1, agent.makeSyncReport(MonotonicTime{101}).runResults.size());
  // The lease ends at 2940 on the worker's clock, which now reads between 2886 and 2943.
  agent.onSyncResponse(agent.makeSyncReport(MonotonicTime{2900}), responseOf({}, 1),
                       MonotonicTime{2900}, MonotonicTime{2940});
  for (const auto& call : agent.takeCalls(MonotonicTime{2945}))
    CHECK(!call.leaseDeadline);
  CHECK(agent.makeSyncReport(MonotonicTime{2946}).runResults.at(0).outcome ==
        AttemptOutcome::succeeded);
  // A reply shows that the lease still holds. (A registration would not, because it may be seconds
  // old.)
  NodeAgent renewed = agent;
  Order stop = startOf(2, "c");
  stop.kind = OrderKind::stop;
  renewed.onSyncResponse(renewed.makeSyncReport(MonotonicTime{2946}), responseOf({stop}, 1),
                         MonotonicTime{2946}, MonotonicTime{2946});
  for (const auto& call : renewed.takeCalls(MonotonicTime{2947})) {
    CHECK(call.kind == WorkerCall::Kind::stop);
    WorkerReply reply;
    reply.status = WorkerReply::Status::ok;
    reply.clockReading = WorkerTime{2890};
    renewed.onWorkerReply(call, reply, MonotonicTime{2950});
  }
  renewed.onSyncResponse(renewed.makeSyncReport(MonotonicTime{2950}),
                         responseOf({startOf(3, "b")}, 2), MonotonicTime{2950},
                         MonotonicTime{2950});
  std::size_t renewals = 0;
  for (const auto& call : renewed.takeCalls(MonotonicTime{2950}))
    renewals += call.leaseDeadline.has_value();
  CHECK(renewals > 0);
  CHECK(renewed.makeSyncReport(MonotonicTime{3100}).runResults.at(0).outcome ==
        AttemptOutcome::succeeded);
  // Without a reply the lease expires.
  agent.takeCalls(MonotonicTime{3200});
  CHECK(agent.makeSyncReport(MonotonicTime{3201}).runResults.at(0).outcome ==
        AttemptOutcome::stopped);
}
