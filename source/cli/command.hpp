// The commands of aniselinectl: the name, the help, the arguments and the work of each, and how a
// command line is run. docs/operations.md 3.
#ifndef ANISELINE_CLI_COMMAND_HPP
#define ANISELINE_CLI_COMMAND_HPP
#include "cli/errors.hpp"
#include <iosfwd>

namespace aniseline {

// The values of the command line's options.
struct CommandOptions {
  bool json = false;
  bool compact = false;           // JSON on one line, for a program that reads many
  std::string state;              // of the jobs to list; empty: any
  std::int64_t baseVersion = -1;  // of a configuration; -1: the one in force
  std::int64_t drainPeriodMilliseconds = 30'000;
  std::int64_t limit = 100;  // of the jobs to list
  std::int64_t watchTurns = 30;
  std::int64_t watchIntervalMilliseconds = 1000;
};

// What a command works with; the program gives sockets and streams, tests give canned answers.
struct Session {
  CommandOptions options;
  // Sends a request to a gateway; empty where no gateways are given.
  std::function<Result<HttpResponse, ClientError>(const HttpRequest&)> send;
  // Asks the controller at a peer address to bootstrap a cluster.
  std::function<Result<ApiResponse, ClientError>(const Address& peer)> bootstrapCluster;
  std::function<void(Duration)> sleep;
  std::ostream& out;
  std::ostream& err;
  bool isTerminal = false;
};

// Words of the command line that are no options.
using Arguments = std::vector<std::string>;

struct Command {
  std::string name;                  // of one word or two
  std::string arguments;             // as help shows them; those in brackets may be left out
  std::string purpose;               // one line of help
  std::string details;               // further help; may be empty
  std::vector<std::string> options;  // beside those that all commands have
  bool readOnly = false;             // it changes nothing, so `watch` may repeat it
  ExitCode (*run)(Session&, const Arguments& arguments) = nullptr;
  bool needsGateways = true;  // it can't run without --gateways
  // By the text of `arguments`.
  std::size_t minArguments() const;
  std::size_t maxArguments() const;
};

const std::vector<Command>& allCommands();
// The command whose name the words begin with, and how many words the name has; null if there is
// none.
const Command* findCommand(const Arguments& arguments, std::size_t& nameLength);

// Runs the command of the words. `givenOptions` names the options of the command line: one that the
// command does not have is an error.
ExitCode runCommandLine(Session& session, const Arguments& commandLine,
                        const std::vector<std::string>& givenOptions);

std::string generalHelp(const std::string& options);
std::string commandHelp(const Command& command, const std::string& ownOptions,
                        const std::string& commonOptions);
const std::vector<std::string>& commonOptions();

// Renders an answer's JSON for people.
using View = std::function<std::string(const picojson::value&)>;
// Sends a request and shows its answer, or the error.
ExitCode sendAndShow(Session& session, const HttpRequest& request, const View& view);
// Shows an answer, by the view or as JSON.
ExitCode show(Session& session, const picojson::value& answer, const View& view);
// Writes the error to the session's error output; the command's exit code.
ExitCode reportError(Session& session, const ClientError& error);
ExitCode reportUsageError(Session& session, const std::string& text);
// Nothing if the file can't be read, which has been reported.
std::optional<std::string> readWholeFile(Session& session, const std::string& file);

// The commands by subject.
std::vector<Command> inspectCommands();
std::vector<Command> jobCommands();
std::vector<Command> workerCommands();
std::vector<Command> configCommands();
std::vector<Command> clusterCommands();
std::vector<Command> watchCommands();

}  // namespace aniseline

#endif  // ANISELINE_CLI_COMMAND_HPP
