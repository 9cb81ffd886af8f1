// Draws the shape of each job and submits it.
#include "simulator/campaign_workload.hpp"

namespace aniseline {

namespace {

constexpr double standardCancelShare = 0.06;
constexpr std::int64_t standardLongestCancelMs = 3000;
constexpr double calledCancelShare = 0.08;
constexpr std::int64_t calledLongestCancelMs = 4000;
constexpr std::int64_t longestResubmitMs = 4000;
constexpr std::size_t floodJobs = 60;
constexpr std::int64_t neverEndsMs = 100'000'000;

std::string runFor(std::int64_t milliseconds) {
  return "run=" + std::to_string(milliseconds);
}

}  // namespace

JobSubmission singleStepJob(const std::string& id, const std::string& queue,
                            const StepShape& shape) {
  JobSubmission job;
  job.id = JobId{id};
  job.queue = QueueName{queue};
  const TaskRequest task{shape.cores * 1000, shape.memoryMb, Duration{shape.requestedMs},
                         runFor(shape.actualMs)};
  job.steps = {{"only", {}, shape.gang, std::vector<TaskRequest>(shape.tasks, task)}};
  return job;
}

void CampaignWorkload::scheduleEvery(double meanGap, const char* prefix, SubmitJob submitJob) {
  double time = double(random.between(0, std::int64_t(meanGap)));
  while (time < double(duration)) {
    const std::string id = prefix + std::to_string(++jobsByPrefix[prefix]);
    cluster.scheduleAfter(std::int64_t(time), [this, submitJob, id] { (this->*submitJob)(id); });
    time += meanGap * (0.5 + double(random.between(0, 1000)) / 1000.0);
  }
}

std::int64_t CampaignWorkload::drawCancelDelay(double share, std::int64_t longest) {
  return random.chance(share) ? random.between(0, longest) : -1;
}

void CampaignWorkload::maybeResubmit(const JobSubmission& job, double share) {
  if (random.chance(share))
    cluster.scheduleAfter(random.between(1, longestResubmitMs),
                          [this, job] { cluster.resubmit(job); });
}

std::string CampaignWorkload::drawQueue(const char* enforcing, const char* open) {
  return random.chance(0.5) ? enforcing : open;
}

void CampaignWorkload::scheduleStandardJobs() {
  scheduleEvery(160, "j", &CampaignWorkload::submitProof);
  scheduleEvery(1000, "j", &CampaignWorkload::submitDieline);
  scheduleEvery(5000, "j", &CampaignWorkload::submitPlateGang);
  scheduleEvery(2500, "j", &CampaignWorkload::submitLongTasks);
  scheduleEvery(7000, "j", &CampaignWorkload::submitWithoutRetries);
  submitEndless();
  submitNightly();
}

void CampaignWorkload::submitProof(const std::string& id) {
  const std::int64_t cancelDelay = drawCancelDelay(standardCancelShare, standardLongestCancelMs);
  cluster.submit(singleStepJob(id, "proofs", {.memoryMb = 512, .actualMs = 120}), cancelDelay);
}

void CampaignWorkload::submitDieline(const std::string& id) {
  const auto job = singleStepJob(
      id, "dielines", {.cores = 2, .memoryMb = 1024, .requestedMs = 3000, .actualMs = 900});
  cluster.submit(job, drawCancelDelay(standardCancelShare, standardLongestCancelMs));
  maybeResubmit(job, 0.2);
}

void CampaignWorkload::submitPlateGang(const std::string& id) {
  auto job = singleStepJob(id, "plates",
                           {.tasks = 4,
                            .cores = 3,
                            .memoryMb = 2048,
                            .requestedMs = 10'000,
                            .actualMs = random.between(2000, 9000),
                            .gang = true});
  const TaskRequest merge{2000, 1024, Duration{3000}, runFor(800)};
  job.steps.push_back({"merge", {"only"}, false, {merge}});
  cluster.submit(job, drawCancelDelay(standardCancelShare, standardLongestCancelMs));
}

// Some of these tasks run far longer than requested.
void CampaignWorkload::submitLongTasks(const std::string& id) {
  const std::int64_t cancelDelay = drawCancelDelay(standardCancelShare, standardLongestCancelMs);
  const std::int64_t actual = random.between(3000, 30'000);
  const auto tasks = std::size_t(random.between(1, 4));
  cluster.submit(singleStepJob(id, "long",
                               {.tasks = tasks,
                                .cores = 8,
                                .memoryMb = 4096,
                                .requestedMs = 15'000,
                                .actualMs = actual}),
                 cancelDelay);
}

void CampaignWorkload::submitWithoutRetries(const std::string& id) {
  cluster.submit(singleStepJob(
      id, "strict", {.tasks = 2, .memoryMb = 512, .requestedMs = 2000, .actualMs = 700}));
}

// Submits a job that does not end by itself; the hard limit of its queue or its caller stops it.
void CampaignWorkload::submitEndless() {
  constexpr std::int64_t cancelAfterTheRunMs = 5000;
  cluster.submit(
      singleStepJob("endless", "long",
                    {.cores = 2, .memoryMb = 1024, .requestedMs = 5000, .actualMs = neverEndsMs}),
      duration + cancelAfterTheRunMs);
}

void CampaignWorkload::submitNightly() {
  auto job = singleStepJob("nightly", "dielines", {.memoryMb = 512, .actualMs = 300});
  job.timetable.firstStart = ClusterTime{SimulatedCluster::epochMs + cluster.now + 8000};
  job.timetable.interval = Duration{7000};
  job.timetable.count = 6;
  cluster.submit(job);
}

void CampaignWorkload::scheduleCalledWorkerJobs() {
  scheduleEvery(250, "c", &CampaignWorkload::submitPrints);
  scheduleEvery(1800, "c", &CampaignWorkload::submitCheckpointedGang);
  scheduleEvery(1500, "c", &CampaignWorkload::submitCheckpointedTasks);
  scheduleEvery(4000, "c", &CampaignWorkload::submitLongRunning);
  scheduleEvery(3500, "c", &CampaignWorkload::submitAlwaysFailing);
  scheduleEvery(8000, "c", &CampaignWorkload::submitUnschedulable);
  for (std::size_t index = 0; index < 2; ++index) {
    submitOverlappingTimetable(index);
  }
}

void CampaignWorkload::submitPrints(const std::string& id) {
  const std::int64_t actual = random.between(80, 900);
  const auto tasks = std::size_t(random.between(1, 3));
  const std::string queue = drawQueue("prints", "sheets");
  auto job = singleStepJob(id, queue, {.tasks = tasks, .memoryMb = 512, .actualMs = actual});
  StepRequest& step = job.steps[0];
  if (random.chance(0.3))
    step.requirements.requiredLabel = random.chance(0.5) ? "fine" : "plain";
  if (random.chance(0.3))
    step.requirements.preferredRack = "shelf" + std::to_string(random.between(1, 2));
  if (random.chance(0.2))
    step.requirements.redundant = true;
  if (random.chance(0.2)) {  // one payload shared by all tasks
    job.payload = step.tasks[0].payload;
    for (auto& task : step.tasks) {
      task.payload.clear();
    }
  }
  cluster.submit(job, drawCancelDelay(calledCancelShare, calledLongestCancelMs));
  maybeResubmit(job, 0.1);
}

void CampaignWorkload::submitCheckpointedGang(const std::string& id) {
  const std::int64_t actual = random.between(500, 6000);
  const auto cores = std::uint32_t(random.between(1, 6));
  const auto tasks = std::size_t(random.between(2, 4));
  const std::string queue = drawQueue("books", "maps");
  auto job = singleStepJob(id, queue,
                           {.tasks = tasks,
                            .cores = cores,
                            .memoryMb = 2048,
                            .requestedMs = 4000,
                            .actualMs = actual,
                            .gang = true});
  auto& requirements = job.steps[0].requirements;
  requirements.checkpointed = random.chance(0.6);
  requirements.sameRack = random.chance(0.3);
  // Two workers of a pool are enough to run the gang, since one zone may be lost for good.
  if (random.chance(0.3))
    requirements.maxPerWorker = tasks > 2 ? 2 : 1;
  if (random.chance(0.5)) {
    const TaskRequest larger{2000, 1024, Duration{1000}, runFor(300)};
    const TaskRequest smaller{500, 256, Duration{1000}, runFor(200)};
    job.steps.push_back({"after", {"only"}, false, {larger, smaller}});
  }
  cluster.submit(job, drawCancelDelay(calledCancelShare, calledLongestCancelMs));
}

void CampaignWorkload::submitCheckpointedTasks(const std::string& id) {
  const std::int64_t actual = random.between(1000, 9000);
  const auto tasks = std::size_t(random.between(1, 6));
  const std::string queue = drawQueue("books", "maps");
  auto job = singleStepJob(
      id, queue,
      {.tasks = tasks, .cores = 2, .memoryMb = 1024, .requestedMs = 3000, .actualMs = actual});
  job.steps[0].requirements.checkpointed = true;
  if (random.chance(0.5))
    job.steps[0].requirements.maxPerWorker = 1;
  if (random.chance(0.15))
    job.steps[0].tasks[0].accelerators = 1;
  if (random.chance(0.4)) {
    const TaskRequest member{1000, 512, Duration{1000}, runFor(600)};
    job.steps.push_back({"gather", {"only"}, true, std::vector<TaskRequest>(2, member)});
  }
  cluster.submit(job, drawCancelDelay(calledCancelShare, calledLongestCancelMs));
}

void CampaignWorkload::submitLongRunning(const std::string& id) {
  auto job = singleStepJob(id, drawQueue("prints", "maps"), {.tasks = 2, .memoryMb = 512});
  job.steps[0].requirements.longRunning = true;
  cluster.submit(job, random.between(2000, 20'000));
}

void CampaignWorkload::submitAlwaysFailing(const std::string& id) {
  constexpr std::size_t tasks = 2;
  const std::int64_t actual = random.between(50, 600);
  const std::string queue = drawQueue("prints", "sheets");
  auto job = singleStepJob(id, queue, {.tasks = tasks, .actualMs = actual});
  StepRequest& step = job.steps[0];
  step.gang = random.chance(0.4);
  const std::size_t failing = random.next() % tasks;
  for (std::size_t index = 0; index < tasks; ++index) {
    if (index == failing || step.gang)
      step.tasks[index].payload += " fail";
  }
  cluster.submit(job);
}

void CampaignWorkload::submitUnschedulable(const std::string& id) {
  auto job = singleStepJob(id, drawQueue("books", "sheets"), {.memoryMb = 512});
  if (random.chance(0.5))
    job.steps[0].tasks[0].cores = 900'000;
  else
    job.steps[0].requirements.requiredLabel = "none has it";
  cluster.submit(job);
}

// The occurrences overlap, since a run takes longer than the interval between two of them.
void CampaignWorkload::submitOverlappingTimetable(std::size_t index) {
  const bool gang = index > 0;
  auto job = singleStepJob(
      "timed" + std::to_string(index), gang ? "books" : "maps",
      {.tasks = 2, .memoryMb = 512, .requestedMs = 1500, .actualMs = 1500, .gang = gang});
  job.timetable.firstStart =
      ClusterTime{SimulatedCluster::epochMs + cluster.now + random.between(2000, 9000)};
  job.timetable.interval = Duration{random.between(500, 2000)};
  job.timetable.count = std::uint32_t(random.between(4, 12));
  cluster.submit(job, random.chance(0.2) ? random.between(4000, 15'000) : -1);
}

void CampaignWorkload::submitFlood() {
  ++floods;
  for (std::size_t index = 0; index < floodJobs; ++index) {
    const std::string id = "flood" + std::to_string(floods) + "-" + std::to_string(index);
    if (index % 3 == 0)
      cluster.submit(singleStepJob(
          id, "plates",
          {.tasks = 4, .cores = 4, .memoryMb = 2048, .requestedMs = 5000, .actualMs = 2000}));
    else if (index % 3 == 1)
      cluster.submit(singleStepJob(id, "proofs", {}));
    else
      cluster.submit(singleStepJob(id, "long", {.cores = 2000}), 15'000);  // fits no worker
  }
}

}  // namespace aniseline
