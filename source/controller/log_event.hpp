// What a controller reports to logs, traces and fault injection: a struct an
// event. The text and the field names of each are made in one place, `render`.
// Emitted from within Controller::step and submitRequest, on the thread that
// drives the controller.
#ifndef ANISELINE_CONTROLLER_LOG_EVENT_HPP
#define ANISELINE_CONTROLLER_LOG_EVENT_HPP
#include "raft/membership_change.hpp"
#include "state/event.hpp"
#include "base/json.hpp"
#include <variant>

namespace aniseline {

// Why the leader proposes a change of the members.
enum class MembershipChangeCause : std::uint8_t {
  lostState,       // the member no longer holds what it had acknowledged
  removed,         // it is dead, or one voter more than wanted
  promotedToVoter  // a learner that has caught up
};
const char* name(MembershipChangeCause cause);

namespace log_events {

// A snapshot that another controller sent was installed.
struct SnapshotInstalled {
  LogIndex index;
};
// A committed entry can't be decoded; the controller stops.
struct UnreadableRecord {
  LogIndex index;
};
struct LeadershipStarted {
  Term term;
  LogIndex lastIndex;
};
struct LeadershipEnded {
  Term term;  // the newer one
};
// The leader has committed an entry of its own term and begins to handle
// requests.
struct ServingStarted {
  Term term;
};
struct ConfigAccepted {
  ConfigVersion version;
  std::size_t tenants = 0;
  std::size_t apiKeys = 0;  // of all tenants
};
// Requests of clients that gave no key, or one that no tenant has, since the
// last such event. Never tells a key.
struct ApiKeysRejected {
  ConfigVersion config;  // in force at the last of them
  std::uint64_t requests = 0;
};
// A second process tried to register under the id of a worker that is alive.
struct WorkerIdInUse {
  WorkerId worker;
};
struct WorkerDraining {
  WorkerId worker;
};
struct WorkerUnreachable {
  WorkerId worker;
};
struct MembershipChanged {
  MembershipChangeCause cause;
  Member member;
};
struct MembershipChangeRefused {
  MembershipChangeCause cause;
  Member member;
  std::optional<MembershipChangeRefusal> refusal;  // none: the proposal itself failed
};
// A task that could have run for seconds and does not: what operators would
// look at.
struct TaskDelayed {
  struct BlockedAttempt {
    AttemptState state;
    WorkerId worker;
  };
  JobId job;
  std::uint32_t step = 0;
  std::uint32_t taskIndex = 0;  // within its step
  std::uint32_t run = 0;
  TaskState state;
  std::optional<BlockedAttempt> attempt;
  std::optional<JobId> reservedFor;  // the job that the reserved start belongs to
};
// How full the cluster is, once a second.
struct Occupancy {
  std::size_t waitingTasks = 0;
  std::size_t withinTarget = 0;  // of the waiting: those that may still meet their latency target,
  std::size_t late = 0;          // those that will miss it,
  std::size_t pastUse = 0;       // and those whose result is of no use any more
  std::size_t attempts = 0;
  std::size_t openJobs = 0;
  std::size_t usableWorkers = 0;
  std::size_t excludedWorkers = 0;
  std::size_t redundantCopies = 0;
  std::size_t heldByTenantCap = 0;  // of the waiting: those whose tenant runs all that it may
  double cores = 0;
  double coresUsed = 0;
};
// A job that ended after its latency target, with the chain of runs that its end waited for, the
// first one first.
struct JobLate {
  struct Run {
    std::uint32_t step = 0;
    WorkerId worker;
    AttemptOutcome outcome;
    bool remote = false;  // away from the data that its step asks for
    Duration waited;      // from when it was ready to the order to start it
    Duration ran;         // from that order to the report of its end
    Duration requested;
  };
  JobId job;
  QueueName queue;
  Duration target;
  Duration took;
  std::vector<Run> chain;
};

}  // namespace log_events

using LogEvent = std::variant<log_events::SnapshotInstalled, log_events::UnreadableRecord,
                              log_events::LeadershipStarted, log_events::LeadershipEnded,
                              log_events::ServingStarted, log_events::ConfigAccepted,
                              log_events::ApiKeysRejected, log_events::WorkerIdInUse,
                              log_events::WorkerDraining, log_events::WorkerUnreachable,
                              log_events::MembershipChanged, log_events::MembershipChangeRefused,
                              log_events::TaskDelayed, log_events::Occupancy, log_events::JobLate>;
using LogEventSignal = boost::signals2::signal<void(const LogEvent&)>;

// An event as it stands in a log line or a trace.
struct RenderedLogEvent {
  std::string name;
  picojson::object fields;
};
RenderedLogEvent render(const LogEvent& event);

}  // namespace aniseline

#endif  // ANISELINE_CONTROLLER_LOG_EVENT_HPP
