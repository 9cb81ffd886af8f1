// The in-memory part of the log: the entries after a base index, up to which a snapshot covers the
// log. It owns the entries and does not deal with commitment or the disk. A RaftNode owns it and
// calls it on its own thread. docs/design.md 3.2, 3.4.
#ifndef ANISELINE_RAFT_RAFT_LOG_HPP
#define ANISELINE_RAFT_RAFT_LOG_HPP
#include "raft/write_ahead_record.hpp"

namespace aniseline {

// The position of an entry. Two logs that contain an entry with the same term and index are
// identical up to it (Log Matching Property).
struct EntryPosition {
  Term term;
  LogIndex index;
  auto operator<=>(const EntryPosition&) const = default;
};

class RaftLog {
 public:
  // Returns the index before the first entry in memory, or 0 if no entry was ever discarded.
  LogIndex baseIndex() const { return base.index; }
  // Returns the index of the last entry, or the base index if there are no entries.
  LogIndex lastIndex() const { return LogIndex{base.index.value + entries.size()}; }
  // Returns the entry at an index in (baseIndex, lastIndex].
  const LogEntry& entry(LogIndex index) const {
    return entries[index.value - base.index.value - 1];
  }
  // Returns the term of the base or of an entry in memory, or term 0 for any other index.
  Term termAt(LogIndex index) const;
  bool contains(EntryPosition position) const;

  struct EffectiveMembership {
    Membership membership;
    LogIndex index;  // index of the membership entry, or of the base
  };
  // Returns the membership in force at an index in [baseIndex, lastIndex].
  EffectiveMembership membershipAt(LogIndex index) const;

  void append(LogEntry entry) { entries.push_back(std::move(entry)); }
  // Removes the entries starting at `index`, which must be in (baseIndex, lastIndex + 1].
  void truncateFrom(LogIndex index);
  // Removes the entries up to and including `index`, which becomes the base.
  void discardThrough(LogIndex index);
  // Makes the snapshot's last included entry the base. Keeps the entries after it if the log
  // contains that entry. Otherwise the logs have diverged and all entries are removed.
  void resetTo(const Snapshot& snapshot);
  // Applies one record read from disk. Records must be applied in the order of their versions.
  void restore(const WriteAheadRecord& record);

  // Returns the lowest base index at which the entries after it take at most `maxBytes`.
  LogIndex baseIndexForTailOf(std::size_t maxBytes) const;

 private:
  friend struct RaftNodeFingerprint;  // the model checker's, in checker/model/fingerprint.hpp
  struct Base {
    LogIndex index;
    Term term;
    Membership membership;
  };
  Base base;
  std::vector<LogEntry> entries;
};

}  // namespace aniseline

#endif  // ANISELINE_RAFT_RAFT_LOG_HPP
