// The command that repeats a read-only command at an interval.
#include "cli/command.hpp"
#include "cli/table.hpp"
#include <chrono>
#include <iostream>

namespace aniseline {

namespace {

double wallClockMilliseconds() {
  return double(std::chrono::duration_cast<std::chrono::milliseconds>(
                    std::chrono::system_clock::now().time_since_epoch())
                    .count());
}

// Goes on after a failed repetition, which has reported its error. Returns the exit code of the
// last one.
ExitCode watch(Session& session, const Arguments& arguments) {
  std::size_t nameLength = 0;
  const Command* command = findCommand(arguments, nameLength);
  if (!command || !command->readOnly)
    return reportUsageError(
        session,
        "watch: the repeated command must only look: cluster, workers, plan, queues, "
        "counters, jobs, show JOB or config show");
  session.options.compact = true;
  ExitCode code = ExitCode::success;
  for (std::int64_t repetition = 1; repetition <= session.options.watchRepetitions; ++repetition) {
    if (repetition > 1)
      session.sleep(Duration{session.options.watchIntervalMilliseconds});
    if (session.isTerminal && !session.options.json)
      session.out << "\x1b[H\x1b[2J";
    if (!session.options.json)
      session.out << (repetition > 1 && !session.isTerminal ? "\n" : "") << "-- "
                  << formatTime(wallClockMilliseconds()) << ", " << repetition << " of "
                  << session.options.watchRepetitions << "\n";
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
           "repeat a read-only command",
           "With --json each repetition prints one line.",
           {"times", "every-ms"},
           false,
           watch,
           false}};
}

}  // namespace aniseline
