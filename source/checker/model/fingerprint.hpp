// Encodes the part of the state of a RaftNode that determines its behaviour, as canonical bytes for
// the model checker. docs/design.md 3.
#ifndef ANISELINE_CHECKER_MODEL_FINGERPRINT_HPP
#define ANISELINE_CHECKER_MODEL_FINGERPRINT_HPP
#include "raft/node.hpp"

namespace aniseline {

// The only reader of the private state of a RaftNode and its parts. Every field added to them that
// affects behaviour must be added here; otherwise the search treats two different states as one.
struct RaftNodeFingerprint {
  // Returns the encoding. Times are encoded as ages on the clock of the node, capped where the node
  // no longer distinguishes them. Random values of the election timer, wall clock times and version
  // numbers are left out.
  static std::string of(const RaftNode& node, MonotonicTime now);

 private:
  static void addLeadership(OutputArchive& archive, const RaftNode& node, MonotonicTime now);
  static void addTransfers(OutputArchive& archive, const PeerProgress& peer);
  static void addIncoming(OutputArchive& archive, const RaftNode& node);
  static void addDisk(OutputArchive& archive, const WriteAheadQueue& writes);
};

namespace model {

// Returns a 64-bit hash that is the same on every machine.
std::uint64_t hashOf(std::string_view bytes);
std::uint64_t combineHashes(std::uint64_t left, std::uint64_t right);

}  // namespace model
}  // namespace aniseline

#endif  // ANISELINE_CHECKER_MODEL_FINGERPRINT_HPP
