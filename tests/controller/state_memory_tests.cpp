// Accepted work never takes a controller over its memory limit, and no accepted work is dropped for
// the sake of it. docs/design.md 10.1, docs/incidents/timetable-memory.md.
#include "controller/controller_cluster.hpp"
#include "support/heap_usage.hpp"
#include <CppUTest/TestHarness.h>

using namespace aniseline;

namespace {

constexpr std::uint64_t processMemoryLimit = 64ull * 1024 * 1024;

ControllerOptions optionsWithMemoryLimit() {
  ControllerOptions options;
  options.applyMemoryLimit(processMemoryLimit);
  return options;
}

}  // namespace

TEST_GROUP(StateMemoryTests) {
  const std::uint64_t heapBefore = heapBytesInUse();
  ControllerCluster cluster{1, 0, optionsWithMemoryLimit()};

  void setup() override {
    cluster.setWallClockAhead(1'000'000'000);  // makes all occurrences of a timetable overdue
    ApiRequest request;
    request.kind = RequestKind::applyConfig;
    request.text =
        R"({"planner":{"trials":false},"queues":{"urgent":{"urgency":1},"plain":{"urgency":0}}})";
    LONGS_EQUAL(200, cluster.askLeader(request).status);
  }
  std::uint64_t heapGrowth() const {
    const std::uint64_t heapNow = heapBytesInUse();
    return heapNow > heapBefore ? heapNow - heapBefore : 0;
  }
  static StepRequest step(std::string name, std::size_t tasks) {
    StepRequest request;
    request.name = std::move(name);
    request.tasks.assign(tasks, TaskRequest{1500, 1500, Duration{240}, ""});
    return request;
  }
  // Returns a job whose second step never gets its turn, because the first one lasts.
  static JobSubmission jobThatNeverEnds(const std::string& id, std::size_t waitingTasks) {
    JobSubmission job;
    job.id = JobId{id};
    job.queue = QueueName{"plain"};
    job.steps = {step("lasting", 1), step("waiting", waitingTasks)};
    job.steps[0].requirements.longRunning = true;
    job.steps[1].dependencies = {"lasting"};
    return job;
  }
  static JobSubmission overdueTimetable(const std::string& id, std::uint32_t occurrences) {
    JobSubmission job = jobThatNeverEnds(id, 83);
    job.timetable = Timetable{ClusterTime{1}, Duration{3000}, occurrences};
    return job;
  }
  int submit(const JobSubmission& job) {
    ApiRequest request;
    request.kind = RequestKind::submitJob;
    request.job = job;
    return cluster.askLeader(request).status;
  }
  const ClusterState& state() {
    return cluster.controller(0).committed();
  }
};

// An accepted timetable of 10,000 occurrences that were all due at once took each controller over
// its memory limit, and again after each restart.
TEST(StateMemoryTests, overdueTimetableStaysWithinTheMemoryLimit) {
  LONGS_EQUAL(202, submit(overdueTimetable("timetable", 10'000)));
  cluster.run(30'000);
  CHECK(heapGrowth() < processMemoryLimit);
  cluster.kill(0);
  cluster.start(0);
  cluster.run(5000);
  CHECK(heapGrowth() < processMemoryLimit);
  CHECK(state().jobs().at(JobId{"timetable"}).state == JobState::scheduled);
  CHECK(state().jobs().at(JobId{"timetable"}).openOccurrences > 1);
  LONGS_EQUAL(202, submit(jobThatNeverEnds("other", 1)));
}

// A client that submits valid jobs without end took the controllers over their memory limit.
TEST(StateMemoryTests, floodOfTheLargestJobsStaysWithinTheMemoryLimit) {
  std::vector<std::string> accepted;
  int refused = 0;
  for (int number = 0; number < 150; ++number) {
    const std::string id = "job" + std::to_string(number);
    const int status = submit(jobThatNeverEnds(id, 1999));
    CHECK(status == 202 || status == 429);
    if (status == 202)
      accepted.push_back(id);
    else
      ++refused;
  }
  CHECK(heapGrowth() < processMemoryLimit);
  CHECK(!accepted.empty());
  CHECK(refused > 0);
  for (const auto& id : accepted)
    CHECK(state().jobs().count(JobId{id}) == 1);
  JobSubmission urgent = jobThatNeverEnds("urgent", 1);
  urgent.queue = QueueName{"urgent"};
  LONGS_EQUAL(202, submit(urgent));
  ApiRequest cancellation;
  cancellation.kind = RequestKind::cancelJob;
  cancellation.targetId = accepted.front();
  LONGS_EQUAL(200, cluster.askLeader(cancellation).status);
  cluster.run(1000);
  LONGS_EQUAL(202, submit(jobThatNeverEnds("after", 1999)));
}

// Each accepted timetable runs, however many others are due at the same time.
TEST(StateMemoryTests, everyAcceptedTimetableFires) {
  std::vector<JobId> accepted;
  for (int number = 0; number < 300; ++number) {
    const JobSubmission job = overdueTimetable("timetable" + std::to_string(number), 100);
    if (submit(job) == 202)
      accepted.push_back(job.id);
  }
  cluster.run(5000);
  CHECK(accepted.size() > 20);
  CHECK(accepted.size() < 300);
  CHECK(heapGrowth() < processMemoryLimit);
  for (const auto& id : accepted)
    CHECK(state().jobs().at(id).firedOccurrences >= 1);
}
