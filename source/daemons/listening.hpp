// Listening sockets of the daemons: a failure is logged in one form. docs/operations.md 5.
#ifndef ANISELINE_DAEMONS_LISTENING_HPP
#define ANISELINE_DAEMONS_LISTENING_HPP
#include "net/http_server.hpp"

namespace aniseline {

void logListenFailure(const ListenError& error);
// Has the server listen; a failure is logged. `shared`: other threads listen at the same address.
bool listenOrLog(HttpServer& server, const Address& address, bool shared = false);

}  // namespace aniseline

#endif  // ANISELINE_DAEMONS_LISTENING_HPP
