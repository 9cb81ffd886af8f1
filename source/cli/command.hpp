// Defines the commands of aniselinectl, each with its name, help, arguments and handler, and the
// functions that run a command line. docs/operations.md 3.
#ifndef ANISELINE_CLI_COMMAND_HPP
#define ANISELINE_CLI_COMMAND_HPP
#include "cli/errors.hpp"
#include <iosfwd>

namespace aniseline {

// The values of the command line's options.
struct CommandOptions {
  bool json = false;
  bool compact = false;  // prints each JSON answer on one line, for programs that read many
  std::string state;     // lists only jobs in this state; empty: all jobs
  // The version that a configuration change is based on; -1: the version in force.
  std::int64_t baseVersion = -1;
  // The time for which the tasks of a drained worker may go on.
  std::int64_t drainPeriodMilliseconds = 30'000;
  std::int64_t limit = 100;  // maximum number of jobs to list
  std::int64_t watchRepetitions = 30;
  std::int64_t watchIntervalMilliseconds = 1000;
};

// The environment of a command. The program supplies sockets and streams, tests supply canned
// answers.
struct Session {
  CommandOptions options;
  // Sends a request to a gateway. Empty if no gateways are configured.
  std::function<Result<HttpResponse, ClientError>(const HttpRequest&)> send;
  // Asks the controller at the peer address to bootstrap a cluster.
  std::function<Result<ApiResponse, ClientError>(const Address& peer)> bootstrapCluster;
  std::function<void(Duration)> sleep;
  std::ostream& out;
  std::ostream& err;
  bool isTerminal = false;
};

// The words of the command line that are not options.
using Arguments = std::vector<std::string>;

struct Command {
  std::string name;                  // one word or two
  std::string arguments;             // as shown in the help; those in brackets are optional
  std::string purpose;               // one line of help
  std::string details;               // additional help text; may be empty
  std::vector<std::string> options;  // in addition to commonOptions()
  bool readOnly = false;             // changes nothing, so `watch` may repeat it
  ExitCode (*run)(Session&, const Arguments& arguments) = nullptr;
  bool needsGateways = true;  // requires --gateways
  // Return the number of arguments that the text of `arguments` allows.
  std::size_t minArguments() const;
  std::size_t maxArguments() const;
};

const std::vector<Command>& allCommands();
// Returns the command whose name the arguments begin with, and sets `nameLength` to the number of
// words in that name. Returns null if there is no such command.
const Command* findCommand(const Arguments& arguments, std::size_t& nameLength);

// Runs the command that the words name. `givenOptions` lists the options given on the command line;
// an option that the command does not have is a usage error.
ExitCode runCommandLine(Session& session, const Arguments& commandLine,
                        const std::vector<std::string>& givenOptions);

std::string generalHelp(const std::string& options);
std::string commandHelp(const Command& command, const std::string& ownOptions,
                        const std::string& commonOptions);
const std::vector<std::string>& commonOptions();

// Renders the JSON of an answer as text for people.
using View = std::function<std::string(const picojson::value&)>;
// Sends a request and prints its answer, or reports the error.
ExitCode sendAndShow(Session& session, const HttpRequest& request, const View& view);
// Prints an answer, rendered by the view or as JSON.
ExitCode show(Session& session, const picojson::value& answer, const View& view);
// Writes the error to the session's error stream and returns the exit code for it.
ExitCode reportError(Session& session, const ClientError& error);
ExitCode reportUsageError(Session& session, const std::string& text);
// Returns the content of a file. If it can't be read, reports that and returns nothing.
std::optional<std::string> readWholeFile(Session& session, const std::string& file);

// Return the commands, grouped by subject.
std::vector<Command> inspectCommands();
std::vector<Command> jobCommands();
std::vector<Command> workerCommands();
std::vector<Command> configCommands();
std::vector<Command> clusterCommands();
std::vector<Command> watchCommands();

}  // namespace aniseline

#endif  // ANISELINE_CLI_COMMAND_HPP
