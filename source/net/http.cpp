#include "net/http.hpp"
#include <boost/beast/core.hpp>
#include <boost/beast/http.hpp>

namespace aniseline {

namespace beast = boost::beast;
namespace http = beast::http;

struct HttpClient::Connection {
  explicit Connection(asio::io_context& context) : stream(context) {}
  beast::tcp_stream stream;
  beast::flat_buffer buffer;
  // What came after the last answer belongs to no request: read as the next one's answer it would
  // tell of something else.
  bool holdsMore() {
    IoError error;
    const std::size_t waiting = stream.socket().available(error);
    return buffer.size() > 0 || waiting > 0 || error;
  }
};

Result<bool, HttpError> HttpServer::listen(const Address& address, bool shared) {
  auto endpoint = endpointOf(address);
  if (!endpoint)
    return HttpError{HttpError::Kind::unreachable, endpoint.error().text()};
  acceptor = std::make_shared<tcp::acceptor>(loop.context);
  IoError error;
  acceptor->open(endpoint.value().protocol(), error);
  acceptor->set_option(tcp::acceptor::reuse_address(true), error);
  if (shared)
    acceptor->set_option(asio::detail::socket_option::boolean<SOL_SOCKET, SO_REUSEPORT>(true),
                         error);
  acceptor->bind(endpoint.value(), error);
  if (!error)
    acceptor->listen(1024, error);
  if (error)
    return HttpError{HttpError::Kind::unreachable,
                     "can't listen on " + address.value + ": " + error.message()};
  spawn([this, acceptor = acceptor] {
    while (!stopping) {
      tcp::socket socket(loop.context);
      if (await([&](auto done) { acceptor->async_accept(socket, done); }).error) {
        if (stopping)
          return;
        pause(Duration{10});
        continue;
      }
      if (connections >= limits.connections)
        continue;  // closed at once: the bound holds
      ++connections;
      auto shared = std::make_shared<tcp::socket>(std::move(socket));
      spawn([this, shared] {
        serveConnection(std::move(*shared));
        --connections;
      });
    }
  });
  return true;
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
  for (bool keep = true; keep && !stopping;) {
    http::request_parser<http::string_body> parser;
    parser.body_limit(limits.bodyBytes);
    parser.header_limit(16 * 1024);
    stream.expires_after(std::chrono::milliseconds(limits.idle.milliseconds));
    const auto read = await([&](auto done) { http::async_read(stream, buffer, parser, done); });
    ApiResponse answer;
    bool bad = false;
    if (read.error == http::error::body_limit)
      answer = ApiResponse::error(
          413, "invalid", "the body is larger than " + std::to_string(limits.bodyBytes) + " bytes"),
      bad = true;
    else if (read.error == http::error::header_limit)
      answer = ApiResponse::error(431, "invalid", "the header is too large"), bad = true;
    else if (read.error &&
             read.error.category() == http::make_error_code(http::error::bad_method).category() &&
             read.error != http::error::end_of_stream && read.error != http::error::partial_message)
      answer = ApiResponse::error(400, "invalid",
                                  "this is no HTTP/1.1 request: " + read.error.message()),
      bad = true;
    else if (read.error)
      return;
    else {
      HttpRequest request{std::string(parser.get().method_string()),
                          std::string(parser.get().target()), std::move(parser.get().body())};
      if (limits.keepFields)
        for (const auto& field : parser.get()) {
          std::string name(field.name_string());
          std::transform(name.begin(), name.end(), name.begin(),
                         [](unsigned char letter) { return char(std::tolower(letter)); });
          request.fields.emplace_back(std::move(name), std::string(field.value()));
        }
      // Whatever a body makes a reader throw ends the request, never the process.
      try {
        answer = handler(request);
      } catch (const std::exception& error) {
        answer = ApiResponse::error(400, "invalid",
                                    std::string("the request can't be read: ") + error.what());
      }
    }
    keep = !bad && parser.get().keep_alive() && !stopping;
    http::response<http::string_body> response{http::status(answer.status), 11};
    response.set(http::field::content_type, "application/json");
    if (answer.retryAfter.milliseconds > 0) {
      response.set(http::field::retry_after,
                   std::to_string((answer.retryAfter.milliseconds + 999) / 1000));
      response.set("Retry-After-Ms", std::to_string(answer.retryAfter.milliseconds));
    }
    response.keep_alive(keep);
    response.body() = std::move(answer.body);
    response.prepare_payload();
    stream.expires_after(std::chrono::milliseconds(limits.request.milliseconds));
    if (await([&](auto done) { http::async_write(stream, response, done); }).error)
      return;
  }
  stream.socket().shutdown(tcp::socket::shutdown_send, ignored);
}

std::optional<ApiResponse> contactsAnswer(const HttpRequest& request, const RouteView& view) {
  static std::atomic<std::uint64_t> turn{0};
  const std::string path = "/v1/contacts", query = "?zone=";
  if (request.method != "GET" || !request.target.starts_with(path))
    return std::nullopt;
  const std::string rest = request.target.substr(path.size());
  if (!rest.empty() && !rest.starts_with(query))
    return std::nullopt;
  const ZoneName zone{rest.empty() ? "" : rest.substr(query.size())};
  picojson::array gateways, controllers;
  for (const auto& address : preferred(view.gateways, zone, turn++))
    gateways.push_back(json(address.value));
  for (const auto& address : view.controllers)
    controllers.push_back(json(address.value));
  return ApiResponse::of(200, {{"gateways", json(gateways)},
                               {"controllers", json(controllers)},
                               {"leader", json(view.leader.value)}});
}

std::vector<Address> controllersBy(Loop& loop, const Address& seed) {
  HttpClient client(loop);
  auto answer = client.ask(seed, {"GET", "/v1/contacts", ""}, Duration{500});
  picojson::value root;
  std::vector<Address> found;
  if (!answer || answer.value().status != 200 ||
      !picojson::parse(root, answer.value().body).empty() ||
      !root.get("controllers").is<picojson::array>())
    return found;
  for (const auto& address : root.get("controllers").get<picojson::array>())
    if (address.is<std::string>() && endpointOf(Address{address.get<std::string>()}))
      found.push_back(Address{address.get<std::string>()});
  return found;
}

HttpClient::~HttpClient() = default;

Result<HttpResponse, HttpError> HttpClient::ask(const Address& address, const HttpRequest& given,
                                                Duration within) {
  auto endpoint = endpointOf(address);
  if (!endpoint)
    return HttpError{HttpError::Kind::unreachable, endpoint.error().text()};
  if (connectedTo != address || (connection && connection->holdsMore()))
    connection.reset();
  http::request<http::string_body> request{http::string_to_verb(given.method), given.target, 11};
  request.set(http::field::host, address.value);
  for (const auto& [name, value] : given.fields)
    request.set(name, value);
  request.set(http::field::content_type, "application/json");
  request.body() = given.body;
  request.keep_alive(true);
  request.prepare_payload();
  const auto deadline =
      std::chrono::steady_clock::now() + std::chrono::milliseconds(within.milliseconds);
  for (bool again = true; again;) {
    const bool kept = connection != nullptr;
    again = false;
    if (!connection) {
      connection = std::make_shared<Connection>(loop.context);
      connectedTo = address;
      connection->stream.expires_after(
          std::chrono::milliseconds(std::min<std::int64_t>(within.milliseconds, 1000)));
      IoResult connected{loop.openFrom(connection->stream.socket(), endpoint.value()), 0};
      if (!connected.error)
        connected =
            await([&](auto done) { connection->stream.async_connect(endpoint.value(), done); });
      if (connected.error) {
        connection.reset();
        return HttpError{HttpError::Kind::unreachable, connected.error.message()};
      }
      IoError ignored;
      connection->stream.socket().set_option(tcp::no_delay(true), ignored);
    }
    auto used = connection;
    used->stream.expires_at(deadline);
    http::response<http::string_body> response;
    auto result = await([&](auto done) { http::async_write(used->stream, request, done); });
    if (!result.error)
      result =
          await([&](auto done) { http::async_read(used->stream, used->buffer, response, done); });
    if (result.error) {
      connection.reset();
      if (result.error == beast::error::timeout)
        return HttpError{HttpError::Kind::late, "no answer in time"};
      // A kept connection that the other side had closed meanwhile: its end came before any byte of
      // an answer.
      if (kept && result.error == http::error::end_of_stream && given.method == "GET")
        again = true;
      else
        return HttpError{HttpError::Kind::lost, result.error.message()};
      continue;
    }
    if (response.result_int() < 200) {  // an interim one: the answer itself is still to come
      connection.reset();
      return HttpError{HttpError::Kind::lost, "an interim answer"};
    }
    HttpResponse answer;
    answer.status = int(response.result_int());
    answer.body = std::move(response.body());
    const auto retry = response.find("Retry-After-Ms");
    if (retry != response.end())
      answer.retryAfter = Duration{std::strtoll(std::string(retry->value()).c_str(), nullptr, 10)};
    if (!response.keep_alive())
      connection.reset();
    return answer;
  }
  return HttpError{HttpError::Kind::lost, "the connection was lost"};
}

}  // namespace aniseline
