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
       "controllers, their roles and lag, gateways",
       "BEHIND counts records of the log that a controller lacks; UNHEARD is how long the leader "
       "has not heard it.",
       {},
       true,
       cluster},
      {"workers",
       "",
       "workers, their room and standing",
       "RUNS and HELD count attempts, ORDERS those not yet applied; BLAME rises with failed work "
       "(design.md 5.6).",
       {},
       true,
       workers},
      {"tenants",
       "",
       "tenants, what each may have running and what it has",
       "KEYS counts a tenant's keys, which are never shown. A tenant that the config no longer "
       "names keeps its cap, "
       "without keys, while jobs of it are open. Above its cap is a tenant whose cap was lowered, "
       "or whose one task "
       "is larger than what was left of it.",
       {},
       true,
       tenants},
      {"plan",
       "",
       "who waits and why, and the reserved start",
       "By rank: the first line would start first.",
       {},
       true,
       plan},
      {"queues",
       "",
       "queues in force with their open jobs",
       "A queue that the config no longer names runs its open jobs out and is shown as closed.",
       {},
       true,
       queues},
      {"counters", "", "counts since the cluster was founded", "", {}, true, counters},
  };
}

}  // namespace aniseline
