// Logs: one JSON object a line on standard error. docs/operations.md 5.
#ifndef ANISELINE_NET_LOG_HPP
#define ANISELINE_NET_LOG_HPP
#include "state/api_request.hpp"

namespace aniseline {

enum class LogLevel { debug, info, warning, error };
void startLog(const std::string& program, const std::string& who, bool quiet = false);
void log(LogLevel level, const std::string& what, picojson::object fields = {});

}  // namespace aniseline

#endif  // ANISELINE_NET_LOG_HPP
