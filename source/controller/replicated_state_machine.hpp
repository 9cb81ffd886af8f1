// The cluster state as a fold of the replicated log, twice: the committed
// state, which every controller has, and, on a leader, the speculative state,
// which also holds what the leader has proposed and is not committed yet.
// Handlers validate against the speculative state and change it only by
// appending an event. Owned and called by Controller. docs/design.md 3.2.
#ifndef ANISELINE_CONTROLLER_REPLICATED_STATE_MACHINE_HPP
#define ANISELINE_CONTROLLER_REPLICATED_STATE_MACHINE_HPP
#include "controller/log_event.hpp"
#include "controller/snapshot_scheduler.hpp"
#include "state/cluster_state.hpp"

namespace aniseline {

class ReplicatedStateMachine {
 public:
  // Restores the snapshot that `raft` was started with.
  ReplicatedStateMachine(RaftNode& raft, const LogEventSignal& events);

  // Brings the committed state up to the commit index, by a snapshot that was
  // installed and by entries.
  void applyCommittedEntries();
  const ClusterState& committed() const { return committedState; }
  // The workers that the committed state has addressed since the last call:
  // given an order, or registered.
  std::set<WorkerId> takeAddressedWorkers() { return committedState.takeUpdatedWorkers(); }
  // An entry or a snapshot that can't be decoded: going on without it would
  // make a state other than the other controllers', so the process must end.
  bool hasUnreadableState() const { return unreadableState; }

  // True from startLeading to stopLeading; only then there is a speculative
  // state.
  bool isLeading() const { return speculativeState.has_value(); }
  Term leadershipTerm() const { return term; }
  // Folds the log to its end, committed or not.
  void startLeading();
  void stopLeading();
  const ClusterState& speculative() const { return *speculativeState; }
  // Proposes an event and applies it to the speculative state. The record's
  // time is `at`, or that of the record before it if this is later. Returns the
  // event, valid until the next call.
  const Event& append(Event event, ClusterTime at, MonotonicTime now);
  // What the proposals that are not committed yet retain.
  std::size_t proposalBytes() const { return totalProposalBytes; }

  SnapshotScheduler& snapshots() { return snapshotScheduler; }
  void requestSnapshotIfDue(const ControllerOptions& options) {
    snapshotScheduler.requestIfDue(raft, appliedIndex, options);
  }

 private:
  // What this leader proposed, kept so that it need not be decoded again once
  // it is committed. The term tells whether the committed entry is this one.
  struct Proposal {
    LogIndex index;
    Term term;
    LogRecord record;
    std::size_t bytes = 0;  // as packed
  };
  void restore(const Snapshot& snapshot);
  bool applyCommittedEntry(const LogEntry& entry);
  void dropFirstProposal();
  void clearProposals();

  RaftNode& raft;
  const LogEventSignal& events;
  ClusterState committedState;
  LogIndex appliedIndex;  // the committed state holds the log up to here
  bool unreadableState = false;
  std::optional<ClusterState> speculativeState;
  Term term;  // of the leadership that the speculative state belongs to
  std::deque<Proposal> proposals;
  std::size_t totalProposalBytes = 0;
  SnapshotScheduler snapshotScheduler;
};

}  // namespace aniseline

#endif  // ANISELINE_CONTROLLER_REPLICATED_STATE_MACHINE_HPP
