// aniselinectl: the operators' command line. Its commands stand in source/cli/.
// docs/operations.md 3.
#include "net/log.hpp"
#include "net/options.hpp"
#include "net/wire.hpp"
#include "cli/command.hpp"
#include <iostream>
#include <unistd.h>

using namespace aniseline;

namespace {

Result<ApiResponse, ClientError> foundBy(Loop& loop, const Address& peer, Duration within) {
  WireCaller caller(loop, peer);
  auto answered = caller.call(BootstrapRequest{}, within);
  if (!answered)
    return ClientError{ClientError::Kind::unknown, 0, answered.error().text, Duration{0}};
  if (auto* answer = boost::get<ApiResponse>(&answered.value().body))
    return *answer;
  return ClientError{ClientError::Kind::unknown, 0,
                     peer.value + " gave another answer than asked for", Duration{0}};
}

void printHelp(const OptionSet& options, Words words) {
  if (!words.empty() && words[0] == "help")
    words.erase(words.begin());
  std::size_t taken = 0;
  const Command* command = commandOf(words, taken);
  std::cout << (command ? commandHelp(*command, options.describe(command->options),
                                      options.describe(commonOptions()))
                        : generalHelp(options.describe(commonOptions())));
  std::cout.flush();
}

}  // namespace

int main(int count, char** values) {
  Loop loop;
  std::vector<Address> gateways;
  Words words;
  std::int64_t within = 10'000;
  Session session{{},
                  {},
                  {},
                  [](Duration span) { pause(span); },
                  std::cout,
                  std::cerr,
                  isatty(STDOUT_FILENO) == 1};
  Choices& choices = session.choices;
  OptionSet options("aniselinectl", "the operators' command line of aniseline");
  options.addresses("gateways", gateways, "outer address of a gateway");
  options.environment("gateways", "ANISELINECTL_GATEWAYS");
  options.whole("within-ms", within, "how long to try", 100, 600'000);
  options.flag("json", choices.json, "answers and errors as JSON, for programs");
  options.text("state", choices.state,
               "of the jobs to list: timed, open, cancelling, finished, failed or cancelled");
  options.whole("limit", choices.limit, "jobs to list at most", 1, 1000);
  options.whole("based-on", choices.baseVersion,
                "the config version that the new one is based on; the one in force if not given", 0,
                1'000'000'000);
  options.whole("drain-within-ms", choices.drainWithin,
                "how long a drained worker's tasks may go on", 0, 86'400'000);
  options.whole("times", choices.times, "how often", 1, 1'000'000);
  options.whole("every-ms", choices.every, "time between", 100, 3'600'000);
  options.words(words, "a command");
  options.help([&](const Words& asked) { printHelp(options, asked); });
  options.read(count, values);
  std::size_t taken = 0;
  if (!words.empty() && words[0] == "help" &&
      (words.size() == 1 || commandOf(Words(words.begin() + 1, words.end()), taken))) {
    printHelp(options, words);
    return 0;
  }
  startLog("aniselinectl", "", true);
  std::unique_ptr<Caller> caller;
  if (!gateways.empty()) {
    caller = std::make_unique<Caller>(loop, gateways);
    session.ask = [&](const HttpRequest& request) -> Result<HttpResponse, ClientError> {
      return caller->ask(request, Duration{within});
    };
  }
  session.found = [&](const Address& peer) {
    return foundBy(loop, peer, Duration{within});
  };
  const ExitCode code = runWords(session, words, options.onLine());
  std::cout.flush();
  std::_Exit(int(code));
}
