// Queues the messages to one peer, with a bound in bytes. docs/design.md 3.4.
#ifndef ANISELINE_NET_PEER_OUTBOX_HPP
#define ANISELINE_NET_PEER_OUTBOX_HPP
#include "raft/node.hpp"

namespace aniseline {

// Drops messages beyond the bound; Raft recovers from lost messages. A single message that is
// larger than the bound is still accepted if the queue is empty.
class PeerOutbox {
 public:
  explicit PeerOutbox(std::size_t maxBytes) : maxBytes(maxBytes) {}

  // Returns false if the message does not fit and is dropped.
  bool push(PeerMessage message) {
    const std::size_t bytes = payloadBytes(message) + messageOverheadBytes;
    if (!messages.empty() && queuedBytes + bytes > maxBytes)
      return false;
    queuedBytes += bytes;
    messages.push_back(std::move(message));
    return true;
  }
  // Removes and returns the oldest message. The queue must not be empty.
  PeerMessage pop() {
    PeerMessage message = std::move(messages.front());
    messages.pop_front();
    queuedBytes -= payloadBytes(message) + messageOverheadBytes;
    return message;
  }
  bool empty() const { return messages.empty(); }
  std::size_t bytes() const { return queuedBytes; }

 private:
  static constexpr std::size_t messageOverheadBytes = sizeof(PeerMessage);  // without the payload
  std::size_t maxBytes;
  std::size_t queuedBytes = 0;
  std::deque<PeerMessage> messages;
};

}  // namespace aniseline

#endif  // ANISELINE_NET_PEER_OUTBOX_HPP
