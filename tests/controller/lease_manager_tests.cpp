// Tests of when a leader considers a worker unreachable or removed. docs/design.md 5.4, 5.7, 5.8.
#include "controller/lease_manager.hpp"
#include "state/sync_report.hpp"
#include <CppUTest/TestHarness.h>

using namespace aniseline;

TEST_GROUP(LeaseManagerTests) {
  ControllerOptions options;
  LeaseManager leases{options};
  ClusterState state;
  const WorkerId worker{"w"};
  const Duration expiry = options.leaseDuration + options.leaseMargin;

  void setup() override {
    leases.restart(MonotonicTime{1000});
    apply(WorkerRegistered{worker, Incarnation{1}, Capacity{}});
  }
  void apply(Event event) {
    state.apply(LogRecord{ClusterTime{1}, std::move(event)});
    leases.invalidateDeadlines();
  }
  SyncReport reportAt(std::int64_t agentTime, bool unresponsive = false) const {
    SyncReport report;
    report.id = worker;
    report.wantsPackedResponse = true;
    report.reportedAt = MonotonicTime{agentTime};
    report.unresponsive = unresponsive;
    report.remainingLease = Duration{500};
    return report;
  }
  std::vector<Event> expireAt(MonotonicTime now, ClusterTime clusterNow = ClusterTime{1}) {
    return leases.expire(state, now, clusterNow);
  }
};

TEST(LeaseManagerTests, workerIsUnreachableAfterLeaseAndMargin) {
  leases.recordReport(reportAt(1), MonotonicTime{2000});
  const MonotonicTime lastMoment = MonotonicTime{2000} + expiry;
  CHECK(expireAt(lastMoment).empty());
  const auto events = expireAt(lastMoment + Duration{1});
  LONGS_EQUAL(1, events.size());
  CHECK(boost::get<WorkerUnreachable>(&events.front()) != nullptr);
}

TEST(LeaseManagerTests, leaseOfUnheardWorkerCountsFromStartOfLeadership) {
  CHECK(expireAt(MonotonicTime{1000} + expiry).empty());
  LONGS_EQUAL(1, expireAt(MonotonicTime{1001} + expiry).size());
}

TEST(LeaseManagerTests, unreachableWorkerIsReportedOnce) {
  apply(WorkerUnreachable{worker, {}});
  CHECK(expireAt(MonotonicTime{60'000}).empty());
}

TEST(LeaseManagerTests, unresponsiveWorkerIsUnreachableAfterItsRemainingLease) {
  leases.recordReport(reportAt(1), MonotonicTime{2000});
  leases.recordReport(reportAt(2, true), MonotonicTime{2100});
  const MonotonicTime noTasksAfter = MonotonicTime{2600} + options.unresponsiveMargin;
  CHECK(expireAt(noTasksAfter).empty());
  LONGS_EQUAL(1, expireAt(noTasksAfter + Duration{1}).size());
  LONGS_EQUAL(60'000, leases.timesSinceLastContact(MonotonicTime{2200}).at(worker).milliseconds);
}

TEST(LeaseManagerTests, outOfOrderReportIsIgnored) {
  leases.recordReport(reportAt(5), MonotonicTime{2000});
  const auto effect = leases.recordReport(reportAt(4, true), MonotonicTime{2100});
  CHECK(effect.outOfOrder);
  LONGS_EQUAL(100, leases.timesSinceLastContact(MonotonicTime{2100}).at(worker).milliseconds);
}

TEST(LeaseManagerTests, workerBecomesResponsiveAgain) {
  leases.recordReport(reportAt(1, true), MonotonicTime{2000});
  const auto effect = leases.recordReport(reportAt(2), MonotonicTime{2100});
  CHECK(effect.becameResponsive);
  CHECK(!leases.recordReport(reportAt(3), MonotonicTime{2200}).becameResponsive);
}

TEST(LeaseManagerTests, idleDrainingWorkerIsRemovedAfterItsLease) {
  apply(WorkerDrainStarted{worker, Duration{100'000}, false});
  const auto events = expireAt(MonotonicTime{1001} + expiry);
  LONGS_EQUAL(1, events.size());
  CHECK(boost::get<WorkerRemoved>(&events.front()) != nullptr);
}

TEST(LeaseManagerTests, passedDrainDeadlineIsReportedOnce) {
  apply(WorkerDrainStarted{worker, Duration{100}, false});
  CHECK(expireAt(MonotonicTime{1100}, ClusterTime{100}).empty());
  const auto events = expireAt(MonotonicTime{1101}, ClusterTime{101});
  LONGS_EQUAL(1, events.size());
  CHECK(boost::get<WorkerDrainDeadlinePassed>(&events.front()) != nullptr);
  apply(WorkerDrainDeadlinePassed{worker});
  CHECK(expireAt(MonotonicTime{1102}, ClusterTime{102}).empty());
}

TEST(LeaseManagerTests, aWorkerIsAliveForTheLivenessTimeout) {
  leases.recordReport(reportAt(1), MonotonicTime{2000});
  CHECK(leases.isAlive(worker, MonotonicTime{1999} + options.workerLivenessTimeout));
  CHECK(!leases.isAlive(worker, MonotonicTime{2000} + options.workerLivenessTimeout));
}

TEST_GROUP(HostReportTests) {
  ControllerOptions options;
  LeaseManager leases{options};
  void setup() override {
    leases.restart(MonotonicTime{1000});
  }
  static SyncReport reportOf(const char* instance, std::int64_t agentTime,
                             const char* host = "host") {
    SyncReport report;
    report.id = WorkerId{instance};
    report.capacity.host = host;
    report.wantsPackedResponse = true;
    report.reportedAt = MonotonicTime{agentTime};
    return report;
  }
  void record(const char* instance, std::int64_t agentTime) {
    leases.recordReport(reportOf(instance, agentTime), MonotonicTime{2000});
  }
};

// Guards against the fault in docs/incidents.md 15: a delayed report of an earlier instance was
// registered, which removed the running instance and reassigned its tasks while they were still
// running.
TEST(HostReportTests, delayedReportOfEarlierInstanceIsSuperseded) {
  record("second", 5000);
  CHECK(leases.isSupersededByOtherInstance(reportOf("first", 4000)));
}

TEST(HostReportTests, laterInstanceIsNotSuperseded) {
  record("first", 4000);
  CHECK(!leases.isSupersededByOtherInstance(reportOf("second", 5000)));
}

TEST(HostReportTests, reportsOfSameInstanceDoNotSupersedeEachOther) {
  record("first", 5000);
  CHECK(!leases.isSupersededByOtherInstance(reportOf("first", 4000)));
}

TEST(HostReportTests, timestampsOfDifferentHostsAreNotCompared) {
  record("second", 5000);
  CHECK(!leases.isSupersededByOtherInstance(reportOf("first", 4000, "elsewhere")));
  CHECK(!leases.isSupersededByOtherInstance(reportOf("first", 4000, "")));
}

TEST(HostReportTests, reportAfterClockResetIsNotSuperseded) {
  record("second", 500'000);
  CHECK(!leases.isSupersededByOtherInstance(reportOf("third", 100)));
}

TEST(HostReportTests, newLeadershipForgetsReports) {
  record("second", 5000);
  leases.restart(MonotonicTime{9000});
  CHECK(!leases.isSupersededByOtherInstance(reportOf("first", 4000)));
}
