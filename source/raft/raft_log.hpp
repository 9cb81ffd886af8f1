// The part of the log that is kept in memory: the entries after a base, whose prefix a snapshot
// holds. It owns the entries and knows nothing of commitment or of the disk. One RaftNode owns it
// and calls it on its own thread. docs/design.md 3.2, 3.4.
#ifndef ANISELINE_RAFT_RAFT_LOG_HPP
#define ANISELINE_RAFT_RAFT_LOG_HPP
#include "raft/write_ahead_record.hpp"

namespace aniseline {

// The position of one entry in the history of all logs: two logs with an entry of the same term and
// index agree up to it.
struct EntryPosition {
  Term term;
  LogIndex index;
  auto operator<=>(const EntryPosition&) const = default;
};

class RaftLog {
 public:
  // The index before the first entry in memory; 0 while nothing was ever discarded.
  LogIndex baseIndex() const { return base.index; }
  // The index of the last entry, or the base where there is none.
  LogIndex lastIndex() const { return LogIndex{base.index.value + entries.size()}; }
  // The entry of an index in (baseIndex, lastIndex].
  const LogEntry& entry(LogIndex index) const {
    return entries[index.value - base.index.value - 1];
  }
  // The term of the base or an entry in memory; term 0 for any other index.
  Term termAt(LogIndex index) const;
  bool contains(EntryPosition position) const;

  struct EffectiveMembership {
    Membership membership;
    LogIndex index;  // of the entry that holds it, or of the base
  };
  // The membership in force at an index of [baseIndex, lastIndex].
  EffectiveMembership membershipAt(LogIndex index) const;

  void append(LogEntry entry) { entries.push_back(std::move(entry)); }
  // Removes the entries from `index` on; `index` is in (baseIndex, lastIndex + 1].
  void truncateFrom(LogIndex index);
  // Removes the entries up to `index`, which becomes the base.
  void discardThrough(LogIndex index);
  // Makes the snapshot's last entry the base. The entries after it stay where the log contains that
  // entry; otherwise the log is another one, and becomes empty.
  void resetTo(const Snapshot& snapshot);
  // Applies one record of the disk, in the order of the records' versions.
  void restore(const WriteAheadRecord& record);

  // The lowest index whose following entries take no more than so many bytes.
  LogIndex baseIndexForTailOf(std::size_t maxBytes) const;

 private:
  friend struct RaftNodeFingerprint;  // of the model checker, checker/model/fingerprint.hpp
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
