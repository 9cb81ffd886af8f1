// Fuzzes the parsing of HTTP API requests. Input: a line `METHOD TARGET`, then the body.
#include "state/api_request.hpp"
#include "fuzz.hpp"

using namespace aniseline;

FUZZ_TARGET(bytes) {
  std::string body = bytes;
  const std::string method = takeUntilDelimiter(body, ' '), target = takeUntilDelimiter(body, '\n');
  auto request = ApiRequest::parse(method, target, body);
  (void)SyncResponse::parse(body);
  if (!request)
    return require(!request.error().details.empty());
  const std::string packed = pack(request.value());
  require(unpack<ApiRequest>(packed).has_value());
}
