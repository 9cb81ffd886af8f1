#include "net/log.hpp"
#include <date/date.h>
#include <easylogging++.h>

INITIALIZE_EASYLOGGINGPP

namespace aniseline {

namespace {
std::string programName, whoName;
}

void startLog(const std::string& program, const std::string& who, bool quiet) {
  programName = program;
  whoName = who;
  el::Configurations configurations;
  configurations.setToDefault();
  configurations.setGlobally(el::ConfigurationType::Format, "%msg");
  configurations.setGlobally(el::ConfigurationType::ToFile, "false");
  configurations.setGlobally(el::ConfigurationType::ToStandardOutput, quiet ? "false" : "true");
  el::Loggers::reconfigureAllLoggers(configurations);
}

void log(LogLevel level, const std::string& what, picojson::object fields) {
  fields["at"] = json(date::format(
      "%FT%TZ", date::floor<std::chrono::milliseconds>(std::chrono::system_clock::now())));
  fields["what"] = json(what);
  fields["program"] = json(programName);
  if (!whoName.empty())
    fields["who"] = json(whoName);
  static const char* const levels[] = {"debug", "info", "warning", "error"};
  fields["level"] = json(levels[int(level)]);
  const std::string line = picojson::value(fields).serialize();
  if (level == LogLevel::error)
    LOG(ERROR) << line;
  else if (level == LogLevel::warning)
    LOG(WARNING) << line;
  else if (level == LogLevel::info)
    LOG(INFO) << line;
  else
    LOG(DEBUG) << line;
}

}  // namespace aniseline
