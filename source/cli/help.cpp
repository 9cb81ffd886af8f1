// Builds the help texts of aniselinectl.
#include "cli/command.hpp"

namespace aniseline {

namespace {

std::string commandUsage(const Command& command) {
  return command.name + (command.arguments.empty() ? "" : " " + command.arguments);
}

constexpr const char* exitCodeHelp =
    "Exit codes: 0 success, 2 usage error, 3 rejected, 4 not found, 5 outcome unknown (retry), 6 "
    "conflict, 7 overloaded (retry later).\n";

}  // namespace

std::string generalHelp(const std::string& options) {
  std::size_t width = 0;
  for (const auto& command : allCommands())
    width = std::max(width, commandUsage(command).size());
  std::string text =
      "aniselinectl: command-line tool for operators of aniseline.\n\naniselinectl [OPTIONS] "
      "COMMAND; "
      "see `aniselinectl COMMAND --help` for details.\n\n";
  for (const auto& command : allCommands())
    text += "  " + commandUsage(command) +
            std::string(width + 2 - commandUsage(command).size(), ' ') + command.purpose + "\n";
  return text + "\nOptions for all commands:\n" + options + "\n" + exitCodeHelp;
}

std::string commandHelp(const Command& command, const std::string& ownOptions,
                        const std::string& common) {
  return "aniselinectl " + commandUsage(command) + "\n\n" + command.purpose + ".\n" +
         (command.details.empty() ? "" : command.details + "\n") +
         (command.options.empty() ? "" : "\nOptions:\n" + ownOptions) +
         "\nOptions for all commands:\n" + common + "\n" + exitCodeHelp;
}

}  // namespace aniseline
