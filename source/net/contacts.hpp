// GET /v1/contacts[?zone=A]: which gateways and controllers there are. Gateways and controllers
// answer alike. docs/design.md 9.5.
#ifndef ANISELINE_NET_CONTACTS_HPP
#define ANISELINE_NET_CONTACTS_HPP
#include "net/http_client.hpp"

namespace aniseline {

// The answer by a route; nothing if the request is another.
std::optional<ApiResponse> answerContactsRequest(const HttpRequest& request,
                                                 const LeaderRoute& route);

// The gateways of a contacts answer, the preferred first; none if it is no such answer.
std::vector<Address> gatewaysIn(const HttpResponse& answer);

// The controllers that the process at an outer address knows of; none if it knows none or is
// silent.
std::vector<Address> fetchControllers(EventLoop& loop, const Address& seed);

}  // namespace aniseline

#endif  // ANISELINE_NET_CONTACTS_HPP
