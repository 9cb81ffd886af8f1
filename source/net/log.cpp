// Writes log lines with Easylogging++.
#include "net/log.hpp"
#include <date/date.h>
#include <easylogging++.h>

INITIALIZE_EASYLOGGINGPP

namespace aniseline {

namespace {

// Set once by startLog, before other threads log.
std::string programName;
std::string instanceName;

const char* name(LogLevel level) {
  switch (level) {
    case LogLevel::debug:
      return "debug";
    case LogLevel::info:
      return "info";
    case LogLevel::warning:
      return "warning";
    case LogLevel::error:
      return "error";
  }
  return "error";
}

void write(LogLevel level, const std::string& line) {
  switch (level) {
    case LogLevel::debug:
      LOG(DEBUG) << line;
      break;
    case LogLevel::info:
      LOG(INFO) << line;
      break;
    case LogLevel::warning:
      LOG(WARNING) << line;
      break;
    case LogLevel::error:
      LOG(ERROR) << line;
      break;
  }
}

}  // namespace

void startLog(const std::string& program, const std::string& instance, bool quiet) {
  programName = program;
  instanceName = instance;
  el::Configurations configurations;
  configurations.setToDefault();
  configurations.setGlobally(el::ConfigurationType::Format, "%msg");
  configurations.setGlobally(el::ConfigurationType::ToFile, "false");
  configurations.setGlobally(el::ConfigurationType::ToStandardOutput, quiet ? "false" : "true");
  el::Loggers::reconfigureAllLoggers(configurations);
}

void log(LogLevel level, std::string_view event, picojson::object fields) {
  fields["at"] = json(date::format(
      "%FT%TZ", date::floor<std::chrono::milliseconds>(std::chrono::system_clock::now())));
  fields["event"] = json(std::string(event));
  fields["program"] = json(programName);
  if (!instanceName.empty())
    fields["instance"] = json(instanceName);
  fields["level"] = json(name(level));
  write(level, picojson::value(fields).serialize());
}

std::string codeOf(const IoError& error) {
  return std::string(error.category().name()) + ":" + std::to_string(error.value());
}

}  // namespace aniseline
