#include "checker/model/ghost.hpp"

namespace aniseline::model {

void Ghost::commit(const LogEntry& entry, Term in) {
  const auto digest = combine(digestAt(last()), hashOf(pack(entry)));
  committed.push_back({entry.term, entry.members, entry.payload, in, digest});
}

std::uint64_t Ghost::digestAt(LogIndex index) const {
  return index == LogIndex{} ? 0 : at(index).digest;
}

Members Ghost::membersAt(LogIndex index) const {
  for (; index > LogIndex{}; index = LogIndex{index.value - 1})
    if (at(index).members)
      return unpack<Members>(at(index).payload).value();
  return {};
}

std::uint64_t Ghost::hash() const {
  OutputArchive archive;
  archive << committed << leaders << votes << reads << lostDisks;
  return hashOf(archive.bytes);
}

}  // namespace aniseline::model
