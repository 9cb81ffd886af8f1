// Transports messages between controllers, and requests from gateways and agents, over the internal
// wire protocol. docs/design.md 3.4, 9.3.
//
// Everything here runs on the event loop's thread. Each accepted connection has a reading and a
// writing fiber; each destination address has a sending fiber.
#ifndef ANISELINE_DAEMONS_PEER_TRANSPORT_HPP
#define ANISELINE_DAEMONS_PEER_TRANSPORT_HPP
#include "net/peer_outbox.hpp"
#include "net/wire_connection.hpp"
#include "net/rpc_client.hpp"

namespace aniseline {

// Sends consensus messages through one bounded queue and one connection per address. Consensus
// recovers from messages that exceed the queue's limit or are lost in transit. A connection that
// makes no progress for `stallTimeout` is replaced: behind a network partition TCP would wait ever
// longer between two retransmissions, and go on waiting after the partition has healed.
class PeerSender {
 public:
  PeerSender(EventLoop& loop, std::size_t maxQueuedBytes, Duration stallTimeout)
      : loop(loop), maxQueuedBytes(maxQueuedBytes), stallTimeout(stallTimeout) {}
  // Queues a message. Drops it if it has no address.
  void send(PeerMessage message);

 private:
  struct Outbox {
    explicit Outbox(std::size_t maxBytes) : messages(maxBytes) {}
    boost::fibers::mutex mutex;
    boost::fibers::condition_variable queueChanged;
    PeerOutbox messages;
  };
  Outbox& outboxFor(const Address& address);
  void sendFrom(Outbox& outbox, const Address& address);

  EventLoop& loop;
  std::size_t maxQueuedBytes;
  Duration stallTimeout;
  std::map<Address, std::shared_ptr<Outbox>> outboxes;
};

// Accepts connections from other processes and passes the messages that they send to the handlers.
class PeerServer {
 public:
  using Connection = std::shared_ptr<WireWriter>;
  struct Handlers {
    std::function<void(WireMessage, const Connection&)> onMessage;
    std::function<void(const Connection&)> onClosed;
  };
  PeerServer(EventLoop& loop, Handlers handlers) : loop(loop), handlers(std::move(handlers)) {}
  // Starts accepting connections. The address must be one that `parseEndpoint` accepts.
  IoError listen(const Address& address);
  // Closes the listening socket. Open connections stay open until the process ends.
  void stop();
  // Waits until all messages sent on open connections have been written to their sockets. Returns
  // false if some are still queued after `timeout`.
  bool flush(Duration timeout) const;

 private:
  void acceptConnections(const std::shared_ptr<tcp::acceptor>& acceptor);
  void serveConnection(const std::shared_ptr<tcp::socket>& socket);

  EventLoop& loop;
  Handlers handlers;
  std::shared_ptr<tcp::acceptor> listener;
  std::set<Connection> connections;
  bool stopping = false;
};

// Maps each request that the core is processing to the connection that awaits its response.
class PendingResponses {
 public:
  // Registers a request and returns the number by which the core identifies it.
  RequestNumber add(const PeerServer::Connection& connection, std::uint64_t correlationId);
  // Sends the response. Does nothing if the connection has been closed meanwhile.
  void respond(RequestNumber number, ApiResponse response);
  void dropConnection(const PeerServer::Connection& connection);

 private:
  struct Requester {
    PeerServer::Connection connection;
    std::uint64_t correlationId = 0;
  };
  std::map<RequestNumber, Requester> requesters;
  RequestNumber lastNumber;
};

}  // namespace aniseline

#endif  // ANISELINE_DAEMONS_PEER_TRANSPORT_HPP
