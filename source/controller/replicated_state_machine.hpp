// Applies the replicated log to two copies of the cluster state: the committed state, which every
// controller has, and the speculative state, which exists only on a leader and also includes its
// uncommitted proposals. Handlers validate against the speculative state and change it only by
// appending an event. Owned and called by Controller. docs/design.md 3.2.
#ifndef ANISELINE_CONTROLLER_REPLICATED_STATE_MACHINE_HPP
#define ANISELINE_CONTROLLER_REPLICATED_STATE_MACHINE_HPP
#include "controller/log_event.hpp"
#include "controller/snapshot_scheduler.hpp"
#include "state/cluster_state.hpp"

namespace aniseline {

class ReplicatedStateMachine {
 public:
  // Restores the state from the snapshot that `raft` was started with.
  ReplicatedStateMachine(RaftNode& raft, const LogEventSignal& events);

  // Brings the committed state up to the commit index, by an installed snapshot and by entries.
  // Reports whether anything was applied.
  // Reports the age of each proposal of this leader that has been committed to `onCommit`.
  using CommitObserver = std::function<void(Duration)>;
  bool applyCommittedEntries(MonotonicTime now, const CommitObserver& onCommit);
  const ClusterState& committed() const { return committedState; }
  // Returns the workers for which the committed state has received an order or a registration since
  // the last call.
  std::set<WorkerId> takeWorkersWithUpdates() { return committedState.takeUpdatedWorkers(); }
  // Reports whether an entry or a snapshot could not be decoded. Continuing without it would make
  // this state diverge from that of the other controllers, so the process must exit.
  bool hasUnreadableState() const { return unreadableState; }

  // True from startLeading until stopLeading. A speculative state exists only during this time.
  bool isLeading() const { return speculativeState.has_value(); }
  Term leadershipTerm() const { return term; }
  // Builds the speculative state by applying the whole log, including uncommitted entries.
  void startLeading();
  void stopLeading();
  const ClusterState& speculative() const { return *speculativeState; }
  // Proposes an event and applies it to the speculative state. The record's time is `at`, or the
  // time of the previous record if that is later. Returns the event, which stays valid until the
  // next call.
  const Event& append(Event event, ClusterTime at, MonotonicTime now);
  // Returns the memory used by uncommitted proposals, in bytes.
  std::size_t proposalBytes() const { return totalProposalBytes; }

  SnapshotScheduler& snapshots() { return snapshotScheduler; }
  void requestSnapshotIfDue(const ControllerOptions& options) {
    snapshotScheduler.requestIfDue(raft, appliedIndex, committedState, options);
  }

 private:
  // A proposal of this leader, kept so that it need not be decoded again once it is committed. The
  // term shows whether the committed entry is this proposal.
  struct Proposal {
    LogIndex index;
    Term term;
    LogRecord record;
    std::size_t bytes = 0;  // packed size
    MonotonicTime proposedAt;
  };
  void restore(const Snapshot& snapshot);
  bool applyCommittedEntry(const LogEntry& entry, MonotonicTime now,
                           const CommitObserver& onCommit);
  void applyCommittedRecord(const LogRecord& record);
  void dropFirstProposal();
  void clearProposals();

  RaftNode& raft;
  const LogEventSignal& events;
  ClusterState committedState;
  LogIndex appliedIndex;  // the committed state includes the log up to this index
  bool unreadableState = false;
  std::optional<ClusterState> speculativeState;
  Term term;  // the leadership term to which the speculative state belongs
  std::deque<Proposal> proposals;
  std::size_t totalProposalBytes = 0;
  SnapshotScheduler snapshotScheduler;
};

}  // namespace aniseline

#endif  // ANISELINE_CONTROLLER_REPLICATED_STATE_MACHINE_HPP
