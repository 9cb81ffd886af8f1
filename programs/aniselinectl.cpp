// aniselinectl: the command-line tool for operators. Its commands are implemented in source/cli/.
// docs/operations.md 3.
#include "net/log.hpp"
#include "net/options.hpp"
#include "net/rpc_client.hpp"
#include "cli/command.hpp"
#include <iostream>
#include <unistd.h>

using namespace aniseline;

namespace {

// Asks the controller at a peer address to bootstrap a cluster.
Result<ApiResponse, ClientError> bootstrapVia(EventLoop& loop, const Address& peer,
                                              Duration timeout) {
  RpcClient client(loop, peer);
  auto reply = client.call(BootstrapRequest{}, timeout);
  if (!reply)
    return ClientError{ClientError::Kind::unknown, 0, reply.error().text, Duration{0}};
  if (auto* answer = boost::get<ApiResponse>(&reply.value().body))
    return *answer;
  return ClientError{ClientError::Kind::unknown, 0,
                     peer.value + " sent an unexpected type of answer", Duration{0}};
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

int main(int argc, char** argv) {
  EventLoop loop;
  std::vector<Address> gateways;
  Arguments arguments;
  std::int64_t timeout = 10'000;
  Session session{{},
                  {},
                  {},
                  [](Duration duration) { sleepFor(duration); },
                  std::cout,
                  std::cerr,
                  isatty(STDOUT_FILENO) == 1};
  CommandOptions& commandOptions = session.options;
  OptionSet options("aniselinectl", "command-line tool for operators of aniseline");
  options.addAddresses("gateways", gateways, "client-facing address of a gateway");
  options.bindEnvironment("gateways", "ANISELINECTL_GATEWAYS");
  options.addInteger("within-ms", timeout, "time limit of a request in ms, retries included", 100,
                     600'000);
  options.addFlag("json", commandOptions.json, "print answers and errors as JSON, for programs");
  options.addText(
      "state", commandOptions.state,
      "list only jobs in this state: timed, open, cancelling, finished, failed or cancelled");
  options.addInteger("limit", commandOptions.limit, "maximum number of jobs to list", 1, 1000);
  options.addInteger(
      "based-on", commandOptions.baseVersion,
      "configuration version that the change is based on; if not given, the one in force", 0,
      1'000'000'000);
  options.addInteger("drain-within-ms", commandOptions.drainPeriodMilliseconds,
                     "time in ms that the tasks of a drained worker may go on", 0, 86'400'000);
  options.addInteger("times", commandOptions.watchRepetitions, "number of repetitions", 1,
                     1'000'000);
  options.addInteger("every-ms", commandOptions.watchIntervalMilliseconds, "interval in ms", 100,
                     3'600'000);
  options.addPositionals(arguments, "command to run");
  options.setHelp([&](const Arguments& helpArguments) { printHelp(options, helpArguments); });
  options.read(argc, argv);
  std::size_t nameLength = 0;
  if (!arguments.empty() && arguments[0] == "help" &&
      (arguments.size() == 1 ||
       findCommand(Arguments(arguments.begin() + 1, arguments.end()), nameLength))) {
    printHelp(options, arguments);
    // The fiber scheduler of this thread uses the event loop until the thread ends, so the loop
    // must not be destroyed before.
    std::_Exit(int(ExitCode::success));
  }
  startLog("aniselinectl", "", true);
  std::unique_ptr<GatewayClient> client;
  if (!gateways.empty()) {
    client = std::make_unique<GatewayClient>(loop, gateways);
    session.send = [&](const HttpRequest& request) -> Result<HttpResponse, ClientError> {
      return client->send(request, Duration{timeout});
    };
  }
  session.bootstrapCluster = [&](const Address& peer) {
    return bootstrapVia(loop, peer, Duration{timeout});
  };
  const ExitCode code = runCommandLine(session, arguments, options.givenOnCommandLine());
  std::cout.flush();
  std::_Exit(int(code));
}
