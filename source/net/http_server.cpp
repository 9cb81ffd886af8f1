// Accepts connections, rejects them when there are too many, and runs the shutdown stages.
#include "net/http_server.hpp"
#include "net/http_connection.hpp"
#include "net/http_status.hpp"

namespace aniseline {

namespace {

// The number of connections beyond the limit that still get a response with status 503.
constexpr std::size_t rejectionReserve = 32;
constexpr Duration overloadedRetryDelay{1000};

ApiResponse rejectOverloaded(const HttpRequest&) {
  return ApiResponse::error(http_status::serviceUnavailable, "overloaded",
                            "this server has too many connections; the request was not processed",
                            overloadedRetryDelay);
}

}  // namespace

HttpServer::~HttpServer() {
  stop();
  if (acceptFiber.joinable())
    acceptFiber.join();
}

std::optional<ListenError> HttpServer::listen(const Address& address, bool shared) {
  auto endpoint = parseEndpoint(address);
  if (!endpoint)
    return ListenError{address, asio::error::make_error_code(asio::error::invalid_argument)};
  acceptor = std::make_shared<tcp::acceptor>(loop.context);
  if (const IoError error = listenOn(*acceptor, endpoint.value(), clientBacklog, shared))
    return ListenError{address, error};
  acceptFiber = startFiber([this, listening = acceptor] { acceptConnections(listening); });
  return std::nullopt;
}

void HttpServer::acceptConnections(const std::shared_ptr<tcp::acceptor>& listening) {
  while (stage < Stage::stopped) {
    tcp::socket socket(loop.context);
    const IoError error = acceptNext(*listening, socket);
    if (!error)
      startConnection(std::move(socket));
    else if (stage < Stage::stopped)
      sleepFor(acceptRetryDelay);
  }
}

// The kernel resets established connections in the backlog when the listening socket is closed, so
// they are accepted first.
void HttpServer::acceptBacklog() {
  IoError error;
  while (!error) {
    tcp::socket socket(loop.context);
    acceptor->accept(socket, error);
    if (!error)
      startConnection(std::move(socket));
  }
}

void HttpServer::startConnection(tcp::socket socket) {
  static const Handler rejectingHandler = rejectOverloaded;
  static const Stage closingStage = Stage::closing;
  if (connections.size() >= limits.maxConnections + rejectionReserve)
    return;
  const bool overloaded = connections.size() >= limits.maxConnections;
  auto connection = std::make_shared<HttpConnection>(std::move(socket), limits,
                                                     overloaded ? rejectingHandler : handler,
                                                     overloaded ? closingStage : stage);
  connections.insert(connection.get());
  spawn([this, connection] {
    connection->serve();
    connections.erase(connection.get());
  });
}

void HttpServer::drain() {
  stage = std::max(stage, Stage::draining);
}

void HttpServer::stop() {
  if (stage >= Stage::stopped)
    return;
  stage = Stage::stopped;
  if (!acceptor)
    return;
  acceptBacklog();
  IoError ignored;
  acceptor->close(ignored);
}

void HttpServer::closeIdleConnections(Duration minIdleTime) {
  stop();
  stage = Stage::closing;
  for (HttpConnection* connection : connections)
    connection->closeIfIdle(minIdleTime);
}

ConnectionCounts HttpServer::counts() const {
  ConnectionCounts counts;
  for (const HttpConnection* connection : connections) {
    if (connection->isIdle())
      ++counts.idle;
    else if (connection->isAnswering())
      ++counts.answering;
    else
      ++counts.other;
  }
  return counts;
}

}  // namespace aniseline
