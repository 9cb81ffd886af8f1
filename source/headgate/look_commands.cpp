#include "headgate/command.hpp"
#include "headgate/views.hpp"

namespace aniseline {

namespace {

ExitCode cluster(Session& session, const Words&) { return askAndShow(session, {"GET", "/v1/cluster", ""}, clusterView); }
ExitCode minions(Session& session, const Words&) { return askAndShow(session, {"GET", "/v1/minions", ""}, minionsView); }
ExitCode plan(Session& session, const Words&) { return askAndShow(session, {"GET", "/v1/plan", ""}, planView); }
ExitCode counters(Session& session, const Words&) { return askAndShow(session, {"GET", "/v1/counters", ""}, countersView); }
ExitCode queues(Session& session, const Words&) {
    auto setup = session.ask({"GET", "/v1/setup", ""});
    if (!setup) return fail(session, setup.error());
    auto jobs = session.ask({"GET", "/v1/jobs?state=open&limit=1000", ""});
    if (!jobs) return fail(session, jobs.error());
    picojson::value setupRoot, jobsRoot;
    if (!picojson::parse(setupRoot, setup.value().body).empty() || !picojson::parse(jobsRoot, jobs.value().body).empty())
        return fail(session, ClientError{ClientError::Kind::unknown, 0, "the answer is not JSON", Span{0}});
    return show(session, queuesOf(setupRoot, jobsRoot), queuesView);
}

}  // namespace

std::vector<Command> lookCommands() {
    return {
        {"cluster", "", "reservoirs, their roles and lag, sluices", "BEHIND counts records of the log that a reservoir lacks; UNHEARD is how long the leader has not heard it.", {}, true, cluster},
        {"minions", "", "minions, their room and standing", "RUNS and HELD count attempts, ORDERS those not yet applied; BLAME rises with failed work (design.md 5.6).", {}, true, minions},
        {"plan", "", "who waits and why, and the reserved start", "By rank: the first line would start first.", {}, true, plan},
        {"queues", "", "queues in force with their open jobs", "A queue that the setup no longer names runs its open jobs out and is shown as closed.", {}, true, queues},
        {"counters", "", "counts since the cluster was founded", "", {}, true, counters},
    };
}

}  // namespace aniseline
