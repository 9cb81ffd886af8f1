// Commands that list, show, submit and cancel jobs.
#include "cli/command.hpp"
#include "cli/views.hpp"

namespace aniseline {

namespace {

ExitCode jobs(Session& session, const Arguments&) {
  static const std::set<std::string> states{"",         "timed",  "open",     "cancelling",
                                            "finished", "failed", "cancelled"};
  const std::string& state = session.options.state;
  if (!states.count(state))
    return reportUsageError(
        session, "--state: must be timed, open, cancelling, finished, failed or cancelled");
  return sendAndShow(session,
                     {"GET",
                      "/v1/jobs?limit=" + std::to_string(session.options.limit) +
                          (state.empty() ? "" : "&state=" + state),
                      ""},
                     jobsView);
}
ExitCode showJob(Session& session, const Arguments& arguments) {
  return sendAndShow(session, {"GET", "/v1/jobs/" + arguments[0], ""}, jobView);
}
ExitCode submit(Session& session, const Arguments& arguments) {
  auto text = readWholeFile(session, arguments[0]);
  if (!text)
    return ExitCode::usage;
  return sendAndShow(session, {"POST", "/v1/jobs", *text}, [](const picojson::value& answer) {
    return "job " + printable(textField(answer, "id")) + ": accepted\n";
  });
}
ExitCode cancel(Session& session, const Arguments& arguments) {
  return sendAndShow(session, {"DELETE", "/v1/jobs/" + arguments[0], ""},
                     [](const picojson::value& answer) {
                       return "job " + printable(textField(answer, "id")) + ": " +
                              printable(textField(answer, "state")) + "\n";
                     });
}

}  // namespace

std::vector<Command> jobCommands() {
  return {
      {"jobs", "", "list jobs by id", "`list` is an alias.", {"state", "limit"}, true, jobs},
      {"show", "JOB", "show a job, its state and its first 200 tasks", "", {}, true, showJob},
      {"submit",
       "FILE",
       "submit the job that the file describes",
       "Safe to repeat: the same id with the same content gets the same answer, with different "
       "content a conflict.",
       {},
       false,
       submit},
      {"cancel",
       "JOB",
       "cancel a job",
       "Safe to repeat. Prints the state of the job: cancelling, or its final state.",
       {},
       false,
       cancel},
  };
}

}  // namespace aniseline
