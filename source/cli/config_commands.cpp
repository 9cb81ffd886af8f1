#include "cli/command.hpp"
#include "base/json.hpp"
#include "cli/views.hpp"
#include "state/cluster_config.hpp"

namespace aniseline {

namespace {

// The text of a file that holds a good config; else the faults are told.
std::optional<std::string> goodConfig(Session& session, const std::string& file, ExitCode& code,
                                      std::size_t& queues) {
  code = ExitCode::usage;
  auto text = readWholeFile(session, file);
  if (!text)
    return std::nullopt;
  auto parsed = ClusterConfig::parse(*text);
  if (!parsed) {
    session.err << (session.options.json ? errorJson(parsed.error()) + "\n"
                                         : errorText(file, parsed.error()));
    code = ExitCode::rejected;
    return std::nullopt;
  }
  queues = parsed.value().queues.size();
  return text;
}
ExitCode showConfig(Session& session, const Arguments&) {
  return sendAndShow(session, {"GET", "/v1/config", ""}, configView);
}
ExitCode checkConfig(Session& session, const Arguments& words) {
  ExitCode code;
  std::size_t queues = 0;
  if (!goodConfig(session, words[0], code, queues))
    return code;
  const std::string& file = words[0];
  return show(session, json(picojson::object{{"good", json(true)}, {"queues", json(queues)}}),
              [&](const picojson::value&) {
                return file + ": good, " + std::to_string(queues) + " queues\n";
              });
}
ExitCode applyConfig(Session& session, const Arguments& words) {
  ExitCode code;
  std::size_t queues = 0;
  auto text = goodConfig(session, words[0], code, queues);
  if (!text)
    return code;
  std::int64_t baseVersion = session.options.baseVersion;
  if (baseVersion < 0) {
    auto now = session.send({"GET", "/v1/config", ""});
    picojson::value root;
    if (!now && now.error().kind != ClientError::Kind::notFound)
      return reportError(session, now.error());
    if (now && parseJson(root, now.value().body).empty())
      baseVersion = std::int64_t(numberField(root, "version", -1));
    if (!now)
      baseVersion = 0;  // there is none yet
    if (baseVersion < 0)
      return reportError(
          session,
          ClientError{ClientError::Kind::unknown, 0,
                      "the version in force can't be learned; give --based-on", Duration{0}});
  }
  return sendAndShow(
      session,
      {"PUT", "/v1/config",
       "{\"based_on\":" + std::to_string(baseVersion) + ",\"config\":" + *text + "}"},
      [](const picojson::value& answer) {
        return "config " + formatNumber(numberField(answer, "version")) + " is in force\n";
      });
}

}  // namespace

std::vector<Command> configCommands() {
  return {
      {"config show",
       "",
       "the config in force",
       "--json gives its text as it was applied.",
       {},
       true,
       showConfig},
      {"config check",
       "FILE",
       "check a config without asking anyone",
       "Every fault is named by its path.",
       {},
       false,
       checkConfig,
       false},
      {"config apply",
       "FILE",
       "put a config in force",
       "Refused as a conflict, naming the newer version, if it is not based on the one in force.",
       {"based-on"},
       false,
       applyConfig},
  };
}

}  // namespace aniseline
