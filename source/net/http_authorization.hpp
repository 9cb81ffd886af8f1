// Reads the API key of an HTTP request, which is a bearer token (RFC 6750). Called by gateways,
// which forward only the key's digest. docs/api.md 1.
#ifndef ANISELINE_NET_HTTP_AUTHORIZATION_HPP
#define ANISELINE_NET_HTTP_AUTHORIZATION_HPP
#include "net/http_message.hpp"
#include "state/tenants.hpp"

namespace aniseline {

/// Returns the digest of the API key, or a default digest if the request has no bearer token. The
/// scheme name is matched case-insensitively.
ApiKeyDigest apiKeyOf(const HttpRequest& request);

}  // namespace aniseline

#endif  // ANISELINE_NET_HTTP_AUTHORIZATION_HPP
