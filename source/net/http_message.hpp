// HTTP requests, responses and errors as aniseline's own servers and clients represent them.
// docs/design.md 9.4.
#ifndef ANISELINE_NET_HTTP_MESSAGE_HPP
#define ANISELINE_NET_HTTP_MESSAGE_HPP
#include "state/api_request.hpp"

namespace aniseline {

struct HttpError {
  enum class Kind {
    unreachable,     // nothing was sent
    connectionLost,  // the request was sent at least in part; no response will arrive
    timedOut         // no response arrived in time
  } kind = Kind::unreachable;
  std::string text;
};
// Returns the error's code for logs, in snake_case.
inline const char* name(HttpError::Kind kind) {
  switch (kind) {
    case HttpError::Kind::unreachable:
      return "unreachable";
    case HttpError::Kind::connectionLost:
      return "connection_lost";
    case HttpError::Kind::timedOut:
      return "timed_out";
  }
  return "unreachable";
}

struct HttpRequest {
  std::string method;
  std::string target;  // path and query
  std::string body;
  std::vector<std::pair<std::string, std::string>> headers{};  // names in lower case
  // Returns the value of the first header with this name, or an empty string if there is none.
  std::string header(const std::string& name) const {
    for (const auto& [known, value] : headers) {
      if (known == name)
        return value;
    }
    return "";
  }
};

struct HttpResponse {
  int status = 0;
  std::string body;
  Duration retryAfter{0};  // 0 if the response does not specify it
};

// Carries the number of a request on its connection; the response echoes it. docs/design.md 9.3.
constexpr const char* requestNumberHeader = "Request-Number";
// The retry delay in milliseconds; sent in addition to Retry-After, which is in whole seconds.
constexpr const char* retryAfterMillisecondsHeader = "Retry-After-Ms";

}  // namespace aniseline

#endif  // ANISELINE_NET_HTTP_MESSAGE_HPP
