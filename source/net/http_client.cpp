// Builds requests, matches responses to them by number, and reuses idle connections.
#include "net/http_client.hpp"
#include "net/http_request_number.hpp"
#include "net/socket_state.hpp"
#include <boost/beast/core.hpp>
#include <boost/beast/http.hpp>

namespace aniseline {

namespace beast = boost::beast;
namespace http = beast::http;

namespace {

constexpr std::int64_t maxConnectMilliseconds = 1000;

http::request<http::string_body> messageFrom(const HttpRequest& request, const Address& address,
                                             std::uint64_t number) {
  http::request<http::string_body> message{http::string_to_verb(request.method), request.target,
                                           11};
  message.set(http::field::host, address.value);
  for (const auto& [name, value] : request.headers)
    message.set(name, value);
  message.set(http::field::content_type, "application/json");
  message.set(requestNumberHeader, std::to_string(number));
  message.body() = request.body;
  message.keep_alive(true);
  message.prepare_payload();
  return message;
}

}  // namespace

struct HttpClient::Connection {
  using Response = http::response<http::string_body>;

  Connection(asio::io_context& context, Address address)
      : stream(context), address(std::move(address)) {}
  // Reports whether nothing is left to read: neither bytes of an unexpected response nor the end of
  // the server's stream.
  bool isIdle() {
    return buffer.size() == 0 && receiveQueueOf(stream.socket()) == ReceiveQueue::empty;
  }
  // Reads the response to the request with this number. Skips interim responses, such as status
  // 100, and repeated responses to earlier requests.
  IoError readResponse(std::uint64_t number, Response& answer) {
    for (;;) {
      answer = {};
      const IoError error =
          await([&](auto done) { http::async_read(stream, buffer, answer, done); }).error;
      if (error)
        return error;
      const bool interim =
          http::to_status_class(answer.result()) == http::status_class::informational;
      const std::uint64_t responseNumber = requestNumberOf(answer);
      const bool earlier = responseNumber && responseNumber < number;
      if (!interim && !earlier)
        return {};
    }
  }

  beast::tcp_stream stream;
  beast::flat_buffer buffer;
  Address address;
  bool echoesRequestNumbers = false;  // whether the server has echoed a request number
};

HttpClient::~HttpClient() = default;

std::shared_ptr<HttpClient::Connection> HttpClient::takeIdleConnection(const Address& address) {
  auto candidate = std::exchange(idleConnection, nullptr);
  return candidate && candidate->address == address && candidate->isIdle() ? candidate : nullptr;
}

Result<std::shared_ptr<HttpClient::Connection>, HttpError> HttpClient::connect(
    const Address& address, Duration timeout) {
  auto endpoint = parseEndpoint(address);
  if (!endpoint)
    return HttpError{HttpError::Kind::unreachable, endpoint.error().text()};
  auto newConnection = std::make_shared<Connection>(loop.context, address);
  newConnection->stream.expires_after(
      std::chrono::milliseconds(std::min(timeout.milliseconds, maxConnectMilliseconds)));
  IoError error = loop.openSocket(newConnection->stream.socket(), endpoint.value());
  if (!error)
    error = await([&](auto done) {
              newConnection->stream.async_connect(endpoint.value(), done);
            }).error;
  if (error)
    return HttpError{HttpError::Kind::unreachable, error.message()};
  IoError ignored;
  newConnection->stream.socket().set_option(tcp::no_delay(true), ignored);
  return newConnection;
}

// Sends one request and reads its response. The connection is kept only after a complete response
// with no bytes after it: late or additional bytes would be read as the response to the next
// request.
Result<HttpResponse, HttpError> HttpClient::exchange(const std::shared_ptr<Connection>& connection,
                                                     const HttpRequest& request,
                                                     Deadline deadline) {
  const std::uint64_t number = ++lastRequestNumber;
  const auto message = messageFrom(request, connection->address, number);
  connection->stream.expires_at(deadline);
  IoError error =
      await([&](auto done) { http::async_write(connection->stream, message, done); }).error;
  Connection::Response answer;
  if (!error)
    error = connection->readResponse(number, answer);
  if (error == beast::error::timeout)
    return HttpError{HttpError::Kind::timedOut, "the request timed out"};
  if (error)
    return HttpError{HttpError::Kind::connectionLost, error.message()};
  // A server that echoes request numbers does so in every response, so a response without a number
  // belongs to no request of this client.
  connection->echoesRequestNumbers =
      connection->echoesRequestNumbers || answer.count(requestNumberHeader) > 0;
  if (connection->echoesRequestNumbers && requestNumberOf(answer) != number)
    return HttpError{HttpError::Kind::connectionLost, "the response belongs to another request"};
  if (answer.keep_alive() && connection->buffer.size() == 0)
    idleConnection = connection;
  HttpResponse response;
  response.status = int(answer.result_int());
  response.body = std::move(answer.body());
  response.retryAfter = Duration{
      std::strtoll(std::string(answer[retryAfterMillisecondsHeader]).c_str(), nullptr, 10)};
  return response;
}

Result<HttpResponse, HttpError> HttpClient::send(const Address& address, const HttpRequest& request,
                                                 Duration timeout) {
  const Deadline deadline =
      std::chrono::steady_clock::now() + std::chrono::milliseconds(timeout.milliseconds);
  if (auto reusedConnection = takeIdleConnection(address)) {
    auto answer = exchange(reusedConnection, request, deadline);
    // The server may close a reused connection while the request is being sent. It is unknown
    // whether the server received the request, so only a GET, which changes nothing, is sent again.
    if (answer || answer.error().kind != HttpError::Kind::connectionLost || request.method != "GET")
      return answer;
  }
  auto newConnection = connect(address, timeout);
  if (!newConnection)
    return newConnection.error();
  return exchange(newConnection.value(), request, deadline);
}

}  // namespace aniseline
