// Exit codes by kind, and errors as people or programs read them. docs/operations.md 3.
#ifndef ANISELINE_CLI_ERRORS_HPP
#define ANISELINE_CLI_ERRORS_HPP
#include "net/gateway_client.hpp"

namespace aniseline {

enum class ExitCode : int {
  success = 0,
  usage = 2,       // the words, options or files are wrong; nothing was asked
  rejected = 3,    // the content or the order is not valid
  notFound = 4,    // there is no such thing
  unknown = 5,     // no answer: it may or may not have been taken
  conflict = 6,    // something newer or other stands there
  overloaded = 7,  // turned away for now; ask again later
};

ExitCode exitCodeOf(const ClientError& error);
// One line, and one for each detail.
std::string errorText(const ClientError& error);
// The answer's own JSON, or one made of the same fields.
std::string errorJson(const ClientError& error);
std::string errorText(const std::string& where, const CoreError& error);
std::string errorJson(const CoreError& error);

}  // namespace aniseline

#endif  // ANISELINE_CLI_ERRORS_HPP
