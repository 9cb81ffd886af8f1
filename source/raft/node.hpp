// The controllers' raft on one log: terms, votes, replication, membership. Sans-IO.
// docs/design.md 3.
#ifndef ANISELINE_RAFT_NODE_HPP
#define ANISELINE_RAFT_NODE_HPP
#include "base/types.hpp"

namespace aniseline {

struct Member {
  ControllerId id;
  Address address;  // where other processes of the system reach it
  ZoneName zone;
  bool voter = false;
  bool operator==(const Member&) const = default;
  template <class Archive>
  void serialize(Archive& archive, unsigned) {
    archive& id& address& zone& voter;
  }
};
using Membership = std::vector<Member>;

struct LogEntry {
  Term term;
  bool isMembership =
      false;  // the payload is a packed Members list, in force from the moment it is in the log
  std::string payload;
  template <class Archive>
  void serialize(Archive& archive, unsigned) {
    archive& term& isMembership& payload;
  }
};

// What an entry takes of memory and of a link: its payload and about as much as its head.
inline std::size_t bytesOf(const LogEntry& entry) {
  return entry.payload.size() + sizeof(LogEntry);
}

// Everything up to an index, folded. docs/design.md 3.4.
struct Snapshot {
  LogIndex lastIncludedIndex;
  Term lastIncludedTerm;
  Membership membership;
  std::string state;
  template <class Archive>
  void serialize(Archive& archive, unsigned) {
    archive& lastIncludedIndex& lastIncludedTerm& membership& state;
  }
};

// One version of a controller's durable state, one file on disk. docs/design.md 3.3.
struct WriteAheadRecord {
  DiskVersion version;
  bool holdsSnapshot =
      false;  // holds a view and the whole log after it; else only what follows `first`
  Term term;
  ControllerId votedFor;
  Snapshot snapshot;
  LogIndex firstIndex;
  std::vector<LogEntry> entries;
  template <class Archive>
  void serialize(Archive& archive, unsigned) {
    archive& version& holdsSnapshot& term& votedFor& snapshot& firstIndex& entries;
  }
};

struct RequestVote {
  Term term;
  bool preVote = false;         // a pre-vote: would you?
  bool leaderTransfer = false;  // the leader itself asked for this election
  LogIndex lastLogIndex;
  Term lastLogTerm;
  template <class Archive>
  void serialize(Archive& archive, unsigned) {
    archive& term& preVote& leaderTransfer& lastLogIndex& lastLogTerm;
  }
};
struct RequestVoteReply {
  Term term;
  bool preVote = false;
  bool voteGranted = false;
  template <class Archive>
  void serialize(Archive& archive, unsigned) {
    archive& term& preVote& voteGranted;
  }
};
struct AppendEntries {
  Term term;
  LogIndex previousLogIndex;
  Term previousLogTerm;
  std::vector<LogEntry> entries;
  LogIndex leaderCommit;
  RoundNumber round;
  LogIndex replicatedWithoutReceiver{};  // up to here a majority of the voters, heard lately and
                                         // without the one that is told, holds the log
  template <class Archive>
  void serialize(Archive& archive, unsigned) {
    archive& term& previousLogIndex& previousLogTerm& entries& leaderCommit& round&
        replicatedWithoutReceiver;
  }
};
struct AppendEntriesReply {
  Term term;
  bool success = false;
  LogIndex matchIndex;  // synced up to here; of a mismatch: try from here
  LogIndex lastLogIndex;
  RoundNumber round;
  WallTime wallTime;
  template <class Archive>
  void serialize(Archive& archive, unsigned) {
    archive& term& success& matchIndex& lastLogIndex& round& wallTime;
  }
};
// Which snapshot a chunk is of. What was received of it may be continued by whoever sends the same.
struct SnapshotIdentity {
  LogIndex lastIncludedIndex;
  Term lastIncludedTerm;
  std::uint64_t totalBytes = 0;  // of the packed Snapshot, in bytes
  std::uint32_t checksum = 0;    // its checksum
  bool operator==(const SnapshotIdentity&) const = default;
  template <class Archive>
  void serialize(Archive& archive, unsigned) {
    archive& lastIncludedIndex& lastIncludedTerm& totalBytes& checksum;
  }
};
struct InstallSnapshot {  // one chunk; without data it asks how far the transfer is
  Term term;
  SnapshotIdentity snapshot;
  std::uint64_t offset = 0;
  std::string data;
  RoundNumber round;
  template <class Archive>
  void serialize(Archive& archive, unsigned) {
    archive& term& snapshot& offset& data& round;
  }
};
struct InstallSnapshotReply {
  Term term;
  SnapshotIdentity snapshot;
  std::uint64_t nextOffset = 0;  // the offset from which on nothing is there yet
  RoundNumber round;
  WallTime wallTime;
  template <class Archive>
  void serialize(Archive& archive, unsigned) {
    archive& term& snapshot& nextOffset& round& wallTime;
  }
};
struct AppendEntryChunk {  // of one entry that is larger than what may be under way at once
  Term term;
  LogIndex previousLogIndex;
  Term previousLogTerm;
  LogIndex leaderCommit;
  Term entryTerm;
  bool isMembership = false;
  std::uint64_t totalBytes = 0;  // of the entry's payload
  std::uint64_t offset = 0;
  std::string data;
  RoundNumber round;
  template <class Archive>
  void serialize(Archive& archive, unsigned) {
    archive& term& previousLogIndex& previousLogTerm& leaderCommit& entryTerm& isMembership&
        totalBytes& offset& data& round;
  }
};
struct AppendEntryChunkReply {
  Term term;
  LogIndex index;
  Term entryTerm;
  std::uint64_t nextOffset = 0;  // the offset from which on nothing is there yet
  RoundNumber round;
  WallTime wallTime;
  template <class Archive>
  void serialize(Archive& archive, unsigned) {
    archive& term& index& entryTerm& nextOffset& round& wallTime;
  }
};
struct TimeoutNow {
  Term term;
  template <class Archive>
  void serialize(Archive& archive, unsigned) {
    archive& term;
  }
};
struct JoinRequest {  // a new identity asks to learn
  Member member;
  template <class Archive>
  void serialize(Archive& archive, unsigned) {
    archive& member;
  }
};
// A leader tells an identity that it is no member any more. It says which committed change shows
// it, so that whoever is told can check it against its own log. docs/design.md 3.5.
struct RemovedFromCluster {
  Term entryTerm;  // of the committed membership entry
  LogIndex entryIndex{};
  Membership membership{};  // in force since that entry
  template <class Archive>
  void serialize(Archive& archive, unsigned) {
    archive& entryTerm& entryIndex& membership;
  }
};
using PeerBody = boost::variant<RequestVote, RequestVoteReply, AppendEntries, AppendEntriesReply,
                                InstallSnapshot, InstallSnapshotReply, AppendEntryChunk,
                                AppendEntryChunkReply, TimeoutNow, JoinRequest, RemovedFromCluster>;
struct PeerMessage {
  ControllerId from;
  ControllerId to;  // an identity, never just an address; empty only for Join
  Address toAddress;
  PeerBody body;
  Address fromAddress;
  template <class Archive>
  void serialize(Archive& archive, unsigned) {
    archive& from& to& toAddress& body& fromAddress;
  }
};
// What a message takes of memory and of a link, but for its head.
std::size_t payloadBytes(const PeerMessage& message);

struct RaftOptions {
  Duration heartbeatInterval{100};
  Duration electionTimeoutMin{500};
  Duration electionTimeoutMax{1000};
  std::size_t maxBatchBytes = 512 * 1024;
  std::uint64_t maxUnconfirmedRounds = 3;  // not yet confirmed by a majority
  // Kept behind a snapshot for followers that are late: so many entries, and more for a member that
  // is being caught up, but never more than so many bytes. docs/design.md 3.4.
  std::size_t retainedEntries = 2000;
  std::size_t maxRetainedBytes = 16 * 1024 * 1024;
  // Sent to a follower and not acknowledged, at most; a larger entry goes in chunks.
  std::size_t maxUnacknowledgedBytes = 1024 * 1024;
  // Of a snapshot or a large entry at a time, so that a heartbeat waits 65 ms behind one at 2
  // Mbit/s; also the smallest window of a slow link.
  std::size_t chunkBytes = 16 * 1024;
};

enum class MembershipChangeRefusal : std::uint8_t;  // raft/membership_change.hpp

enum class Role : std::uint8_t { learner, follower, candidate, leader };
const char* name(Role role);

class RaftNode {
 public:
  RaftNode(Member self, RaftOptions options, std::uint64_t seed,
           const std::vector<WriteAheadRecord>& restored, MonotonicTime now);

  void tick(MonotonicTime now, WallTime wall);
  void receive(const PeerMessage& message, MonotonicTime now);
  void onWriteSynced(DiskVersion version, MonotonicTime now);
  LogIndex propose(std::string payload, MonotonicTime now);
  bool proposeMembership(const Membership& members, MonotonicTime now);
  // Why that change would not be proposed now; nothing where it would be. docs/design.md 3.5.
  std::optional<MembershipChangeRefusal> membershipChangeRefusal(const Membership& members,
                                                                 MonotonicTime now) const;
  // Makes the founding entry: a cluster of this one voter. Only for a blank identity.
  void bootstrap(MonotonicTime now);
  void transferLeadership(MonotonicTime now);
  void compact(LogIndex index, std::string state);
  void setJoinAddress(const Address& address);
  // How many learners may be members at a time: each costs a copy of the log. docs/design.md 3.5.
  void setMaxLearners(std::size_t count) { maxLearners = count; }
  RoundNumber startRound(MonotonicTime now);

  // Effects, taken by whoever drives this.
  std::vector<PeerMessage> takeMessages() { return std::exchange(outgoingMessages, {}); }
  std::optional<WriteAheadRecord> takeWrite();
  bool takeSnapshotInstalled() { return std::exchange(snapshotInstalled, false); }

  Role role() const { return currentRole; }
  bool isLeader() const { return currentRole == Role::leader; }
  // Leader with an entry of its own term committed: it knows all that was ever committed.
  bool canServe() const {
    return isLeader() && committedIndex >= firstIndexOfTerm && !transferringLeadership;
  }
  Term term() const { return currentTerm; }
  const ControllerId& leaderId() const { return knownLeader; }
  const Membership& membership() const { return currentMembership; }
  const Member& self() const { return selfMember; }
  bool removedFromCluster() const { return removed; }
  bool isBlank() const { return currentMembership.empty() && lastIndex() == LogIndex{}; }
  LogIndex commitIndex() const { return committedIndex; }
  LogIndex lastIndex() const { return LogIndex{base.lastIncludedIndex.value + log.size()}; }
  LogIndex logBaseIndex() const { return base.lastIncludedIndex; }
  const Snapshot& snapshot() const { return latestSnapshot; }
  const LogEntry& entry(LogIndex index) const {
    return log[index.value - base.lastIncludedIndex.value - 1];
  }
  RoundNumber confirmedRound() const;
  MonotonicTime lastQuorumContact() const;
  MonotonicTime lastHeardFrom(const ControllerId& id) const;
  LogIndex matchIndexOf(const ControllerId& id) const;
  bool membershipCommitted() const { return membershipIndex <= committedIndex; }
  bool hasLostState(const ControllerId& id) const;
  // Holds what was committed a moment ago: under load nobody is ever level.
  bool isCaughtUp(const ControllerId& id) const;
  // Whether this one may stop without its copy being missed: a majority of the voters, heard lately
  // and without it, holds all that it knows to be committed. docs/design.md 3.5.
  bool isSafeToStop() const;
  std::uint64_t logRecordsSinceSnapshot() const { return logRecordCount; }
  std::uint64_t logBytesSinceSnapshot() const { return logRecordBytes; }
  std::optional<WallTime> agreedWallTime(MonotonicTime now) const;  // docs/design.md 3.6

 private:
  friend struct RaftNodeFingerprint;  // the model checker's, checker/model/fingerprint.hpp
  // How much may be under way to a peer: halved when rounds return later than the link explains,
  // doubled when they are quick and it was used up. docs/design.md 3.4.
  struct SendWindow {
    std::size_t bytes = 0;
    bool exhausted = false;
    std::optional<Duration> fastestRoundTrip;
  };
  struct ChunkProgress {
    std::uint64_t acknowledgedOffset = 0;
    std::uint64_t sentOffset = 0;
    RoundNumber lastChunkRound;  // of the latest chunk
    void onReply(std::uint64_t next, RoundNumber round);
  };
  struct SnapshotTransfer {
    SnapshotIdentity identity;
    ChunkProgress chunks;
  };
  struct EntryTransfer {
    LogIndex index;
    ChunkProgress chunks;
  };
  struct UnacknowledgedBatch {
    LogIndex lastIndex;
    std::size_t bytes = 0;
  };
  struct PeerProgress {
    LogIndex nextIndex{1};
    LogIndex matchIndex;
    RoundNumber resetRound;  // when its place was last set back; answers to what was sent before
                             // say nothing new
    RoundNumber matchRound;  // of the reply that raised the match
    RoundNumber ackedRound;
    MonotonicTime lastHeard;
    MonotonicTime ackedRoundSentAt;  // when the acked round was sent
    std::optional<std::int64_t> wallClockOffset;
    bool hasLostState = false;
    std::optional<SnapshotTransfer> snapshotTransfer;
    std::optional<EntryTransfer> entryTransfer;
    std::deque<UnacknowledgedBatch> unacknowledgedBatches;
    std::size_t unacknowledgedBytes = 0;
    SendWindow sendWindow;
  };
  // The one snapshot that a leader sends, for as long as the entries after it are kept.
  struct OutgoingSnapshot {
    SnapshotIdentity identity;
    std::string bytes;
  };
  struct IncomingSnapshot {
    SnapshotIdentity identity;
    std::string bytes;
  };
  struct IncomingEntry {
    LogIndex index;
    Term term;
    std::string bytes;
  };
  bool isVoter() const;
  std::size_t majoritySize() const;
  Term termAt(LogIndex index) const;
  const Member* findMember(const ControllerId& id) const;
  void changeRole(Role role, MonotonicTime now);
  void observeTerm(Term term, MonotonicTime now);
  void resetElectionTimer(MonotonicTime now);
  void requestJoin(MonotonicTime now);
  void campaign(MonotonicTime now, bool trial, bool leaderTransfer);
  void countVotes(MonotonicTime now);
  void becomeLeader(MonotonicTime now);
  void broadcast(MonotonicTime now, bool force);
  void sendAppend(const Member& to, PeerProgress& peer, bool force);
  std::size_t windowOf(PeerProgress& peer) const;
  void recordContact(PeerProgress& peer, RoundNumber answered, WallTime wall, MonotonicTime now);
  void adaptWindow(PeerProgress& peer, Duration roundTrip) const;
  static void discardAcknowledged(PeerProgress& peer);
  static void clearUnacknowledged(PeerProgress& peer);
  LogIndex compactionIndex(LogIndex folded) const;
  Membership membershipAt(LogIndex index) const;
  void prepareOutgoingSnapshot();
  void discardIdleTransfers();
  void sendSnapshotChunks(const Member& to, PeerProgress& peer, bool force);
  void sendEntryChunks(const Member& to, PeerProgress& peer, bool force);
  template <class Chunk>
  void sendChunks(const Member& to, PeerProgress& peer, ChunkProgress& progress,
                  const std::string& bytes, Chunk chunk, bool force);
  PeerProgress* acceptChunkReply(const PeerMessage& message, Term term, RoundNumber round,
                                 WallTime wall, MonotonicTime now);
  bool acceptChunk(const PeerMessage& message, Term term, RoundNumber round, MonotonicTime now);
  std::optional<Snapshot> appendSnapshotChunk(const InstallSnapshot& body);
  void installSnapshot(Snapshot snapshot);
  template <class Value, class OfPeer>
  Value quorumValue(Value ofSelf, OfPeer ofPeer) const;
  LogIndex replicatedIndexWithout(const ControllerId& id) const;
  void advanceCommitIndex();
  void updateCaughtUpIndex(MonotonicTime now);
  void notifyRemoved(const ControllerId& id);
  // The entry that the members rest on: the change itself, or, once that is compacted, the
  // snapshot.
  std::pair<Term, LogIndex> latestMembershipEntry() const;
  void proposeMovedAddresses(MonotonicTime now);
  void truncateLog(LogIndex from);
  void reloadMembership();
  void persistFrom(LogIndex from);
  Address addressOf(const ControllerId& id) const;
  void send(const ControllerId& to, PeerBody body);
  void sendAfterSync(const ControllerId& to, PeerBody body);
  void handle(const PeerMessage& message, const RequestVote& body, MonotonicTime now);
  void handle(const PeerMessage& message, const RequestVoteReply& body, MonotonicTime now);
  void handle(const PeerMessage& message, const AppendEntries& body, MonotonicTime now);
  void handle(const PeerMessage& message, const AppendEntriesReply& body, MonotonicTime now);
  void handle(const PeerMessage& message, const InstallSnapshot& body, MonotonicTime now);
  void handle(const PeerMessage& message, const InstallSnapshotReply& body, MonotonicTime now);
  void handle(const PeerMessage& message, const AppendEntryChunk& body, MonotonicTime now);
  void handle(const PeerMessage& message, const AppendEntryChunkReply& body, MonotonicTime now);
  void handle(const PeerMessage& message, const TimeoutNow& body, MonotonicTime now);
  void handle(const PeerMessage& message, const JoinRequest& body, MonotonicTime now);
  void handle(const PeerMessage& message, const RemovedFromCluster& body, MonotonicTime now);
  void recordLeaderContact(const ControllerId& leader, Term term, RoundNumber heardRound,
                           MonotonicTime now);
  void sendAppendReply(const ControllerId& to, bool matched, LogIndex match, RoundNumber round);

  Member selfMember;
  RaftOptions options;
  Random random;
  Role currentRole = Role::learner;
  Term currentTerm;
  ControllerId votedFor;
  ControllerId knownLeader;
  Membership currentMembership;
  LogIndex membershipIndex;
  Snapshot base;            // index and term before the first entry in memory
  Snapshot latestSnapshot;  // the latest whole view
  std::optional<OutgoingSnapshot> outgoingSnapshot;
  std::optional<IncomingSnapshot> incomingSnapshot;
  std::optional<IncomingEntry> incomingEntry;
  std::vector<LogEntry> log;
  LogIndex committedIndex;
  LogIndex firstIndexOfTerm;
  LogIndex replicatedWithoutSelf;  // a majority of the voters holds that much, this one not counted
  LogIndex caughtUpIndex;          // who holds that much has caught up
  LogIndex nextCaughtUpIndex;      // what it becomes next
  MonotonicTime caughtUpIndexUpdatedAt;
  std::map<ControllerId, PeerProgress> peers;
  std::set<ControllerId> votesGranted;
  bool preVoteElection = false;
  MonotonicTime electionDeadline;
  MonotonicTime leaderHeardAt{-1'000'000};
  MonotonicTime nextHeartbeatAt, lastBroadcastAt;
  MonotonicTime lastTickAt,
      pauseGraceUntil;  // until then what lay unread through a pause of our own is still being read
  WallTime wallTimeAtTick;
  MonotonicTime wallAt;
  RoundNumber currentRound;
  std::deque<std::pair<RoundNumber, MonotonicTime>> roundStartTimes;
  Address joinAddress;
  std::size_t maxLearners = 1;
  bool transferringLeadership = false;
  MonotonicTime transferDeadline;
  bool removed = false;
  bool snapshotInstalled = false;

  // Disk: at most one write is under way; what comes meanwhile goes together into the next one.
  DiskVersion nextVersion{1};
  std::optional<WriteAheadRecord> ready;
  struct WriteInFlight {
    DiskVersion version;
    LogIndex lastIndex;
    bool includesOwnVote;
  };
  std::optional<WriteInFlight> writeInFlight;
  MonotonicTime currentTime;
  bool dirty = false;
  bool snapshotWritePending = false;
  LogIndex dirtyFromIndex;
  LogIndex syncedIndex;
  // What the disk holds, whoever's log it is: lower than what was acknowledged only where the disk
  // is another one. docs/design.md 3.5.
  LogIndex durableIndex;
  bool ownVotePending = false;
  std::uint64_t logRecordCount = 0, logRecordBytes = 0;
  std::vector<std::pair<DiskVersion, PeerMessage>> messagesAwaitingSync;
  std::vector<PeerMessage> outgoingMessages;
  std::map<ControllerId, Address> lastKnownAddresses;  // of those heard from, members or not
  RoundNumber lastAppendRound;
  ControllerId lastAppender;
  Term lastAppendTerm;
  LogIndex verifiedIndex;  // up to here the log is known to be that leader's
};

}  // namespace aniseline

#endif  // ANISELINE_RAFT_NODE_HPP
