// The events that a controller reports to logs, traces and fault injection, with one struct for
// each event. `render` defines the name and the fields of every event. Events are emitted from
// within Controller::step and submitRequest, on the thread that drives the controller.
#ifndef ANISELINE_CONTROLLER_LOG_EVENT_HPP
#define ANISELINE_CONTROLLER_LOG_EVENT_HPP
#include "raft/membership_change.hpp"
#include "state/event.hpp"
#include "base/json.hpp"
#include "base/latency_summary.hpp"
#include <variant>

namespace aniseline {

// The reason for which the leader proposes a membership change.
enum class MembershipChangeCause : std::uint8_t {
  lostState,       // the member no longer has the data that it had acknowledged
  removed,         // the member is dead, or there is one voter too many
  promotedToVoter  // a learner has caught up
};
const char* name(MembershipChangeCause cause);

namespace log_events {

// A snapshot sent by another controller was installed.
struct SnapshotInstalled {
  LogIndex index;
};
// A committed entry could not be decoded; the controller stops.
struct UnreadableRecord {
  LogIndex index;
};
struct LeadershipStarted {
  Term term;
  LogIndex lastIndex;
};
struct LeadershipEnded {
  Term term;  // the newer term that ended the leadership
};
// The leader has committed an entry of its own term and starts to handle requests.
struct ServingStarted {
  Term term;
};
struct ConfigAccepted {
  ConfigVersion version;
  std::size_t tenants = 0;
  std::size_t apiKeys = 0;  // total number of keys of all tenants
};
// Requests without an API key or with an unknown one since the last such event. The event never
// contains a key.
struct ApiKeysRejected {
  ConfigVersion config;  // the version in effect at the last of these requests
  std::uint64_t requests = 0;
};
// Work and cancellations of unknown jobs that were not let into the cluster state since the last
// such event, because the state has reached its memory budget or a timetable is too far ahead of
// its own occurrences.
struct StateGrowthLimited {
  std::uint64_t rejectedJobs = 0;
  std::uint64_t deferredOccurrences = 0;
  std::uint64_t rejectedCancels = 0;
  std::uint64_t jobBytes = 0;  // estimated size of all jobs in one copy of the state
  std::uint64_t jobBytesLimit = 0;
};
// Messages of controllers that belong to another cluster were refused. docs/design.md 3.8.
struct ForeignClusterRefused {
  ClusterId cluster;  // of this controller
  ClusterId foreignCluster;
  ControllerId sender;
};
// A second process tried to register under the identifier of a live worker.
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
  std::optional<MembershipChangeRefusal> refusal;  // empty if the proposal itself failed
};
// A task that could have been started for several seconds but has not been, reported for operators
// to investigate.
struct TaskDelayed {
  struct BlockedAttempt {
    AttemptState state;
    WorkerId worker;
  };
  JobId job;
  std::uint32_t step = 0;
  std::uint32_t taskIndex = 0;  // index within the step
  std::uint32_t run = 0;
  TaskState state;
  std::optional<BlockedAttempt> attempt;
  std::optional<JobId> reservedFor;  // the job that holds the reserved start
};
// The load of the cluster, reported once a second.
struct Occupancy {
  std::size_t waitingTasks = 0;
  std::size_t withinTarget = 0;       // waiting tasks that can still meet their latency target
  std::size_t late = 0;               // waiting tasks that will miss their latency target
  std::size_t tooLateToBeUseful = 0;  // waiting tasks whose result would come too late to be of use
  std::size_t attempts = 0;
  std::size_t openJobs = 0;
  std::size_t usableWorkers = 0;
  std::size_t excludedWorkers = 0;
  std::size_t redundantCopies = 0;
  std::size_t plans = 0;            // since the last report
  std::size_t heldByTenantCap = 0;  // waiting tasks whose tenant has reached its cap
  double cores = 0;
  double coresUsed = 0;
};
// A job that ended after its latency target, with the chain of runs that delayed its end, in
// chronological order.
struct JobLate {
  struct Run {
    std::uint32_t step = 0;
    WorkerId worker;
    AttemptOutcome outcome;
    bool remote = false;  // ran away from the data that its step prefers
    Duration waited;      // from readiness to the order to start
    Duration ran;         // from the order to start to the report of the end
    Duration requested;
  };
  JobId job;
  QueueName queue;
  Duration target;
  Duration took;
  std::vector<Run> chain;
};

// How long the leader took in the last second to order starts, to commit records and to learn of
// ends.
struct DispatchLatency {
  LatencyQuantiles wait;      // from a task's readiness to the order to start it
  LatencyQuantiles commit;    // from the proposal of a record to its commit
  LatencyQuantiles overhead;  // from the order to the reported end, less the requested runtime
};

}  // namespace log_events

using LogEvent = std::variant<
    log_events::SnapshotInstalled, log_events::UnreadableRecord, log_events::LeadershipStarted,
    log_events::LeadershipEnded, log_events::ServingStarted, log_events::ConfigAccepted,
    log_events::ApiKeysRejected, log_events::StateGrowthLimited, log_events::ForeignClusterRefused,
    log_events::WorkerIdInUse, log_events::WorkerDraining, log_events::WorkerUnreachable,
    log_events::MembershipChanged, log_events::MembershipChangeRefused, log_events::TaskDelayed,
    log_events::Occupancy, log_events::JobLate, log_events::DispatchLatency>;
using LogEventSignal = boost::signals2::signal<void(const LogEvent&)>;

// An event in the form in which it appears in a log line or a trace.
struct RenderedLogEvent {
  std::string name;
  picojson::object fields;
};
RenderedLogEvent render(const LogEvent& event);

}  // namespace aniseline

#endif  // ANISELINE_CONTROLLER_LOG_EVENT_HPP
