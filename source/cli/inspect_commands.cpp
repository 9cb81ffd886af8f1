// Commands that show the state of the cluster without changing it.
#include "cli/command.hpp"
#include "base/json.hpp"
#include "cli/views.hpp"

namespace aniseline {

namespace {

ExitCode cluster(Session& session, const Arguments&) {
  return sendAndShow(session, {"GET", "/v1/cluster", ""}, clusterView);
}
ExitCode workers(Session& session, const Arguments&) {
  return sendAndShow(session, {"GET", "/v1/workers", ""}, workersView);
}
ExitCode tenants(Session& session, const Arguments&) {
  return sendAndShow(session, {"GET", "/v1/tenants", ""}, tenantsView);
}
ExitCode plan(Session& session, const Arguments&) {
  return sendAndShow(session, {"GET", "/v1/plan", ""}, planView);
}
ExitCode counters(Session& session, const Arguments&) {
  return sendAndShow(session, {"GET", "/v1/counters", ""}, countersView);
}
ExitCode queues(Session& session, const Arguments&) {
  auto config = session.send({"GET", "/v1/config", ""});
  if (!config)
    return reportError(session, config.error());
  auto jobs = session.send({"GET", "/v1/jobs?state=open&limit=1000", ""});
  if (!jobs)
    return reportError(session, jobs.error());
  picojson::value configRoot, jobsRoot;
  if (!parseJson(configRoot, config.value().body).empty() ||
      !parseJson(jobsRoot, jobs.value().body).empty())
    return reportError(
        session, ClientError{ClientError::Kind::unknown, 0, "the answer is not JSON", Duration{0}});
  return show(session, queuesWithOpenJobs(configRoot, jobsRoot), queuesView);
}

}  // namespace

std::vector<Command> inspectCommands() {
  return {
      {"cluster",
       "",
       "list controllers with their roles and lag, and gateways",
       "BEHIND counts the log records that a controller is missing; UNHEARD is the time since the "
       "leader last heard from it.",
       {},
       true,
       cluster},
      {"workers",
       "",
       "list workers with their capacity and state",
       "RUNS and HELD count running and suspended attempts, ORDERS counts orders not yet applied; "
       "BLAME is a failure score that rises with failed work (design.md 5.6).",
       {},
       true,
       workers},
      {"tenants",
       "",
       "list tenants with their caps and current usage",
       "KEYS counts the API keys of a tenant, which are never shown. A tenant that was removed "
       "from "
       "the configuration keeps its cap, without keys, while it has open jobs. A tenant is above "
       "its "
       "cap if the cap was lowered, or if a single task was larger than the rest of the cap.",
       {},
       true,
       tenants},
      {"plan",
       "",
       "show who waits and why, and the reserved start",
       "Sorted by rank: the first line would start first.",
       {},
       true,
       plan},
      {"queues",
       "",
       "list queues with their open jobs",
       "A queue that was removed from the configuration still runs its open jobs and is shown as "
       "closed.",
       {},
       true,
       queues},
      {"counters", "", "show counters since the cluster was bootstrapped", "", {}, true, counters},
  };
}

}  // namespace aniseline
