// Requests, answers and errors of HTTP, as our servers and clients hand them out.
// docs/design.md 9.4.
#ifndef ANISELINE_NET_HTTP_MESSAGE_HPP
#define ANISELINE_NET_HTTP_MESSAGE_HPP
#include "state/api_request.hpp"

namespace aniseline {

struct HttpError {
  enum class Kind {
    unreachable,     // nothing was sent
    connectionLost,  // it was sent, or a part of it; no answer will come
    timedOut         // no answer in time
  } kind = Kind::unreachable;
  std::string text;
};
// The error's code in logs, in snake_case.
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
  std::vector<std::pair<std::string, std::string>> headers{};  // names in small letters
  // The first header of that name; empty if there is none.
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
  Duration retryAfter{0};  // 0: the answer does not say
};

// Carries a request's number on its connection; the answer repeats it. docs/design.md 9.3.
constexpr const char* requestNumberHeader = "Request-Number";
// Beside Retry-After, whose unit is a second.
constexpr const char* retryAfterMillisecondsHeader = "Retry-After-Ms";

}  // namespace aniseline

#endif  // ANISELINE_NET_HTTP_MESSAGE_HPP
