// The names and fields of log events are read by operators' tools, so they must not change.
#include "controller/log_event.hpp"
#include <CppUTest/TestHarness.h>

using namespace aniseline;

TEST_GROUP(LogEventTests) {
  const Member member{ControllerId{"c1"}, Address{"c1:1"}, ZoneName{"z1"}, true};

  std::string line(const LogEvent& event) const {
    const RenderedLogEvent rendered = render(event);
    return rendered.name + " " + picojson::value(rendered.fields).serialize();
  }
  void expectLine(const char* expected, const LogEvent& event) const {
    STRCMP_EQUAL(expected, line(event).c_str());
  }
};

TEST(LogEventTests, leadershipAndStateEvents) {
  expectLine(R"(view installed {"index":7})", log_events::SnapshotInstalled{LogIndex{7}});
  expectLine(R"(unreadable record {"index":7})", log_events::UnreadableRecord{LogIndex{7}});
  expectLine(R"(leads {"last":9,"term":3})", log_events::LeadershipStarted{Term{3}, LogIndex{9}});
  expectLine(R"(leads no more {"term":4})", log_events::LeadershipEnded{Term{4}});
  expectLine(R"(serves {"term":3})", log_events::ServingStarted{Term{3}});
  expectLine(R"(config taken {"api_keys":3,"tenants":2,"version":5})",
             log_events::ConfigAccepted{ConfigVersion{5}, 2, 3});
  expectLine(R"(api_keys_rejected {"requests":4,"version":5})",
             log_events::ApiKeysRejected{ConfigVersion{5}, 4});
  expectLine(
      R"(state_growth_limited {"deferred_occurrences":3,"job_bytes":50,"job_bytes_limit":90,"rejected_cancels":1,"rejected_jobs":2})",
      log_events::StateGrowthLimited{2, 3, 1, 50, 90});
}

TEST(LogEventTests, workerEvents) {
  expectLine(R"(worker id in use {"worker":"w"})", log_events::WorkerIdInUse{WorkerId{"w"}});
  expectLine(R"(worker leaves {"worker":"w"})", log_events::WorkerDraining{WorkerId{"w"}});
  expectLine(R"(worker silent {"worker":"w"})", log_events::WorkerUnreachable{WorkerId{"w"}});
}

TEST(LogEventTests, membershipEvents) {
  expectLine(R"(members change {"change":"voter","member":"c1","zone":"z1"})",
             log_events::MembershipChanged{MembershipChangeCause::promotedToVoter, member});
  expectLine(R"(members change {"change":"lost state","member":"c1","zone":"z1"})",
             log_events::MembershipChanged{MembershipChangeCause::lostState, member});
  expectLine(
      R"(members change refused {"change":"removed","member":"c1","why":"","zone":"z1"})",
      log_events::MembershipChangeRefused{MembershipChangeCause::removed, member, std::nullopt});
  const auto refusal = MembershipChangeRefusal::changeInProgress;
  const std::string expected =
      std::string(R"(members change refused {"change":"removed","member":"c1","why":")") +
      name(refusal) + R"(","zone":"z1"})";
  expectLine(expected.c_str(),
             log_events::MembershipChangeRefused{MembershipChangeCause::removed, member, refusal});
}

TEST(LogEventTests, delayedTask) {
  log_events::TaskDelayed delayed{JobId{"j"}, 1, 2, 3, TaskState::pending, {}, {}};
  expectLine(R"(work waits long {"job":"j","run":3,"state":"waiting","step":1,"within":2})",
             delayed);
  delayed.attempt = log_events::TaskDelayed::BlockedAttempt{AttemptState::stopping, WorkerId{"w"}};
  delayed.reservedFor = JobId{"other"};
  expectLine(
      R"(work waits long {"attempt":"stopping","job":"j","reserved_for":"other","run":3,"state":"waiting","step":1,"within":2,"worker":"w"})",
      delayed);
}

TEST(LogEventTests, occupancy) {
  log_events::Occupancy occupancy;
  occupancy.waitingTasks = 1;
  occupancy.withinTarget = 2;
  occupancy.late = 3;
  occupancy.tooLateToBeUseful = 4;
  occupancy.attempts = 5;
  occupancy.openJobs = 6;
  occupancy.usableWorkers = 7;
  occupancy.excludedWorkers = 8;
  occupancy.redundantCopies = 9;
  occupancy.heldByTenantCap = 10;
  occupancy.plans = 11;
  occupancy.cores = 1.5;
  occupancy.coresUsed = 0.5;
  expectLine(
      R"(occupancy {"attempts":5,"copies":9,"cores":1.5,"cores_used":0.5,"held_by_cap":10,"in_time":2,"late":3,"open":6,"passed_over":8,"past":4,"plans":11,"waiting":1,"workers":7})",
      occupancy);
}

TEST(LogEventTests, dispatchLatency) {
  log_events::DispatchLatency latency;
  latency.wait = {1, Duration{2}, Duration{3}, Duration{4}};
  latency.commit = {5, Duration{6}, Duration{7}, Duration{8}};
  expectLine(
      R"(dispatch_latency {"commit":{"count":5,"max_ms":8,"p50_ms":6,"p95_ms":7},"overhead":{"count":0,"max_ms":0,"p50_ms":0,"p95_ms":0},"wait":{"count":1,"max_ms":4,"p50_ms":2,"p95_ms":3}})",
      latency);
}
