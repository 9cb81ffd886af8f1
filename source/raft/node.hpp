// One controller's Raft consensus module: elections, log replication, snapshots, membership and
// durability. It performs no I/O. Its owner, the Controller, passes in the time, received messages
// and completed disk writes, and collects the resulting messages and write-ahead records. All calls
// are made on the owner's thread. docs/design.md 3.
//
// The implementation is split by concern: node.cpp (construction, clock, message dispatch),
// election.cpp, leader_replication.cpp, follower_replication.cpp, quorum.cpp, chunk_transfer.cpp,
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

// A learner receives the log but does not vote. A blank node is a learner too.
enum class Role : std::uint8_t { learner, follower, candidate, leader };
const char* name(Role role);

class RaftNode {
 public:
  // Starts as a follower or learner with the state restored from disk.
  // \param self      this controller; the log, not `self.voter`, decides whether it votes
  // \param seed      seed of the random election timeouts
  // \param restored  all records on disk, ordered by version; empty for a new identity
  RaftNode(Member self, RaftOptions options, std::uint64_t seed,
           const std::vector<WriteAheadRecord>& restored, MonotonicTime now);

  // --- Input

  // Starts elections and heartbeat rounds when they are due, and steps down if this leader has lost
  // contact with a majority. Must be called every few milliseconds, much more often than the
  // heartbeat interval.
  // \param wall  the machine's calendar clock
  void tick(MonotonicTime now, WallTime wall);
  // Processes a received message. Ignores it if it is addressed to another identity, and refuses it
  // if it comes from another cluster.
  void receive(const PeerMessage& message, MonotonicTime now);
  // Reports that the record of this version, obtained from takeWrite, is durable.
  void onWriteSynced(DiskVersion version, MonotonicTime now);

  // --- Commands

  // Appends an entry; only valid on a leader. The entry is committed once commitIndex reaches it,
  // unless another leader replaces it. A new leader must propose an entry immediately, since it
  // serves requests only after an entry of its own term is committed.
  // \return the entry's index
  LogIndex propose(std::string payload, MonotonicTime now);
  // Proposes a new membership. It takes effect as soon as it is appended, and is final once
  // committed.
  // \return false if membershipChangeRefusal returns a reason
  bool proposeMembership(const Membership& proposed, MonotonicTime now);
  // Returns the reason why this change cannot be proposed now, or nullopt if it can.
  // docs/design.md 3.5.
  std::optional<MembershipChangeRefusal> membershipChangeRefusal(const Membership& proposed,
                                                                 MonotonicTime now) const;
  // Bootstraps a cluster with this node as the only voter, named after this identity. Does nothing
  // unless the node is blank and bound to no cluster.
  void bootstrap(MonotonicTime now);
  // Binds this node to a cluster, unless it already belongs to one: from now on it refuses messages
  // of any other cluster, and it does not bootstrap one. docs/design.md 3.8.
  void bindToCluster(const ClusterId& cluster);
  // Starts transferring leadership to the voter with the most up-to-date log among those recently
  // in contact, if there is one. This leader does not serve until the transfer succeeds or the
  // maximum election timeout has elapsed.
  void transferLeadership(MonotonicTime now);
  // Replaces the log up to `index` with a snapshot, but retains entries that followers may still
  // need. Does nothing unless `index` is committed and is later than the latest snapshot.
  // \param state  the owner's state with all entries up to `index` applied
  void compact(LogIndex index, std::string state);
  // Tells whether the disk takes writes. While it does not, this node starts no election, and as a
  // leader it transfers its leadership; its votes and acknowledgements wait for a sync anyway.
  // docs/design.md 3.3.
  void setDiskWritable(bool writable) { diskWritable = writable; }
  // Sets the address to send join requests to: that of a leader or of any other member.
  void setJoinAddress(const Address& address);
  // Sets the maximum number of learners. Each learner costs one copy of the log.
  // docs/design.md 3.5.
  void setMaxLearners(std::size_t count) { maxLearners = count; }
  // Requests a heartbeat round as soon as possible. Once confirmedRound reaches the returned
  // number, this node is known to have been leader after the call and may answer a read (ReadIndex
  // in the Raft thesis).
  RoundNumber startRound(MonotonicTime now);

  // --- Effects, to be collected after each input or command

  std::vector<PeerMessage> takeMessages() { return std::exchange(outgoingMessages, {}); }
  // Returns the next record to write and sync, if one is due and no write is in flight.
  std::optional<WriteAheadRecord> takeWrite();
  // Reports whether a snapshot was installed since the last call. The owner must then replace its
  // state with the one in snapshot().
  bool takeSnapshotInstalled() { return std::exchange(snapshotInstalled, false); }

  // --- This node

  const Member& self() const { return selfMember; }
  Role role() const { return currentRole; }
  bool isLeader() const { return currentRole == Role::leader; }
  // Reports whether this node is a leader that has committed an entry of its own term, and
  // therefore knows of every committed entry, and is not transferring its leadership.
  bool canServe() const {
    return isLeader() && committedIndex >= firstIndexOfTerm && !transferringLeadership;
  }
  Term term() const { return currentTerm; }
  // Returns the leader that this node follows, which may be itself, or an empty id if none is
  // known.
  const ControllerId& leaderId() const { return knownLeader; }
  // Reports whether this node has no state, which means it belongs to no cluster yet.
  bool isBlank() const { return currentMembership.empty() && lastIndex() == LogIndex{}; }
  // Reports whether a committed change has removed this identity. The owner then continues under a
  // new one.
  bool removedFromCluster() const { return removed; }
  // Returns the cluster that this node belongs or is bound to; absent if it knows none.
  const ClusterId& cluster() const { return currentCluster; }
  // Returns the sender and cluster of the latest refused message of another cluster since the last
  // call, if there was one.
  struct ForeignSender {
    ControllerId id;
    ClusterId cluster;
  };
  std::optional<ForeignSender> takeForeignSender() {
    return std::exchange(foreignSender, std::nullopt);
  }
  // Reports whether this node may stop without its copy being needed: a majority of the voters,
  // counting only those recently in contact and not this node, holds every entry that this node
  // knows to be committed. docs/design.md 3.5.
  bool isSafeToStop() const;

  // --- The log

  LogIndex commitIndex() const { return committedIndex; }
  LogIndex lastIndex() const { return log.lastIndex(); }
  // Returns the index immediately before the first entry in memory.
  LogIndex logBaseIndex() const { return log.baseIndex(); }
  // Returns the entry at an index in (logBaseIndex, lastIndex].
  const LogEntry& entry(LogIndex index) const { return log.entry(index); }
  // Returns the latest snapshot, taken locally or installed. Its index is 0 if there is none.
  const Snapshot& snapshot() const { return latestSnapshot; }
  // Number of records and bytes written since the last record with a snapshot. The owner uses them
  // to decide when to take the next snapshot.
  std::uint64_t logRecordsSinceSnapshot() const { return writes.recordsSinceSnapshot(); }
  std::uint64_t logBytesSinceSnapshot() const { return writes.bytesSinceSnapshot(); }

  // --- Members

  // Returns the membership in force, which may not be committed yet.
  const Membership& membership() const { return currentMembership; }
  bool membershipCommitted() const { return membershipIndex <= committedIndex; }

  // --- The leader's view of the other members

  // Returns the latest heartbeat round that a majority has acknowledged.
  RoundNumber confirmedRound() const;
  // Returns the latest time at which a majority of the voters is known to have followed this
  // leader.
  MonotonicTime lastQuorumContact() const;
  // Returns the time of the member's last reply, or the current time if the member is unknown.
  MonotonicTime lastContactWith(const ControllerId& id) const;
  // Returns the index up to which the member's log matches the leader's and is durable, or 0 if the
  // member is unknown.
  LogIndex matchIndexOf(const ControllerId& id) const;
  // Reports whether the member's disk no longer holds entries that it acknowledged to this leader.
  // docs/design.md 3.5.
  bool hasLostState(const ControllerId& id) const;
  // Reports whether the member holds every entry that was committed RaftLimits::caughtUpInterval
  // ago.
  bool isCaughtUp(const ControllerId& id) const;
  // Returns the lower median of the voters' calendar clocks, or nullopt unless the clocks of a
  // majority are known. A single clock cannot move the median forward. docs/design.md 3.6.
  std::optional<WallTime> medianWallTime(MonotonicTime now) const;

 private:
  friend struct RaftNodeFingerprint;  // the model checker's, in checker/model/fingerprint.hpp

  enum class ElectionKind : std::uint8_t { preVote, election, leaderTransfer };
  // Whether a message is sent even if there is no data to send, so that the follower hears from its
  // leader.
  enum class SendMode : std::uint8_t { dataOnly, heartbeat };

  // node.cpp
  bool isFromOtherCluster(const PeerMessage& message);
  void adoptClusterOfLeader(const PeerMessage& message);
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

  // The snapshot that a leader sends. All followers that need one get the same snapshot, which is
  // kept as long as the log still holds the entries that follow it.
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
  MonotonicTime currentTime;  // latest time passed in by the owner
  MonotonicTime lastTickAt;
  WallTime wallTimeAtTick;  // calendar time at lastTickAt
  // After this process was paused, the leader normally does not step down before this time, so that
  // it can first read messages that arrived during the pause.
  MonotonicTime pauseGraceUntil;
  std::vector<PeerMessage> outgoingMessages;
  bool snapshotInstalled = false;
  std::optional<ForeignSender> foreignSender;
  std::map<ControllerId, Address> lastKnownAddresses;  // of all senders, members or not

  // --- Durable state
  Term currentTerm;
  ControllerId votedFor;  // in currentTerm
  ClusterId currentCluster;
  RaftLog log;
  Snapshot latestSnapshot;
  WriteAheadQueue writes;

  // --- Any role
  Role currentRole = Role::learner;
  ControllerId knownLeader;
  LogIndex committedIndex;
  Membership currentMembership;  // from the latest membership entry, committed or not
  LogIndex membershipIndex;      // index of that entry
  bool removed = false;
  bool diskWritable = true;
  Address joinAddress;
  std::size_t maxLearners = 1;

  // --- Elections
  std::set<ControllerId> votesGranted;
  bool preVoteElection = false;
  MonotonicTime electionDeadline;
  MonotonicTime lastLeaderContactAt{-1'000'000};  // initially earlier than any election timeout

  // --- As a follower
  ControllerId lastAppendLeader;  // the leader that last contacted this node
  Term lastAppendTerm;            // the term of that contact
  RoundNumber lastAppendRound;
  LogIndex verifiedIndex;  // the log is known to match that leader's up to this index
  // Highest index up to which a majority of the voters holds the log, not counting this node.
  LogIndex replicatedIndexWithoutSelf;
  std::optional<IncomingSnapshot> incomingSnapshot;
  std::optional<IncomingEntry> incomingEntry;

  // --- As a leader
  std::map<ControllerId, PeerProgress> peers;  // one for each other member
  HeartbeatRounds rounds;
  // When to start the next heartbeat round. On a learner without a leader, when to send the next
  // join request.
  MonotonicTime nextHeartbeatAt;
  LogIndex firstIndexOfTerm;
  LogIndex caughtUpIndex;      // a member that holds the log up to this index is caught up
  LogIndex nextCaughtUpIndex;  // the next value of caughtUpIndex
  MonotonicTime caughtUpIndexUpdatedAt;
  std::optional<OutgoingSnapshot> outgoingSnapshot;
  bool transferringLeadership = false;
  MonotonicTime transferDeadline;
};

}  // namespace aniseline

#endif  // ANISELINE_RAFT_NODE_HPP
