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
// A client that was told of the close ends its side at once; one that has vanished never does.
constexpr Duration lingerTimeout{1000};

// Whether the error is Beast's judgement of what came, rather than a loss of the connection.
bool isProtocolError(const IoError& error) {
  static const auto& httpCategory = http::make_error_code(http::error::bad_method).category();
  return error.category() == httpCategory && error != http::error::end_of_stream &&
         error != http::error::partial_message;
}

// The answer to a request that could not be read; nothing if the connection is lost.
std::optional<ApiResponse> answerUnreadable(const IoError& error, const HttpLimits& limits) {
  if (error == http::error::body_limit)
    return ApiResponse::error(
        http_status::contentTooLarge, "invalid",
        "the body is larger than " + std::to_string(limits.maxBodyBytes) + " bytes");
  if (error == http::error::header_limit)
    return ApiResponse::error(http_status::headersTooLarge, "invalid", "the header is too large");
  if (isProtocolError(error))
    return ApiResponse::error(http_status::badRequest, "invalid",
                              "this is no HTTP/1.1 request: " + error.message());
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

// Whatever a body makes a reader throw ends the request, never the process.
ApiResponse answerBy(const HttpServer::Handler& handler, const HttpRequest& request) {
  try {
    return handler(request);
  } catch (const std::exception& error) {
    return ApiResponse::error(http_status::badRequest, "invalid",
                              std::string("the request can't be read: ") + error.what());
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
  // RFC 9110, 15.5.2: such a response names the scheme that is wanted.
  if (answer.status == http_status::unauthorized)
    message.set(http::field::www_authenticate, "Bearer");
  if (requestNumber)
    message.set(requestNumberHeader, std::to_string(requestNumber));
  message.keep_alive(keepAlive);
  message.body() = std::move(answer.body);
  message.prepare_payload();
  return message;
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

// An idle connection is told from one that a request is under way on by its first byte.
bool HttpConnection::awaitRequest() {
  idleSince = monotonicNow();
  while (buffer.size() == 0) {
    phase = Phase::idle;
    stream.expires_after(chronoFrom(limits.idleTimeout));
    const IoResult read =
        await([&](auto done) { stream.async_read_some(buffer.prepare(readStepBytes), done); });
    buffer.commit(read.bytes);
    // The wait was ended from here, but a request had come already.
    const bool overtaken =
        read.error == asio::error::operation_aborted && hasUnreadBytes(stream.socket());
    if (read.error && !overtaken)
      return false;
  }
  phase = Phase::reading;
  return true;
}

// False: the close was announced, or the connection is lost.
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
  // A client numbers its requests upwards: one that stands twice on its connection was asked once,
  // and its answer is on its way.
  const std::uint64_t number = requestNumberOf(parser.get());
  if (number && number <= lastNumber)
    return true;
  lastNumber = std::max(lastNumber, number);
  phase = Phase::answering;
  ApiResponse answer = answerBy(handler, requestFrom(parser.get(), limits.keepHeaders));
  const bool keepAlive = parser.get().keep_alive() && !mustAnnounceClose();
  return write(messageFrom(std::move(answer), number, keepAlive)) && keepAlive;
}

bool HttpConnection::write(const Message& message) {
  stream.expires_after(chronoFrom(limits.requestTimeout));
  return !await([&](auto done) { http::async_write(stream, message, done); }).error;
}

// Requests that have come behind this one are answered first, as long as the server can wait.
bool HttpConnection::mustAnnounceClose() {
  if (stage == HttpServer::Stage::serving)
    return false;
  const bool moreHasCome = buffer.size() > 0 || hasUnreadBytes(stream.socket());
  return stage == HttpServer::Stage::closing || !moreHasCome;
}

void HttpConnection::closeIfIdle(Duration minIdleTime) {
  if (isIdle() && monotonicNow() - idleSince >= minIdleTime)
    stream.cancel();
}

// A socket that is closed with unread bytes, or that gets some afterwards, resets the connection,
// which discards what the client has not received yet.
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
