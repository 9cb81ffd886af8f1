// HTTP/1.1 with JSON, outward, by Boost.Beast on fibers. docs/design.md 9.4.
#ifndef ANISELINE_NET_HTTP_HPP
#define ANISELINE_NET_HTTP_HPP
#include "net/event_loop.hpp"
#include "state/api_request.hpp"

namespace aniseline {

struct HttpError {
  enum class Kind { unreachable, connectionLost, timedOut } kind = Kind::unreachable;
  std::string text;
};
struct HttpRequest {
  std::string method, target, body;
  std::vector<std::pair<std::string, std::string>>
      headers{};  // of the header, names in small letters
  std::string header(const std::string& name) const {
    for (const auto& [known, value] : headers)
      if (known == name)
        return value;
    return "";
  }
};

struct HttpLimits {
  std::size_t maxBodyBytes = 1024 * 1024;
  std::size_t maxConnections = 2000;
  Duration idleTimeout{30'000};
  Duration requestTimeout{10'000};  // to read one request or write one answer
  bool keepHeaders = false;         // hand the header's fields to the handler
};

// Serves until told to stop; one fiber a connection, all on the thread that calls serve().
class HttpServer {
 public:
  using Handler = std::function<ApiResponse(const HttpRequest&)>;
  HttpServer(EventLoop& loop, HttpLimits limits, Handler handler)
      : loop(loop), limits(limits), handler(std::move(handler)) {}
  Result<bool, HttpError> listen(const Address& address, bool shared);
  void stop();
  std::size_t connectionCount() const { return connections; }

 private:
  void serveConnection(tcp::socket socket);
  EventLoop& loop;
  HttpLimits limits;
  Handler handler;
  std::shared_ptr<tcp::acceptor> acceptor;
  std::atomic<std::size_t> connections{0};
  bool stopping = false;
};

struct HttpResponse {
  int status = 0;
  std::string body;
  Duration retryAfter{0};
};

// GET /v1/contacts[?zone=A], which gateways and controllers answer alike; nothing if the request is
// another. docs/design.md 9.5.
std::optional<ApiResponse> answerContactsRequest(const HttpRequest& request,
                                                 const LeaderRoute& view);

// Carries a request's number on its connection; the answer repeats it. docs/design.md 9.3.
constexpr const char* requestNumberHeader = "Request-Number";

// Asks one address at a time and keeps the connection for the next call. What ties an answer to its
// request: the connection is used by one call at a time, is kept only after a whole answer with
// nothing behind it, and our own servers repeat the request's number.
class HttpClient {
 public:
  explicit HttpClient(EventLoop& loop) : loop(loop) {}
  ~HttpClient();
  // An error of kind `unreachable` means that nothing was sent. Only a GET is ever sent twice.
  Result<HttpResponse, HttpError> send(const Address& address, const HttpRequest& request,
                                       Duration within);

 private:
  struct Connection;
  using Deadline = std::chrono::steady_clock::time_point;
  std::shared_ptr<Connection> takeIdleConnection(const Address& address);
  Result<std::shared_ptr<Connection>, HttpError> connect(const Address& address, Duration within);
  Result<HttpResponse, HttpError> exchange(const std::shared_ptr<Connection>& connection,
                                           const HttpRequest& request, Deadline deadline);
  EventLoop& loop;
  std::shared_ptr<Connection> idleConnection;  // of no call at present
  std::uint64_t lastRequestNumber = 0;
};

// The controllers that the process at an outer address knows of; none if it knows none or is
// silent.
std::vector<Address> fetchControllers(EventLoop& loop, const Address& seed);

}  // namespace aniseline

#endif  // ANISELINE_NET_HTTP_HPP
