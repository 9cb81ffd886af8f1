// Reads and writes wire messages on one TCP connection. docs/design.md 9.3.
//
// Used by fibers of one thread: one fiber reads, one fiber runs the writer, and any fiber may send.
#ifndef ANISELINE_NET_WIRE_CONNECTION_HPP
#define ANISELINE_NET_WIRE_CONNECTION_HPP
#include "net/event_loop.hpp"
#include "net/wire.hpp"

namespace aniseline {

// Reads the frames of one connection. It reads all bytes that have arrived, up to a buffer, at
// once, so that many small messages cost one system call and one wake-up. Used by one fiber.
class FrameReader {
 public:
  explicit FrameReader(std::shared_ptr<tcp::socket> socket) : socket(std::move(socket)) {}
  // Returns the next message. Another wire format or an invalid message is an error of kind
  // `malformed`, after which the connection has to be closed.
  Result<WireMessage, WireError> readNext();

 private:
  std::size_t buffered() const { return end - begin; }
  // Reads until at least this many bytes are buffered.
  IoError fill(std::size_t bytes);
  void makeRoom(std::size_t bytes);

  std::shared_ptr<tcp::socket> socket;
  std::string buffer;
  std::size_t begin = 0;  // the unread part of the buffer
  std::size_t end = 0;
};

// Reads the messages of one peer on one connection and drops duplicates. Correlation ids increase
// on a connection, so a message with a lower or equal id is a duplicate.
class WireReader {
 public:
  explicit WireReader(std::shared_ptr<tcp::socket> socket) : frames(std::move(socket)) {}
  // Returns the next message that is not a duplicate of an earlier one.
  Result<WireMessage, WireError> readNext();

 private:
  FrameReader frames;
  std::uint64_t lastCorrelationId = 0;
};

// The bound of a connection's write queue, in bytes. It is large enough for the largest responses;
// Raft messages to a peer are limited more tightly by the peer's window. A single message that is
// larger is still accepted if the queue is empty.
constexpr std::size_t maxQueuedBytes = 16 * 1024 * 1024;

// Writes queued messages in order to one socket. Shared by the fibers of its connection.
class WireWriter {
 public:
  explicit WireWriter(std::shared_ptr<tcp::socket> socket) : socket(std::move(socket)) {}
  // Queues an encoded message. Returns false if the queue is full or the connection has ended.
  bool send(std::string bytes);
  // Writes queued messages until the connection ends; must run in its own fiber.
  void run();
  // Reports whether all queued messages were passed to the kernel or the connection has ended.
  bool isFlushed() const { return closed || (queue.empty() && !writing); }
  // Closes the connection and discards the queued messages.
  void close();

 private:
  // Waits for queued messages and returns them joined for one write, or nothing once the connection
  // has ended.
  std::optional<std::string> nextBatch();

  std::shared_ptr<tcp::socket> socket;
  std::deque<std::string> queue;
  std::size_t queuedBytes = 0;
  bool writing = false;  // whether a batch taken from the queue is being written
  bool closed = false;
  boost::fibers::mutex mutex;
  boost::fibers::condition_variable queueChanged;
};

}  // namespace aniseline

#endif  // ANISELINE_NET_WIRE_CONNECTION_HPP
