#include "net/event_loop.hpp"
#include "cli/command.hpp"
#include "cli/views.hpp"

namespace aniseline {

namespace {

ExitCode replace(Session& session, const Arguments& arguments) {
  return sendAndShow(session, {"POST", "/v1/controllers/" + arguments[0] + "/replace", ""},
                     [](const picojson::value& answer) {
                       return "controller " + printable(textField(answer, "replacing")) +
                              ": a learner takes its place as soon as one has caught up\n";
                     });
}
ExitCode found(Session& session, const Arguments& arguments) {
  if (auto endpoint = parseEndpoint(Address{arguments[0]}); !endpoint)
    return reportUsageError(session, "found: " + endpoint.error().text());
  auto answer = session.bootstrapCluster(Address{arguments[0]});
  if (!answer)
    return reportError(session, answer.error());
  const ApiResponse& notified = answer.value();
  if (notified.status >= 400)
    return reportError(session, ClientError{ClientError::Kind::rejected, notified.status,
                                            notified.body, Duration{0}});
  session.out << notified.body << "\n";
  return ExitCode::success;
}

}  // namespace

std::vector<Command> clusterCommands() {
  return {
      {"replace",
       "CONTROLLER",
       "let a learner take this voter's place",
       "It is remembered through changes of leader. The leader itself can't be replaced: stop it "
       "first.",
       {},
       false,
       replace},
      {"found",
       "PEER-ADDRESS",
       "found a cluster on one blank controller",
       "Once, before anything else; asks that controller itself, so needs no gateways.",
       {},
       false,
       found,
       false},
  };
}

}  // namespace aniseline
