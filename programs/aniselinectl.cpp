// aniselinectl: the operators' command line. Its commands stand in source/cli/.
// docs/operations.md 3.
#include "net/log.hpp"
#include "net/options.hpp"
#include "net/rpc_client.hpp"
#include "cli/command.hpp"
#include <iostream>
#include <unistd.h>

using namespace aniseline;

namespace {

Result<ApiResponse, ClientError> foundBy(EventLoop& loop, const Address& peer, Duration within) {
  RpcClient caller(loop, peer);
  auto answered = caller.call(BootstrapRequest{}, within);
  if (!answered)
    return ClientError{ClientError::Kind::unknown, 0, answered.error().text, Duration{0}};
  if (auto* answer = boost::get<ApiResponse>(&answered.value().body))
    return *answer;
  return ClientError{ClientError::Kind::unknown, 0,
                     peer.value + " gave another answer than asked for", Duration{0}};
}

void printHelp(const OptionSet& options, Arguments arguments) {
  if (!arguments.empty() && arguments[0] == "help")
    arguments.erase(arguments.begin());
  std::size_t nameLength = 0;
  const Command* command = findCommand(arguments, nameLength);
  std::cout << (command ? commandHelp(*command, options.describe(command->options),
                                      options.describe(commonOptions()))
                        : generalHelp(options.describe(commonOptions())));
  std::cout.flush();
}

}  // namespace

int main(int count, char** values) {
  EventLoop loop;
  std::vector<Address> gateways;
  Arguments arguments;
  std::int64_t within = 10'000;
  Session session{{},
                  {},
                  {},
                  [](Duration span) { sleepFor(span); },
                  std::cout,
                  std::cerr,
                  isatty(STDOUT_FILENO) == 1};
  CommandOptions& choices = session.options;
  OptionSet options("aniselinectl", "the operators' command line of aniseline");
  options.addAddresses("gateways", gateways, "outer address of a gateway");
  options.bindEnvironment("gateways", "ANISELINECTL_GATEWAYS");
  options.addInteger("within-ms", within, "how long to try", 100, 600'000);
  options.addFlag("json", choices.json, "answers and errors as JSON, for programs");
  options.addText("state", choices.state,
                  "of the jobs to list: timed, open, cancelling, finished, failed or cancelled");
  options.addInteger("limit", choices.limit, "jobs to list at most", 1, 1000);
  options.addInteger(
      "based-on", choices.baseVersion,
      "the config version that the new one is based on; the one in force if not given", 0,
      1'000'000'000);
  options.addInteger("drain-within-ms", choices.drainPeriodMilliseconds,
                     "how long a drained worker's tasks may go on", 0, 86'400'000);
  options.addInteger("times", choices.watchTurns, "how often", 1, 1'000'000);
  options.addInteger("every-ms", choices.watchIntervalMilliseconds, "time between", 100, 3'600'000);
  options.addPositionals(arguments, "a command");
  options.setHelp([&](const Arguments& asked) { printHelp(options, asked); });
  options.read(count, values);
  std::size_t nameLength = 0;
  if (!arguments.empty() && arguments[0] == "help" &&
      (arguments.size() == 1 ||
       findCommand(Arguments(arguments.begin() + 1, arguments.end()), nameLength))) {
    printHelp(options, arguments);
    return 0;
  }
  startLog("aniselinectl", "", true);
  std::unique_ptr<GatewayClient> caller;
  if (!gateways.empty()) {
    caller = std::make_unique<GatewayClient>(loop, gateways);
    session.send = [&](const HttpRequest& request) -> Result<HttpResponse, ClientError> {
      return caller->send(request, Duration{within});
    };
  }
  session.bootstrapCluster = [&](const Address& peer) {
    return foundBy(loop, peer, Duration{within});
  };
  const ExitCode code = runCommandLine(session, arguments, options.givenOnCommandLine());
  std::cout.flush();
  std::_Exit(int(code));
}
