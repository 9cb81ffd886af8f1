// The sizes of jobs, steps, tasks and attempts, including the nodes of maps and indexes that hold
// them.
#include "state/job_memory.hpp"
#include "state/allocation_sizes.hpp"
#include "state/attempt.hpp"

namespace aniseline {

namespace {

// The job's id is a key in the jobs, in the open or ended jobs and in the attempts by job.
constexpr std::uint64_t idCopiesPerJob = 4;
constexpr std::uint64_t jobBytes = sizeof(Job) + idCopiesPerJob * (sizeof(JobId) + mapNodeOverhead);
constexpr std::uint64_t stepBytes = sizeof(StepRequest) + 2 * allocationOverhead;
constexpr std::uint64_t taskRequestBytes = sizeof(TaskRequest);
constexpr std::uint64_t taskBytes = sizeof(Task);
// An attempt, its entries in the indexes by job and by worker, and its order without the payload.
constexpr std::uint64_t attemptBytes = sizeof(Attempt) + 3 * mapNodeOverhead + 96;

std::uint64_t stepTextBytes(const StepRequest& step) {
  std::uint64_t bytes = textBytes(step.name) + textBytes(step.requirements.requiredLabel) +
                        textBytes(step.requirements.preferredRack);
  for (const auto& dependency : step.dependencies)
    bytes += sizeof(std::string) + textBytes(dependency);
  for (const auto& task : step.tasks)
    bytes += textBytes(task.payload);
  return bytes;
}

// Returns the memory of the tasks of a job while all of them have an attempt. The order that starts
// an attempt holds a copy of the payload until the worker has confirmed it.
std::uint64_t runningTaskBytes(const JobSubmission& submission) {
  std::uint64_t bytes = 0;
  for (const auto& step : submission.steps) {
    for (const auto& task : step.tasks) {
      const std::string& payload = task.payload.empty() ? submission.payload : task.payload;
      bytes += taskBytes + attemptBytes + textBytes(payload);
    }
  }
  return bytes;
}

// Returns the memory of the job and of its submission, without the states of its tasks.
std::uint64_t submissionBytes(const JobSubmission& submission) {
  std::uint64_t bytes =
      jobBytes + idCopiesPerJob * textBytes(submission.id.value) + textBytes(submission.payload);
  for (const auto& step : submission.steps)
    bytes += stepBytes + stepTextBytes(step) + step.tasks.size() * taskRequestBytes;
  return bytes;
}

std::uint64_t timetableBytes(const Job& job) {
  const JobSubmission& submission = job.submission;
  const bool needsReserve =
      job.openOccurrences == 0 && job.firedOccurrences < submission.timetable.count;
  return submissionBytes(submission) + (needsReserve ? estimateOpenJobBytes(submission) : 0);
}

}  // namespace

std::uint64_t estimateOpenJobBytes(const JobSubmission& submission) {
  return submissionBytes(submission) + runningTaskBytes(submission);
}

std::uint64_t estimateJobBytes(const Job& job) {
  if (job.state == JobState::scheduled)
    return timetableBytes(job);
  if (job.isTerminal())
    return submissionBytes(job.submission) + job.tasks.size() * taskBytes;
  return estimateOpenJobBytes(job.submission);
}

}  // namespace aniseline
