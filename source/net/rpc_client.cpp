// Connects with a deadline, matches replies to pending calls, and retires unresponsive connections.
#include "net/rpc_client.hpp"
#include <netinet/tcp.h>

namespace aniseline {

namespace {

// How often a connection attempt is checked for abandonment. A small fraction of an election: once
// another controller leads, the attempt to reach the former leader is given up.
constexpr Duration connectCheckInterval{25};
// Connecting takes one round trip, or a second and more if the first packet is lost.
constexpr Duration maxConnectTime{1000};
// How often a fiber checks whether the connection attempt of another fiber has ended.
constexpr Duration connectingPollInterval{5};
constexpr Duration reconnectDelay{50};
constexpr Duration oneWayConnectTimeout{500};
// How often a waiting call checks whether it was abandoned.
constexpr Duration abandonedPollInterval{50};

bool isAbandoned(const std::function<bool()>& abandoned) {
  return abandoned && abandoned();
}

// Closes a connecting socket when the deadline passes or the caller abandons the call.
class ConnectWatchdog : public std::enable_shared_from_this<ConnectWatchdog> {
 public:
  ConnectWatchdog(EventLoop& loop, std::shared_ptr<tcp::socket> socket, MonotonicTime deadline,
                  const std::function<bool()>& abandoned)
      : timer(loop.context), socket(std::move(socket)), deadline(deadline), abandoned(abandoned) {}
  void start() {
    timer.expires_after(std::chrono::milliseconds(connectCheckInterval.milliseconds));
    timer.async_wait([self = shared_from_this()](IoError) {
      if (!self->stopped)
        self->check();
    });
  }
  void stop() {
    stopped = true;
    timer.cancel();
  }

 private:
  void check() {
    if (monotonicNow() < deadline && !isAbandoned(abandoned))
      return start();
    IoError ignored;
    socket->close(ignored);
  }
  asio::steady_timer timer;
  std::shared_ptr<tcp::socket> socket;
  MonotonicTime deadline;
  std::function<bool()> abandoned;
  bool stopped = false;
};

}  // namespace

// Makes the close discard data that was not sent or acknowledged yet. Otherwise the kernel would
// go on sending it, and a request could take effect long after its caller was told that its outcome
// is unknown.
void RpcClient::Connection::retire() {
  constexpr bool enabled = true;
  constexpr int lingerSeconds = 0;
  retired = true;
  IoError ignored;
  socket->set_option(tcp::socket::linger(enabled, lingerSeconds), ignored);
}

void RpcClient::Connection::closeIfDrained() {
  if (retired && pendingCalls.empty())
    writer->close();
}

void RpcClient::Connection::complete(WireMessage message) {
  unansweredSince.reset();
  const auto found = pendingCalls.find(message.correlationId);
  if (found == pendingCalls.end())
    return;
  const auto call = found->second;
  pendingCalls.erase(found);
  call->promise.set_value(std::move(message));
  closeIfDrained();
}

void RpcClient::Connection::failAll(const WireError& error) {
  open = false;
  writer->close();
  for (auto& [correlationId, call] : pendingCalls)
    call->promise.set_value(error);
  pendingCalls.clear();
}

RpcClient::~RpcClient() {
  if (current)
    current->writer->close();
}

void RpcClient::retireIfUnresponsive(const std::shared_ptr<Connection>& activeConnection) {
  if (activeConnection->unansweredSince &&
      monotonicNow() - *activeConnection->unansweredSince >= unresponsiveAfter) {
    activeConnection->retire();
    if (current == activeConnection)
      current.reset();
  }
  activeConnection->closeIfDrained();
}

std::shared_ptr<RpcClient::Connection> RpcClient::connection(
    Duration timeout, const std::function<bool()>& abandoned) {
  if (current && current->open)
    return current;
  const MonotonicTime deadline = monotonicNow() + std::min(timeout, maxConnectTime);
  while (connecting) {
    if (monotonicNow() >= deadline || isAbandoned(abandoned))
      return nullptr;
    sleepFor(connectingPollInterval);
  }
  if (current && current->open)
    return current;
  if (monotonicNow() < reconnectNotBefore)
    return nullptr;
  return connect(deadline, abandoned);
}

std::shared_ptr<RpcClient::Connection> RpcClient::connect(MonotonicTime deadline,
                                                          const std::function<bool()>& abandoned) {
  auto endpoint = parseEndpoint(address);
  if (!endpoint)
    return nullptr;
  connecting = true;
  auto newConnection = std::make_shared<Connection>();
  newConnection->socket = std::make_shared<tcp::socket>(loop.context);
  IoError error = loop.openSocket(*newConnection->socket, endpoint.value());
  auto watchdog =
      std::make_shared<ConnectWatchdog>(loop, newConnection->socket, deadline, abandoned);
  if (!error) {
    watchdog->start();
    error = await([&](auto done) {
              newConnection->socket->async_connect(endpoint.value(), done);
            }).error;
  }
  watchdog->stop();
  connecting = false;
  if (error) {
    reconnectNotBefore = monotonicNow() + reconnectDelay;
    return nullptr;
  }
  configureSocket(*newConnection->socket);
  startFibers(newConnection);
  current = newConnection;
  return newConnection;
}

void RpcClient::configureSocket(tcp::socket& socket) const {
  using UserTimeout = asio::detail::socket_option::integer<IPPROTO_TCP, TCP_USER_TIMEOUT>;
  IoError ignored;
  socket.set_option(tcp::no_delay(true), ignored);
  if (stallTimeout)
    socket.set_option(UserTimeout(int(stallTimeout->milliseconds)), ignored);
}

void RpcClient::startFibers(const std::shared_ptr<Connection>& newConnection) {
  newConnection->writer = std::make_shared<WireWriter>(newConnection->socket);
  spawn([writer = newConnection->writer] { writer->run(); });
  spawn([newConnection] {
    FrameReader reader(newConnection->socket);
    for (;;) {
      auto message = reader.readNext();
      if (!message)
        return newConnection->failAll(message.error());
      newConnection->complete(std::move(message.value()));
    }
  });
}

Result<WireMessage, WireError> RpcClient::call(WireBody body, Duration timeout,
                                               const std::function<bool()>& abandoned) {
  auto activeConnection = connection(timeout, abandoned);
  if (!activeConnection)
    return WireError{WireError::Kind::unreachable, address.value + " could not be reached"};
  const std::uint64_t correlationId = nextCorrelationId++;
  auto pending = std::make_shared<PendingCall>();
  auto future = pending->promise.get_future();
  activeConnection->pendingCalls[correlationId] = pending;
  if (!activeConnection->writer->send(encode(WireMessage{correlationId, std::move(body)}))) {
    activeConnection->pendingCalls.erase(correlationId);
    return WireError{WireError::Kind::unreachable,
                     "the send queue to " + address.value + " is full"};
  }
  const MonotonicTime sentAt = monotonicNow();
  const MonotonicTime deadline = sentAt + timeout;
  if (!activeConnection->unansweredSince)
    activeConnection->unansweredSince = sentAt;
  while (monotonicNow() < deadline && !isAbandoned(abandoned)) {
    const Duration interval = abandoned ? abandonedPollInterval : timeout;
    const Duration slice = std::min(interval, deadline - monotonicNow());
    if (future.wait_for(std::chrono::milliseconds(slice.milliseconds)) ==
        boost::fibers::future_status::ready)
      return future.get();
  }
  activeConnection->pendingCalls.erase(correlationId);
  retireIfUnresponsive(activeConnection);
  return WireError{WireError::Kind::timedOut, address.value + " did not answer in time"};
}

bool RpcClient::sendOneWay(const WireMessage& message) {
  auto activeConnection = connection(oneWayConnectTimeout, {});
  return activeConnection && activeConnection->writer->send(encode(message));
}

std::shared_ptr<RpcClient> RpcClientPool::clientFor(const Address& address) {
  auto& client = clients[address];
  if (!client)
    client = std::make_shared<RpcClient>(loop, address);
  return client;
}

std::optional<RouteReply> queryRoute(RpcClient& client, const RouteQuery& query, Duration timeout) {
  auto answer = client.call(query, timeout);
  auto* reply = answer ? boost::get<RouteReply>(&answer.value().body) : nullptr;
  return reply ? std::optional(std::move(*reply)) : std::nullopt;
}

}  // namespace aniseline
