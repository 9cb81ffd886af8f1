// Serves HTTP/1.1 with JSON bodies, by Boost.Beast on fibers. docs/design.md 9.4.
#ifndef ANISELINE_NET_HTTP_SERVER_HPP
#define ANISELINE_NET_HTTP_SERVER_HPP
#include "net/event_loop.hpp"
#include "net/http_message.hpp"

namespace aniseline {

struct HttpLimits {
  std::size_t maxBodyBytes = 1024 * 1024;
  std::size_t maxConnections = 2000;  // further ones are closed at once
  Duration idleTimeout{30'000};       // of a connection between requests
  Duration requestTimeout{10'000};    // to write one answer
  bool keepHeaders = false;           // hand the request's headers to the handler
};

// Where a server's connections stand. Of a stop it tells what the end of the process cuts.
struct ConnectionPhases {
  std::size_t awaitingRequest = 0;  // nothing of a request was read, or a part of it
  std::size_t handling = 0;         // a whole request was read
  std::size_t writing = 0;          // its answer is being written
};

struct ListenError {
  Address address;
  IoError code;
  std::string text() const { return "can't listen on " + address.value + ": " + code.message(); }
};

// One fiber a connection, all on the thread that calls `listen`. The server has to outlive its
// fibers: it is stopped, and its connections have ended, before it is destroyed; or it ends with
// the process.
class HttpServer {
 public:
  // Answers one request; what it throws is answered with status 400.
  using Handler = std::function<ApiResponse(const HttpRequest&)>;
  HttpServer(EventLoop& loop, HttpLimits limits, Handler handler)
      : loop(loop), limits(limits), handler(std::move(handler)) {}
  // `shared`: other threads' servers listen at the same address.
  std::optional<ListenError> listen(const Address& address, bool shared = false);
  // Takes no more connections; each open one ends after the request that it is at.
  void stop();
  std::size_t connectionCount() const { return connections; }
  ConnectionPhases phases() const {
    return {connections - handling - writing, std::size_t(handling), std::size_t(writing)};
  }

 private:
  void acceptConnections(const std::shared_ptr<tcp::acceptor>& listening);
  void serveConnection(tcp::socket socket);

  EventLoop& loop;
  HttpLimits limits;
  Handler handler;
  std::shared_ptr<tcp::acceptor> acceptor;
  std::atomic<std::size_t> connections{0};
  std::atomic<std::size_t> handling{0}, writing{0};  // of these
  bool stopping = false;
};

}  // namespace aniseline

#endif  // ANISELINE_NET_HTTP_SERVER_HPP
