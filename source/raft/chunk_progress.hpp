// The two ends of a transfer in chunks, of a snapshot or a large entry: how far a leader has sent
// it to one follower, and what a follower has received of it. docs/design.md 3.4.
#ifndef ANISELINE_RAFT_CHUNK_PROGRESS_HPP
#define ANISELINE_RAFT_CHUNK_PROGRESS_HPP
#include "raft/messages.hpp"

namespace aniseline {

struct Chunk {
  std::uint64_t offset = 0;  // in bytes
  std::string data;
};

// The sending end, for one receiver.
class ChunkProgress {
 public:
  // The chunks that may be sent now: at most `windowBytes` of the transfer are unacknowledged, but
  // for the end of the last chunk.
  std::vector<Chunk> takeChunks(const std::string& bytes, std::size_t windowBytes,
                                std::size_t chunkBytes, RoundNumber currentRound);
  // The receiver has everything before `nextOffset` and said so in answer to `round`. Whatever was
  // sent before that round has arrived by now or is lost, and is sent again.
  void onReply(std::uint64_t nextOffset, RoundNumber round);
  // The receiver has all bytes before this offset.
  std::uint64_t acknowledged() const { return acknowledgedOffset; }
  bool allSent(const std::string& bytes) const { return sentOffset >= bytes.size(); }

 private:
  friend struct RaftNodeFingerprint;
  std::uint64_t acknowledgedOffset = 0;
  std::uint64_t sentOffset = 0;
  RoundNumber lastChunkRound;  // in which the latest chunk was sent
};

// The receiving end. Bytes are taken in order; a chunk that does not continue them is ignored, and
// the reply tells the sender where to go on.
class ChunkBuffer {
 public:
  void append(std::uint64_t offset, const std::string& data) {
    if (offset == bytes.size())
      bytes += data;
  }
  // The offset of the first byte that is missing.
  std::uint64_t nextOffset() const { return bytes.size(); }
  // The bytes received; the buffer is empty afterwards.
  std::string take() { return std::exchange(bytes, {}); }

 private:
  friend struct RaftNodeFingerprint;
  std::string bytes;
};

}  // namespace aniseline

#endif  // ANISELINE_RAFT_CHUNK_PROGRESS_HPP
