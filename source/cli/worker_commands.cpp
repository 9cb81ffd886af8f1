#include "cli/command.hpp"
#include "cli/views.hpp"

namespace aniseline {

namespace {

ExitCode order(Session& session, const std::string& worker, const std::string& verb) {
  return sendAndShow(session, {"POST", "/v1/workers/" + worker + "/" + verb, ""},
                     [](const picojson::value& answer) {
                       return "worker " + printable(textField(answer, "worker")) + ": " +
                              printable(textField(answer, "state")) + "\n";
                     });
}
ExitCode drain(Session& session, const Arguments& arguments) {
  return order(session, arguments[0],
               "drain?within_ms=" + std::to_string(session.options.drainPeriodMilliseconds));
}
ExitCode undrain(Session& session, const Arguments& arguments) {
  return order(session, arguments[0], "undrain");
}
ExitCode declareGone(Session& session, const Arguments& arguments) {
  return order(session, arguments[0], "gone");
}

}  // namespace

std::vector<Command> workerCommands() {
  return {
      {"drain",
       "WORKER",
       "no new work for it; what runs may go on for a while",
       "After --drain-within-ms what still runs is stopped and waits again.",
       {"drain-within-ms"},
       false,
       drain},
      {"undrain", "WORKER", "give it work again", "", {}, false, undrain},
      {"declare-gone",
       "WORKER",
       "its tasks may be started elsewhere",
       "Say it only when the machine is really off: else a task may run twice at once.",
       {},
       false,
       declareGone},
  };
}

}  // namespace aniseline
