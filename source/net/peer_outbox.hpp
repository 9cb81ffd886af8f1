// The queue of messages to one peer, bounded in bytes. docs/design.md 3.4.
#ifndef ANISELINE_NET_PEER_OUTBOX_HPP
#define ANISELINE_NET_PEER_OUTBOX_HPP
#include "raft/node.hpp"

namespace aniseline {

// Consensus makes good what is lost, so beyond the bound a message is dropped; but one that is
// larger than the bound alone still passes.
class PeerOutbox {
 public:
  explicit PeerOutbox(std::size_t maxBytes) : maxBytes(maxBytes) {}

  // False: the message does not fit and is dropped.
  bool push(PeerMessage message) {
    const std::size_t bytes = payloadBytes(message) + messageOverheadBytes;
    if (!messages.empty() && queuedBytes + bytes > maxBytes)
      return false;
    queuedBytes += bytes;
    messages.push_back(std::move(message));
    return true;
  }
  // The oldest message; there has to be one.
  PeerMessage pop() {
    PeerMessage message = std::move(messages.front());
    messages.pop_front();
    queuedBytes -= payloadBytes(message) + messageOverheadBytes;
    return message;
  }
  bool empty() const { return messages.empty(); }
  std::size_t bytes() const { return queuedBytes; }

 private:
  static constexpr std::size_t messageOverheadBytes = sizeof(PeerMessage);  // without its payload
  std::size_t maxBytes;
  std::size_t queuedBytes = 0;
  std::deque<PeerMessage> messages;
};

}  // namespace aniseline

#endif  // ANISELINE_NET_PEER_OUTBOX_HPP
