// Tests rule 20 on constructed histories: a task waits although there is room for it.
// docs/design.md 11.
#include "checker/starvation_checker.hpp"
#include <CppUTest/TestHarness.h>

using namespace aniseline;

namespace {

using Kind = HistoryEvent::Kind;

HistoryEvent eventAt(std::int64_t at, Kind kind, const std::string& job = "job") {
  HistoryEvent event;
  event.kind = kind;
  event.timestamp = at;
  event.job = job;
  return event;
}

}  // namespace

TEST_GROUP(StarvationCheckerTests) {
  std::map<std::string, JobSubmission> submissions;
  InvariantOptions options;
  std::vector<std::pair<std::int64_t, std::int64_t>> faults;
  std::vector<HistoryEvent> history;

  void setup() override {
    options.clockSlackMs = 0;
    options.poolsByQueue["q"] = {"pool"};
    addWorker("w", 4000);
    addJob("job", 1, 1000);
  }
  void addWorker(const std::string& id, std::uint32_t cores, const char* detail = "called",
                 const char* pool = "pool") {
    HistoryEvent event = eventAt(0, Kind::capacityReported, "");
    event.worker = id;
    event.cores = cores;
    event.memory = 10'000;
    event.detail = detail;
    event.pool = pool;
    history.push_back(event);
  }
  JobSubmission& addJob(const std::string& id, std::size_t tasks, std::uint32_t cores) {
    JobSubmission& job = submissions[id];
    job.id = JobId{id};
    job.queue = QueueName{"q"};
    job.steps = {{"only",
                  {},
                  false,
                  std::vector<TaskRequest>(tasks, TaskRequest{cores, 100, Duration{1000}, ""})}};
    return job;
  }
  void accept(std::int64_t at, const std::string& id = "job") {
    history.push_back(eventAt(at, Kind::submitted, id));
    history.push_back(eventAt(at, Kind::accepted, id));
  }
  void run(Kind kind, std::int64_t at, const std::string& job, std::uint32_t task,
           std::uint32_t cores = 0, const char* outcome = "") {
    HistoryEvent event = eventAt(at, kind, job);
    event.worker = "w";
    event.attempt = "1";
    event.task = task;
    event.cores = cores;
    event.memory = 100;
    event.detail = outcome;
    history.push_back(event);
  }
  // Returns the number of violations reported up to the time `end`.
  std::size_t violationsBy(std::int64_t end) {
    history.push_back(eventAt(end, Kind::quiescent, ""));
    StarvationChecker checker(submissions, options, [this](std::int64_t from, std::int64_t to) {
      return std::none_of(faults.begin(), faults.end(), [&](const auto& fault) {
        return fault.first <= to && from <= fault.second;
      });
    });
    std::size_t found = 0;
    for (const auto& event : history) {
      for (const auto& violation : checker.observe(event)) {
        CHECK(violation.rule == Invariant::noStarvation);
        ++found;
      }
    }
    return found;
  }
};

TEST(StarvationCheckerTests, reportsThreeSecondsWithRoomForTwoCopies) {
  accept(10'000);
  LONGS_EQUAL(1, violationsBy(13'000));
}

TEST(StarvationCheckerTests, acceptsLessThanThreeSeconds) {
  accept(10'000);
  LONGS_EQUAL(0, violationsBy(12'999));
}

TEST(StarvationCheckerTests, reportsAWaitOnce) {
  accept(10'000);
  history.push_back(eventAt(14'000, Kind::stateUnchanged));
  LONGS_EQUAL(1, violationsBy(20'000));
}

TEST(StarvationCheckerTests, acceptsAWaitWithRoomForOneCopyOnly) {
  run(Kind::started, 9000, "other", 0, 3000);
  accept(10'000);
  LONGS_EQUAL(0, violationsBy(20'000));
}

TEST(StarvationCheckerTests, roomMustBeContinuous) {
  accept(10'000);
  run(Kind::started, 11'000, "other", 0, 3000);
  run(Kind::ended, 11'500, "other", 0, 0, "finished");
  LONGS_EQUAL(0, violationsBy(14'499));
  history.pop_back();
  LONGS_EQUAL(1, violationsBy(14'500));
}

TEST(StarvationCheckerTests, acceptsAWaitWithinFourSecondsAfterAFault) {
  faults = {{5000, 6500}};
  accept(10'000);
  LONGS_EQUAL(0, violationsBy(20'000));
}

TEST(StarvationCheckerTests, reportsAWaitAfterAnEarlierFault) {
  faults = {{5000, 5999}};
  accept(10'000);
  LONGS_EQUAL(1, violationsBy(20'000));
}

TEST(StarvationCheckerTests, jobWithARunningTaskDoesNotStarve) {
  addJob("job", 2, 1000);
  accept(10'000);
  run(Kind::started, 10'100, "job", 0, 1000);
  LONGS_EQUAL(0, violationsBy(20'000));
}

TEST(StarvationCheckerTests, countsAStartObservedBeforeTheAcceptance) {
  history.push_back(eventAt(9990, Kind::submitted));
  run(Kind::started, 9995, "job", 0, 1000);
  history.push_back(eventAt(10'000, Kind::accepted));
  LONGS_EQUAL(0, violationsBy(20'000));
}

TEST(StarvationCheckerTests, taskWithUnfinishedDependenciesDoesNotStarve) {
  JobSubmission& job = addJob("job", 1, 3000);
  job.steps.push_back({"after", {"only"}, false, {TaskRequest{1000, 100, Duration{1000}, ""}}});
  accept(10'000);
  LONGS_EQUAL(0, violationsBy(20'000));  // there is room for only one copy of the first step
}

TEST(StarvationCheckerTests, taskWithFinishedDependenciesStarves) {
  JobSubmission& job = addJob("job", 1, 3000);
  job.steps.push_back({"after", {"only"}, false, {TaskRequest{1000, 100, Duration{1000}, ""}}});
  accept(10'000);
  run(Kind::started, 10'100, "job", 0, 3000);
  run(Kind::ended, 11'000, "job", 0, 0, "finished");
  LONGS_EQUAL(1, violationsBy(14'000));
}

TEST(StarvationCheckerTests, gangNeedsRoomForTwoCopiesOfAllMembers) {
  addJob("job", 2, 1000).steps[0].gang = true;
  run(Kind::started, 9000, "other", 0, 1000);
  accept(10'000);
  LONGS_EQUAL(0, violationsBy(13'000));
  history.pop_back();
  run(Kind::ended, 13'100, "other", 0, 0, "finished");
  LONGS_EQUAL(1, violationsBy(16'100));
}

TEST(StarvationCheckerTests, longRunningTasksAreCheckedSeparately) {
  addJob("job", 2, 1000).steps[0].requirements.longRunning = true;
  accept(10'000);
  run(Kind::started, 10'100, "job", 0, 1000);
  LONGS_EQUAL(1, violationsBy(13'000));
}

TEST(StarvationCheckerTests, longRunningTaskMayWaitSixSecondsAfterItsLastRun) {
  addJob("job", 2, 500).steps[0].requirements.longRunning = true;
  accept(10'000);
  run(Kind::started, 10'100, "job", 0, 500);
  run(Kind::started, 10'100, "job", 1, 500);
  run(Kind::ended, 12'000, "job", 1, 0, "failed");
  history.push_back(eventAt(18'000, Kind::stateUnchanged));
  LONGS_EQUAL(0, violationsBy(20'999));
  history.pop_back();
  LONGS_EQUAL(1, violationsBy(21'000));
}

TEST(StarvationCheckerTests, occurrenceStarvesOnlyFromItsScheduledTime) {
  JobSubmission& job = addJob("job", 1, 1000);
  job.timetable.firstStart = ClusterTime{15'000};
  job.timetable.interval = Duration{60'000};
  job.timetable.count = 2;
  accept(10'000);
  history.push_back(eventAt(15'000, Kind::stateUnchanged));
  LONGS_EQUAL(0, violationsBy(17'999));
  history.pop_back();
  LONGS_EQUAL(1, violationsBy(18'000));
}

TEST(StarvationCheckerTests, cancelledJobDoesNotStarve) {
  accept(10'000);
  history.push_back(eventAt(11'000, Kind::cancelSubmitted));
  LONGS_EQUAL(0, violationsBy(20'000));
}

TEST(StarvationCheckerTests, runsOfACancelledJobStillUseCapacity) {
  addJob("other", 1, 3000);
  accept(8000, "other");
  run(Kind::started, 8100, "other", 0, 3000);
  history.push_back(eventAt(9000, Kind::cancelSubmitted, "other"));
  accept(10'000);
  LONGS_EQUAL(0, violationsBy(20'000));
}

TEST(StarvationCheckerTests, ignoresDrainingWorkersAndOtherPools) {
  HistoryEvent draining = eventAt(9000, Kind::draining, "");
  draining.worker = "w";
  history.push_back(draining);
  addWorker("elsewhere", 4000, "called", "other");
  addWorker("caller", 4000, "");
  accept(10'000);
  LONGS_EQUAL(0, violationsBy(20'000));
}

TEST(StarvationCheckerTests, runsOnALostWorkerEnd) {
  addWorker("spare", 4000);
  accept(10'000);
  run(Kind::started, 10'100, "job", 0, 1000);
  HistoryEvent lost = eventAt(12'000, Kind::workerLost, "");
  lost.worker = "w";
  history.push_back(lost);
  LONGS_EQUAL(1, violationsBy(15'000));
}

TEST(StarvationCheckerTests, taskWithoutRemainingAttemptsDoesNotStarve) {
  options.maxAttemptsByQueue["q"] = 1;
  accept(10'000);
  run(Kind::started, 10'100, "job", 0, 1000);
  run(Kind::ended, 10'200, "job", 0, 0, "failed");
  LONGS_EQUAL(0, violationsBy(20'000));
}

TEST(StarvationCheckerTests, endedJobThatIsSubmittedAgainDoesNotStarve) {
  accept(8000);
  run(Kind::started, 8100, "job", 0, 1000);
  run(Kind::ended, 9000, "job", 0, 0, "finished");
  HistoryEvent shown = eventAt(9100, Kind::stateObserved);
  shown.detail = "finished";
  history.push_back(shown);
  accept(10'000);
  LONGS_EQUAL(0, violationsBy(20'000));
}

TEST(StarvationCheckerTests, ignoresWorkersWithRepeatedRecentFailures) {
  run(Kind::started, 1000, "other", 0, 1000);
  run(Kind::ended, 2000, "other", 0, 0, "failed");
  accept(10'000);
  LONGS_EQUAL(1, violationsBy(13'000));
  history.resize(3);
  run(Kind::started, 2000, "other", 1, 1000);
  run(Kind::ended, 3000, "other", 1, 0, "failed");
  accept(10'000);
  LONGS_EQUAL(0, violationsBy(60'000));
}
