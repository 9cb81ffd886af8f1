// Implements the Raft invariants: elections, log matching, durability, membership and reads.
#include "checker/model/step_invariants.hpp"

namespace aniseline::model {

namespace {

std::set<ControllerId> votersOf(const Membership& members) {
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
  return left.term == right.term && left.isMembership == right.isMembership &&
         left.payload == right.payload;
}

std::string at(LogIndex index) {
  return "index " + std::to_string(index.value);
}

}  // namespace

void StepInvariantChecker::reportViolation(const std::string& rule, const std::string& detail) {
  if (!brokenRule)
    brokenRule = rule + ": " + detail;
}

void StepInvariantChecker::checkSentMessage(const PeerMessage& message) {
  if (const auto* reply = boost::get<AppendEntriesReply>(&message.body))
    checkMatchIndex(*reply);
  if (const auto* reply = boost::get<RequestVoteReply>(&message.body))
    checkVote(message.to, *reply);
}

// A follower acknowledges no more than its disk holds.
void StepInvariantChecker::checkMatchIndex(const AppendEntriesReply& reply) {
  if (outcomesOnly || !reply.success)
    return;
  if (reply.matchIndex > after.diskImage.lastIndex())
    return reportViolation("a claim is behind its sync",
                           after.self.id.value + " acknowledges " + at(reply.matchIndex) +
                               ", but its disk ends at " +
                               std::to_string(after.diskImage.lastIndex().value));
  for (LogIndex index{1}; index <= std::min(reply.matchIndex, history.lastIndex());
       index = index.next())
    if (!after.diskImage.contains(index, history.entryAt(index).term))
      reportViolation("a claim is behind its sync",
                      after.self.id.value + " acknowledges the committed " + at(index) +
                          ", but its disk holds an entry of another term");
  for (LogIndex index = after.raft.logBaseIndex().next(); index <= reply.matchIndex;
       index = index.next())
    if (index <= after.raft.lastIndex() &&
        !after.diskImage.contains(index, after.raft.entry(index).term))
      reportViolation("a claim is behind its sync",
                      after.self.id.value + " acknowledges " + at(index) +
                          ", but its disk holds an entry of another term");
}

// A node grants one vote per term and identity, across all restarts, and the vote is on its disk
// before it is sent.
void StepInvariantChecker::checkVote(const ControllerId& candidate, const RequestVoteReply& reply) {
  if (reply.preVote || !reply.voteGranted)
    return;
  const auto& [vote, isNew] = history.votes.try_emplace({after.self.id, reply.term}, candidate);
  if (vote->second != candidate)
    reportViolation("one vote a term", after.self.id.value + " granted its vote of term " +
                                           std::to_string(reply.term.value) + " to " +
                                           vote->second.value + " and to " + candidate.value);
  const bool onDisk = after.diskImage.term > reply.term ||
                      (after.diskImage.term == reply.term && after.diskImage.vote == candidate);
  if (!outcomesOnly && !onDisk)
    reportViolation("a vote is behind its sync",
                    after.self.id.value + " grants its vote to " + candidate.value);
}

void StepInvariantChecker::checkState() {
  if (!before.raft.isLeader() || before.raft.term() != after.raft.term())
    checkLeadership();
  checkCommitIndex();
  checkLeaderCompleteness();
  checkDurability();
  for (std::size_t machine = 0; machine < cluster.machines(); ++machine)
    if (cluster.node(machine).self.id != after.self.id)
      checkLogMatching(cluster.node(machine));
  checkPendingChanges();
  checkReads();
  checkRemoval();
  if (after.raft.logBaseIndex() != before.raft.logBaseIndex())
    checkInstalledSnapshot();
}

void StepInvariantChecker::checkLeadership() {
  if (!after.raft.isLeader())
    return;
  const auto& [leader, isNew] = history.leaders.try_emplace(after.raft.term(), after.self.id);
  if (!isNew)
    reportViolation("one leader a term", after.self.id.value + " leads term " +
                                             std::to_string(after.raft.term().value) + ", so did " +
                                             leader->second.value);
  const auto& [vote, isFirst] =
      history.votes.try_emplace({after.self.id, after.raft.term()}, after.self.id);
  if (vote->second != after.self.id)
    reportViolation("one vote a term", after.self.id.value + " voted for itself and for " +
                                           vote->second.value + " in term " +
                                           std::to_string(after.raft.term().value));
  const bool onDisk =
      after.diskImage.term == after.raft.term() && after.diskImage.vote == after.self.id;
  if (!outcomesOnly && !onDisk)
    reportViolation("a vote is behind its sync", after.self.id.value + " leads by its own vote");
}

// A leader holds all entries that leaders of earlier terms committed.
void StepInvariantChecker::checkLeaderCompleteness() {
  if (!after.raft.isLeader())
    return;
  for (LogIndex index = after.raft.logBaseIndex().next(); index <= history.lastIndex();
       index = index.next()) {
    if (history.entryAt(index).committedInTerm >= after.raft.term())
      continue;
    if (index > after.raft.lastIndex() ||
        after.raft.entry(index).term != history.entryAt(index).term)
      reportViolation("leader completeness", after.self.id.value + " leads term " +
                                                 std::to_string(after.raft.term().value) +
                                                 " without the committed " + at(index));
  }
}

void StepInvariantChecker::checkCommitIndex() {
  if (!restarted && after.raft.commitIndex() < before.raft.commitIndex())
    reportViolation("commit never goes back", after.self.id.value);
  if (after.raft.commitIndex() > after.raft.lastIndex())
    reportViolation("commit within the log", after.self.id.value + " commits past its log");
  for (LogIndex index = after.raft.logBaseIndex().next(); index <= after.raft.commitIndex();
       index = index.next())
    checkCommittedEntry(index);
}

void StepInvariantChecker::checkCommittedEntry(LogIndex index) {
  const LogEntry& entry = after.raft.entry(index);
  if (index <= history.lastIndex()) {
    const auto& known = history.entryAt(index);
    if (!sameEntry(entry, LogEntry{known.term, known.isMembership, known.payload}))
      reportViolation("committed is never changed",
                      after.self.id.value + " has another entry committed at " + at(index));
    return;
  }
  if (!after.raft.isLeader())
    return reportViolation("only leaders commit first",
                           after.self.id.value + " commits " + at(index));
  if (entry.isMembership)
    checkMembershipChange(history.committedMembers(), unpack<Membership>(entry.payload).value());
  history.commit(entry, after.raft.term());
  checkOnMajorityOfDisks(index);
  const Term newest = after.raft.entry(after.raft.commitIndex()).term;
  if (!outcomesOnly && newest != after.raft.term())
    reportViolation("a leader counts entries of its own term",
                    after.self.id.value + " commits " + at(index));
}

void StepInvariantChecker::checkOnMajorityOfDisks(LogIndex index) {
  if (outcomesOnly)
    return;
  const auto voters = votersOf(after.raft.membership());
  const auto holders = std::count_if(voters.begin(), voters.end(), [&](const ControllerId& id) {
    const auto* image = findDiskImage(id);
    return image && image->contains(index, after.raft.entry(index).term);
  });
  if (std::size_t(holders) < majorityOf(voters.size()))
    reportViolation(
        "committed is on a majority of disks",
        at(index) + " is on " + std::to_string(holders) + " of " + std::to_string(voters.size()));
}

// A disk never loses a committed entry, because the commit counted on it.
void StepInvariantChecker::checkDurability() {
  if (outcomesOnly || after.self.id != before.self.id)
    return;
  for (LogIndex index{1}; index <= history.lastIndex(); index = index.next()) {
    const Term term = history.entryAt(index).term;
    if (before.diskImage.contains(index, term) && !after.diskImage.contains(index, term))
      reportViolation("a disk keeps what is committed",
                      after.self.id.value + " dropped " + at(index));
  }
}

const DiskImage* StepInvariantChecker::findDiskImage(const ControllerId& id) const {
  if (id == after.self.id)
    return &after.diskImage;
  if (const auto machine = cluster.machineOf(id))
    return &cluster.node(*machine).diskImage;
  const auto lost = history.lostDisks.find(id);
  return lost == history.lostDisks.end() ? nullptr : &lost->second;
}

// Any majority of one membership must overlap any majority of the next.
void StepInvariantChecker::checkMembershipChange(const Membership& earlier,
                                                 const Membership& later) {
  const auto oldVoters = votersOf(earlier), newVoters = votersOf(later);
  std::set<ControllerId> all = oldVoters;
  all.insert(newVoters.begin(), newVoters.end());
  const auto common = oldVoters.size() + newVoters.size() - all.size();
  if (all.size() - common > 1)
    reportViolation("one voter a change", std::to_string(all.size() - common) + " voters differ");
  if (majorityOf(oldVoters.size()) + majorityOf(newVoters.size()) <= all.size())
    reportViolation("majorities overlap", "of successive committed memberships");
}

// If two logs hold an entry with the same index and term, the entry and all earlier ones are equal.
void StepInvariantChecker::checkLogMatching(const ModelNode& other) {
  const auto low = std::max(after.raft.logBaseIndex(), other.raft.logBaseIndex());
  bool agrees = false;
  for (LogIndex index = std::min(after.raft.lastIndex(), other.raft.lastIndex()); index > low;
       index = LogIndex{index.value - 1}) {
    const LogEntry& left = after.raft.entry(index);
    const LogEntry& right = other.raft.entry(index);
    agrees = agrees || left.term == right.term;
    if (agrees && !sameEntry(left, right))
      return reportViolation("log matching", after.self.id.value + " and " + other.self.id.value +
                                                 " differ at " + at(index) +
                                                 " below a common entry");
  }
}

void StepInvariantChecker::checkPendingChanges() {
  std::size_t pending = 0;
  for (LogIndex index = std::max(after.raft.logBaseIndex(), history.lastIndex()).next();
       index <= after.raft.lastIndex(); index = index.next())
    pending += after.raft.entry(index).isMembership;
  if (pending > 1)
    reportViolation("one pending change",
                    after.self.id.value + " holds " + std::to_string(pending));
  if (outcomesOnly || !after.raft.isLeader())
    return;
  const LogIndex committedIndex = std::min(after.raft.commitIndex(), history.lastIndex());
  const Term committed = committedIndex.value ? history.entryAt(committedIndex).term : Term{};
  for (LogIndex index = std::max(after.raft.logBaseIndex(), before.raft.lastIndex()).next();
       index <= after.raft.lastIndex(); index = index.next())
    if (after.raft.entry(index).isMembership && committed != after.raft.term())
      reportViolation("a change rests on a committed entry of its leader's term",
                      after.self.id.value);
}

// A confirmed read returns at least what was committed on any node when it started.
void StepInvariantChecker::checkReads() {
  std::erase_if(history.pendingReads, [&](const PendingRead& read) {
    if (read.reader != after.self.id)
      return false;
    if (!after.raft.isLeader() || after.raft.term() != read.term)
      return true;  // this read is never answered
    if (read.lastIndexAtStart > after.raft.commitIndex() ||
        read.round > after.raft.confirmedRound())
      return false;
    if (read.lastIndexAtStart < read.committedAtStart)
      reportViolation("no old read", after.self.id.value + " confirms a read up to " +
                                         at(read.lastIndexAtStart) + " that began when " +
                                         at(read.committedAtStart) + " was committed");
    return true;
  });
}

// A node that considers itself removed is not a voter of the newest committed membership.
void StepInvariantChecker::checkRemoval() {
  if (!after.raft.removedFromCluster() || before.raft.removedFromCluster())
    return;
  if (votersOf(history.committedMembers()).count(after.self.id))
    reportViolation(
        "removed by a committed change only",
        after.self.id.value +
            " considers itself removed, but the committed membership contains it as a voter");
}

void StepInvariantChecker::checkInstalledSnapshot() {
  const auto& snapshot = after.raft.snapshot();
  if (snapshot.lastIncludedIndex == LogIndex{})
    return;
  if (snapshot.lastIncludedIndex > history.lastIndex() ||
      snapshot.state != std::to_string(history.digestAt(snapshot.lastIncludedIndex)) ||
      snapshot.membership != history.committedMembersAt(snapshot.lastIncludedIndex))
    reportViolation("a snapshot is of the committed log", after.self.id.value);
}

}  // namespace aniseline::model
