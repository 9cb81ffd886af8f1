// Chooses exit codes by HTTP status and kind, and formats the details of an error body.
#include "cli/errors.hpp"
#include "base/json.hpp"
#include "cli/table.hpp"

namespace aniseline {

namespace {

std::optional<picojson::value> parseErrorBody(const ClientError& error) {
  picojson::value root;
  if (!parseJson(root, error.text).empty() || !jsonField(root, "text").is<std::string>())
    return std::nullopt;
  return root;
}

}  // namespace

ExitCode exitCodeOf(const ClientError& error) {
  switch (error.status) {
    case 404:
      return ExitCode::notFound;
    case 409:
    case 412:
      return ExitCode::conflict;
    case 429:
      return ExitCode::overloaded;
  }
  switch (error.kind) {
    case ClientError::Kind::notFound:
      return ExitCode::notFound;
    case ClientError::Kind::unknown:
      return ExitCode::unknown;
    case ClientError::Kind::rejected:
      return ExitCode::rejected;
  }
  return ExitCode::rejected;
}

std::string errorText(const ClientError& error) {
  const std::string status = error.status ? std::to_string(error.status) + " " : "";
  const auto root = parseErrorBody(error);
  if (!root)
    return "aniselinectl: " + status + printable(error.text) + "\n";
  std::string text =
      "aniselinectl: " + status + printable(textField(*root, "error", "error")) + ": ";
  const auto& details = listField(*root, "details");
  if (details.empty())
    return text + printable(textField(*root, "text")) + "\n";
  for (const auto& detail : details) {
    const std::string path = textField(detail, "path", "");
    text += (details.size() > 1 ? "\n  " : "") + (path.empty() ? "" : printable(path) + ": ") +
            printable(textField(detail, "text"));
  }
  return text + "\n";
}
std::string errorJson(const ClientError& error) {
  if (auto root = parseErrorBody(error))
    return root->serialize();
  return json(picojson::object{
                  {"error", json(error.kind == ClientError::Kind::unknown ? "unknown" : "refused")},
                  {"text", json(error.text)}})
      .serialize();
}

std::string errorText(const std::string& where, const CoreError& error) {
  std::string text;
  for (const auto& fault : error.details)
    text += where + ": " + (fault.path.empty() ? "" : fault.path + ": ") + fault.text + "\n";
  return text;
}
std::string errorJson(const CoreError& error) {
  return ApiResponse::fromError(error).body;
}

}  // namespace aniseline
