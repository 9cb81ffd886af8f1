// The fold of the replicated log: configs, jobs, workers, attempts. docs/design.md 3.2, 4, 5.
#ifndef ANISELINE_STATE_CLUSTER_STATE_HPP
#define ANISELINE_STATE_CLUSTER_STATE_HPP
#include "state/event.hpp"

namespace aniseline {

struct Counters {
  std::uint64_t admitted = 0, cancelled = 0, succeeded = 0, failed = 0, starts = 0, trials = 0,
                trialsExpired = 0, trialsSucceeded = 0, suspends = 0, retries = 0, abandoned = 0,
                plans = 0, reservationsMoved = 0;
  template <class Archive>
  void serialize(Archive& archive, unsigned) {
    archive& admitted& cancelled& succeeded& failed& starts& trials& trialsExpired& trialsSucceeded&
        suspends& retries& abandoned& plans& reservationsMoved;
  }
};

class ClusterState {
 public:
  ClusterTime latestTime;  // the latest record's time; cluster time never goes back
  ClusterConfig activeConfig;
  ConfigHistory configUpdates;  // the orders that brought it and those before it
  std::map<JobId, Job> jobsById;
  std::set<JobId> openJobIds;  // jobs with work to do, timetables too
  std::map<QueueName, std::uint64_t> openJobCounts;
  std::map<WorkerId, Worker> workersById;
  std::map<AttemptNumber, Attempt> attemptsByNumber;
  AttemptNumber lastAttemptNumber;
  PlanNumber lastPlanNumber;
  Reservation currentReservation;
  Counters totals;
  std::set<ControllerId> pendingReplacements;  // by an operator's word
  std::deque<ControllerId>
      completedReplacements;  // of these the ones that are members no more, the earliest
                              // first, so that the order is known when it comes again
  // Replaced controllers kept: far more than a cluster loses while an operator still asks.
  static constexpr std::size_t maxReplacedControllers = 256;
  ClusterTime
      lastCapacityChange;  // when a worker was last seen for the first time, or with another room
  std::set<std::pair<ClusterTime, JobId>>
      endedJobs;  // jobs that are over, the earliest first; derived
  std::set<WorkerId>
      updatedWorkers;  // given an order, or seen, since whoever reads this emptied it; not kept

  const auto& now() const { return latestTime; }
  const auto& config() const { return activeConfig; }
  const auto& configHistory() const { return configUpdates; }
  const auto& jobs() const { return jobsById; }
  const auto& openJobs() const { return openJobIds; }
  const auto& openJobsByQueue() const { return openJobCounts; }
  std::uint64_t openJobsOf(const QueueName& queue) const {
    const auto count = openJobCounts.find(queue);
    return count == openJobCounts.end() ? 0 : count->second;
  }
  const auto& workers() const { return workersById; }
  const auto& attempts() const { return attemptsByNumber; }
  const auto& lastAttempt() const { return lastAttemptNumber; }
  const auto& lastPlan() const { return lastPlanNumber; }
  const auto& reservation() const { return currentReservation; }
  const auto& counters() const { return totals; }
  const auto& controllersToReplace() const { return pendingReplacements; }
  const auto& replacedControllers() const { return completedReplacements; }
  const auto& capacityChangedAt() const { return lastCapacityChange; }
  const auto& jobsByEndTime() const { return endedJobs; }
  void apply(const LogRecord& record);

  std::vector<AttemptNumber> attemptsOf(const JobId& job, bool withLost) const;
  std::vector<AttemptNumber> attemptsOn(const WorkerId& worker) const;
  // The attempt behind the names that workers know a start by; 0 if there is none any more.
  // docs/design.md 4.7.
  AttemptNumber findAttempt(const WorkerId& worker, const TaskRunId& name) const;
  // Could the known workers, all empty, ever hold these tasks together (a gang) or one by one?
  // Those away or gone count, and nothing is said before the workers are known to be all.
  // docs/design.md 10.
  std::optional<std::string> infeasibilityReason(const JobSubmission& job,
                                                 const StepRequest& step) const;

  template <class Archive>
  void serialize(Archive& archive, unsigned) {
    archive& latestTime& activeConfig& configUpdates& jobsById& openJobIds& openJobCounts&
        workersById& attemptsByNumber& lastAttemptNumber& lastPlanNumber& currentReservation&
            totals& pendingReplacements& completedReplacements& lastCapacityChange;
    if constexpr (Archive::is_loading::value)
      rebuildIndexes();
  }

 private:
  struct Applier;
  // Derived from the attempts, added to by addAttempt, taken from by removeAttempt; an attempt's
  // job and worker never change.
  std::map<JobId, std::set<AttemptNumber>> attemptsByJob;
  std::map<WorkerId, std::set<AttemptNumber>> attemptsByWorker;
  std::set<AttemptNumber> everSuspended;  // attempts that are held or were
  const std::set<AttemptNumber>& attemptNumbersOf(const JobId& job) const;
  void rebuildIndexes();
  void indexAttempt(const Attempt& attempt);
  void unindexAttempt(const Attempt& attempt);
  void addAttempt(const Attempt& attempt);
  void admitJob(const JobSubmission& submission);
  Order& issueOrder(OrderKind kind, const Attempt& attempt);
  void forceStop(Attempt& attempt, bool tryless);
  void endAttempt(AttemptNumber number, AttemptOutcome kind);
  void abandonAttempt(AttemptNumber number);
  void removeAttempt(AttemptNumber number);
  void completeTask(Job& job, Task& task);
  void requeueTask(Job& job, Task& task, const WorkerId& avoid, Duration pause);
  void abortGang(Job& job, std::uint32_t step, AttemptNumber except);
  void failJob(Job& job, const std::string& reason);
  void updateJobPhase(Job& job);
  void completeJob(Job& job, JobState state);
  void onOccurrenceCompleted(const Job& job);
  void recordCheckpoint(const Attempt& attempt, const std::string& saved);
  void countFailure(Job& job, const Attempt& attempt);
  bool retriesExhausted(const Job& job, const Task& task) const;
  void cancelJob(Job& job, const std::string& reason);
  void cancelOccurrences(const Job& whole, const std::string& reason);
  void completeGang(Job& job, const Attempt& attempt);
  void stopOtherCopies(const Task& task, AttemptNumber except);
  void resumeSuspendedFor(AttemptNumber trial);
};

}  // namespace aniseline

#endif  // ANISELINE_STATE_CLUSTER_STATE_HPP
