// Opens the listening sockets of the daemons and logs failures in a common form.
// docs/operations.md 5.
#ifndef ANISELINE_DAEMONS_LISTENING_HPP
#define ANISELINE_DAEMONS_LISTENING_HPP
#include "net/http_server.hpp"

namespace aniseline {

void logListenFailure(const ListenError& error);
// Starts listening and returns true, or logs the failure and returns false. `shared` allows other
// threads to listen on the same address.
bool listenOrLog(HttpServer& server, const Address& address, bool shared = false);

}  // namespace aniseline

#endif  // ANISELINE_DAEMONS_LISTENING_HPP
