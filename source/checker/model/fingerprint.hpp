// What of a RaftNode decides its further behaviour, as canonical bytes for the model checker.
// docs/design.md 3.
#ifndef ANISELINE_CHECKER_MODEL_FINGERPRINT_HPP
#define ANISELINE_CHECKER_MODEL_FINGERPRINT_HPP
#include "raft/node.hpp"

namespace aniseline {

// The one reader of the private state of a RaftNode and of its parts. A field that is added to one
// of them and changes what it does must be added here: left out, the search takes two different
// states for one.
struct RaftNodeFingerprint {
  // Times are ages on the node's own clock, cut off where the node tells them apart no more; draws
  // of the election timer, calendar clocks and version numbers are left out.
  static std::string of(const RaftNode& node, MonotonicTime now);

 private:
  static void addLeadership(OutputArchive& archive, const RaftNode& node, MonotonicTime now);
  static void addTransfers(OutputArchive& archive, const PeerProgress& peer);
  static void addIncoming(OutputArchive& archive, const RaftNode& node);
  static void addDisk(OutputArchive& archive, const WriteAheadQueue& writes);
};

namespace model {

// A hash of 64 bits that is the same on every machine.
std::uint64_t hashOf(std::string_view bytes);
std::uint64_t combineHashes(std::uint64_t left, std::uint64_t right);

}  // namespace model
}  // namespace aniseline

#endif  // ANISELINE_CHECKER_MODEL_FINGERPRINT_HPP
