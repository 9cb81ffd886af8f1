// Sends HTTP/1.1 requests with Boost.Beast on fibers. docs/design.md 9.4.
#ifndef ANISELINE_NET_HTTP_CLIENT_HPP
#define ANISELINE_NET_HTTP_CLIENT_HPP
#include "net/event_loop.hpp"
#include "net/http_message.hpp"

namespace aniseline {

// Sends one request at a time and keeps the connection open for the next request to the same
// address.
//
// A response is never attributed to another request: a connection serves one request at a time, it
// is reused only after a complete response with no bytes after it, and aniseline's own servers echo
// the request number. All calls must come from fibers of one thread, one call at a time.
class HttpClient {
 public:
  explicit HttpClient(EventLoop& loop) : loop(loop) {}
  ~HttpClient();
  // Sends a request and waits for the response. An error of kind `unreachable` means that nothing
  // was sent. Only a GET request may be sent twice.
  Result<HttpResponse, HttpError> send(const Address& address, const HttpRequest& request,
                                       Duration timeout);

 private:
  struct Connection;
  using Deadline = std::chrono::steady_clock::time_point;
  std::shared_ptr<Connection> takeIdleConnection(const Address& address);
  Result<std::shared_ptr<Connection>, HttpError> connect(const Address& address, Duration timeout);
  Result<HttpResponse, HttpError> exchange(const std::shared_ptr<Connection>& connection,
                                           const HttpRequest& request, Deadline deadline);
  EventLoop& loop;
  std::shared_ptr<Connection> idleConnection;
  std::uint64_t lastRequestNumber = 0;
};

}  // namespace aniseline

#endif  // ANISELINE_NET_HTTP_CLIENT_HPP
