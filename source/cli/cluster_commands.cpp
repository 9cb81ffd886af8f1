// Commands that change the cluster: replacing a voter and bootstrapping a new cluster.
#include "net/event_loop.hpp"
#include "cli/command.hpp"
#include "cli/views.hpp"

namespace aniseline {

namespace {

ExitCode replaceController(Session& session, const Arguments& arguments) {
  return sendAndShow(session, {"POST", "/v1/controllers/" + arguments[0] + "/replace", ""},
                     [](const picojson::value& answer) {
                       return "controller " + printable(textField(answer, "replacing")) +
                              ": will be replaced as soon as a learner has caught up\n";
                     });
}
ExitCode bootstrap(Session& session, const Arguments& arguments) {
  if (auto endpoint = parseEndpoint(Address{arguments[0]}); !endpoint)
    return reportUsageError(session, "found: " + endpoint.error().text());
  auto answer = session.bootstrapCluster(Address{arguments[0]});
  if (!answer)
    return reportError(session, answer.error());
  const ApiResponse& response = answer.value();
  if (response.status >= 400)
    return reportError(session, ClientError{ClientError::Kind::rejected, response.status,
                                            response.body, Duration{0}});
  session.out << response.body << "\n";
  return ExitCode::success;
}

}  // namespace

std::vector<Command> clusterCommands() {
  return {
      {"replace",
       "CONTROLLER",
       "replace this voter by a learner",
       "The request survives changes of leader. The leader itself can't be replaced: stop it "
       "first.",
       {},
       false,
       replaceController},
      {"found",
       "PEER-ADDRESS",
       "bootstrap a cluster on one empty controller",
       "Run it once, before any other command. It contacts the controller directly and needs no "
       "gateways.",
       {},
       false,
       bootstrap,
       false},
  };
}

}  // namespace aniseline
