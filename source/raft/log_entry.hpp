// What a controller's log consists of: entries, and the snapshot that replaces a prefix of them.
// docs/design.md 3.2, 3.4.
#ifndef ANISELINE_RAFT_LOG_ENTRY_HPP
#define ANISELINE_RAFT_LOG_ENTRY_HPP
#include "raft/member.hpp"

namespace aniseline {

// One entry of the replicated log. Indices begin at 1 and are not stored in the entry.
struct LogEntry {
  Term term;
  // The payload is a packed Membership, which is in force as soon as the entry is in the log.
  // Otherwise it is opaque to the consensus module.
  bool isMembership = false;
  std::string payload;
  template <class Archive>
  void serialize(Archive& archive, unsigned) {
    archive& term& isMembership& payload;
  }
};

// What an entry takes in memory and on a link, in bytes: its payload and roughly its header.
inline std::size_t bytesOf(const LogEntry& entry) {
  return entry.payload.size() + sizeof(LogEntry);
}

// The index before this one; `index` must not be 0.
inline LogIndex indexBefore(LogIndex index) {
  return LogIndex{index.value - 1};
}

// The replicated state with everything up to `lastIncludedIndex` applied. docs/design.md 3.4.
struct Snapshot {
  LogIndex lastIncludedIndex;
  Term lastIncludedTerm;
  Membership membership;  // in force at lastIncludedIndex
  std::string state;      // opaque to the consensus module
  template <class Archive>
  void serialize(Archive& archive, unsigned) {
    archive& lastIncludedIndex& lastIncludedTerm& membership& state;
  }
};

}  // namespace aniseline

#endif  // ANISELINE_RAFT_LOG_ENTRY_HPP
