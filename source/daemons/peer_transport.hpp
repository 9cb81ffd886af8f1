// Messages between controllers, and requests from gateways and agents, over the inner wire.
// docs/design.md 3.4, 9.3.
//
// Everything here belongs to the event loop's thread; each connection has a reading and a writing
// fiber, each peer that is sent to has a sending fiber.
#ifndef ANISELINE_DAEMONS_PEER_TRANSPORT_HPP
#define ANISELINE_DAEMONS_PEER_TRANSPORT_HPP
#include "net/peer_outbox.hpp"
#include "net/wire_connection.hpp"
#include "net/rpc_client.hpp"

namespace aniseline {

// Sends consensus messages, through one bounded queue and one connection for each address. A
// message that does not fit, or is lost on the way, is made good by consensus.
class PeerSender {
 public:
  PeerSender(EventLoop& loop, std::size_t maxQueuedBytes)
      : loop(loop), maxQueuedBytes(maxQueuedBytes) {}
  // A message without an address is dropped.
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
  std::map<Address, std::shared_ptr<Outbox>> outboxes;
};

// Accepts connections of other processes and hands out what they send.
class PeerServer {
 public:
  using Connection = std::shared_ptr<WireWriter>;
  struct Handlers {
    std::function<void(WireMessage, const Connection&)> onMessage;
    std::function<void(const Connection&)> onClosed;
  };
  PeerServer(EventLoop& loop, Handlers handlers) : loop(loop), handlers(std::move(handlers)) {}
  // The address must be one that `parseEndpoint` reads.
  IoError listen(const Address& address);
  // Closes the listening socket; open connections end with the process.
  void stop();
  // Waits until what was sent on open connections has left the process, at most so long. False:
  // something is still queued.
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

// Which connection waits for the answer to which request of the core.
class PendingResponses {
 public:
  // The number under which the core is handed the request.
  RequestNumber add(const PeerServer::Connection& connection, std::uint64_t correlationId);
  // Sends the answer; nothing happens when the connection has closed since.
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
