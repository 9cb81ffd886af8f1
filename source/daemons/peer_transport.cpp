// Implements the sending, accepting and serving fibers of peer connections.
#include "daemons/peer_transport.hpp"
#include "net/log.hpp"

namespace aniseline {

namespace {

constexpr Duration flushPollInterval{5};

}  // namespace

void PeerSender::send(PeerMessage message) {
  if (message.toAddress.value.empty())
    return;
  Outbox& outbox = outboxFor(message.toAddress);
  const std::unique_lock lock(outbox.mutex);
  outbox.messages.push(std::move(message));
  outbox.queueChanged.notify_one();
}

PeerSender::Outbox& PeerSender::outboxFor(const Address& address) {
  auto& outbox = outboxes[address];
  if (!outbox) {
    outbox = std::make_shared<Outbox>(maxQueuedBytes);
    spawn([this, outbox, address] { sendFrom(*outbox, address); });
  }
  return *outbox;
}

void PeerSender::sendFrom(Outbox& outbox, const Address& address) {
  RpcClient client(loop, address);
  client.setStallTimeout(stallTimeout);
  for (;;) {
    PeerMessage message;
    {
      std::unique_lock lock(outbox.mutex);
      outbox.queueChanged.wait(lock, [&] { return !outbox.messages.empty(); });
      message = outbox.messages.pop();
    }
    client.sendOneWay(WireMessage{0, std::move(message)});
  }
}

IoError PeerServer::listen(const Address& address) {
  auto endpoint = parseEndpoint(address);
  if (!endpoint)
    return asio::error::make_error_code(asio::error::invalid_argument);
  listener = std::make_shared<tcp::acceptor>(loop.context);
  if (const IoError error = listenOn(*listener, endpoint.value(), peerBacklog))
    return error;
  spawn([this, acceptor = listener] { acceptConnections(acceptor); });
  return {};
}

void PeerServer::stop() {
  stopping = true;
  IoError ignored;
  if (listener)
    listener->close(ignored);
}

bool PeerServer::flush(Duration timeout) const {
  const MonotonicTime deadline = monotonicNow() + timeout;
  auto isFlushed = [](const Connection& connection) {
    return connection->isFlushed();
  };
  while (!std::all_of(connections.begin(), connections.end(), isFlushed)) {
    if (monotonicNow() >= deadline)
      return false;
    sleepFor(flushPollInterval);
  }
  return true;
}

void PeerServer::acceptConnections(const std::shared_ptr<tcp::acceptor>& acceptor) {
  while (!stopping) {
    auto socket = std::make_shared<tcp::socket>(loop.context);
    if (acceptNext(*acceptor, *socket)) {
      sleepFor(acceptRetryDelay);
      continue;
    }
    spawn([this, socket] { serveConnection(socket); });
  }
}

void PeerServer::serveConnection(const std::shared_ptr<tcp::socket>& socket) {
  IoError ignored;
  socket->set_option(tcp::no_delay(true), ignored);
  auto connection = std::make_shared<WireWriter>(socket);
  connections.insert(connection);
  spawn([connection] { connection->run(); });
  WireReader reader(socket);
  for (;;) {
    auto message = reader.readNext();
    if (message) {
      handlers.onMessage(std::move(message.value()), connection);
      continue;
    }
    if (message.error().kind == WireError::Kind::malformed)
      log(LogLevel::warning, log_events::peerMessageRejected,
          {{"code", json(name(message.error().kind))}, {"error", json(message.error().text)}});
    break;
  }
  connection->close();
  connections.erase(connection);
  handlers.onClosed(connection);
}

RequestNumber PendingResponses::add(const PeerServer::Connection& connection,
                                    std::uint64_t correlationId) {
  lastNumber = lastNumber.next();
  requesters[lastNumber] = {connection, correlationId};
  return lastNumber;
}

void PendingResponses::respond(RequestNumber number, ApiResponse response) {
  const auto found = requesters.find(number);
  if (found == requesters.end())
    return;
  const Requester& requester = found->second;
  requester.connection->send(encode(WireMessage{requester.correlationId, std::move(response)}));
  requesters.erase(found);
}

void PendingResponses::dropConnection(const PeerServer::Connection& connection) {
  std::erase_if(requesters,
                [&](const auto& entry) { return entry.second.connection == connection; });
}

}  // namespace aniseline
