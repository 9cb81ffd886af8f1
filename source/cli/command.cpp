// Looks up and runs commands, and prints their answers and errors.
#include "cli/command.hpp"
#include "base/json.hpp"
#include "cli/table.hpp"
#include <fstream>
#include <iostream>
#include <iterator>

namespace aniseline {

namespace {

constexpr std::size_t maxRepeatedArguments = 100;  // limit for a command that takes any number

std::size_t countArguments(const std::string& text) {
  std::istringstream stream(text);
  return std::size_t(std::distance(std::istream_iterator<std::string>(stream), {}));
}
std::size_t countRequiredArguments(const std::string& text) {
  std::istringstream stream(text);
  std::size_t count = 0;
  for (std::string word; stream >> word;)
    count += word.front() != '[';
  return count;
}
// Ids are put into the target of a request without escaping, so characters that would change the
// meaning of the target are rejected. No valid id contains them.
bool isSafeInTarget(const std::string& word) {
  return !word.empty() && std::none_of(word.begin(), word.end(), [](char character) {
    return std::uint8_t(character) <= 0x20 || character == 0x7f || std::strchr("/?#%", character);
  });
}
bool isIdArgument(const std::string& argument) {
  return argument == "JOB" || argument == "WORKER" || argument == "CONTROLLER";
}

// Returns why the command can't be run with these arguments and options, or nothing if it can.
std::optional<std::string> findUsageError(const Command& command, const Arguments& arguments,
                                          const std::vector<std::string>& givenOptions) {
  if (arguments.size() < command.minArguments() || arguments.size() > command.maxArguments())
    return "it is: aniselinectl " + command.name + " " + command.arguments;
  std::istringstream argumentNames(command.arguments);
  std::string argument;
  for (const auto& word : arguments) {
    if (argumentNames >> argument && isIdArgument(argument) && !isSafeInTarget(word))
      return "'" + printable(word) + "' can't be an id";
  }
  for (const auto& option : givenOptions) {
    const auto& common = commonOptions();
    if (!std::count(common.begin(), common.end(), option) &&
        !std::count(command.options.begin(), command.options.end(), option))
      return "--" + option + ": is no option of this command";
  }
  return std::nullopt;
}

}  // namespace

std::size_t Command::minArguments() const {
  return countRequiredArguments(arguments);
}
std::size_t Command::maxArguments() const {
  return arguments.ends_with("...") ? maxRepeatedArguments : countArguments(arguments);
}

const std::vector<std::string>& commonOptions() {
  static const std::vector<std::string> names{"gateways", "within-ms", "json"};
  return names;
}

const std::vector<Command>& allCommands() {
  static const std::vector<Command> commands = [] {
    std::vector<Command> all;
    for (auto group : {inspectCommands(), jobCommands(), workerCommands(), configCommands(),
                       clusterCommands(), watchCommands()})
      all.insert(all.end(), group.begin(), group.end());
    return all;
  }();
  return commands;
}

const Command* findCommand(const Arguments& arguments, std::size_t& nameLength) {
  static const std::map<std::string, std::string> aliases{{"list", "jobs"}};
  for (nameLength = std::min<std::size_t>(2, arguments.size()); nameLength > 0; --nameLength) {
    std::string name = nameLength == 2 ? arguments[0] + " " + arguments[1] : arguments[0];
    if (auto alias = aliases.find(name); alias != aliases.end())
      name = alias->second;
    for (const auto& command : allCommands()) {
      if (command.name == name)
        return &command;
    }
  }
  return nullptr;
}

ExitCode runCommandLine(Session& session, const Arguments& commandLine,
                        const std::vector<std::string>& givenOptions) {
  std::size_t nameLength = 0;
  const Command* command = findCommand(commandLine, nameLength);
  if (!command)
    return reportUsageError(session,
                            "the words make no command; `aniselinectl help` lists those that do");
  const Arguments arguments(commandLine.begin() + std::ptrdiff_t(nameLength), commandLine.end());
  std::vector<std::string> ownOptions = givenOptions;
  // The command that `watch` repeats may have its own options.
  if (command->name == "watch") {
    if (const Command* repeated = findCommand(arguments, nameLength))
      std::erase_if(ownOptions, [&](const std::string& option) {
        return std::count(repeated->options.begin(), repeated->options.end(), option) > 0;
      });
  }
  if (auto error = findUsageError(*command, arguments, ownOptions))
    return reportUsageError(session, command->name + ": " + *error);
  if (command->needsGateways && !session.send)
    return reportUsageError(session,
                            "--gateways: is missing, and ANISELINECTL_GATEWAYS is not set");
  return command->run(session, arguments);
}

ExitCode show(Session& session, const picojson::value& answer, const View& view) {
  if (!session.options.json)
    session.out << view(answer);
  else
    session.out << answer.serialize(!session.options.compact)
                << (session.options.compact ? "\n" : "");
  return ExitCode::success;
}
ExitCode sendAndShow(Session& session, const HttpRequest& request, const View& view) {
  auto answer = session.send(request);
  if (!answer)
    return reportError(session, answer.error());
  picojson::value root;
  const std::string& body = answer.value().body;
  if (!parseJson(root, body).empty())
    return reportError(
        session, ClientError{ClientError::Kind::unknown, 0, "the answer is not JSON", Duration{0}});
  return show(session, root, view);
}
ExitCode reportError(Session& session, const ClientError& error) {
  session.err << (session.options.json ? errorJson(error) + "\n" : errorText(error));
  return exitCodeOf(error);
}
ExitCode reportUsageError(Session& session, const std::string& text) {
  session.err << "aniselinectl: " << text << "\n";
  return ExitCode::usage;
}
std::optional<std::string> readWholeFile(Session& session, const std::string& file) {
  std::ifstream stream(file);
  std::string text((std::istreambuf_iterator<char>(stream)), {});
  if (stream.is_open() && !stream.bad())
    return text;
  session.err << "aniselinectl: " << file << ": can't be read\n";
  return std::nullopt;
}

}  // namespace aniseline
