// Writes log lines to standard output, one JSON object per line. docs/operations.md 5.
#ifndef ANISELINE_NET_LOG_HPP
#define ANISELINE_NET_LOG_HPP
#include "net/event_loop.hpp"
#include "net/log_events.hpp"
#include "state/api_request.hpp"
#include <string_view>

namespace aniseline {

enum class LogLevel { debug, info, warning, error };

// Must be called once, before the first log line. `instance` distinguishes processes of the same
// program; with `quiet` nothing is written.
void startLog(const std::string& program, const std::string& instance, bool quiet = false);
// Writes one line; may be called on any thread. `event` is a name in snake_case. For a failure, the
// field `code` holds the error code and `error` its text.
void log(LogLevel level, std::string_view event, picojson::object fields = {});

// Returns the code of a system error for logs, such as "system:98".
std::string codeOf(const IoError& error);

}  // namespace aniseline

#endif  // ANISELINE_NET_LOG_HPP
