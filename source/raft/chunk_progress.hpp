// Sender and receiver state of a chunked transfer of a snapshot or a large entry: how far a leader
// has sent it to one follower, and what the follower has received. docs/design.md 3.4.
#ifndef ANISELINE_RAFT_CHUNK_PROGRESS_HPP
#define ANISELINE_RAFT_CHUNK_PROGRESS_HPP
#include "raft/messages.hpp"

namespace aniseline {

struct Chunk {
  std::uint64_t offset = 0;  // in bytes
  std::string data;
};

// The sender's state for one receiver.
class ChunkProgress {
 public:
  // Returns the chunks that may be sent now. At most `windowBytes` of the transfer are
  // unacknowledged, except that the last chunk may exceed this limit.
  std::vector<Chunk> takeChunks(const std::string& bytes, std::size_t windowBytes,
                                std::size_t chunkBytes, RoundNumber currentRound);
  // Records that the receiver has all bytes before `nextOffset`, as stated in its reply to `round`.
  // Chunks sent before that round have either arrived or were lost; lost ones are sent again.
  void onReply(std::uint64_t nextOffset, RoundNumber round);
  // Returns the offset up to which the receiver has all bytes.
  std::uint64_t acknowledged() const { return acknowledgedOffset; }
  bool allSent(const std::string& bytes) const { return sentOffset >= bytes.size(); }

 private:
  friend struct RaftNodeFingerprint;
  std::uint64_t acknowledgedOffset = 0;
  std::uint64_t sentOffset = 0;
  RoundNumber lastChunkRound;  // round in which the latest chunk was sent
};

// The receiver's state. Bytes are accepted in order only. A chunk that does not start at the next
// missing byte is ignored, and the reply tells the sender where to continue.
class ChunkBuffer {
 public:
  void append(std::uint64_t offset, const std::string& data) {
    if (offset == bytes.size())
      bytes += data;
  }
  // Returns the offset of the first missing byte.
  std::uint64_t nextOffset() const { return bytes.size(); }
  // Returns the received bytes and empties the buffer.
  std::string take() { return std::exchange(bytes, {}); }

 private:
  friend struct RaftNodeFingerprint;
  std::string bytes;
};

}  // namespace aniseline

#endif  // ANISELINE_RAFT_CHUNK_PROGRESS_HPP
