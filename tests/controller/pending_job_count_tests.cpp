// Tests of the number of pending jobs of a queue, which are the accepted jobs without a started
// task. docs/platform.md 6.
#include "controller/read_views.hpp"
#include "state/cluster_state_fixture.hpp"

using namespace aniseline;

TEST_GROUP(PendingJobCountTests) {
  ClusterStateFixture fixture;
  void setup() override {
    fixture.registerWorker("a");
  }
  std::uint64_t pending(const char* queue = "q") const {
    return pendingJobCountResponse(fixture.clusterState, QueueName{queue}).pendingJobCount;
  }
  void submitTimetable(std::int64_t firstStart) {
    Timetable timetable;
    timetable.firstStart = ClusterTime{firstStart};
    timetable.interval = Duration{1000};
    timetable.count = 2;
    fixture.submit("timed", {ClusterStateFixture::step(1)}, "q", timetable);
  }
};

TEST(PendingJobCountTests, jobIsPendingUntilTaskStarts) {
  LONGS_EQUAL(0, pending());
  fixture.submit("job", {ClusterStateFixture::step(2)});
  LONGS_EQUAL(1, pending());
  fixture.planAndRun();
  LONGS_EQUAL(0, pending());
}

TEST(PendingJobCountTests, orderInTransitIsNoStart) {
  fixture.submit("job", {ClusterStateFixture::step(1)});
  fixture.plan();
  LONGS_EQUAL(1, pending());
}

TEST(PendingJobCountTests, rejectedOrderIsNoStart) {
  fixture.submit("job", {ClusterStateFixture::step(1)});
  fixture.plan();
  fixture.endAttempt("job", AttemptOutcome::rejected);
  LONGS_EQUAL(1, pending());
}

TEST(PendingJobCountTests, jobWaitingForRetryIsNotPending) {
  fixture.submit("job", {ClusterStateFixture::step(1)});
  fixture.planAndRun();
  fixture.endAttempt("job", AttemptOutcome::failed);
  LONGS_EQUAL(0, pending());
}

TEST(PendingJobCountTests, queuesAreCountedSeparately) {
  fixture.submit("job", {ClusterStateFixture::step(1)});
  fixture.submit("other", {ClusterStateFixture::step(1)}, "other");
  LONGS_EQUAL(1, pending("q"));
  LONGS_EQUAL(1, pending("other"));
  LONGS_EQUAL(0, pending("plain"));
}

TEST(PendingJobCountTests, cancelledJobIsNotPending) {
  fixture.submit("job", {ClusterStateFixture::step(1)});
  fixture.apply(JobCancelled{JobId{"job"}});
  LONGS_EQUAL(0, pending());
}

TEST(PendingJobCountTests, timetableCountsAsOneJobUntilOccurrenceStarts) {
  submitTimetable(fixture.now + 500);
  LONGS_EQUAL(1, pending());
  fixture.now += 600;
  fixture.apply(OccurrenceFired{JobId{"timed"}});
  LONGS_EQUAL(1, pending());
  fixture.planAndRun();
  LONGS_EQUAL(0, pending());
}
