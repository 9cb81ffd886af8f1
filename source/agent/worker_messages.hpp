// The messages between an agent and the one worker that it manages: the worker's registrations, the
// agent's calls and the worker's replies. These are plain data types; net/worker_protocol and the
// platform adapter encode and decode them. docs/api.md 5, docs/design.md 5.8.
#ifndef ANISELINE_AGENT_WORKER_MESSAGES_HPP
#define ANISELINE_AGENT_WORKER_MESSAGES_HPP
#include "state/worker.hpp"

namespace aniseline {

// Milliseconds on a worker's own steady clock, which may run slower than a true clock by the
// fraction that NodeAgentOptions::minClockRate allows.
using WorkerTime = TimePoint<struct WorkerClock>;

// A worker's description of itself, sent when it starts and repeated as its heartbeat.
struct WorkerRegistration {
  // Identifies one process of the worker; a restarted worker gets a new id.
  WorkerId workerInstance;
  Capacity capacity;
  bool draining = false;
  // How long a draining worker continues to serve, in milliseconds.
  Duration drainTimeout{0};
  // The worker's clock when the registration was sent; the registration may arrive seconds later.
  std::optional<WorkerTime> clockReading;
  // Increases with each registration of an instance; 0 if the worker does not number them.
  std::uint64_t sequence = 0;
};

// A call from the agent to its worker.
struct WorkerCall {
  enum class Kind : std::uint8_t {
    start,
    stop,
    // Requests the list of current runs and of results that are not confirmed yet.
    poll
  } kind = Kind::poll;
  // Matches a reply to its call. Polls are numbered in a sequence of their own, all other calls in
  // another.
  std::uint64_t callId = 0;
  // The instance that the call is addressed to; any other instance answers `instanceMismatch`.
  WorkerId workerInstance;
  // The run that a start or a stop refers to.
  TaskRunId runId;
  std::string payload;
  // For a start: the checkpoint to resume from; empty if there is none.
  std::string checkpoint;
  // For a start: the complete order from the leader.
  Order order{};
  // The lease deadline for all runs at the worker. A stop has none because it extends no lease.
  std::optional<WorkerTime> leaseDeadline;
  // The leader's term. The worker rejects a call whose term is lower than the highest that it has
  // seen.
  Term fencingTerm;
  // For a poll: results up to this sequence number are final, and the worker may discard them.
  std::uint64_t confirmedUpTo = 0;
  // For a poll: how long the worker may wait for a result before it replies.
  Duration longPollTimeout{0};
  // The call counts as unanswered if no reply arrives within this time.
  Duration timeout{300};
};

// The worker's reply to a call, or the fact that there was none.
struct WorkerReply {
  enum class Status : std::uint8_t {
    ok,
    // The worker has seen a higher term than the term of the call.
    fenced,
    // The worker already knows this run of the task or a later one.
    staleRun,
    // The call's lease deadline had passed when the call arrived.
    deadlineExceeded,
    insufficientCapacity,
    // The worker cannot serve the call at present.
    unavailable,
    invalidRequest,
    // The worker at this address is a different instance from the one that the call names.
    instanceMismatch,
    // No readable reply arrived in time. The worker may have carried out the call.
    noResponse
  } status = Status::noResponse;
  std::optional<WorkerTime> clockReading;
  struct RunningTask {
    TaskRunId runId;
    // The latest checkpoint; empty if there is none.
    std::string checkpoint;
  };
  struct RunResult {
    // Each worker instance numbers its results from 1.
    std::uint64_t sequenceNumber = 0;
    TaskRunId runId;
    AttemptOutcome outcome = AttemptOutcome::stopped;
    std::string checkpoint;
  };
  // Set in replies to polls only.
  std::vector<RunningTask> runningTasks;
  std::vector<RunResult> results;
  // False if results were omitted because the reply would have been too large.
  bool complete = true;
};

}  // namespace aniseline

#endif  // ANISELINE_AGENT_WORKER_MESSAGES_HPP
