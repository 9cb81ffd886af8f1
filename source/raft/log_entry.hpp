// The parts of a controller's log: entries, and the snapshot that replaces a prefix of them.
// docs/design.md 3.2, 3.4.
#ifndef ANISELINE_RAFT_LOG_ENTRY_HPP
#define ANISELINE_RAFT_LOG_ENTRY_HPP
#include "raft/member.hpp"

namespace aniseline {

// One entry of the replicated log. Indexes start at 1 and are not stored in the entry.
struct LogEntry {
  Term term;
  // If set, the payload is a serialized Membership, which takes effect as soon as the entry is
  // appended. Otherwise the payload is opaque to the consensus module.
  bool isMembership = false;
  std::string payload;
  template <class Archive>
  void serialize(Archive& archive, unsigned) {
    archive& term& isMembership& payload;
  }
};

// Returns the approximate size of an entry in memory and on the network, in bytes: its payload and
// an estimate of its header.
inline std::size_t bytesOf(const LogEntry& entry) {
  return entry.payload.size() + sizeof(LogEntry);
}

// Returns the index before this one; `index` must not be 0.
inline LogIndex indexBefore(LogIndex index) {
  return LogIndex{index.value - 1};
}

// The replicated state after all entries up to `lastIncludedIndex` have been applied.
// docs/design.md 3.4.
struct Snapshot {
  LogIndex lastIncludedIndex;
  Term lastIncludedTerm;
  Membership membership;  // membership in force at lastIncludedIndex
  std::string state;      // opaque to the consensus module
  template <class Archive>
  void serialize(Archive& archive, unsigned) {
    archive& lastIncludedIndex& lastIncludedTerm& membership& state;
  }
};

}  // namespace aniseline

#endif  // ANISELINE_RAFT_LOG_ENTRY_HPP
