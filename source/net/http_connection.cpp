// Converts between Beast messages and the project's HTTP types, and implements graceful closing.
#include "net/http_connection.hpp"
#include "net/http_request_number.hpp"
#include "net/http_status.hpp"
#include "net/socket_state.hpp"
#include <boost/beast/core.hpp>
#include <boost/beast/http.hpp>

namespace aniseline {

namespace beast = boost::beast;
namespace http = beast::http;

namespace {

constexpr std::uint32_t maxHeaderBytes = 16 * 1024;
constexpr std::size_t readStepBytes = 4096;
// How long a closing connection waits for the client's end. A client that received "Connection:
// close" ends its side at once; a client that has disappeared never does.
constexpr Duration lingerTimeout{1000};
constexpr Duration abandonedRetryDelay{100};

// Reports whether Beast rejected the received bytes as invalid HTTP, as opposed to a lost
// connection.
bool isProtocolError(const IoError& error) {
  static const auto& httpCategory = http::make_error_code(http::error::bad_method).category();
  return error.category() == httpCategory && error != http::error::end_of_stream &&
         error != http::error::partial_message;
}

// Returns the response to a request that could not be read, or nothing if the connection is lost.
std::optional<ApiResponse> answerUnreadable(const IoError& error, const HttpLimits& limits) {
  if (error == http::error::body_limit)
    return ApiResponse::error(
        http_status::contentTooLarge, "invalid",
        "the request body is larger than " + std::to_string(limits.maxBodyBytes) + " bytes");
  if (error == http::error::header_limit)
    return ApiResponse::error(http_status::headersTooLarge, "invalid",
                              "the request header is too large");
  if (isProtocolError(error))
    return ApiResponse::error(http_status::badRequest, "invalid",
                              "not a valid HTTP/1.1 request: " + error.message());
  return std::nullopt;
}

template <class Message>
HttpRequest requestFrom(Message& message, bool keepHeaders) {
  HttpRequest request{std::string(message.method_string()), std::string(message.target()),
                      std::move(message.body())};
  if (!keepHeaders)
    return request;
  for (const auto& field : message) {
    std::string name(field.name_string());
    std::transform(name.begin(), name.end(), name.begin(),
                   [](unsigned char letter) { return char(std::tolower(letter)); });
    request.headers.emplace_back(std::move(name), std::string(field.value()));
  }
  return request;
}

// An exception that a handler throws while it parses a body fails the request, never the process.
ApiResponse answerBy(const HttpServer::Handler& handler, const HttpRequest& request) {
  try {
    return handler(request);
  } catch (const std::exception& error) {
    return ApiResponse::error(http_status::badRequest, "invalid",
                              std::string("the request could not be processed: ") + error.what());
  }
}

http::response<http::string_body> messageFrom(ApiResponse answer, std::uint64_t requestNumber,
                                              bool keepAlive) {
  http::response<http::string_body> message{http::status(answer.status), 11};
  message.set(http::field::content_type, "application/json");
  if (const std::int64_t milliseconds = answer.retryAfter.milliseconds; milliseconds > 0) {
    message.set(http::field::retry_after, std::to_string((milliseconds + 999) / 1000));
    message.set(retryAfterMillisecondsHeader, std::to_string(milliseconds));
  }
  // RFC 9110, 15.5.2: a 401 response has to name the expected authentication scheme.
  if (answer.status == http_status::unauthorized)
    message.set(http::field::www_authenticate, "Bearer");
  if (requestNumber)
    message.set(requestNumberHeader, std::to_string(requestNumber));
  message.keep_alive(keepAlive);
  message.body() = std::move(answer.body);
  message.prepare_payload();
  return message;
}

bool changesState(const std::string& method) {
  return method == "POST" || method == "PUT" || method == "PATCH";
}

ApiResponse abandonedResponse() {
  ApiResponse response = ApiResponse::notApplied("the client closed the connection");
  response.retryAfter = abandonedRetryDelay;
  return response;
}

std::chrono::milliseconds chronoFrom(Duration span) {
  return std::chrono::milliseconds(span.milliseconds);
}

}  // namespace

void HttpConnection::serve() {
  IoError ignored;
  stream.socket().set_option(tcp::no_delay(true), ignored);
  while (awaitRequest() && serveRequest()) {
  }
  closeGracefully();
}

// The first byte of a request ends the idle phase of the connection.
bool HttpConnection::awaitRequest() {
  idleSince = monotonicNow();
  while (buffer.size() == 0) {
    phase = Phase::idle;
    stream.expires_after(chronoFrom(limits.idleTimeout));
    const IoResult read =
        await([&](auto done) { stream.async_read_some(buffer.prepare(readStepBytes), done); });
    buffer.commit(read.bytes);
    // closeIfIdle cancelled the read, but a request had already arrived.
    const bool requestArrived =
        read.error == asio::error::operation_aborted && hasUnreadBytes(stream.socket());
    if (read.error && !requestArrived)
      return false;
  }
  phase = Phase::reading;
  return true;
}

// Returns false if the close was announced or the connection is lost.
bool HttpConnection::serveRequest() {
  Parser parser;
  parser.body_limit(limits.maxBodyBytes);
  parser.header_limit(maxHeaderBytes);
  stream.expires_after(chronoFrom(limits.idleTimeout));
  const IoError error =
      await([&](auto done) { http::async_read(stream, buffer, parser, done); }).error;
  if (error) {
    auto answer = answerUnreadable(error, limits);
    if (answer)
      write(messageFrom(std::move(*answer), 0, false));
    return false;
  }
  // A client numbers its requests in increasing order. A repeated number is a duplicate of a
  // request that has already been answered, so it is skipped.
  const std::uint64_t number = requestNumberOf(parser.get());
  if (number && number <= lastNumber)
    return true;
  lastNumber = std::max(lastNumber, number);
  phase = Phase::answering;
  const HttpRequest request = requestFrom(parser.get(), limits.keepHeaders);
  ApiResponse answer = isAbandoned(request) ? abandonedResponse() : answerBy(handler, request);
  const bool keepAlive = parser.get().keep_alive() && !mustAnnounceClose();
  return write(messageFrom(std::move(answer), number, keepAlive)) && keepAlive;
}

bool HttpConnection::isAbandoned(const HttpRequest& request) {
  return limits.rejectAbandonedChanges && changesState(request.method) && buffer.size() == 0 &&
         receiveQueueOf(stream.socket()) == ReceiveQueue::ended;
}

bool HttpConnection::write(const Message& message) {
  stream.expires_after(chronoFrom(limits.requestTimeout));
  return !await([&](auto done) { http::async_write(stream, message, done); }).error;
}

// Pipelined requests that have already arrived are answered before the close is announced, unless
// the server is in its last shutdown stage.
bool HttpConnection::mustAnnounceClose() {
  if (stage == HttpServer::Stage::serving)
    return false;
  const bool moreRequestsArrived = buffer.size() > 0 || hasUnreadBytes(stream.socket());
  return stage == HttpServer::Stage::closing || !moreRequestsArrived;
}

void HttpConnection::closeIfIdle(Duration minIdleTime) {
  if (isIdle() && monotonicNow() - idleSince >= minIdleTime)
    stream.cancel();
}

// Closing a socket with unread bytes, or receiving bytes after the close, resets the connection and
// discards data that the client has not received yet.
void HttpConnection::closeGracefully() {
  phase = Phase::lingering;
  IoError failed;
  stream.socket().shutdown(tcp::socket::shutdown_send, failed);
  stream.expires_after(chronoFrom(lingerTimeout));
  while (!failed) {
    buffer.clear();
    failed = await([&](auto done) {
               stream.async_read_some(buffer.prepare(readStepBytes), done);
             }).error;
  }
}

}  // namespace aniseline
