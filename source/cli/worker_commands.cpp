// Commands that drain workers, return them to service and declare them gone.
#include "cli/command.hpp"
#include "cli/views.hpp"

namespace aniseline {

namespace {

ExitCode sendWorkerCommand(Session& session, const std::string& worker, const std::string& action) {
  return sendAndShow(session, {"POST", "/v1/workers/" + worker + "/" + action, ""},
                     [](const picojson::value& answer) {
                       return "worker " + printable(textField(answer, "worker")) + ": " +
                              printable(textField(answer, "state")) + "\n";
                     });
}
ExitCode drain(Session& session, const Arguments& arguments) {
  return sendWorkerCommand(
      session, arguments[0],
      "drain?within_ms=" + std::to_string(session.options.drainPeriodMilliseconds));
}
ExitCode undrain(Session& session, const Arguments& arguments) {
  return sendWorkerCommand(session, arguments[0], "undrain");
}
ExitCode declareGone(Session& session, const Arguments& arguments) {
  return sendWorkerCommand(session, arguments[0], "gone");
}

}  // namespace

std::vector<Command> workerCommands() {
  return {
      {"drain",
       "WORKER",
       "stop new work on this worker; running tasks may go on for a while",
       "Tasks that still run after --drain-within-ms are stopped and queued again.",
       {"drain-within-ms"},
       false,
       drain},
      {"undrain", "WORKER", "allow new work on this worker again", "", {}, false, undrain},
      {"declare-gone",
       "WORKER",
       "allow the tasks of this worker to start elsewhere",
       "Use it only if the machine is really off: otherwise a task may run twice at once.",
       {},
       false,
       declareGone},
  };
}

}  // namespace aniseline
