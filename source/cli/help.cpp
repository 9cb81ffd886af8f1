#include "cli/command.hpp"

namespace aniseline {

namespace {

std::string usageOf(const Command& command) {
  return command.name + (command.arguments.empty() ? "" : " " + command.arguments);
}

constexpr const char* codes =
    "Exit codes: 0 done, 2 wrong words, 3 refused, 4 missing, 5 unknown (ask again), 6 conflict, 7 "
    "overloaded (ask later).\n";

}  // namespace

std::string generalHelp(const std::string& options) {
  std::size_t width = 0;
  for (const auto& command : allCommands())
    width = std::max(width, usageOf(command).size());
  std::string text =
      "aniselinectl: the operators' command line of aniseline.\n\naniselinectl [OPTIONS] COMMAND; "
      "`aniselinectl COMMAND --help` says more.\n\n";
  for (const auto& command : allCommands())
    text += "  " + usageOf(command) + std::string(width + 2 - usageOf(command).size(), ' ') +
            command.purpose + "\n";
  return text + "\nFor all commands:\n" + options + "\n" + codes;
}

std::string commandHelp(const Command& command, const std::string& ownOptions,
                        const std::string& common) {
  return "aniselinectl " + usageOf(command) + "\n\n" + command.purpose + ".\n" +
         (command.details.empty() ? "" : command.details + "\n") +
         (command.options.empty() ? "" : "\nOptions:\n" + ownOptions) + "\nFor all commands:\n" +
         common + "\n" + codes;
}

}  // namespace aniseline
