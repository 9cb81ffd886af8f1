// Extracts the bearer token from the Authorization header.
#include "net/http_authorization.hpp"
#include <boost/algorithm/string/predicate.hpp>
#include <boost/algorithm/string/trim.hpp>

namespace aniseline {

ApiKeyDigest apiKeyOf(const HttpRequest& request) {
  constexpr std::string_view scheme = "Bearer ";
  const std::string credentials = boost::algorithm::trim_copy(request.header("authorization"));
  if (!boost::algorithm::istarts_with(credentials, scheme))
    return ApiKeyDigest{};
  return ApiKeyDigest::of(boost::algorithm::trim_copy(credentials.substr(scheme.size())));
}

}  // namespace aniseline
