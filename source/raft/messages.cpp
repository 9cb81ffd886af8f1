// Computes the payload size of a peer message for flow control.
#include "raft/messages.hpp"

namespace aniseline {

std::size_t payloadBytes(const PeerMessage& message) {
  if (const auto* append = boost::get<AppendEntries>(&message.body)) {
    std::size_t bytes = 0;
    for (const auto& entry : append->entries)
      bytes += bytesOf(entry);
    return bytes;
  }
  if (const auto* install = boost::get<InstallSnapshot>(&message.body))
    return install->data.size();
  const auto* chunk = boost::get<AppendEntryChunk>(&message.body);
  return chunk ? chunk->data.size() : 0;
}

}  // namespace aniseline
