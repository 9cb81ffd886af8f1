// Log compaction and installed snapshots. docs/design.md 3.4.
#include "raft/node.hpp"

namespace aniseline {

void RaftNode::compact(LogIndex index, std::string state) {
  if (index > commit || index <= stored.index)
    return;
  Members members = base.members;
  for (LogIndex at = base.index.next(); at <= index; at = at.next())
    if (entry(at).members)
      if (auto found = unpack<Members>(entry(at).payload))
        members = found.value();
  stored = Snapshot{index, termAt(index), members, std::move(state)};
  wantWhole = true;
  const std::uint64_t cut = std::min<std::uint64_t>(
      index.value, last().value > options.keepEntries ? last().value - options.keepEntries : 0);
  if (cut > base.index.value) {
    Members atCut = base.members;
    for (std::uint64_t at = base.index.value + 1; at <= cut; ++at)
      if (entry(LogIndex{at}).members)
        if (auto found = unpack<Members>(entry(LogIndex{at}).payload))
          atCut = found.value();
    const Term termAtCut = termAt(LogIndex{cut});
    log.erase(log.begin(), log.begin() + std::ptrdiff_t(cut - base.index.value));
    base = Snapshot{LogIndex{cut}, termAtCut, atCut, {}};
  }
}

void RaftNode::on(const PeerMessage& message, const InstallSnapshot& body, MonotonicTime now) {
  if (body.term < currentTerm)
    return replyAppend(message.from, false, LogIndex{}, RoundNumber{});
  seeTerm(body.term, now);
  if (leads())
    return;
  hearLeader(message.from, body.term, body.round, now);
  if (body.snapshot.index > commit) {
    if (termAt(body.snapshot.index) == body.snapshot.term) {
      // Entries after it that lie here may have been claimed, and counted: they stay.
      const auto folded = body.snapshot.index.value - base.index.value;
      log.erase(log.begin(), log.begin() + std::ptrdiff_t(folded));
      shownBy = std::max(shownBy, body.snapshot.index);
    } else {
      // What the disk holds beyond what this leader has shown may be another log; it stands for
      // nothing of the view.
      syncedIndex = std::min(syncedIndex, shownBy);
      if (inFlight)
        inFlight->covers = std::min(inFlight->covers, shownBy);
      log.clear();
      shownBy = body.snapshot.index;
    }
    stored = body.snapshot;
    base = Snapshot{body.snapshot.index, body.snapshot.term, body.snapshot.members, {}};
    commit = body.snapshot.index;
    wantWhole = true;
    installed = true;
    findMembers();
    if (selfVotes() && currentRole == Role::learner)
      currentRole = Role::follower;
  }
  replyAppend(message.from, true, std::min(syncedIndex, shownBy), body.round);
}

}  // namespace aniseline
