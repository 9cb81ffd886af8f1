// Serves HTTP/1.1 with JSON bodies, by Boost.Beast on fibers. docs/design.md 9.4.
//
// Responsible for the listening socket and for the stages of a shutdown; each connection is served
// by an HttpConnection. Called by the daemons.
#ifndef ANISELINE_NET_HTTP_SERVER_HPP
#define ANISELINE_NET_HTTP_SERVER_HPP
#include "net/event_loop.hpp"
#include "net/http_message.hpp"

namespace aniseline {

class HttpConnection;

struct HttpLimits {
  std::size_t maxBodyBytes = 1024 * 1024;
  std::size_t maxConnections = 2000;  // further ones are rejected with status 503
  Duration idleTimeout{30'000};       // of a connection between requests
  Duration requestTimeout{10'000};    // to write one answer
  bool keepHeaders = false;           // hand the request's headers to the handler
};

struct ListenError {
  Address address;
  IoError code;
  std::string text() const { return "can't listen on " + address.value + ": " + code.message(); }
};

// Open connections by what they wait for.
struct ConnectionCounts {
  std::size_t idle = 0;       // the first byte of a request
  std::size_t answering = 0;  // a whole request was read, its answer is not written yet
  std::size_t other = 0;      // the rest of a request, or the client's end
  std::size_t all() const { return idle + answering + other; }
  ConnectionCounts& operator+=(const ConnectionCounts& more) {
    idle += more.idle;
    answering += more.answering;
    other += more.other;
    return *this;
  }
};

// One fiber accepts and one serves each connection, all on the thread that calls `listen`;
// everything is called there. The server has to outlive its connections: they have ended before it
// is destroyed; or it ends with the process.
class HttpServer {
 public:
  // A shutdown goes from one stage to the next; none breaks a promise of the one before.
  enum class Stage : std::uint8_t {
    serving,
    draining,  // answers announce the close, unless further requests have come on their connection
    stopped,   // and no new connections are taken
    closing    // every answer announces the close
  };
  // Answers one request; what it throws is answered with status 400.
  using Handler = std::function<ApiResponse(const HttpRequest&)>;
  HttpServer(EventLoop& loop, HttpLimits limits, Handler handler)
      : loop(loop), limits(limits), handler(std::move(handler)) {}
  // Stops, and waits for the fiber that accepts.
  ~HttpServer();
  HttpServer(const HttpServer&) = delete;
  HttpServer& operator=(const HttpServer&) = delete;
  // `shared`: other threads' servers listen at the same address.
  std::optional<ListenError> listen(const Address& address, bool shared = false);
  void drain();
  // What waits in the listener's backlog is taken first.
  void stop();
  // Ends the connections on which no byte of a request has come for so long; the others end after
  // the request that they are at.
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
  std::set<HttpConnection*> connections;  // each owned by its fiber
  Stage stage = Stage::serving;
};

}  // namespace aniseline

#endif  // ANISELINE_NET_HTTP_SERVER_HPP
