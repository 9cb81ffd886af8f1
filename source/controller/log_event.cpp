// Names and fields of log events. docs/operations.md lists them.
#include "controller/log_event.hpp"
#include "state/api_request.hpp"

namespace aniseline {

const char* name(MembershipChangeCause cause) {
  switch (cause) {
    case MembershipChangeCause::lostState:
      return "lost state";
    case MembershipChangeCause::removed:
      return "removed";
    case MembershipChangeCause::promotedToVoter:
      return "voter";
  }
  return "";
}

namespace {

picojson::object fieldsOf(MembershipChangeCause cause, const Member& member) {
  return {{"change", json(name(cause))},
          {"member", json(member.id.value)},
          {"zone", json(member.zone.value)}};
}

struct Renderer {
  RenderedLogEvent operator()(const log_events::SnapshotInstalled& event) const {
    return {"view installed", {{"index", json(event.index.value)}}};
  }
  RenderedLogEvent operator()(const log_events::UnreadableRecord& event) const {
    return {"unreadable record", {{"index", json(event.index.value)}}};
  }
  RenderedLogEvent operator()(const log_events::LeadershipStarted& event) const {
    return {"leads", {{"term", json(event.term.value)}, {"last", json(event.lastIndex.value)}}};
  }
  RenderedLogEvent operator()(const log_events::LeadershipEnded& event) const {
    return {"leads no more", {{"term", json(event.term.value)}}};
  }
  RenderedLogEvent operator()(const log_events::ServingStarted& event) const {
    return {"serves", {{"term", json(event.term.value)}}};
  }
  RenderedLogEvent operator()(const log_events::ConfigAccepted& event) const {
    return {"config taken",
            {{"version", json(event.version.value)},
             {"tenants", json(event.tenants)},
             {"api_keys", json(event.apiKeys)}}};
  }
  RenderedLogEvent operator()(const log_events::ApiKeysRejected& event) const {
    return {"api_keys_rejected",
            {{"version", json(event.config.value)}, {"requests", json(event.requests)}}};
  }
  RenderedLogEvent operator()(const log_events::StateGrowthLimited& event) const {
    return {"state_growth_limited",
            {{"rejected_jobs", json(event.rejectedJobs)},
             {"deferred_occurrences", json(event.deferredOccurrences)},
             {"rejected_cancels", json(event.rejectedCancels)},
             {"job_bytes", json(event.jobBytes)},
             {"job_bytes_limit", json(event.jobBytesLimit)}}};
  }
  RenderedLogEvent operator()(const log_events::ForeignClusterRefused& event) const {
    return {"foreign_cluster_refused",
            {{"cluster", json(event.cluster.value)},
             {"foreign_cluster", json(event.foreignCluster.value)},
             {"sender", json(event.sender.value)}}};
  }
  RenderedLogEvent operator()(const log_events::WorkerIdInUse& event) const {
    return {"worker id in use", {{"worker", json(event.worker.value)}}};
  }
  RenderedLogEvent operator()(const log_events::WorkerDraining& event) const {
    return {"worker leaves", {{"worker", json(event.worker.value)}}};
  }
  RenderedLogEvent operator()(const log_events::WorkerUnreachable& event) const {
    return {"worker silent", {{"worker", json(event.worker.value)}}};
  }
  RenderedLogEvent operator()(const log_events::MembershipChanged& event) const {
    return {"members change", fieldsOf(event.cause, event.member)};
  }
  RenderedLogEvent operator()(const log_events::MembershipChangeRefused& event) const {
    picojson::object fields = fieldsOf(event.cause, event.member);
    fields["why"] = json(event.refusal ? name(*event.refusal) : "");
    return {"members change refused", std::move(fields)};
  }
  RenderedLogEvent operator()(const log_events::TaskDelayed& event) const {
    picojson::object fields{{"job", json(event.job.value)},
                            {"step", json(event.step)},
                            {"within", json(event.taskIndex)},
                            {"state", json(name(event.state))},
                            {"run", json(event.run)}};
    if (event.attempt) {
      fields["attempt"] = json(name(event.attempt->state));
      fields["worker"] = json(event.attempt->worker.value);
    }
    if (event.reservedFor)
      fields["reserved_for"] = json(event.reservedFor->value);
    return {"work waits long", std::move(fields)};
  }
  RenderedLogEvent operator()(const log_events::Occupancy& event) const {
    return {"occupancy",
            {{"waiting", json(event.waitingTasks)},
             {"in_time", json(event.withinTarget)},
             {"late", json(event.late)},
             {"past", json(event.tooLateToBeUseful)},
             {"attempts", json(event.attempts)},
             {"open", json(event.openJobs)},
             {"workers", json(event.usableWorkers)},
             {"passed_over", json(event.excludedWorkers)},
             {"copies", json(event.redundantCopies)},
             {"plans", json(event.plans)},
             {"held_by_cap", json(event.heldByTenantCap)},
             {"cores", json(event.cores)},
             {"cores_used", json(event.coresUsed)}}};
  }
  RenderedLogEvent operator()(const log_events::JobLate& event) const {
    picojson::array chain;
    for (const auto& run : event.chain)
      chain.push_back(json(picojson::object{{"step", json(run.step)},
                                            {"worker", json(run.worker.value)},
                                            {"ended", json(name(run.outcome))},
                                            {"remote", json(run.remote)},
                                            {"waited_ms", json(run.waited.milliseconds)},
                                            {"ran_ms", json(run.ran.milliseconds)},
                                            {"requested_ms", json(run.requested.milliseconds)}}));
    return {"job_late",
            {{"job", json(event.job.value)},
             {"queue", json(event.queue.value)},
             {"target_ms", json(event.target.milliseconds)},
             {"took_ms", json(event.took.milliseconds)},
             {"chain", json(std::move(chain))}}};
  }
  RenderedLogEvent operator()(const log_events::DispatchLatency& event) const {
    return {"dispatch_latency",
            {{"wait", json(render(event.wait))},
             {"commit", json(render(event.commit))},
             {"overhead", json(render(event.overhead))}}};
  }
};

}  // namespace

RenderedLogEvent render(const LogEvent& event) {
  return std::visit(Renderer{}, event);
}

}  // namespace aniseline
