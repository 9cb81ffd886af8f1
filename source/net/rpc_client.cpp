#include "net/rpc_client.hpp"

namespace aniseline {

namespace {

// How often a connection that is being made is checked: a small part of an election, after which
// another leads and this one is not waited for.
constexpr Duration connectCheckInterval{25};
// A connection takes a round trip, or a second and more when its first packet is lost.
constexpr Duration maxConnectTime{1000};
// While another fiber connects.
constexpr Duration connectingPollInterval{5};
constexpr Duration reconnectDelay{50};
constexpr Duration oneWayConnectTimeout{500};
// How often a waiting call asks whether it was abandoned.
constexpr Duration abandonedPollInterval{50};

bool isAbandoned(const std::function<bool()>& abandoned) {
  return abandoned && abandoned();
}

// Closes a socket that connects once its time is over or its caller has abandoned the call.
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

void RpcClient::retireIfUnresponsive(const std::shared_ptr<Connection>& link) {
  if (link->unansweredSince && monotonicNow() - *link->unansweredSince >= unresponsiveAfter) {
    link->retired = true;
    if (current == link)
      current.reset();
  }
  link->closeIfDrained();
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
  auto made = std::make_shared<Connection>();
  made->socket = std::make_shared<tcp::socket>(loop.context);
  IoError error = loop.openSocket(*made->socket, endpoint.value());
  auto watchdog = std::make_shared<ConnectWatchdog>(loop, made->socket, deadline, abandoned);
  if (!error) {
    watchdog->start();
    error = await([&](auto done) { made->socket->async_connect(endpoint.value(), done); }).error;
  }
  watchdog->stop();
  connecting = false;
  if (error) {
    reconnectNotBefore = monotonicNow() + reconnectDelay;
    return nullptr;
  }
  startFibers(made);
  current = made;
  return made;
}

void RpcClient::startFibers(const std::shared_ptr<Connection>& made) {
  IoError ignored;
  made->socket->set_option(tcp::no_delay(true), ignored);
  made->writer = std::make_shared<WireWriter>(made->socket);
  spawn([writer = made->writer] { writer->run(); });
  spawn([made] {
    for (;;) {
      auto message = readMessage(*made->socket);
      if (!message)
        return made->failAll(message.error());
      made->complete(std::move(message.value()));
    }
  });
}

Result<WireMessage, WireError> RpcClient::call(WireBody body, Duration timeout,
                                               const std::function<bool()>& abandoned) {
  auto link = connection(timeout, abandoned);
  if (!link)
    return WireError{WireError::Kind::unreachable, address.value + " can't be reached"};
  const std::uint64_t correlationId = nextCorrelationId++;
  auto pending = std::make_shared<PendingCall>();
  auto future = pending->promise.get_future();
  link->pendingCalls[correlationId] = pending;
  if (!link->writer->send(encode(WireMessage{correlationId, std::move(body)}))) {
    link->pendingCalls.erase(correlationId);
    return WireError{WireError::Kind::unreachable, "the link to " + address.value + " is full"};
  }
  const MonotonicTime sentAt = monotonicNow();
  const MonotonicTime deadline = sentAt + timeout;
  if (!link->unansweredSince)
    link->unansweredSince = sentAt;
  while (monotonicNow() < deadline && !isAbandoned(abandoned)) {
    const Duration interval = abandoned ? abandonedPollInterval : timeout;
    const Duration slice = std::min(interval, deadline - monotonicNow());
    if (future.wait_for(std::chrono::milliseconds(slice.milliseconds)) ==
        boost::fibers::future_status::ready)
      return future.get();
  }
  link->pendingCalls.erase(correlationId);
  retireIfUnresponsive(link);
  return WireError{WireError::Kind::timedOut, address.value + " did not answer in time"};
}

bool RpcClient::sendOneWay(const WireMessage& message) {
  auto link = connection(oneWayConnectTimeout, {});
  return link && link->writer->send(encode(message));
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
