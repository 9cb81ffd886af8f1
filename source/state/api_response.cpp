// Construction of API responses, and the HTTP status and retry delay of each error.
#include "state/api_response.hpp"
#include "base/json.hpp"

namespace aniseline {

namespace {

constexpr Duration unknownOutcomeRetryDelay{500};
constexpr Duration notAppliedRetryDelay{300};
constexpr Duration overloadedRetryDelay{1000};

struct ErrorResponse {
  int status;
  const char* errorKind;
  Duration retryAfter{0};
};

ErrorResponse errorResponseFor(CoreError::Kind kind) {
  switch (kind) {
    case CoreError::Kind::invalid:
      break;
    case CoreError::Kind::conflict:
      return {409, "conflict"};
    case CoreError::Kind::overloaded:
      return {429, "overloaded", overloadedRetryDelay};
    case CoreError::Kind::notFound:
      return {404, "missing"};
    case CoreError::Kind::outcomeUnknown:
      return {503, "unknown", unknownOutcomeRetryDelay};
    case CoreError::Kind::gone:
      return {410, "gone"};
  }
  return {400, "invalid"};
}

}  // namespace

ApiResponse ApiResponse::of(int status, const picojson::object& body) {
  ApiResponse response;
  response.status = status;
  response.body = picojson::value(body).serialize();
  return response;
}

ApiResponse ApiResponse::error(int status, const std::string& errorKind, const std::string& text,
                               Duration retryAfter) {
  ApiResponse response = of(status, {{"error", json(errorKind)}, {"text", json(text)}});
  response.retryAfter = retryAfter;
  response.errorKind = errorKind;
  return response;
}

ApiResponse ApiResponse::outcomeUnknown(const std::string& text) {
  return error(503, "unknown", text, unknownOutcomeRetryDelay);
}

ApiResponse ApiResponse::notApplied(const std::string& text) {
  return error(503, "not_taken", text + "; nothing was taken, ask again", notAppliedRetryDelay);
}

ApiResponse ApiResponse::fromError(const CoreError& error) {
  const ErrorResponse errorResponse = errorResponseFor(error.kind);
  picojson::array details;
  for (const auto& detail : error.details)
    details.push_back(
        json(picojson::object{{"path", json(detail.path)}, {"text", json(detail.text)}}));
  ApiResponse response = of(errorResponse.status, {{"error", json(errorResponse.errorKind)},
                                                   {"text", json(error.text())},
                                                   {"details", json(details)}});
  response.retryAfter = errorResponse.retryAfter;
  response.errorKind = errorResponse.errorKind;
  return response;
}

}  // namespace aniseline
