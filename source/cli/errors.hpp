// Maps errors to exit codes and renders them as text for people or as JSON for programs.
// docs/operations.md 3.
#ifndef ANISELINE_CLI_ERRORS_HPP
#define ANISELINE_CLI_ERRORS_HPP
#include "net/gateway_client.hpp"

namespace aniseline {

enum class ExitCode : int {
  success = 0,
  usage = 2,       // wrong arguments, options or files; nothing was sent
  rejected = 3,    // the content or the request is not valid
  notFound = 4,    // the requested object does not exist
  unknown = 5,     // no answer: the request may or may not have taken effect
  conflict = 6,    // a newer version or different content exists
  overloaded = 7,  // rejected for now; retry later
};

ExitCode exitCodeOf(const ClientError& error);
// Returns one line for the error, or a line for each of several details.
std::string errorText(const ClientError& error);
// Returns the JSON of the answer, or else an object with the same fields made from the error.
std::string errorJson(const ClientError& error);
// Renders the errors found in a file: a line for each that starts with `where`, or JSON.
std::string errorText(const std::string& where, const CoreError& error);
std::string errorJson(const CoreError& error);

}  // namespace aniseline

#endif  // ANISELINE_CLI_ERRORS_HPP
