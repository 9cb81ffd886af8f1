// Commands that show, check and change the configuration of the cluster.
#include "cli/command.hpp"
#include "base/json.hpp"
#include "cli/views.hpp"
#include "state/config_patch.hpp"
#include "state/cluster_config.hpp"

namespace aniseline {

namespace {

// Returns the text of a file that holds a valid configuration, and its number of queues. Otherwise
// reports the errors, sets `code` and returns nothing.
std::optional<std::string> readValidConfig(Session& session, const std::string& file,
                                           ExitCode& code, std::size_t& queues) {
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
ExitCode checkConfig(Session& session, const Arguments& arguments) {
  ExitCode code;
  std::size_t queues = 0;
  if (!readValidConfig(session, arguments[0], code, queues))
    return code;
  const std::string& file = arguments[0];
  return show(session, json(picojson::object{{"good", json(true)}, {"queues", json(queues)}}),
              [&](const picojson::value&) {
                return file + ": good, " + std::to_string(queues) + " queues\n";
              });
}
// Returns the version that a change is based on: the one given as an option, else the version in
// force; 0 if there is no configuration yet.
Result<std::int64_t, ClientError> baseVersionOf(Session& session) {
  if (session.options.baseVersion >= 0)
    return session.options.baseVersion;
  auto inForce = session.send({"GET", "/v1/config", ""});
  if (!inForce && inForce.error().kind == ClientError::Kind::notFound)
    return std::int64_t(0);
  if (!inForce)
    return inForce.error();
  picojson::value root;
  std::int64_t version = -1;
  if (parseJson(root, inForce.value().body).empty())
    version = std::int64_t(numberField(root, "version", -1));
  if (version < 0)
    return ClientError{ClientError::Kind::unknown, 0,
                       "the version in force could not be read; pass it as --based-on",
                       Duration{0}};
  return version;
}
ExitCode sendConfigChange(Session& session, const char* method, std::int64_t baseVersion,
                          const std::string& field, const std::string& text) {
  return sendAndShow(
      session,
      {method, "/v1/config",
       "{\"based_on\":" + std::to_string(baseVersion) + ",\"" + field + "\":" + text + "}"},
      [](const picojson::value& answer) {
        return "config " + formatNumber(numberField(answer, "version")) + " is in force\n";
      });
}
ExitCode applyConfig(Session& session, const Arguments& arguments) {
  ExitCode code;
  std::size_t queues = 0;
  auto text = readValidConfig(session, arguments[0], code, queues);
  if (!text)
    return code;
  const auto baseVersion = baseVersionOf(session);
  if (!baseVersion)
    return reportError(session, baseVersion.error());
  return sendConfigChange(session, "PUT", baseVersion.value(), "config", *text);
}
ExitCode patchConfig(Session& session, const Arguments& arguments) {
  auto text = readWholeFile(session, arguments[0]);
  if (!text)
    return ExitCode::usage;
  if (const auto patch = ConfigPatch::parse(*text); !patch) {
    session.err << (session.options.json ? errorJson(patch.error()) + "\n"
                                         : errorText(arguments[0], patch.error()));
    return ExitCode::rejected;
  }
  const auto baseVersion = baseVersionOf(session);
  if (!baseVersion)
    return reportError(session, baseVersion.error());
  return sendConfigChange(session, "PATCH", baseVersion.value(), "patch", *text);
}

}  // namespace

std::vector<Command> configCommands() {
  return {
      {"config show",
       "",
       "show the configuration in force",
       "--json prints its text as it was applied.",
       {},
       true,
       showConfig},
      {"config check",
       "FILE",
       "validate a configuration file without contacting the cluster",
       "Every error is reported with its path in the file.",
       {},
       false,
       checkConfig,
       false},
      {"config apply",
       "FILE",
       "apply a configuration",
       "Rejected as a conflict that names the newer version if it is not based on the version in "
       "force.",
       {"based-on"},
       false,
       applyConfig},
      {"config patch",
       "FILE",
       "add, replace or remove named items of the configuration in force",
       "FILE holds {\"upsert\": {LIST: ITEMS}, \"remove\": {LIST: [NAME, ...]}}. Rejected "
       "as a conflict under the same conditions as config apply.",
       {"based-on"},
       false,
       patchConfig},
  };
}

}  // namespace aniseline
