// Reading and writing wire messages on one TCP connection. docs/design.md 9.3.
//
// For the fibers of one thread: one fiber reads, one runs the writer, any may send.
#ifndef ANISELINE_NET_WIRE_CONNECTION_HPP
#define ANISELINE_NET_WIRE_CONNECTION_HPP
#include "net/event_loop.hpp"
#include "net/wire.hpp"

namespace aniseline {

// Reads one message. A peer that speaks another format, or sends what can't be read, is an error of
// kind `malformed`, after which the connection has to end.
Result<WireMessage, WireError> readMessage(tcp::socket& socket);

// Reads what one peer sends on one connection. A caller's correlation ids only rise there, so a
// request whose bytes come twice is handed out once.
class WireReader {
 public:
  explicit WireReader(std::shared_ptr<tcp::socket> socket) : socket(std::move(socket)) {}
  // The next message that is no repetition of an earlier one.
  Result<WireMessage, WireError> readNext();

 private:
  std::shared_ptr<tcp::socket> socket;
  std::uint64_t lastCorrelationId = 0;
};

// What may wait to be written on one connection, in bytes: enough for the largest answers. What
// consensus queues to a peer is bounded more tightly by the peer's window. A single larger message
// still passes.
constexpr std::size_t maxQueuedBytes = 16 * 1024 * 1024;

// Writes queued messages in order on one socket. Owned jointly by the fibers of its connection.
class WireWriter {
 public:
  explicit WireWriter(std::shared_ptr<tcp::socket> socket) : socket(std::move(socket)) {}
  // Queues an encoded message. False: the queue is full or the connection has ended.
  bool send(std::string bytes);
  // Writes until the connection ends; runs in a fiber of its own.
  void run();
  // Everything queued has been handed to the kernel, or the connection has ended.
  bool isFlushed() const { return closed || (queue.empty() && !writing); }
  // Ends the connection; what is queued is lost.
  void close();

 private:
  // Queued messages joined to one write; nothing once the connection has ended.
  std::optional<std::string> nextBatch();

  std::shared_ptr<tcp::socket> socket;
  std::deque<std::string> queue;
  std::size_t queuedBytes = 0;
  bool writing = false;  // a batch that has left the queue
  bool closed = false;
  boost::fibers::mutex mutex;
  boost::fibers::condition_variable queueChanged;
};

}  // namespace aniseline

#endif  // ANISELINE_NET_WIRE_CONNECTION_HPP
