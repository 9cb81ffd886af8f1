// Window and retransmission logic of a transfer in chunks.
#include "raft/chunk_progress.hpp"

namespace aniseline {

std::vector<Chunk> ChunkProgress::takeChunks(const std::string& bytes, std::size_t windowBytes,
                                             std::size_t chunkBytes, RoundNumber currentRound) {
  std::vector<Chunk> chunks;
  while (!allSent(bytes) && sentOffset - acknowledgedOffset < windowBytes) {
    chunks.push_back({sentOffset, bytes.substr(sentOffset, chunkBytes)});
    sentOffset += chunks.back().data.size();
    lastChunkRound = currentRound;
  }
  return chunks;
}

void ChunkProgress::onReply(std::uint64_t nextOffset, RoundNumber round) {
  const bool lost = round > lastChunkRound && nextOffset < sentOffset;
  acknowledgedOffset = lost ? nextOffset : std::max(acknowledgedOffset, nextOffset);
  sentOffset = lost ? nextOffset : std::max(sentOffset, nextOffset);
}

}  // namespace aniseline
