// Logs of the processes: one JSON object a line on standard output. docs/operations.md 5.
#ifndef ANISELINE_NET_LOG_HPP
#define ANISELINE_NET_LOG_HPP
#include "net/event_loop.hpp"
#include "net/log_events.hpp"
#include "state/api_request.hpp"
#include <string_view>

namespace aniseline {

enum class LogLevel { debug, info, warning, error };

// Called once, before the first line. `instance` tells processes of one program apart; `quiet`
// writes nothing.
void startLog(const std::string& program, const std::string& instance, bool quiet = false);
// Writes one line, from any thread. `event` is a name in snake_case; a failure gives its error code
// in the field `code` and its text in `error`.
void log(LogLevel level, std::string_view event, picojson::object fields = {});

// The system's error as a code in logs, as "system:98".
std::string codeOf(const IoError& error);

}  // namespace aniseline

#endif  // ANISELINE_NET_LOG_HPP
