// The commands of aniselinectl: what each is called, says of itself, takes and does.
// docs/operations.md 3.
#ifndef ANISELINE_CLI_COMMAND_HPP
#define ANISELINE_CLI_COMMAND_HPP
#include "cli/errors.hpp"
#include <iosfwd>

namespace aniseline {

struct CommandOptions {
  bool json = false;
  bool compact = false;  // JSON on one line, as for a program that reads many
  std::string state;
  std::int64_t baseVersion = -1, drainPeriodMilliseconds = 30'000, limit = 100, watchTurns = 30,
               watchIntervalMilliseconds = 1000;
};

// What a command works with; the program gives sockets and streams, tests give canned answers.
struct Session {
  CommandOptions options;
  std::function<Result<HttpResponse, ClientError>(const HttpRequest&)>
      send;  // empty: no gateways are given
  std::function<Result<ApiResponse, ClientError>(const Address& peer)> bootstrapCluster;
  std::function<void(Duration)> sleep;
  std::ostream& out;
  std::ostream& err;
  bool isTerminal = false;
};

using Arguments = std::vector<std::string>;

struct Command {
  std::string name;       // of one word or two
  std::string arguments;  // as help shows them; those in brackets may be left out
  std::string purpose;    // one line
  std::string details;
  std::vector<std::string> options;  // beside those that all have
  bool readOnly = false;
  ExitCode (*run)(Session&, const Arguments& arguments) = nullptr;
  bool needsGateways = true;         // through gateways
  std::size_t minArguments() const;  // arguments needed
  std::size_t maxArguments() const;
};

const std::vector<Command>& allCommands();
// The command that the words begin with, and how many of them are its name.
const Command* findCommand(const Arguments& words, std::size_t& taken);

// Runs what the words say. `given` names the options of the command line: one that the command does
// not have is a fault.
ExitCode runCommandLine(Session& session, const Arguments& words,
                        const std::vector<std::string>& given);

std::string generalHelp(const std::string& options);
std::string commandHelp(const Command& command, const std::string& ownOptions,
                        const std::string& commonOptions);
const std::vector<std::string>& commonOptions();

// Asks, and shows the answer as a table or as JSON, or the error.
using View = std::function<std::string(const picojson::value&)>;
ExitCode sendAndShow(Session& session, const HttpRequest& request, const View& view);
ExitCode show(Session& session, const picojson::value& answer, const View& view);
ExitCode reportError(Session& session, const ClientError& error);
ExitCode reportUsageError(Session& session, const std::string& text);
std::optional<std::string> readWholeFile(Session& session, const std::string& file);

// By subject.
std::vector<Command> inspectCommands();
std::vector<Command> jobCommands();
std::vector<Command> workerCommands();
std::vector<Command> configCommands();
std::vector<Command> clusterCommands();
std::vector<Command> watchCommands();

}  // namespace aniseline

#endif  // ANISELINE_CLI_COMMAND_HPP
