#include "cli/command.hpp"
#include "base/json.hpp"
#include "cli/table.hpp"
#include <fstream>
#include <iostream>
#include <iterator>

namespace aniseline {

namespace {

constexpr std::size_t maxRepeatedArguments = 100;  // of a command that takes any number

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
// Ids stand in a request's target as they are; no id of ours holds what would change the target's
// meaning.
bool fitsTarget(const std::string& word) {
  return !word.empty() && std::none_of(word.begin(), word.end(), [](char letter) {
    return std::uint8_t(letter) <= 0x20 || letter == 0x7f || std::strchr("/?#%", letter);
  });
}
bool namesId(const std::string& argument) {
  return argument == "JOB" || argument == "WORKER" || argument == "CONTROLLER";
}

// Why the command can't be run with these; nothing if it can.
std::optional<std::string> usageErrorOf(const Command& command, const Arguments& arguments,
                                        const std::vector<std::string>& givenOptions) {
  if (arguments.size() < command.minArguments() || arguments.size() > command.maxArguments())
    return "it is: aniselinectl " + command.name + " " + command.arguments;
  std::istringstream shape(command.arguments);
  std::string argument;
  for (const auto& word : arguments) {
    if (shape >> argument && namesId(argument) && !fitsTarget(word))
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
    for (auto part : {inspectCommands(), jobCommands(), workerCommands(), configCommands(),
                      clusterCommands(), watchCommands()})
      all.insert(all.end(), part.begin(), part.end());
    return all;
  }();
  return commands;
}

const Command* findCommand(const Arguments& arguments, std::size_t& nameLength) {
  static const std::map<std::string, std::string> otherNames{{"list", "jobs"}};
  for (nameLength = std::min<std::size_t>(2, arguments.size()); nameLength > 0; --nameLength) {
    std::string name = nameLength == 2 ? arguments[0] + " " + arguments[1] : arguments[0];
    if (auto other = otherNames.find(name); other != otherNames.end())
      name = other->second;
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
  // What `watch` repeats has options of its own.
  if (command->name == "watch") {
    if (const Command* repeated = findCommand(arguments, nameLength))
      std::erase_if(ownOptions, [&](const std::string& option) {
        return std::count(repeated->options.begin(), repeated->options.end(), option) > 0;
      });
  }
  if (auto error = usageErrorOf(*command, arguments, ownOptions))
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
