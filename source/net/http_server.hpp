// Serves HTTP/1.1 with JSON bodies, using Boost.Beast on fibers. docs/design.md 9.4.
//
// Owns the listening socket and the stages of a graceful shutdown; each connection is served by an
// HttpConnection. Called by the daemons.
#ifndef ANISELINE_NET_HTTP_SERVER_HPP
#define ANISELINE_NET_HTTP_SERVER_HPP
#include "net/event_loop.hpp"
#include "net/http_message.hpp"

namespace aniseline {

class HttpConnection;

struct HttpLimits {
  std::size_t maxBodyBytes = 1024 * 1024;
  std::size_t maxConnections = 2000;  // additional connections get status 503
  Duration idleTimeout{30'000};       // limit for waiting for a request, and for reading it
  Duration requestTimeout{10'000};    // limit for writing one response
  bool keepHeaders = false;           // pass the request headers to the handler
  // Reject POST, PUT and PATCH requests whose client has closed its side of the connection by the
  // time the request was read. See HttpConnection::isAbandoned().
  bool rejectAbandonedChanges = false;
};

struct ListenError {
  Address address;
  IoError code;
  std::string text() const { return "can't listen on " + address.value + ": " + code.message(); }
};

// The number of open connections by state.
struct ConnectionCounts {
  std::size_t idle = 0;       // waiting for the first byte of a request
  std::size_t answering = 0;  // a request was read and its response is not written yet
  std::size_t other = 0;      // reading the rest of a request, or waiting for the client to close
  std::size_t all() const { return idle + answering + other; }
  ConnectionCounts& operator+=(const ConnectionCounts& more) {
    idle += more.idle;
    answering += more.answering;
    other += more.other;
    return *this;
  }
};

// Uses one fiber to accept connections and one fiber per connection, all on the thread that calls
// `listen`; all members must be called on that thread. The server must outlive its connections:
// destroy it only after they have ended, or keep it until the process exits.
class HttpServer {
 public:
  // The stages of a shutdown, in order. A connection that a response has left open is still served
  // in the later stages, until it is closed by `closeIdleConnections` or its idle timeout.
  enum class Stage : std::uint8_t {
    serving,
    draining,  // a response announces the close unless more requests have arrived on the connection
    stopped,   // like draining, and no new connections are accepted
    closing    // every response announces the close
  };
  // Answers one request. An exception results in a response with status 400.
  using Handler = std::function<ApiResponse(const HttpRequest&)>;
  HttpServer(EventLoop& loop, HttpLimits limits, Handler handler)
      : loop(loop), limits(limits), handler(std::move(handler)) {}
  // Stops listening and waits for the accepting fiber to end.
  ~HttpServer();
  HttpServer(const HttpServer&) = delete;
  HttpServer& operator=(const HttpServer&) = delete;
  // Starts to listen. With `shared` the servers of other threads may listen on the same address.
  std::optional<ListenError> listen(const Address& address, bool shared = false);
  // Enters the stage `draining`.
  void drain();
  // Accepts the connections in the listen backlog, then stops listening.
  void stop();
  // Closes the connections that have been idle for at least this long; the others end after their
  // current request.
  void closeIdleConnections(Duration minIdleTime);
  std::size_t connectionCount() const { return connections.size(); }
  ConnectionCounts counts() const;

 private:
  void acceptConnections(const std::shared_ptr<tcp::acceptor>& listening);
  void acceptBacklog();
  void startConnection(tcp::socket socket);

  EventLoop& loop;
  HttpLimits limits;
  Handler handler;
  std::shared_ptr<tcp::acceptor> acceptor;
  boost::fibers::fiber acceptFiber;
  std::set<HttpConnection*> connections;  // each is owned by its fiber
  Stage stage = Stage::serving;
};

}  // namespace aniseline

#endif  // ANISELINE_NET_HTTP_SERVER_HPP
