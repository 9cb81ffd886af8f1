#include "cli/command.hpp"
#include "cli/table.hpp"
#include <chrono>
#include <iostream>

namespace aniseline {

namespace {

double calendarNow() {
  return double(std::chrono::duration_cast<std::chrono::milliseconds>(
                    std::chrono::system_clock::now().time_since_epoch())
                    .count());
}

// A turn that fails is told and the next one is taken; the last one's code is the command's.
ExitCode watch(Session& session, const Arguments& arguments) {
  std::size_t nameLength = 0;
  const Command* command = findCommand(arguments, nameLength);
  if (!command || !command->readOnly)
    return reportUsageError(
        session,
        "watch: what it repeats must only look: cluster, workers, plan, queues, "
        "counters, jobs, show JOB or config show");
  session.options.compact = true;
  ExitCode code = ExitCode::success;
  for (std::int64_t turn = 1; turn <= session.options.watchTurns; ++turn) {
    if (turn > 1)
      session.sleep(Duration{session.options.watchIntervalMilliseconds});
    if (session.isTerminal && !session.options.json)
      session.out << "\x1b[H\x1b[2J";
    if (!session.options.json)
      session.out << (turn > 1 && !session.isTerminal ? "\n" : "") << "-- "
                  << formatTime(calendarNow()) << ", " << turn << " of "
                  << session.options.watchTurns << "\n";
    code = runCommandLine(session, arguments, {});
    session.out.flush();
    if (code == ExitCode::usage)
      return code;
  }
  return code;
}

}  // namespace

std::vector<Command> watchCommands() {
  return {{"watch",
           "COMMAND...",
           "repeat a command that only looks",
           "With --json each turn gives one line.",
           {"times", "every-ms"},
           false,
           watch,
           false}};
}

}  // namespace aniseline
