// Maintains the digests of the committed log.
#include "checker/model/history_variables.hpp"

namespace aniseline::model {

void HistoryVariables::commit(const LogEntry& entry, Term in) {
  const auto digest = combineHashes(digestAt(lastIndex()), hashOf(pack(entry)));
  committed.push_back({entry.term, entry.isMembership, entry.payload, in, digest});
}

std::uint64_t HistoryVariables::digestAt(LogIndex index) const {
  return index == LogIndex{} ? 0 : entryAt(index).digest;
}

Membership HistoryVariables::committedMembersAt(LogIndex index) const {
  for (; index > LogIndex{}; index = LogIndex{index.value - 1})
    if (entryAt(index).isMembership)
      return unpack<Membership>(entryAt(index).payload).value();
  return {};
}

std::uint64_t HistoryVariables::hash() const {
  OutputArchive archive;
  archive << committed << leaders << votes << pendingReads << lostDisks;
  return hashOf(archive.bytes);
}

}  // namespace aniseline::model
