// Implements the logging of listen failures.
#include "daemons/listening.hpp"
#include "net/log.hpp"

namespace aniseline {

void logListenFailure(const ListenError& error) {
  log(LogLevel::error, log_events::listenFailed,
      {{"address", json(error.address.value)},
       {"code", json(codeOf(error.code))},
       {"error", json(error.code.message())}});
}

bool listenOrLog(HttpServer& server, const Address& address, bool shared) {
  const auto error = server.listen(address, shared);
  if (error)
    logListenFailure(*error);
  return !error;
}

}  // namespace aniseline
