// Application of log entries to the committed and the speculative state. docs/design.md 3.2, 3.4.
#include "controller/replicated_state_machine.hpp"

namespace aniseline {

ReplicatedStateMachine::ReplicatedStateMachine(RaftNode& raft, const LogEventSignal& events)
    : raft(raft), events(events) {
  if (raft.logBaseIndex().value > 0)
    restore(raft.snapshot());
}

void ReplicatedStateMachine::restore(const Snapshot& snapshot) {
  auto state = unpack<ClusterState>(snapshot.state);
  if (state)
    committedState = std::move(state.value());
  else
    unreadableState = true;
  appliedIndex = snapshot.lastIncludedIndex;
  snapshotScheduler.restart();
}

bool ReplicatedStateMachine::applyCommittedEntries(MonotonicTime now,
                                                   const CommitObserver& onCommit) {
  const LogIndex before = appliedIndex;
  if (raft.takeSnapshotInstalled()) {
    restore(raft.snapshot());
    events(log_events::SnapshotInstalled{appliedIndex});
  }
  while (appliedIndex < raft.commitIndex()) {
    appliedIndex = appliedIndex.next();
    const LogEntry& entry = raft.entry(appliedIndex);
    if (entry.isMembership)
      continue;
    if (!applyCommittedEntry(entry, now, onCommit)) {
      unreadableState = true;
      events(log_events::UnreadableRecord{appliedIndex});
    }
  }
  return appliedIndex != before;
}

bool ReplicatedStateMachine::applyCommittedEntry(const LogEntry& entry, MonotonicTime now,
                                                 const CommitObserver& onCommit) {
  while (!proposals.empty() && proposals.front().index < appliedIndex)
    dropFirstProposal();
  const bool isProposal = !proposals.empty() && proposals.front().index == appliedIndex &&
                          proposals.front().term == entry.term;
  if (isProposal) {
    onCommit(now - proposals.front().proposedAt);
    applyCommittedRecord(proposals.front().record);
    dropFirstProposal();
    return true;
  }
  auto record = unpack<LogRecord>(entry.payload);
  if (record)
    applyCommittedRecord(record.value());
  return record.has_value();
}

// A cluster without an id gets the one in the first committed LeaderStarted that proposes one; a
// node that has an id keeps it.
void ReplicatedStateMachine::applyCommittedRecord(const LogRecord& record) {
  committedState.apply(record);
  if (const auto* started = boost::get<LeaderStarted>(&record.event))
    raft.bindToCluster(started->cluster);
}

void ReplicatedStateMachine::dropFirstProposal() {
  totalProposalBytes -= proposals.front().bytes;
  proposals.pop_front();
}

void ReplicatedStateMachine::clearProposals() {
  proposals.clear();
  totalProposalBytes = 0;
}

void ReplicatedStateMachine::startLeading() {
  term = raft.term();
  speculativeState = committedState;
  for (LogIndex index = appliedIndex.next(); index <= raft.lastIndex(); index = index.next()) {
    const LogEntry& entry = raft.entry(index);
    if (entry.isMembership)
      continue;
    if (auto record = unpack<LogRecord>(entry.payload))
      speculativeState->apply(record.value());
    else
      unreadableState = true;
  }
  clearProposals();
  committedState.takeUpdatedWorkers();
}

void ReplicatedStateMachine::stopLeading() {
  speculativeState.reset();
  clearProposals();
}

const Event& ReplicatedStateMachine::append(Event event, ClusterTime at, MonotonicTime now) {
  LogRecord record{std::max(at, speculativeState->now()), std::move(event)};
  std::string payload = pack(record);
  const std::size_t bytes = payload.size();
  const LogIndex index = raft.propose(std::move(payload), now);
  speculativeState->apply(record);
  proposals.push_back({index, raft.term(), std::move(record), bytes, now});
  totalProposalBytes += bytes;
  return proposals.back().record.event;
}

}  // namespace aniseline
