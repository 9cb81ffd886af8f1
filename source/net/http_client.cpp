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
  using Answer = http::response<http::string_body>;

  Connection(asio::io_context& context, Address address)
      : stream(context), address(std::move(address)) {}
  // Nothing waits to be read: neither an answer that is nobody's nor the other side's end.
  bool isIdle() {
    return buffer.size() == 0 && receiveQueueOf(stream.socket()) == ReceiveQueue::empty;
  }
  // Reads the answer to the request of this number. An interim answer, as 100, is followed by the
  // one that counts; so is an earlier request's that came twice.
  IoError readAnswer(std::uint64_t number, Answer& answer) {
    for (;;) {
      answer = {};
      const IoError error =
          await([&](auto done) { http::async_read(stream, buffer, answer, done); }).error;
      if (error)
        return error;
      const bool interim =
          http::to_status_class(answer.result()) == http::status_class::informational;
      const std::uint64_t answered = requestNumberOf(answer);
      const bool earlier = answered && answered < number;
      if (!interim && !earlier)
        return {};
    }
  }

  beast::tcp_stream stream;
  beast::flat_buffer buffer;
  Address address;
  bool echoesRequestNumbers = false;  // the other side has repeated a request's number
};

HttpClient::~HttpClient() = default;

std::shared_ptr<HttpClient::Connection> HttpClient::takeIdleConnection(const Address& address) {
  auto taken = std::exchange(idleConnection, nullptr);
  return taken && taken->address == address && taken->isIdle() ? taken : nullptr;
}

Result<std::shared_ptr<HttpClient::Connection>, HttpError> HttpClient::connect(
    const Address& address, Duration timeout) {
  auto endpoint = parseEndpoint(address);
  if (!endpoint)
    return HttpError{HttpError::Kind::unreachable, endpoint.error().text()};
  auto made = std::make_shared<Connection>(loop.context, address);
  made->stream.expires_after(
      std::chrono::milliseconds(std::min(timeout.milliseconds, maxConnectMilliseconds)));
  IoError error = loop.openSocket(made->stream.socket(), endpoint.value());
  if (!error)
    error = await([&](auto done) { made->stream.async_connect(endpoint.value(), done); }).error;
  if (error)
    return HttpError{HttpError::Kind::unreachable, error.message()};
  IoError ignored;
  made->stream.socket().set_option(tcp::no_delay(true), ignored);
  return made;
}

// One request and its answer. The connection is kept only after a whole answer: what comes late or
// behind it would be read as the answer to the next request.
Result<HttpResponse, HttpError> HttpClient::exchange(const std::shared_ptr<Connection>& connection,
                                                     const HttpRequest& request,
                                                     Deadline deadline) {
  const std::uint64_t number = ++lastRequestNumber;
  const auto message = messageFrom(request, connection->address, number);
  connection->stream.expires_at(deadline);
  IoError error =
      await([&](auto done) { http::async_write(connection->stream, message, done); }).error;
  Connection::Answer answer;
  if (!error)
    error = connection->readAnswer(number, answer);
  if (error == beast::error::timeout)
    return HttpError{HttpError::Kind::timedOut, "no answer in time"};
  if (error)
    return HttpError{HttpError::Kind::connectionLost, error.message()};
  // A server that repeats numbers repeats every one: an answer without one is to no request of
  // ours.
  connection->echoesRequestNumbers =
      connection->echoesRequestNumbers || answer.count(requestNumberHeader) > 0;
  if (connection->echoesRequestNumbers && requestNumberOf(answer) != number)
    return HttpError{HttpError::Kind::connectionLost, "the answer is another request's"};
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
  if (auto used = takeIdleConnection(address)) {
    auto answer = exchange(used, request, deadline);
    // A kept connection may end as the request leaves. Whether that was taken can't be known: only
    // what changes nothing is asked again.
    if (answer || answer.error().kind != HttpError::Kind::connectionLost || request.method != "GET")
      return answer;
  }
  auto made = connect(address, timeout);
  if (!made)
    return made.error();
  return exchange(made.value(), request, deadline);
}

}  // namespace aniseline
