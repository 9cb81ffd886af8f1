#include "checker/model/step_judge.hpp"

namespace aniseline::model {

namespace {

std::set<ControllerId> votersOf(const Members& members) {
  std::set<ControllerId> voters;
  for (const auto& member : members)
    if (member.voter)
      voters.insert(member.id);
  return voters;
}

std::size_t majorityOf(std::size_t voters) {
  return voters / 2 + 1;
}

bool sameEntry(const LogEntry& left, const LogEntry& right) {
  return left.term == right.term && left.members == right.members && left.payload == right.payload;
}

std::string at(LogIndex index) {
  return "index " + std::to_string(index.value);
}

}  // namespace

void StepJudge::breaks(const std::string& rule, const std::string& detail) {
  if (!broken)
    broken = rule + ": " + detail;
}

void StepJudge::sent(const PeerMessage& message) {
  if (const auto* reply = boost::get<AppendEntriesReply>(&message.body))
    claim(*reply);
  if (const auto* reply = boost::get<RequestVoteReply>(&message.body))
    grant(message.to, *reply);
}

// A follower claims no more than its disk holds.
void StepJudge::claim(const AppendEntriesReply& reply) {
  if (outcomesOnly || !reply.matched)
    return;
  if (reply.match > after.image.last())
    return breaks("a claim is behind its sync", after.self.id.value + " claims " + at(reply.match) +
                                                    ", its disk ends at " +
                                                    std::to_string(after.image.last().value));
  for (LogIndex index{1}; index <= std::min(reply.match, ghost.last()); index = index.next())
    if (!after.image.holds(index, ghost.at(index).term))
      breaks("a claim is behind its sync", after.self.id.value + " claims the committed " +
                                               at(index) + ", its disk holds another term's");
  for (LogIndex index = after.raft.snapshotIndex().next(); index <= reply.match;
       index = index.next())
    if (index <= after.raft.last() && !after.image.holds(index, after.raft.entry(index).term))
      breaks("a claim is behind its sync",
             after.self.id.value + " claims " + at(index) + ", its disk holds another term's");
}

// One vote a term and identity, over every restart; on the disk before it is told.
void StepJudge::grant(const ControllerId& candidate, const RequestVoteReply& reply) {
  if (reply.trial || !reply.given)
    return;
  const auto& [vote, isNew] = ghost.votes.try_emplace({after.self.id, reply.term}, candidate);
  if (vote->second != candidate)
    breaks("one vote a term", after.self.id.value + " gave its vote of term " +
                                  std::to_string(reply.term.value) + " to " + vote->second.value +
                                  " and to " + candidate.value);
  const bool onDisk = after.image.term > reply.term ||
                      (after.image.term == reply.term && after.image.vote == candidate);
  if (!outcomesOnly && !onDisk)
    breaks("a vote is behind its sync", after.self.id.value + " tells " + candidate.value);
}

void StepJudge::state() {
  if (!before.raft.leads() || before.raft.term() != after.raft.term())
    leadership();
  commitIndex();
  completeness();
  keptOnDisk();
  for (std::size_t machine = 0; machine < world.machines(); ++machine)
    if (world.node(machine).self.id != after.self.id)
      logMatching(world.node(machine));
  pendingChanges();
  reads();
  removal();
  if (after.raft.snapshotIndex() != before.raft.snapshotIndex())
    installed();
}

void StepJudge::leadership() {
  if (!after.raft.leads())
    return;
  const auto& [leader, isNew] = ghost.leaders.try_emplace(after.raft.term(), after.self.id);
  if (!isNew)
    breaks("one leader a term", after.self.id.value + " leads term " +
                                    std::to_string(after.raft.term().value) + ", so did " +
                                    leader->second.value);
  const auto& [vote, isFirst] =
      ghost.votes.try_emplace({after.self.id, after.raft.term()}, after.self.id);
  if (vote->second != after.self.id)
    breaks("one vote a term", after.self.id.value + " voted for itself and for " +
                                  vote->second.value + " in term " +
                                  std::to_string(after.raft.term().value));
  const bool onDisk = after.image.term == after.raft.term() && after.image.vote == after.self.id;
  if (!outcomesOnly && !onDisk)
    breaks("a vote is behind its sync", after.self.id.value + " leads by its own");
}

// A leader holds all that leaders of earlier terms committed.
void StepJudge::completeness() {
  if (!after.raft.leads())
    return;
  for (LogIndex index = after.raft.snapshotIndex().next(); index <= ghost.last();
       index = index.next()) {
    if (ghost.at(index).committedIn >= after.raft.term())
      continue;
    if (index > after.raft.last() || after.raft.entry(index).term != ghost.at(index).term)
      breaks("leader completeness", after.self.id.value + " leads term " +
                                        std::to_string(after.raft.term().value) +
                                        " without the committed " + at(index));
  }
}

void StepJudge::commitIndex() {
  if (!restarted && after.raft.commitIndex() < before.raft.commitIndex())
    breaks("commit never goes back", after.self.id.value);
  if (after.raft.commitIndex() > after.raft.last())
    breaks("commit within the log", after.self.id.value + " commits past its log");
  for (LogIndex index = after.raft.snapshotIndex().next(); index <= after.raft.commitIndex();
       index = index.next())
    commits(index);
}

void StepJudge::commits(LogIndex index) {
  const LogEntry& entry = after.raft.entry(index);
  if (index <= ghost.last()) {
    const auto& known = ghost.at(index);
    if (!sameEntry(entry, LogEntry{known.term, known.members, known.payload}))
      breaks("committed is never changed",
             after.self.id.value + " has another entry committed at " + at(index));
    return;
  }
  if (!after.raft.leads())
    return breaks("only leaders commit first", after.self.id.value + " commits " + at(index));
  if (entry.members)
    membership(ghost.members(), unpack<Members>(entry.payload).value());
  ghost.commit(entry, after.raft.term());
  onMajorityOfDisks(index);
  const Term newest = after.raft.entry(after.raft.commitIndex()).term;
  if (!outcomesOnly && newest != after.raft.term())
    breaks("a leader counts entries of its own term",
           after.self.id.value + " commits " + at(index));
}

void StepJudge::onMajorityOfDisks(LogIndex index) {
  if (outcomesOnly)
    return;
  const auto voters = votersOf(after.raft.members());
  const auto holders = std::count_if(voters.begin(), voters.end(), [&](const ControllerId& id) {
    const auto* image = imageOf(id);
    return image && image->holds(index, after.raft.entry(index).term);
  });
  if (std::size_t(holders) < majorityOf(voters.size()))
    breaks("committed is on a majority of disks", at(index) + " is on " + std::to_string(holders) +
                                                      " of " + std::to_string(voters.size()));
}

// A disk that holds a committed entry goes on holding it: a majority was counted on it.
void StepJudge::keptOnDisk() {
  if (outcomesOnly || after.self.id != before.self.id)
    return;
  for (LogIndex index{1}; index <= ghost.last(); index = index.next()) {
    const Term term = ghost.at(index).term;
    if (before.image.holds(index, term) && !after.image.holds(index, term))
      breaks("a disk keeps what is committed", after.self.id.value + " dropped " + at(index));
  }
}

const DiskImage* StepJudge::imageOf(const ControllerId& id) const {
  if (id == after.self.id)
    return &after.image;
  if (const auto machine = world.machineOf(id))
    return &world.node(*machine).image;
  const auto lost = ghost.lostDisks.find(id);
  return lost == ghost.lostDisks.end() ? nullptr : &lost->second;
}

// Any majority of one meets any majority of the next.
void StepJudge::membership(const Members& earlier, const Members& later) {
  const auto old = votersOf(earlier), fresh = votersOf(later);
  std::set<ControllerId> all = old;
  all.insert(fresh.begin(), fresh.end());
  const auto common = old.size() + fresh.size() - all.size();
  if (all.size() - common > 1)
    breaks("one voter a change", std::to_string(all.size() - common) + " voters differ");
  if (majorityOf(old.size()) + majorityOf(fresh.size()) <= all.size())
    breaks("majorities overlap", "of successive committed memberships");
}

// The same index and term: the same entry, and the same before it.
void StepJudge::logMatching(const ModelNode& other) {
  const auto low = std::max(after.raft.snapshotIndex(), other.raft.snapshotIndex());
  bool agrees = false;
  for (LogIndex index = std::min(after.raft.last(), other.raft.last()); index > low;
       index = LogIndex{index.value - 1}) {
    const LogEntry& left = after.raft.entry(index);
    const LogEntry& right = other.raft.entry(index);
    agrees = agrees || left.term == right.term;
    if (agrees && !sameEntry(left, right))
      return breaks("log matching", after.self.id.value + " and " + other.self.id.value +
                                        " differ at " + at(index) + " below a common entry");
  }
}

void StepJudge::pendingChanges() {
  std::size_t pending = 0;
  for (LogIndex index = std::max(after.raft.snapshotIndex(), ghost.last()).next();
       index <= after.raft.last(); index = index.next())
    pending += after.raft.entry(index).members;
  if (pending > 1)
    breaks("one pending change", after.self.id.value + " holds " + std::to_string(pending));
  if (outcomesOnly || !after.raft.leads())
    return;
  const LogIndex committedIndex = std::min(after.raft.commitIndex(), ghost.last());
  const Term committed = committedIndex.value ? ghost.at(committedIndex).term : Term{};
  for (LogIndex index = std::max(after.raft.snapshotIndex(), before.raft.last()).next();
       index <= after.raft.last(); index = index.next())
    if (after.raft.entry(index).members && committed != after.raft.term())
      breaks("a change rests on a committed entry of its leader's term", after.self.id.value);
}

// A confirmed read shows at least what was committed anywhere when it began.
void StepJudge::reads() {
  std::erase_if(ghost.reads, [&](const PendingRead& read) {
    if (read.reader != after.self.id)
      return false;
    if (!after.raft.leads() || after.raft.term() != read.term)
      return true;  // never answered
    if (read.barrier > after.raft.commitIndex() || read.round > after.raft.confirmedRound())
      return false;
    if (read.barrier < read.floor)
      breaks("no old read", after.self.id.value + " confirms a read up to " + at(read.barrier) +
                                " that began when " + at(read.floor) + " was committed");
    return true;
  });
}

// Who is told to be out is no voter of the newest committed membership.
void StepJudge::removal() {
  if (!after.raft.removedFromCluster() || before.raft.removedFromCluster())
    return;
  if (votersOf(ghost.members()).count(after.self.id))
    breaks("removed by a committed change only",
           after.self.id.value + " takes itself for removed, the committed members count it");
}

void StepJudge::installed() {
  const auto& snapshot = after.raft.snapshot();
  if (snapshot.index == LogIndex{})
    return;
  if (snapshot.index > ghost.last() ||
      snapshot.state != std::to_string(ghost.digestAt(snapshot.index)) ||
      snapshot.members != ghost.membersAt(snapshot.index))
    breaks("a snapshot is of the committed log", after.self.id.value);
}

}  // namespace aniseline::model
