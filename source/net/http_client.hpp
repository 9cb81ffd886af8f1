// Asks over HTTP/1.1, by Boost.Beast on fibers. docs/design.md 9.4.
#ifndef ANISELINE_NET_HTTP_CLIENT_HPP
#define ANISELINE_NET_HTTP_CLIENT_HPP
#include "net/event_loop.hpp"
#include "net/http_message.hpp"

namespace aniseline {

// Asks one address at a time and keeps the connection for the next call. What ties an answer to its
// request: the connection is used by one call at a time, is kept only after a whole answer with
// nothing behind it, and our own servers repeat the request's number. For the fibers of one thread,
// one call at a time.
class HttpClient {
 public:
  explicit HttpClient(EventLoop& loop) : loop(loop) {}
  ~HttpClient();
  // An error of kind `unreachable` means that nothing was sent. Only a GET is ever sent twice.
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
