#include "net/http.hpp"
#include "base/json.hpp"
#include <boost/beast/core.hpp>
#include <boost/beast/http.hpp>
#include <sys/socket.h>

namespace aniseline {

namespace beast = boost::beast;
namespace http = beast::http;

struct HttpClient::Connection {
  Connection(asio::io_context& context, Address address)
      : stream(context), address(std::move(address)) {}
  // Nothing waits to be read: neither an answer that is nobody's nor the other side's end.
  bool isIdle() {
    char byte;
    return buffer.size() == 0 &&
           ::recv(stream.socket().native_handle(), &byte, 1, MSG_PEEK | MSG_DONTWAIT) < 0 &&
           (errno == EAGAIN || errno == EWOULDBLOCK);
  }
  beast::tcp_stream stream;
  beast::flat_buffer buffer;
  Address address;
  bool echoesRequestNumbers = false;  // the other side repeats requests' numbers
};

namespace {
template <class Message>
std::uint64_t numberOf(const Message& message) {
  return std::strtoull(std::string(message[requestNumberHeader]).c_str(), nullptr, 10);
}
}  // namespace

Result<bool, HttpError> HttpServer::listen(const Address& address, bool shared) {
  auto endpoint = parseEndpoint(address);
  if (!endpoint)
    return HttpError{HttpError::Kind::unreachable, endpoint.error().text()};
  acceptor = std::make_shared<tcp::acceptor>(loop.context);
  if (const IoError error = listenOn(*acceptor, endpoint.value(), clientBacklog, shared))
    return HttpError{HttpError::Kind::unreachable,
                     "can't listen on " + address.value + ": " + error.message()};
  spawn([this, acceptor = acceptor] {
    while (!stopping) {
      tcp::socket socket(loop.context);
      if (await([&](auto done) { acceptor->async_accept(socket, done); }).error) {
        if (stopping)
          return;
        sleepFor(Duration{10});
        continue;
      }
      if (connections >= limits.maxConnections)
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
  std::uint64_t lastNumber = 0;
  for (bool keep = true; keep && !stopping;) {
    http::request_parser<http::string_body> parser;
    parser.body_limit(limits.maxBodyBytes);
    parser.header_limit(16 * 1024);
    stream.expires_after(std::chrono::milliseconds(limits.idleTimeout.milliseconds));
    const auto read = await([&](auto done) { http::async_read(stream, buffer, parser, done); });
    ApiResponse answer;
    bool bad = false;
    std::uint64_t number = 0;
    if (!read.error) {
      // A client numbers its requests upwards: one that stands twice on its connection was asked
      // once, and its answer is on its way.
      number = numberOf(parser.get());
      if (number && number <= lastNumber)
        continue;
      lastNumber = std::max(lastNumber, number);
    }
    if (read.error == http::error::body_limit)
      answer = ApiResponse::error(
          413, "invalid",
          "the body is larger than " + std::to_string(limits.maxBodyBytes) + " bytes"),
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
      if (limits.keepHeaders)
        for (const auto& field : parser.get()) {
          std::string name(field.name_string());
          std::transform(name.begin(), name.end(), name.begin(),
                         [](unsigned char letter) { return char(std::tolower(letter)); });
          request.headers.emplace_back(std::move(name), std::string(field.value()));
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
    if (number)
      response.set(requestNumberHeader, std::to_string(number));
    response.keep_alive(keep);
    response.body() = std::move(answer.body);
    response.prepare_payload();
    stream.expires_after(std::chrono::milliseconds(limits.requestTimeout.milliseconds));
    if (await([&](auto done) { http::async_write(stream, response, done); }).error)
      return;
  }
  stream.socket().shutdown(tcp::socket::shutdown_send, ignored);
}

std::optional<ApiResponse> answerContactsRequest(const HttpRequest& request,
                                                 const LeaderRoute& view) {
  static std::atomic<std::uint64_t> turn{0};
  const std::string path = "/v1/contacts", query = "?zone=";
  if (request.method != "GET" || !request.target.starts_with(path))
    return std::nullopt;
  const std::string rest = request.target.substr(path.size());
  if (!rest.empty() && !rest.starts_with(query))
    return std::nullopt;
  const ZoneName zone{rest.empty() ? "" : rest.substr(query.size())};
  picojson::array gateways, controllers;
  for (const auto& address : orderedByZonePreference(view.gateways, zone, turn++))
    gateways.push_back(json(address.value));
  for (const auto& address : view.controllers)
    controllers.push_back(json(address.value));
  return ApiResponse::of(200, {{"gateways", json(gateways)},
                               {"controllers", json(controllers)},
                               {"leader", json(view.leader.value)}});
}

std::vector<Address> fetchControllers(EventLoop& loop, const Address& seed) {
  HttpClient client(loop);
  auto answer = client.send(seed, {"GET", "/v1/contacts", ""}, Duration{500});
  picojson::value root;
  std::vector<Address> found;
  if (!answer || answer.value().status != 200 || !parseJson(root, answer.value().body).empty() ||
      !root.get("controllers").is<picojson::array>())
    return found;
  for (const auto& address : root.get("controllers").get<picojson::array>())
    if (address.is<std::string>() && parseEndpoint(Address{address.get<std::string>()}))
      found.push_back(Address{address.get<std::string>()});
  return found;
}

HttpClient::~HttpClient() = default;

std::shared_ptr<HttpClient::Connection> HttpClient::takeIdleConnection(const Address& address) {
  auto taken = std::exchange(idleConnection, nullptr);
  return taken && taken->address == address && taken->isIdle() ? taken : nullptr;
}

Result<std::shared_ptr<HttpClient::Connection>, HttpError> HttpClient::connect(
    const Address& address, Duration within) {
  auto endpoint = parseEndpoint(address);
  if (!endpoint)
    return HttpError{HttpError::Kind::unreachable, endpoint.error().text()};
  auto made = std::make_shared<Connection>(loop.context, address);
  made->stream.expires_after(
      std::chrono::milliseconds(std::min<std::int64_t>(within.milliseconds, 1000)));
  IoResult connected{loop.openSocket(made->stream.socket(), endpoint.value()), 0};
  if (!connected.error)
    connected = await([&](auto done) { made->stream.async_connect(endpoint.value(), done); });
  if (connected.error)
    return HttpError{HttpError::Kind::unreachable, connected.error.message()};
  IoError ignored;
  made->stream.socket().set_option(tcp::no_delay(true), ignored);
  return made;
}

// One request and its answer. The connection is kept only after a whole answer: what comes late or
// behind it would be read as the answer to the next request.
Result<HttpResponse, HttpError> HttpClient::exchange(const std::shared_ptr<Connection>& connection,
                                                     const HttpRequest& given, Deadline deadline) {
  http::request<http::string_body> request{http::string_to_verb(given.method), given.target, 11};
  request.set(http::field::host, connection->address.value);
  for (const auto& [name, value] : given.headers)
    request.set(name, value);
  request.set(http::field::content_type, "application/json");
  const std::uint64_t number = ++lastRequestNumber;
  request.set(requestNumberHeader, std::to_string(number));
  request.body() = given.body;
  request.keep_alive(true);
  request.prepare_payload();
  connection->stream.expires_at(deadline);
  auto result = await([&](auto done) { http::async_write(connection->stream, request, done); });
  http::response<http::string_body> response;
  while (!result.error) {
    response = {};
    result = await([&](auto done) {
      http::async_read(connection->stream, connection->buffer, response, done);
    });
    // An interim answer, as 100, is followed by the one that counts; so is an earlier request's
    // that came twice.
    const bool interim =
        http::to_status_class(response.result()) == http::status_class::informational;
    const bool earlier = numberOf(response) && numberOf(response) < number;
    if (!interim && !earlier)
      break;
  }
  if (result.error == beast::error::timeout)
    return HttpError{HttpError::Kind::timedOut, "no answer in time"};
  if (result.error)
    return HttpError{HttpError::Kind::connectionLost, result.error.message()};
  // A server that repeats numbers repeats every one: what has none was said to no request of ours.
  connection->echoesRequestNumbers =
      connection->echoesRequestNumbers || response.count(requestNumberHeader);
  if (connection->echoesRequestNumbers && numberOf(response) != number)
    return HttpError{HttpError::Kind::connectionLost, "the answer is another request's"};
  HttpResponse answer;
  answer.status = int(response.result_int());
  answer.body = std::move(response.body());
  answer.retryAfter =
      Duration{std::strtoll(std::string(response["Retry-After-Ms"]).c_str(), nullptr, 10)};
  if (response.keep_alive() && connection->buffer.size() == 0)
    idleConnection = connection;
  return answer;
}

Result<HttpResponse, HttpError> HttpClient::send(const Address& address, const HttpRequest& request,
                                                 Duration within) {
  const Deadline deadline =
      std::chrono::steady_clock::now() + std::chrono::milliseconds(within.milliseconds);
  if (auto used = takeIdleConnection(address)) {
    auto answer = exchange(used, request, deadline);
    // A kept connection may end as the request leaves. Whether that was taken can't be known: only
    // what changes nothing is asked again.
    if (answer || answer.error().kind != HttpError::Kind::connectionLost || request.method != "GET")
      return answer;
  }
  auto made = connect(address, within);
  if (!made)
    return made.error();
  return exchange(made.value(), request, deadline);
}

}  // namespace aniseline
