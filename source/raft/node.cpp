// The consensus node: its construction, its clock, and how messages reach their handlers.
// docs/design.md 3.
#include "raft/node.hpp"

namespace aniseline {

const char* name(Role role) {
  static const char* const names[] = {"learner", "follower", "candidate", "leader"};
  return names[std::size_t(role)];
}

RaftNode::RaftNode(Member self, RaftOptions options, std::uint64_t seed,
                   const std::vector<WriteAheadRecord>& restored, MonotonicTime now)
    : own(std::move(self)), options(options), random(seed), clockNow(now) {
  for (const auto& record : restored) {
    currentTerm = record.term;
    vote = record.vote;
    if (record.whole) {
      stored = record.snapshot;
      base = Snapshot{record.snapshot.index, record.snapshot.term, record.snapshot.members, {}};
      log = record.entries;
      sinceWhole = 0;
    } else {
      if (!record.entries.empty()) {
        log.resize(record.first.value - base.index.value - 1);
        log.insert(log.end(), record.entries.begin(), record.entries.end());
      }
      ++sinceWhole;
    }
    nextVersion = record.version.next();
  }
  commit = base.index;
  syncedIndex = durableIndex = last();
  findMembers();
  currentRole = selfVotes() ? Role::follower : Role::learner;
  resetElection(now);
}

bool RaftNode::selfVotes() const {
  const auto* found = member(own.id);
  return found && found->voter;
}

const Member* RaftNode::member(const ControllerId& id) const {
  for (const auto& entry : currentMembers)
    if (entry.id == id)
      return &entry;
  return nullptr;
}

std::size_t RaftNode::majority() const {
  return std::size_t(std::count_if(currentMembers.begin(), currentMembers.end(),
                                   [](auto& entry) { return entry.voter; })) /
             2 +
         1;
}

Term RaftNode::termAt(LogIndex index) const {
  if (index == base.index)
    return base.term;
  if (index < base.index || index > last())
    return Term{};
  return entry(index).term;
}

Address RaftNode::addressOf(const ControllerId& id) const {
  // Where it last spoke from: a member may have come back at another address, which its log does
  // not say yet.
  if (auto heard = addresses.find(id); heard != addresses.end())
    return heard->second;
  const auto* found = member(id);
  return found ? found->peer : Address{};
}

void RaftNode::send(const ControllerId& to, PeerBody body) {
  outgoing.push_back(PeerMessage{own.id, to, addressOf(to), std::move(body), own.peer});
}

// docs/design.md 3.3: what rests on durable state leaves only when that state is synced.
void RaftNode::sendAfterSync(const ControllerId& to, PeerBody body) {
  afterSync.emplace_back(nextVersion,
                         PeerMessage{own.id, to, addressOf(to), std::move(body), own.peer});
}

void RaftNode::tick(MonotonicTime now, WallTime wall) {
  clockNow = now;
  wallNow = wall;
  wallAt = now;
  // After a pause of our own the answers of others may lie unread: our lateness says nothing of
  // them. docs/design.md 3.2.
  if (now - tickedAt > Duration{2 * options.heartbeat.milliseconds})
    readingUntil = now + options.electionLow;
  tickedAt = now;
  dropIdleTransfers();
  if (leads()) {
    // A leader that has not heard from a majority for the longest election time may have been
    // replaced. docs/design.md 3.2.
    const Duration unheard = currentMembers.size() > 1 ? now - quorumContact() : Duration{0};
    if (unheard > options.electionHigh &&
        (now >= readingUntil || unheard > Duration{5 * options.electionHigh.milliseconds})) {
      knownLeader = ControllerId{};
      become(Role::follower, now);
      return;
    }
    noteCommit(now);
    if (transferringLeadership && now > transferUntil)
      transferringLeadership = false;
    // A few rounds at a time: where the others are slow what is wanted meanwhile goes together into
    // the next. docs/design.md 3.2.
    const bool mayBegin = round.value - confirmedRound().value < options.roundsAtOnce ||
                          now - broadcastAt >= options.heartbeat;
    if (now >= nextHeartbeat && mayBegin)
      broadcast(now, true);
    return;
  }
  if (now >= nextHeartbeat)
    askToJoin(now);
  if (selfVotes() && currentRole == Role::learner)
    currentRole = Role::follower;
  if (currentRole != Role::learner && now >= electionAt && !wasRemoved)
    campaign(now, true, false);
}

void RaftNode::receive(const PeerMessage& message, MonotonicTime now) {
  clockNow = std::max(clockNow, now);
  const bool isJoin = message.body.type() == typeid(Join);
  if (!isJoin && message.to != own.id)
    return;  // meant for another identity at this address
  if (addresses.size() > 64)
    addresses.clear();
  addresses[message.from] = message.fromAddress;
  boost::apply_visitor([&](const auto& body) { on(message, body, now); }, message.body);
  if (serves() && membersSettled())
    followMoves(now);
}

}  // namespace aniseline
