// The record that a controller writes to disk before it replies to other members.
// docs/design.md 3.3.
#ifndef ANISELINE_RAFT_WRITE_AHEAD_RECORD_HPP
#define ANISELINE_RAFT_WRITE_AHEAD_RECORD_HPP
#include "raft/log_entry.hpp"

namespace aniseline {

// One version of a controller's durable state, stored as one file. The current state is the newest
// record with a snapshot plus all later records, applied in the order of their versions.
struct WriteAheadRecord {
  DiskVersion version;
  // If set, the record contains a snapshot and the entire log after it, which makes older records
  // obsolete. Otherwise its entries, if any, replace the log starting at `firstIndex`.
  bool holdsSnapshot = false;
  Term term;
  ControllerId votedFor;  // vote cast in `term`; empty if none
  Snapshot snapshot;
  LogIndex firstIndex;  // index of the first of `entries`
  std::vector<LogEntry> entries;
  ClusterId cluster{};  // the cluster that the log belongs to, if it has an id
  template <class Archive>
  void serialize(Archive& archive, unsigned) {
    archive& version& holdsSnapshot& term& votedFor& snapshot& firstIndex& entries;
    serializeTrailingSection(archive, cluster);
  }
};

}  // namespace aniseline

#endif  // ANISELINE_RAFT_WRITE_AHEAD_RECORD_HPP
