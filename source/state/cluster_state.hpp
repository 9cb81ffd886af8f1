// The fold of the replicated log: configs, jobs, workers, attempts. docs/design.md 3.2, 4, 5.
#pragma once
#include "state/event.hpp"

namespace aniseline {

struct Counters {
  std::uint64_t allowed = 0, cancelled = 0, finished = 0, failed = 0, starts = 0, trials = 0,
                trialsRanOut = 0, trialsFinished = 0, holds = 0, retries = 0, lost = 0, plans = 0,
                reservationsMoved = 0;
  template <class Archive>
  void serialize(Archive& archive, unsigned) {
    archive& allowed& cancelled& finished& failed& starts& trials& trialsRanOut& trialsFinished&
        holds& retries& lost& plans& reservationsMoved;
  }
};

class ClusterState {
 public:
  ClusterTime now;  // the latest record's time; cluster time never goes back
  ClusterConfig config;
  ConfigHistory configHistory;  // the orders that brought it and those before it
  std::map<JobId, Job> jobs;
  std::set<JobId> open;  // jobs with work to do, timetables too
  std::map<QueueName, std::uint64_t> openByQueue;
  std::map<WorkerId, Worker> workers;
  std::map<AttemptNumber, Attempt> attempts;
  AttemptNumber lastAttempt;
  PlanNumber plan;
  Reservation reservation;
  Counters counters;
  std::set<ControllerId> toReplace;   // by an operator's word
  std::deque<ControllerId> replaced;  // of these the ones that are members no more, the earliest
                                      // first, so that the order is known when it comes again
  // Replaced controllers kept: far more than a cluster loses while an operator still asks.
  static constexpr std::size_t keptReplaced = 256;
  ClusterTime
      capacityChangedAt;  // when a worker was last seen for the first time, or with another room
  std::set<std::pair<ClusterTime, JobId>> ended;  // jobs that are over, the earliest first; derived
  std::set<WorkerId>
      addressed;  // given an order, or seen, since whoever reads this emptied it; not kept

  void apply(const LogRecord& record);

  std::vector<AttemptNumber> attemptsOf(const JobId& job, bool withLost) const;
  std::vector<AttemptNumber> attemptsOn(const WorkerId& worker) const;
  // The attempt behind the names that workers know a start by; 0 if there is none any more.
  // docs/design.md 4.7.
  AttemptNumber attemptNamed(const WorkerId& worker, const RunName& name) const;
  // Could the known workers, all empty, ever hold these tasks together (a gang) or one by one?
  // Those away or gone count, and nothing is said before the workers are known to be all.
  // docs/design.md 10.
  std::optional<std::string> neverFits(const JobSubmission& job, const StepRequest& step) const;

  template <class Archive>
  void serialize(Archive& archive, unsigned) {
    archive& now& config& configHistory& jobs& open& openByQueue& workers& attempts& lastAttempt&
        plan& reservation& counters& toReplace& replaced& capacityChangedAt;
    if constexpr (Archive::is_loading::value)
      derive();
  }

 private:
  struct Applier;
  // Derived from the attempts, added to by addAttempt, taken from by removeAttempt; an attempt's
  // job and worker never change.
  std::map<JobId, std::set<AttemptNumber>> byJob;
  std::map<WorkerId, std::set<AttemptNumber>> byWorker;
  std::set<AttemptNumber> onceHeld;  // attempts that are held or were
  const std::set<AttemptNumber>& numbersOf(const JobId& job) const;
  void derive();
  void index(const Attempt& attempt);
  void unindex(const Attempt& attempt);
  void addAttempt(const Attempt& attempt);
  void allow(const JobSubmission& submission);
  Order& give(OrderKind kind, const Attempt& attempt);
  void forceStop(Attempt& attempt, bool tryless);
  void endAttempt(AttemptNumber number, EndingKind kind);
  void giveUpAttempt(AttemptNumber number);
  void removeAttempt(AttemptNumber number);
  void taskDone(Job& job, Task& task);
  void taskBack(Job& job, Task& task, const WorkerId& avoid, Duration pause);
  void abortGang(Job& job, std::uint32_t step, AttemptNumber except);
  void failJob(Job& job, const std::string& reason);
  void settle(Job& job);
  void over(Job& job, JobState state);
  void occurrenceOver(const Job& job);
  void keepSaved(const Attempt& attempt, const std::string& saved);
  void countFailure(Job& job, const Attempt& attempt);
  bool spent(const Job& job, const Task& task) const;
  void cancel(Job& job, const std::string& reason);
  void cancelOccurrences(const Job& whole, const std::string& reason);
  void gangDone(Job& job, const Attempt& attempt);
  void stopCopies(const Task& task, AttemptNumber except);
  void resumeVictimsOf(AttemptNumber trial);
};

}  // namespace aniseline
