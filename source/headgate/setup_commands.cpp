#include "headgate/command.hpp"
#include "headgate/views.hpp"
#include "setup.hpp"

namespace aniseline {

namespace {

// The text of a file that holds a good setup; else the faults are told.
std::optional<std::string> goodSetup(Session& session, const std::string& file, ExitCode& code, std::size_t& queues) {
    code = ExitCode::usage;
    auto text = readWhole(session, file);
    if (!text) return std::nullopt;
    auto parsed = Setup::parse(*text);
    if (!parsed) {
        session.err << (session.choices.json ? errorJson(parsed.error()) + "\n" : errorText(file, parsed.error()));
        code = ExitCode::refused;
        return std::nullopt;
    }
    queues = parsed.value().queues.size();
    return text;
}
ExitCode showSetup(Session& session, const Words&) { return askAndShow(session, {"GET", "/v1/setup", ""}, setupView); }
ExitCode checkSetup(Session& session, const Words& words) {
    ExitCode code;
    std::size_t queues = 0;
    if (!goodSetup(session, words[0], code, queues)) return code;
    const std::string file = words[0];
    return show(session, json(picojson::object{{"good", json(true)}, {"queues", json(queues)}}), [&](const picojson::value&) { return file + ": good, " + std::to_string(queues) + " queues\n"; });
}
ExitCode applySetup(Session& session, const Words& words) {
    ExitCode code;
    std::size_t queues = 0;
    auto text = goodSetup(session, words[0], code, queues);
    if (!text) return code;
    std::int64_t basedOn = session.choices.basedOn;
    if (basedOn < 0) {
        auto now = session.ask({"GET", "/v1/setup", ""});
        picojson::value root;
        if (!now && now.error().kind != ClientError::Kind::missing) return fail(session, now.error());
        if (now && picojson::parse(root, now.value().body).empty()) basedOn = std::int64_t(numberIn(root, "version", -1));
        if (!now) basedOn = 0;  // there is none yet
        if (basedOn < 0) return fail(session, ClientError{ClientError::Kind::unknown, 0, "the version in force can't be learned; give --based-on", Span{0}});
    }
    return askAndShow(session, {"PUT", "/v1/setup", "{\"based_on\":" + std::to_string(basedOn) + ",\"setup\":" + *text + "}"},
                      [](const picojson::value& answer) { return "setup " + numberText(numberIn(answer, "version")) + " is in force\n"; });
}

}  // namespace

std::vector<Command> setupCommands() {
    return {
        {"setup show", "", "the setup in force", "--json gives its text as it was applied.", {}, true, showSetup},
        {"setup check", "FILE", "check a setup without asking anyone", "Every fault is named by its path.", {}, false, checkSetup, false},
        {"setup apply", "FILE", "put a setup in force", "Refused as a conflict, naming the newer version, if it is not based on the one in force.", {"based-on"}, false, applySetup},
    };
}

}  // namespace aniseline
