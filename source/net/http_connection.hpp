// Serves one connection of an HTTP server: reads requests, answers them in order, and closes the
// connection without losing a request or a response. docs/design.md 9.4.
//
// Guarantees: unless its last response had "Connection: close", a connection is read until its idle
// timeout or until the server closes it while it is idle. A response that was written reaches the
// client, because the socket is closed only after the client has ended its side, or after
// `lingerTimeout`.
//
// Created by HttpServer on the thread of its event loop; `serve` runs in its own fiber.
#ifndef ANISELINE_NET_HTTP_CONNECTION_HPP
#define ANISELINE_NET_HTTP_CONNECTION_HPP
#include "net/http_server.hpp"
#include <boost/beast/core/flat_buffer.hpp>
#include <boost/beast/core/tcp_stream.hpp>
#include <boost/beast/http/message.hpp>
#include <boost/beast/http/parser.hpp>
#include <boost/beast/http/string_body.hpp>

namespace aniseline {

class HttpConnection {
 public:
  // `stage` belongs to the server and may change while the connection is served.
  HttpConnection(tcp::socket socket, const HttpLimits& limits, const HttpServer::Handler& handler,
                 const HttpServer::Stage& stage)
      : stream(std::move(socket)), limits(limits), handler(handler), stage(stage) {}
  // Serves requests until the connection has ended.
  void serve();
  // Reports whether the connection is waiting for the first byte of a request.
  bool isIdle() const { return phase == Phase::idle; }
  // Reports whether a complete request was read and its response is not written yet.
  bool isAnswering() const { return phase == Phase::answering; }
  // Closes the connection if it has been idle for at least this long. If a byte of a request has
  // arrived by then, that request is answered first.
  void closeIfIdle(Duration minIdleTime);

 private:
  enum class Phase : std::uint8_t { idle, reading, answering, lingering };
  using Parser = boost::beast::http::request_parser<boost::beast::http::string_body>;
  using Message = boost::beast::http::response<boost::beast::http::string_body>;

  // Waits for the first byte of a request. Returns false if the connection has to end.
  bool awaitRequest();
  // Reads and answers one request. Returns false if the connection has to end.
  bool serveRequest();
  bool write(const Message& message);
  // Reports whether the client has given up a request that was just read. A process that was
  // suspended finds such requests in its sockets; their client may have made a different decision
  // since then. A cancellation does not count as abandoned, because it can be carried out late.
  bool isAbandoned(const HttpRequest& request);
  // Reports whether the next response must carry "Connection: close".
  bool mustAnnounceClose();
  // Shuts down sending and discards incoming bytes until the client ends its side.
  void closeGracefully();

  boost::beast::tcp_stream stream;
  boost::beast::flat_buffer buffer;
  const HttpLimits& limits;
  const HttpServer::Handler& handler;
  const HttpServer::Stage& stage;
  std::uint64_t lastNumber = 0;  // the highest request number read so far
  Phase phase = Phase::idle;
  MonotonicTime idleSince = monotonicNow();
};

}  // namespace aniseline

#endif  // ANISELINE_NET_HTTP_CONNECTION_HPP
