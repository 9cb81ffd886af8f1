// One controller's part in the Raft consensus on the replicated log: elections, replication,
// snapshots, membership and durability. It does no input or output of its own: its owner, the
// Controller, passes in the time, received messages and completed disk writes, and takes the
// messages and records that result. All calls come from the owner's one thread.
// docs/design.md 3.
//
// The implementation is split by concern: node.cpp (construction, clock, dispatch), election.cpp,
// leader_replication.cpp, follower_replication.cpp, quorum.cpp, chunk_transfer.cpp,
// snapshot_transfer.cpp, membership.cpp and persistence.cpp.
#ifndef ANISELINE_RAFT_NODE_HPP
#define ANISELINE_RAFT_NODE_HPP
#include "raft/heartbeat_rounds.hpp"
#include "raft/messages.hpp"
#include "raft/options.hpp"
#include "raft/peer_progress.hpp"
#include "raft/raft_log.hpp"
#include "raft/write_ahead_queue.hpp"

namespace aniseline {

enum class MembershipChangeRefusal : std::uint8_t;  // raft/membership_change.hpp

// A learner receives the log but does not vote; a blank node is a learner too.
enum class Role : std::uint8_t { learner, follower, candidate, leader };
const char* name(Role role);

class RaftNode {
 public:
  // Begins as a follower or learner with the state that the disk held.
  // \param self      this controller; whether it votes is decided by the log, not by `self.voter`
  // \param seed      of the random election timeouts
  // \param restored  all records of the disk, in the order of their versions; empty for a new
  //                  identity
  RaftNode(Member self, RaftOptions options, std::uint64_t seed,
           const std::vector<WriteAheadRecord>& restored, MonotonicTime now);

  // --- Input

  // To be called every few milliseconds, much more often than a heartbeat is due: begins elections
  // and rounds of heartbeats, and steps down where no majority is in contact.
  // \param wall  the machine's calendar clock
  void tick(MonotonicTime now, WallTime wall);
  // A message arrived. It is ignored where it is meant for another identity.
  void receive(const PeerMessage& message, MonotonicTime now);
  // The record of this version, from takeWrite, is durable.
  void onWriteSynced(DiskVersion version, MonotonicTime now);

  // --- Commands

  // Appends an entry, as the leader; it is committed once commitIndex reaches it, unless another
  // leader replaces it. A new leader has to propose an entry at once, since it serves only when one
  // of its own term is committed.
  // \return the entry's index
  LogIndex propose(std::string payload, MonotonicTime now);
  // Proposes a new membership, which is in force at once and counts once it is committed.
  // \return false where membershipChangeRefusal gives a reason against it
  bool proposeMembership(const Membership& proposed, MonotonicTime now);
  // Why that change would not be proposed now; nothing where it would be. docs/design.md 3.5.
  std::optional<MembershipChangeRefusal> membershipChangeRefusal(const Membership& proposed,
                                                                 MonotonicTime now) const;
  // Founds a cluster of which this node is the one voter. Does nothing unless the node is blank.
  void bootstrap(MonotonicTime now);
  // Asks the voter that is furthest ahead to take over, if any is heard. Until it has, or the
  // maximal election timeout has passed, this leader does not serve.
  void transferLeadership(MonotonicTime now);
  // Replaces the log up to `index` by a snapshot, but for the entries that followers may still
  // need. Does nothing unless `index` is committed and after the latest snapshot.
  // \param state  the owner's state with all entries up to `index` applied
  void compact(LogIndex index, std::string state);
  // Where to ask for admission to a cluster: the address of a leader, or of any member.
  void setJoinAddress(const Address& address);
  // How many learners may be members at a time. Each costs a copy of the log. docs/design.md 3.5.
  void setMaxLearners(std::size_t count) { maxLearners = count; }
  // Asks for a round of heartbeats as soon as possible. When confirmedRound reaches the returned
  // number this node was still the leader after the call, and may answer a read (ReadIndex in the
  // Raft thesis).
  RoundNumber startRound(MonotonicTime now);

  // --- Effects, to be taken after each input or command

  std::vector<PeerMessage> takeMessages() { return std::exchange(outgoingMessages, {}); }
  // The next record to write and sync, if one is due and none is being written.
  std::optional<WriteAheadRecord> takeWrite();
  // Whether a snapshot was installed since the last call: the owner then replaces its state by
  // snapshot().
  bool takeSnapshotInstalled() { return std::exchange(snapshotInstalled, false); }

  // --- This node

  const Member& self() const { return selfMember; }
  Role role() const { return currentRole; }
  bool isLeader() const { return currentRole == Role::leader; }
  // A leader that has committed an entry of its own term and therefore knows everything that was
  // ever committed, and is not handing over.
  bool canServe() const {
    return isLeader() && committedIndex >= firstIndexOfTerm && !transferringLeadership;
  }
  Term term() const { return currentTerm; }
  // The leader that this node follows, itself included; empty where none is known.
  const ControllerId& leaderId() const { return knownLeader; }
  // Without any state: it belongs to no cluster yet.
  bool isBlank() const { return currentMembership.empty() && lastIndex() == LogIndex{}; }
  // A committed change has removed this identity; its owner goes on as a new one.
  bool removedFromCluster() const { return removed; }
  // Whether this node may stop without its copy being missed: a majority of the voters, heard from
  // lately and without it, holds everything that it knows to be committed. docs/design.md 3.5.
  bool isSafeToStop() const;

  // --- The log

  LogIndex commitIndex() const { return committedIndex; }
  LogIndex lastIndex() const { return log.lastIndex(); }
  // The log in memory holds the entries after this index.
  LogIndex logBaseIndex() const { return log.baseIndex(); }
  // The entry of an index in (logBaseIndex, lastIndex].
  const LogEntry& entry(LogIndex index) const { return log.entry(index); }
  // The latest snapshot, taken here or installed; empty with index 0 where there was none.
  const Snapshot& snapshot() const { return latestSnapshot; }
  // What was written since the last record with a snapshot, to decide when a snapshot is due.
  std::uint64_t logRecordsSinceSnapshot() const { return writes.recordsSinceSnapshot(); }
  std::uint64_t logBytesSinceSnapshot() const { return writes.bytesSinceSnapshot(); }

  // --- The members

  // In force, though it may not be committed yet.
  const Membership& membership() const { return currentMembership; }
  bool membershipCommitted() const { return membershipIndex <= committedIndex; }

  // --- The other members, as a leader knows them

  // The latest round of heartbeats that a majority has answered.
  RoundNumber confirmedRound() const;
  // When a majority of the voters last followed this leader for certain.
  MonotonicTime lastQuorumContact() const;
  // When a member last answered; now where nothing is known of it.
  MonotonicTime lastContactWith(const ControllerId& id) const;
  // Up to here a member's log is the leader's and durable; 0 where nothing is known of it.
  LogIndex matchIndexOf(const ControllerId& id) const;
  // The member's disk does not hold what it once acknowledged to this leader. docs/design.md 3.5.
  bool hasLostState(const ControllerId& id) const;
  // The member holds what was committed RaftLimits::caughtUpInterval ago.
  bool isCaughtUp(const ControllerId& id) const;
  // The lower median of the voters' calendar clocks, where a majority of them is known; one clock
  // alone can't move it ahead. docs/design.md 3.6.
  std::optional<WallTime> medianWallTime(MonotonicTime now) const;

 private:
  friend struct RaftNodeFingerprint;  // of the model checker, checker/model/fingerprint.hpp

  enum class ElectionKind : std::uint8_t { preVote, election, leaderTransfer };
  // Whether a message is sent where there is no data to send, so that the follower hears its
  // leader.
  enum class SendMode : std::uint8_t { dataOnly, heartbeat };

  // node.cpp
  void detectPause(MonotonicTime now);
  void tickAsLeader(MonotonicTime now);
  void tickAsFollower(MonotonicTime now);
  bool hasLostQuorum(MonotonicTime now) const;
  bool isVoter() const;
  const Member* findMember(const ControllerId& id) const;
  WallTime wallTimeAt(MonotonicTime now) const;
  Address addressOf(const ControllerId& id) const;
  PeerMessage makeMessage(const ControllerId& to, PeerBody body) const;
  void send(const ControllerId& to, PeerBody body);
  void sendAfterSync(const ControllerId& to, PeerBody body);

  // election.cpp
  void resetElectionTimer(MonotonicTime now);
  void observeTerm(Term term, MonotonicTime now);
  void becomeFollower(MonotonicTime now);
  void becomeLeader(MonotonicTime now);
  void promoteIfVoter();
  void campaign(ElectionKind kind, MonotonicTime now);
  void requestVotes(ElectionKind kind);
  void countVotes(MonotonicTime now);
  bool isEligible(const RequestVote& request) const;
  void answerPreVote(const ControllerId& candidate, const RequestVote& request);
  void answerVote(const ControllerId& candidate, const RequestVote& request, MonotonicTime now);
  void handle(const PeerMessage& message, const RequestVote& body, MonotonicTime now);
  void handle(const PeerMessage& message, const RequestVoteReply& body, MonotonicTime now);
  void handle(const PeerMessage& message, const TimeoutNow& body, MonotonicTime now);

  // quorum.cpp
  std::size_t majoritySize() const;
  template <class Value, class PeerValue>
  Value quorumValue(Value selfValue, PeerValue peerValue) const;
  LogIndex syncedLogIndex() const;
  LogIndex replicatedIndexWithout(const ControllerId& id) const;
  void advanceCommitIndex();
  void updateCaughtUpIndex(MonotonicTime now);

  // leader_replication.cpp
  void broadcast(MonotonicTime now);
  void replicate(const ControllerId& to, PeerProgress& peer, SendMode mode);
  bool isNextEntryTooLarge(PeerProgress& peer) const;
  void sendEntries(const ControllerId& to, PeerProgress& peer, SendMode mode);
  std::size_t fillBatch(PeerProgress& peer, std::vector<LogEntry>& entries) const;
  PeerProgress* acceptReply(const ControllerId& from, Term term, RoundNumber answered,
                            WallTime wallTime, MonotonicTime now);
  void handle(const PeerMessage& message, const AppendEntriesReply& body, MonotonicTime now);

  // follower_replication.cpp
  bool acceptLeader(const ControllerId& leader, Term term, RoundNumber round, MonotonicTime now);
  void recordLeaderContact(const ControllerId& leader, Term term, RoundNumber round,
                           MonotonicTime now);
  LogIndex storeEntries(const AppendEntries& body);
  void truncateLog(LogIndex from);
  void sendAppendReply(const ControllerId& to, bool success, LogIndex matchIndex,
                       RoundNumber answered);
  void handle(const PeerMessage& message, const AppendEntries& body, MonotonicTime now);

  // chunk_transfer.cpp
  std::vector<Chunk> nextChunks(PeerProgress& peer, ChunkProgress& progress,
                                const std::string& bytes, SendMode mode) const;
  void sendEntryChunks(const ControllerId& to, PeerProgress& peer, SendMode mode);
  void handle(const PeerMessage& message, const AppendEntryChunk& body, MonotonicTime now);
  void handle(const PeerMessage& message, const AppendEntryChunkReply& body, MonotonicTime now);

  // snapshot_transfer.cpp
  LogIndex compactionIndex(LogIndex snapshotIndex) const;
  void prepareOutgoingSnapshot();
  void discardIdleTransfers();
  void sendSnapshotChunks(const ControllerId& to, PeerProgress& peer, SendMode mode);
  std::optional<Snapshot> receiveSnapshotChunk(const InstallSnapshot& body);
  void installSnapshot(Snapshot snapshot);
  void handle(const PeerMessage& message, const InstallSnapshot& body, MonotonicTime now);
  void handle(const PeerMessage& message, const InstallSnapshotReply& body, MonotonicTime now);

  // membership.cpp
  void reloadMembership();
  void requestJoin(MonotonicTime now);
  void notifyRemoved(const ControllerId& id);
  EntryPosition membershipPosition() const;
  void proposeAddressChanges(MonotonicTime now);
  void handle(const PeerMessage& message, const JoinRequest& body, MonotonicTime now);
  void handle(const PeerMessage& message, const RemovedFromCluster& body, MonotonicTime now);

  // The one snapshot that a leader sends, to whomever needs one. It is kept for as long as the
  // entries after it are.
  struct OutgoingSnapshot {
    SnapshotIdentity identity;
    std::string bytes;
  };
  struct IncomingSnapshot {
    SnapshotIdentity identity;
    ChunkBuffer received;
  };
  struct IncomingEntry {
    LogIndex index;
    Term term;
    ChunkBuffer received;
  };

  // --- Identity, clock and effects
  Member selfMember;
  RaftOptions options;
  Random random;              // draws election timeouts
  MonotonicTime currentTime;  // the latest time that was passed in
  MonotonicTime lastTickAt;
  WallTime wallTimeAtTick;  // at lastTickAt
  // After a pause of this process, until then the others' unread messages are read first.
  MonotonicTime pauseGraceUntil;
  std::vector<PeerMessage> outgoingMessages;
  bool snapshotInstalled = false;
  std::map<ControllerId, Address> lastKnownAddresses;  // of all senders, members or not

  // --- Durable state
  Term currentTerm;
  ControllerId votedFor;  // in currentTerm
  RaftLog log;
  Snapshot latestSnapshot;
  WriteAheadQueue writes;

  // --- Any role
  Role currentRole = Role::learner;
  ControllerId knownLeader;
  LogIndex committedIndex;
  Membership currentMembership;  // by the latest entry that holds one, committed or not
  LogIndex membershipIndex;      // of that entry
  bool removed = false;
  Address joinAddress;
  std::size_t maxLearners = 1;

  // --- Elections
  std::set<ControllerId> votesGranted;
  bool preVoteElection = false;
  MonotonicTime electionDeadline;
  MonotonicTime lastLeaderContactAt{-1'000'000};  // before any election timeout at the start

  // --- As a follower
  ControllerId lastAppendLeader;  // the leader that last contacted this node
  Term lastAppendTerm;            // the term in which it did
  RoundNumber lastAppendRound;
  LogIndex verifiedIndex;  // up to here the log is known to be that leader's
  // Up to here a majority of the voters holds the log, this node not counted.
  LogIndex replicatedIndexWithoutSelf;
  std::optional<IncomingSnapshot> incomingSnapshot;
  std::optional<IncomingEntry> incomingEntry;

  // --- As a leader
  std::map<ControllerId, PeerProgress> peers;  // one for each other member
  HeartbeatRounds rounds;
  // Of the next round of heartbeats; a learner without a leader asks to join at this time.
  MonotonicTime nextHeartbeatAt;
  LogIndex firstIndexOfTerm;
  LogIndex caughtUpIndex;      // a member that holds this much counts as caught up
  LogIndex nextCaughtUpIndex;  // what caughtUpIndex becomes next
  MonotonicTime caughtUpIndexUpdatedAt;
  std::optional<OutgoingSnapshot> outgoingSnapshot;
  bool transferringLeadership = false;
  MonotonicTime transferDeadline;
};

}  // namespace aniseline

#endif  // ANISELINE_RAFT_NODE_HPP
