#include "net/http_server.hpp"
#include "net/http_request_number.hpp"
#include "net/http_status.hpp"
#include <boost/beast/core.hpp>
#include <boost/beast/http.hpp>

namespace aniseline {

namespace beast = boost::beast;
namespace http = beast::http;

namespace {

constexpr std::uint32_t maxHeaderBytes = 16 * 1024;

using RequestParser = http::request_parser<http::string_body>;

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

HttpRequest requestFrom(RequestParser::value_type& message, bool keepHeaders) {
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
  if (requestNumber)
    message.set(requestNumberHeader, std::to_string(requestNumber));
  message.keep_alive(keepAlive);
  message.body() = std::move(answer.body);
  message.prepare_payload();
  return message;
}

}  // namespace

std::optional<ListenError> HttpServer::listen(const Address& address, bool shared) {
  auto endpoint = parseEndpoint(address);
  if (!endpoint)
    return ListenError{address, asio::error::make_error_code(asio::error::invalid_argument)};
  acceptor = std::make_shared<tcp::acceptor>(loop.context);
  if (const IoError error = listenOn(*acceptor, endpoint.value(), clientBacklog, shared))
    return ListenError{address, error};
  spawn([this, listening = acceptor] { acceptConnections(listening); });
  return std::nullopt;
}

void HttpServer::acceptConnections(const std::shared_ptr<tcp::acceptor>& listening) {
  while (!stopping) {
    auto socket = std::make_shared<tcp::socket>(loop.context);
    if (await([&](auto done) { listening->async_accept(*socket, done); }).error) {
      if (stopping)
        return;
      sleepFor(acceptRetryDelay);
      continue;
    }
    if (connections >= limits.maxConnections)
      continue;
    ++connections;
    spawn([this, socket] {
      serveConnection(std::move(*socket));
      --connections;
    });
  }
}

void HttpServer::stop() {
  stopping = true;
  IoError ignored;
  if (acceptor)
    acceptor->close(ignored);
}

void HttpServer::serveConnection(tcp::socket socket) {
  IoError ignored;
  socket.set_option(tcp::no_delay(true), ignored);
  beast::tcp_stream stream(std::move(socket));
  beast::flat_buffer buffer;
  std::uint64_t lastNumber = 0;
  for (bool keepAlive = true; keepAlive && !stopping;) {
    RequestParser parser;
    parser.body_limit(limits.maxBodyBytes);
    parser.header_limit(maxHeaderBytes);
    stream.expires_after(std::chrono::milliseconds(limits.idleTimeout.milliseconds));
    const IoError error =
        await([&](auto done) { http::async_read(stream, buffer, parser, done); }).error;
    std::uint64_t number = 0;
    std::optional<ApiResponse> answer;
    if (error)
      answer = answerUnreadable(error, limits);
    else {
      // A client numbers its requests upwards: one that stands twice on its connection was asked
      // once, and its answer is on its way.
      number = requestNumberOf(parser.get());
      if (number && number <= lastNumber)
        continue;
      lastNumber = std::max(lastNumber, number);
      ++handling;
      answer = answerBy(handler, requestFrom(parser.get(), limits.keepHeaders));
      --handling;
    }
    if (!answer)
      return;
    keepAlive = !error && parser.get().keep_alive() && !stopping;
    const auto message = messageFrom(std::move(*answer), number, keepAlive);
    stream.expires_after(std::chrono::milliseconds(limits.requestTimeout.milliseconds));
    ++writing;
    const IoError writeError =
        await([&](auto done) { http::async_write(stream, message, done); }).error;
    --writing;
    if (writeError)
      return;
  }
  stream.socket().shutdown(tcp::socket::shutdown_send, ignored);
}

}  // namespace aniseline
