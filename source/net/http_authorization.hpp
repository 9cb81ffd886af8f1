// The API key of an HTTP request: a bearer token (RFC 6750). Read by gateways, which pass on its
// digest only. docs/api.md 1.
#ifndef ANISELINE_NET_HTTP_AUTHORIZATION_HPP
#define ANISELINE_NET_HTTP_AUTHORIZATION_HPP
#include "net/http_message.hpp"
#include "state/tenants.hpp"

namespace aniseline {

/// The digest of the key; not given if the request has no bearer token. The scheme's name may be in
/// any case.
ApiKeyDigest apiKeyOf(const HttpRequest& request);

}  // namespace aniseline

#endif  // ANISELINE_NET_HTTP_AUTHORIZATION_HPP
