// What a controller writes to its disk before it answers anyone. docs/design.md 3.3.
#ifndef ANISELINE_RAFT_WRITE_AHEAD_RECORD_HPP
#define ANISELINE_RAFT_WRITE_AHEAD_RECORD_HPP
#include "raft/log_entry.hpp"

namespace aniseline {

// One version of a controller's durable state, stored as one file. The state is what the newest
// record with a snapshot holds, with all later records applied in the order of their versions.
struct WriteAheadRecord {
  DiskVersion version;
  // The record holds a snapshot and the whole log after it, so that older records are obsolete.
  // Otherwise its entries, if there are any, replace the log from `firstIndex` on.
  bool holdsSnapshot = false;
  Term term;
  ControllerId votedFor;  // in `term`; empty where it has not voted
  Snapshot snapshot;
  LogIndex firstIndex;  // of `entries`
  std::vector<LogEntry> entries;
  template <class Archive>
  void serialize(Archive& archive, unsigned) {
    archive& version& holdsSnapshot& term& votedFor& snapshot& firstIndex& entries;
  }
};

}  // namespace aniseline

#endif  // ANISELINE_RAFT_WRITE_AHEAD_RECORD_HPP
