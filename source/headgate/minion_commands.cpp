#include "headgate/command.hpp"
#include "headgate/views.hpp"

namespace aniseline {

namespace {

ExitCode order(Session& session, const std::string& minion, const std::string& verb) {
    return askAndShow(session, {"POST", "/v1/minions/" + minion + "/" + verb, ""},
                      [](const picojson::value& answer) { return "minion " + printable(textIn(answer, "minion")) + ": " + printable(textIn(answer, "state")) + "\n"; });
}
ExitCode drain(Session& session, const Words& words) { return order(session, words[0], "drain?within_ms=" + std::to_string(session.choices.drainWithin)); }
ExitCode undrain(Session& session, const Words& words) { return order(session, words[0], "undrain"); }
ExitCode declareGone(Session& session, const Words& words) { return order(session, words[0], "gone"); }

}  // namespace

std::vector<Command> minionCommands() {
    return {
        {"drain", "MINION", "no new work for it; what runs may go on for a while", "After --drain-within-ms what still runs is stopped and waits again.", {"drain-within-ms"}, false, drain},
        {"undrain", "MINION", "give it work again", "", {}, false, undrain},
        {"declare-gone", "MINION", "its tasks may be started elsewhere", "Say it only when the machine is really off: else a task may run twice at once.", {}, false, declareGone},
    };
}

}  // namespace aniseline
