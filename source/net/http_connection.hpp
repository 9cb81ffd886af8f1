// One connection of an HTTP server, from its first byte to its end: reads requests, has them
// answered in order, and ends so that nothing it has promised is lost. docs/design.md 9.4.
//
// What is kept: a connection whose last answer did not announce its close is read from until its
// idle time-out or until the server closes it while it is idle; an answer that was written arrives,
// because the socket is closed only after the client's own end, or after `lingerTimeout`.
//
// Made and driven by HttpServer, on the thread of its event loop; `serve` runs in a fiber of its
// own.
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
  // `stage` is the server's and may change while the connection is served.
  HttpConnection(tcp::socket socket, const HttpLimits& limits, const HttpServer::Handler& handler,
                 const HttpServer::Stage& stage)
      : stream(std::move(socket)), limits(limits), handler(handler), stage(stage) {}
  // Until the connection has ended.
  void serve();
  // Waits for the first byte of a request.
  bool isIdle() const { return phase == Phase::idle; }
  // A whole request was read and its answer is not written yet.
  bool isAnswering() const { return phase == Phase::answering; }
  // Ends a connection that has been idle so long; a request of which a byte has come by now is
  // answered first.
  void closeIfIdle(Duration minIdleTime);

 private:
  enum class Phase : std::uint8_t { idle, reading, answering, lingering };
  using Parser = boost::beast::http::request_parser<boost::beast::http::string_body>;
  using Message = boost::beast::http::response<boost::beast::http::string_body>;

  // False: the connection is to end.
  bool awaitRequest();
  bool serveRequest();
  bool write(const Message& message);
  bool mustAnnounceClose();
  // Ends our side of the stream and discards what still comes until the client ends its own.
  void closeGracefully();

  boost::beast::tcp_stream stream;
  boost::beast::flat_buffer buffer;
  const HttpLimits& limits;
  const HttpServer::Handler& handler;
  const HttpServer::Stage& stage;
  std::uint64_t lastNumber = 0;  // of the requests that were read
  Phase phase = Phase::idle;
  MonotonicTime idleSince = monotonicNow();
};

}  // namespace aniseline

#endif  // ANISELINE_NET_HTTP_CONNECTION_HPP
