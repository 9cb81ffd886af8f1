// The entries of the log in memory and their base.
#include "raft/raft_log.hpp"

namespace aniseline {

Term RaftLog::termAt(LogIndex index) const {
  if (index == base.index)
    return base.term;
  if (index < base.index || index > lastIndex())
    return Term{};
  return entry(index).term;
}

bool RaftLog::contains(EntryPosition position) const {
  return position.index >= base.index && position.index <= lastIndex() &&
         termAt(position.index) == position.term;
}

RaftLog::EffectiveMembership RaftLog::membershipAt(LogIndex index) const {
  for (; index > base.index; index = indexBefore(index)) {
    if (!entry(index).isMembership)
      continue;
    if (auto unpacked = unpack<Membership>(entry(index).payload))
      return {std::move(unpacked.value()), index};
  }
  return {base.membership, base.index};
}

void RaftLog::truncateFrom(LogIndex index) {
  entries.resize(index.value - base.index.value - 1);
}

void RaftLog::discardThrough(LogIndex index) {
  Base newBase{index, termAt(index), membershipAt(index).membership};
  entries.erase(entries.begin(), entries.begin() + std::ptrdiff_t(index.value - base.index.value));
  base = std::move(newBase);
}

void RaftLog::resetTo(const Snapshot& snapshot) {
  const EntryPosition lastIncluded{snapshot.lastIncludedTerm, snapshot.lastIncludedIndex};
  if (contains(lastIncluded)) {
    const auto includedCount = snapshot.lastIncludedIndex.value - base.index.value;
    entries.erase(entries.begin(), entries.begin() + std::ptrdiff_t(includedCount));
  } else {
    entries.clear();
  }
  base = Base{snapshot.lastIncludedIndex, snapshot.lastIncludedTerm, snapshot.membership};
}

void RaftLog::restore(const WriteAheadRecord& record) {
  if (record.holdsSnapshot) {
    const Snapshot& snapshot = record.snapshot;
    base = Base{snapshot.lastIncludedIndex, snapshot.lastIncludedTerm, snapshot.membership};
    entries = record.entries;
    return;
  }
  if (record.entries.empty())
    return;
  truncateFrom(record.firstIndex);
  entries.insert(entries.end(), record.entries.begin(), record.entries.end());
}

LogIndex RaftLog::baseIndexForTailOf(std::size_t maxBytes) const {
  std::size_t bytes = 0;
  LogIndex index = lastIndex();
  while (index > base.index) {
    bytes += bytesOf(entry(index));
    if (bytes > maxBytes)
      break;
    index = indexBefore(index);
  }
  return index;
}

}  // namespace aniseline
