// The messages between an agent and the one worker that it manages: the worker's registrations, the
// agent's calls and the worker's replies. Plain data without behaviour; net/worker_protocol and the
// platform adapter encode and decode it. docs/api.md 5, docs/design.md 5.8.
#ifndef ANISELINE_AGENT_WORKER_MESSAGES_HPP
#define ANISELINE_AGENT_WORKER_MESSAGES_HPP
#include "state/worker.hpp"

namespace aniseline {

// Milliseconds on a worker's own steady clock, which may run slower than a true clock by the share
// that NodeAgentOptions::minClockRate allows.
using WorkerTime = TimePoint<struct WorkerClock>;

// What a worker says about itself, first when it starts and then as its heartbeat.
struct WorkerRegistration {
  // Identifies one process of the worker; a restarted worker has another one.
  WorkerId workerInstance;
  Capacity capacity;
  bool draining = false;
  // How long a draining worker keeps serving, in milliseconds.
  Duration drainTimeout{0};
  // The worker's clock when the registration was sent; the registration may arrive seconds later.
  std::optional<WorkerTime> clockReading;
  // Rises with each registration of one instance; 0 if the worker does not count them.
  std::uint64_t sequence = 0;
};

// A call of the agent to its worker.
struct WorkerCall {
  enum class Kind : std::uint8_t {
    start,
    stop,
    // Asks for the runs that are there and for the results that are not confirmed yet.
    poll
  } kind = Kind::poll;
  // Pairs a reply with its call: of polls their count, of other calls a count of their own.
  std::uint64_t callId = 0;
  // The instance that the call is meant for; another one answers `instanceMismatch`.
  WorkerId workerInstance;
  // The run that a start or a stop is about.
  TaskRunId runId;
  std::string payload;
  // The checkpoint that a start goes on from; empty if there is none.
  std::string checkpoint;
  // Of a start: the leader's whole order.
  Order order{};
  // Everything that runs at the worker may run until then. A stop has none: it extends no lease.
  std::optional<WorkerTime> leaseDeadline;
  // The leader's term. The worker rejects calls with a lower one than it has seen.
  Term fencingTerm;
  // Of a poll: results up to this sequence number are final, and the worker forgets them.
  std::uint64_t confirmedUpTo = 0;
  // Of a poll: how long the worker may wait for a result before it answers.
  Duration longPollTimeout{0};
  // After that long without a reply the call counts as unanswered.
  Duration timeout{300};
};

// What became of a call at the worker.
struct WorkerReply {
  enum class Status : std::uint8_t {
    ok,
    // The worker has seen a newer term than the call's.
    fenced,
    // The worker knows this run of the task, or a later one, already.
    staleRun,
    // The call's lease deadline had passed when it came.
    deadlineExceeded,
    insufficientCapacity,
    // The worker can't answer now.
    unavailable,
    invalidRequest,
    // Another instance than the call names stands at the worker's address.
    instanceMismatch,
    // No reply came in time, or one that can't be read. The call may have been carried out.
    noResponse
  } status = Status::noResponse;
  std::optional<WorkerTime> clockReading;
  struct RunningTask {
    TaskRunId runId;
    // The latest checkpoint; empty if there is none.
    std::string checkpoint;
  };
  struct RunResult {
    // Counted by each instance of a worker from 1.
    std::uint64_t sequenceNumber = 0;
    TaskRunId runId;
    AttemptOutcome outcome = AttemptOutcome::stopped;
    std::string checkpoint;
  };
  // Of a poll.
  std::vector<RunningTask> runningTasks;
  std::vector<RunResult> results;
  // False if results were left out because the reply would have been too large.
  bool complete = true;
};

}  // namespace aniseline

#endif  // ANISELINE_AGENT_WORKER_MESSAGES_HPP
