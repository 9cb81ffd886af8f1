// A simulated called worker, which an agent calls instead of it syncing with the leader. It runs
// tasks until a lease deadline on its own clock, and gangs assemble themselves on such workers. It
// does no I/O itself. docs/design.md 12.4.
#ifndef ANISELINE_SIMULATOR_CALLED_WORKER_HPP
#define ANISELINE_SIMULATOR_CALLED_WORKER_HPP
#include "agent/node_agent.hpp"
#include "checker/history.hpp"

namespace aniseline {

// The shared state through which the members of one run of a gang find each other.
struct GangRendezvous {
  std::set<std::uint32_t> membersPresent;
  std::set<std::string> racks;
  std::optional<std::int64_t> assembledAt;
  std::string outcome;  // empty until the run has ended
};
// The key consists of job, occurrence, step and run number.
using GangRendezvousTable =
    std::map<std::tuple<JobId, std::uint32_t, std::uint32_t, std::uint32_t>, GangRendezvous>;

struct CalledWorkerOptions {
  WorkerId workerInstance;
  Capacity capacity;
  double clockRate = 1.0;  // rate of its monotonic clock relative to true time
  std::int64_t clockOrigin = 0;
  Duration maxLease{6000}, maxStopDelay{250}, gangTimeout{3000}, checkpointInterval{1000},
      restoreTime{150};
  std::size_t maxResultsPerPoll = 500;
  double remoteSlowdown = 2.0;
};

class CalledWorker {
 public:
  enum class Malfunction : std::uint8_t { none, stalled, rejecting, unresponsive, failing };
  // Returns the submission of a job, or nullptr if no caller submitted it.
  using JobLookup = std::function<const JobSubmission*(const JobId&)>;
  using EventSink = std::function<void(HistoryEvent)>;
  CalledWorker(CalledWorkerOptions options, GangRendezvousTable& rendezvousTable,
               std::uint64_t seed, JobLookup findJob, EventSink recordEvent, std::int64_t now);

  // Carries out a call and returns its reply. The reply to a poll lacks the lists of runs: the
  // caller adds them with listRuns when it answers the poll, which may be later. `late` marks an
  // order that was delayed on its way.
  WorkerReply handleCall(const WorkerCall& call, std::int64_t now, bool late);
  bool hasResultAfter(std::uint64_t lastSeen) const {
    return !unconfirmedResults.empty() && unconfirmedResults.back().number > lastSeen;
  }
  void listRuns(WorkerReply& reply, std::int64_t now) const;
  void tick(std::int64_t now);
  void crash();  // ends the process and all its runs

  WorkerRegistration registrationAt(std::int64_t now) const;
  Malfunction malfunction = Malfunction::none;
  bool draining = false;
  Duration drainTimeout{0};
  const WorkerId& workerInstance() const { return options.workerInstance; }
  std::size_t runCount() const { return runs.size(); }

 private:
  struct ActiveRun {
    std::string payload, checkpoint;
    const JobSubmission* job = nullptr;
    const StepRequest* step = nullptr;
    TaskRequest request;
    std::int64_t startedAt = 0, readyAt = 0, runtime = 0, progress = 0, checkpointedProgress = 0;
    std::optional<std::int64_t> stopsAt;  // set while a stop is in progress
    bool fails = false;
    bool gang() const { return step && step->gang; }
  };
  struct EndedRun {
    std::uint64_t number = 0;
    TaskRunId name;
    std::string outcome, checkpoint;
    bool leaseExpired = false;  // the lease expired before the result was confirmed
  };
  WorkerTime clock(std::int64_t now) const {
    return WorkerTime{options.clockOrigin +
                      std::int64_t(double(now - startedAt) * options.clockRate)};
  }
  void extendLease(const std::optional<WorkerTime>& deadline, std::int64_t now);
  void start(const WorkerCall& call, WorkerReply& reply, std::int64_t now, bool late);
  void stop(const WorkerCall& call, std::int64_t now);
  void confirmResults(std::uint64_t lastSeen);
  void saveCheckpoint(const TaskRunId& name, ActiveRun& run);
  void endRun(TaskRunId name, const std::string& outcome);
  bool fits(const TaskRequest& request) const;
  HistoryEvent makeEvent(HistoryEvent::Kind kind, const TaskRunId& name) const;
  GangRendezvous& rendezvousOf(const TaskRunId& name) {
    return rendezvousTable[{name.job, name.occurrence, name.stepIndex, name.runNumber}];
  }
  static TaskRunId withoutRunNumber(TaskRunId name) {
    name.runNumber = 0;
    return name;
  }

  CalledWorkerOptions options;
  GangRendezvousTable& rendezvousTable;
  Random random;
  JobLookup findJob;
  EventSink recordEvent;
  std::int64_t startedAt, lastTickAt;
  Term fencingTerm;
  std::optional<WorkerTime> leaseExpiresAt;
  std::map<TaskRunId, ActiveRun> runs;
  // By task: the highest run number stopped or ended here.
  std::map<TaskRunId, std::uint32_t> fencedRuns;
  std::deque<EndedRun> unconfirmedResults;
  std::uint64_t lastResultNumber = 0;
};

}  // namespace aniseline

#endif  // ANISELINE_SIMULATOR_CALLED_WORKER_HPP
