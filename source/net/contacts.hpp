// Implements GET /v1/contacts[?zone=A], which lists the gateways and controllers. Gateways and
// controllers give the same response. docs/design.md 9.5.
#ifndef ANISELINE_NET_CONTACTS_HPP
#define ANISELINE_NET_CONTACTS_HPP
#include "net/http_client.hpp"

namespace aniseline {

// Returns the response with the addresses of `route`, or nothing if this is not a contacts request.
std::optional<ApiResponse> answerContactsRequest(const HttpRequest& request,
                                                 const LeaderRoute& route);

// Returns the gateways in a contacts response, the preferred ones first; none if the response is
// not a valid contacts response.
std::vector<Address> gatewaysIn(const HttpResponse& answer);

// Asks the process at an HTTP address for the controllers that it knows; returns none if it knows
// none or does not answer.
std::vector<Address> fetchControllers(EventLoop& loop, const Address& seed);

}  // namespace aniseline

#endif  // ANISELINE_NET_CONTACTS_HPP
