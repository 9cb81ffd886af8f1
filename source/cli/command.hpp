// The commands of aniselinectl: what each is called, says of itself, takes and does.
// docs/operations.md 3.
#pragma once
#include "cli/outcome.hpp"
#include <iosfwd>

namespace aniseline {

struct Choices {
  bool json = false;
  bool compact = false;  // JSON on one line, as for a program that reads many
  std::string state;
  std::int64_t baseVersion = -1, drainWithin = 30'000, limit = 100, times = 30, every = 1000;
};

// What a command works with; the program gives sockets and streams, tests give canned answers.
struct Session {
  Choices choices;
  std::function<Result<HttpResponse, ClientError>(const HttpRequest&)>
      ask;  // empty: no gateways are given
  std::function<Result<ApiResponse, ClientError>(const Address& peer)> found;
  std::function<void(Duration)> rest;
  std::ostream& out;
  std::ostream& err;
  bool terminal = false;
};

using Words = std::vector<std::string>;

struct Command {
  std::string name;       // of one word or two
  std::string arguments;  // as help shows them; those in brackets may be left out
  std::string purpose;    // one line
  std::string details;
  std::vector<std::string> options;  // beside those that all have
  bool watchable = false;
  ExitCode (*run)(Session&, const Words& arguments) = nullptr;
  bool asks = true;           // through gateways
  std::size_t least() const;  // arguments needed
  std::size_t most() const;
};

const std::vector<Command>& allCommands();
// The command that the words begin with, and how many of them are its name.
const Command* commandOf(const Words& words, std::size_t& taken);

// Runs what the words say. `given` names the options of the command line: one that the command does
// not have is a fault.
ExitCode runWords(Session& session, const Words& words, const std::vector<std::string>& given);

std::string generalHelp(const std::string& options);
std::string commandHelp(const Command& command, const std::string& ownOptions,
                        const std::string& commonOptions);
const std::vector<std::string>& commonOptions();

// Asks, and shows the answer as a table or as JSON, or the error.
using View = std::function<std::string(const picojson::value&)>;
ExitCode askAndShow(Session& session, const HttpRequest& request, const View& view);
ExitCode show(Session& session, const picojson::value& answer, const View& view);
ExitCode fail(Session& session, const ClientError& error);
ExitCode failUsage(Session& session, const std::string& text);
std::optional<std::string> readWhole(Session& session, const std::string& file);

// By subject.
std::vector<Command> lookCommands();
std::vector<Command> jobCommands();
std::vector<Command> workerCommands();
std::vector<Command> configCommands();
std::vector<Command> clusterCommands();
std::vector<Command> watchCommands();

}  // namespace aniseline
