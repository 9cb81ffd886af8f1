// The controllers' raft on one log: terms, votes, replication, membership. Sans-IO.
// docs/design.md 3.
#pragma once
#include "base/types.hpp"

namespace aniseline {

struct Member {
  ControllerId id;
  Address peer;  // where other processes of the system reach it
  ZoneName zone;
  bool voter = false;
  bool operator==(const Member&) const = default;
  template <class Archive>
  void serialize(Archive& archive, unsigned) {
    archive& id& peer& zone& voter;
  }
};
using Members = std::vector<Member>;

struct LogEntry {
  Term term;
  bool members =
      false;  // the payload is a packed Members list, in force from the moment it is in the log
  std::string payload;
  template <class Archive>
  void serialize(Archive& archive, unsigned) {
    archive& term& members& payload;
  }
};

// What an entry takes of memory and of a link: its payload and about as much as its head.
inline std::size_t bytesOf(const LogEntry& entry) {
  return entry.payload.size() + sizeof(LogEntry);
}

// Everything up to an index, folded. docs/design.md 3.4.
struct Snapshot {
  LogIndex index;
  Term term;
  Members members;
  std::string state;
  template <class Archive>
  void serialize(Archive& archive, unsigned) {
    archive& index& term& members& state;
  }
};

// One version of a controller's durable state, one file on disk. docs/design.md 3.3.
struct WriteAheadRecord {
  DiskVersion version;
  bool whole = false;  // holds a view and the whole log after it; else only what follows `first`
  Term term;
  ControllerId vote;
  Snapshot snapshot;
  LogIndex first;
  std::vector<LogEntry> entries;
  template <class Archive>
  void serialize(Archive& archive, unsigned) {
    archive& version& whole& term& vote& snapshot& first& entries;
  }
};

struct RequestVote {
  Term term;
  bool trial = false;           // a pre-vote: would you?
  bool leaderTransfer = false;  // the leader itself asked for this election
  LogIndex last;
  Term lastTerm;
  template <class Archive>
  void serialize(Archive& archive, unsigned) {
    archive& term& trial& leaderTransfer& last& lastTerm;
  }
};
struct RequestVoteReply {
  Term term;
  bool trial = false;
  bool given = false;
  template <class Archive>
  void serialize(Archive& archive, unsigned) {
    archive& term& trial& given;
  }
};
struct AppendEntries {
  Term term;
  LogIndex previous;
  Term previousTerm;
  std::vector<LogEntry> entries;
  LogIndex commit;
  RoundNumber round;
  LogIndex heldByOthers{};  // up to here a majority of the voters, heard lately and without the
                            // one that is told, holds the log
  template <class Archive>
  void serialize(Archive& archive, unsigned) {
    archive& term& previous& previousTerm& entries& commit& round& heldByOthers;
  }
};
struct AppendEntriesReply {
  Term term;
  bool matched = false;
  LogIndex match;  // synced up to here; of a mismatch: try from here
  LogIndex last;
  RoundNumber round;
  WallTime wall;
  template <class Archive>
  void serialize(Archive& archive, unsigned) {
    archive& term& matched& match& last& round& wall;
  }
};
// Which snapshot a chunk is of. What was received of it may be continued by whoever sends the same.
struct SnapshotIdentity {
  LogIndex index;
  Term term;
  std::uint64_t size = 0;  // of the packed Snapshot, in bytes
  std::uint32_t sum = 0;   // its checksum
  bool operator==(const SnapshotIdentity&) const = default;
  template <class Archive>
  void serialize(Archive& archive, unsigned) {
    archive& index& term& size& sum;
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
  std::uint64_t next = 0;  // the offset from which on nothing is there yet
  RoundNumber round;
  WallTime wall;
  template <class Archive>
  void serialize(Archive& archive, unsigned) {
    archive& term& snapshot& next& round& wall;
  }
};
struct AppendEntryChunk {  // of one entry that is larger than what may be under way at once
  Term term;
  LogIndex previous;
  Term previousTerm;
  LogIndex commit;
  Term entryTerm;
  bool members = false;
  std::uint64_t size = 0;  // of the entry's payload
  std::uint64_t offset = 0;
  std::string data;
  RoundNumber round;
  template <class Archive>
  void serialize(Archive& archive, unsigned) {
    archive& term& previous& previousTerm& commit& entryTerm& members& size& offset& data& round;
  }
};
struct AppendEntryChunkReply {
  Term term;
  LogIndex index;
  Term entryTerm;
  std::uint64_t next = 0;  // the offset from which on nothing is there yet
  RoundNumber round;
  WallTime wall;
  template <class Archive>
  void serialize(Archive& archive, unsigned) {
    archive& term& index& entryTerm& next& round& wall;
  }
};
struct TimeoutNow {
  Term term;
  template <class Archive>
  void serialize(Archive& archive, unsigned) {
    archive& term;
  }
};
struct Join {  // a new identity asks to learn
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
  LogIndex index{};
  Members members{};  // in force since that entry
  template <class Archive>
  void serialize(Archive& archive, unsigned) {
    archive& entryTerm& index& members;
  }
};
using PeerBody = boost::variant<RequestVote, RequestVoteReply, AppendEntries, AppendEntriesReply,
                                InstallSnapshot, InstallSnapshotReply, AppendEntryChunk,
                                AppendEntryChunkReply, TimeoutNow, Join, RemovedFromCluster>;
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
  Duration heartbeat{100};
  Duration electionLow{500};
  Duration electionHigh{1000};
  std::size_t batchBytes = 512 * 1024;
  std::uint64_t roundsAtOnce = 3;  // not yet confirmed by a majority
  // Kept behind a snapshot for followers that are late: so many entries, and more for a member that
  // is being caught up, but never more than so many bytes. docs/design.md 3.4.
  std::size_t keepEntries = 2000;
  std::size_t keepBytes = 16 * 1024 * 1024;
  // Sent to a follower and not acknowledged, at most; a larger entry goes in chunks.
  std::size_t unacknowledgedBytes = 1024 * 1024;
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
  void synced(DiskVersion version, MonotonicTime now);
  LogIndex propose(std::string payload, MonotonicTime now);
  bool proposeMembers(const Members& members, MonotonicTime now);
  // Why that change would not be proposed now; nothing where it would be. docs/design.md 3.5.
  std::optional<MembershipChangeRefusal> refusalOfMembers(const Members& members,
                                                          MonotonicTime now) const;
  // Makes the founding entry: a cluster of this one voter. Only for a blank identity.
  void found(MonotonicTime now);
  void transferLeadership(MonotonicTime now);
  void compact(LogIndex index, std::string state);
  void join(const Address& address);
  // How many learners may be members at a time: each costs a copy of the log. docs/design.md 3.5.
  void wantLearners(std::size_t count) { learnersWanted = count; }
  RoundNumber startRound(MonotonicTime now);

  // Effects, taken by whoever drives this.
  std::vector<PeerMessage> takeMessages() { return std::exchange(outgoing, {}); }
  std::optional<WriteAheadRecord> takeWrite();
  bool takeInstalled() { return std::exchange(installed, false); }

  Role role() const { return currentRole; }
  bool leads() const { return currentRole == Role::leader; }
  // Leader with an entry of its own term committed: it knows all that was ever committed.
  bool serves() const { return leads() && commit >= openedAt && !transferringLeadership; }
  Term term() const { return currentTerm; }
  const ControllerId& leader() const { return knownLeader; }
  const Members& members() const { return currentMembers; }
  const Member& self() const { return own; }
  bool removedFromCluster() const { return wasRemoved; }
  bool blank() const { return currentMembers.empty() && last() == LogIndex{}; }
  LogIndex commitIndex() const { return commit; }
  LogIndex last() const { return LogIndex{base.index.value + log.size()}; }
  LogIndex snapshotIndex() const { return base.index; }
  const Snapshot& snapshot() const { return stored; }
  const LogEntry& entry(LogIndex index) const { return log[index.value - base.index.value - 1]; }
  RoundNumber confirmedRound() const;
  MonotonicTime quorumContact() const;
  MonotonicTime heardFrom(const ControllerId& id) const;
  LogIndex matchOf(const ControllerId& id) const;
  bool membersSettled() const { return membersIndex <= commit; }
  bool lostState(const ControllerId& id) const;
  // Holds what was committed a moment ago: under load nobody is ever level.
  bool caughtUp(const ControllerId& id) const;
  // Whether this one may stop without its copy being missed: a majority of the voters, heard lately
  // and without it, holds all that it knows to be committed. docs/design.md 3.5.
  bool othersHoldCommitted() const;
  std::uint64_t versionsSinceWhole() const { return sinceWhole; }
  std::uint64_t bytesSinceWhole() const { return bytesWritten; }
  std::optional<WallTime> agreedWall(MonotonicTime now) const;  // docs/design.md 3.6

 private:
  friend struct RaftNodeFingerprint;  // the model checker's, checker/model/fingerprint.hpp
  // How much may be under way to a peer: halved when rounds return later than the link explains,
  // doubled when they are quick and it was used up. docs/design.md 3.4.
  struct SendWindow {
    std::size_t bytes = 0;
    bool usedUp = false;
    std::optional<Duration> quickest;
  };
  struct ChunkProgress {
    std::uint64_t acknowledged = 0;
    std::uint64_t sent = 0;
    RoundNumber sentRound;  // of the latest chunk
    void answered(std::uint64_t next, RoundNumber round);
  };
  struct SnapshotProgress {
    SnapshotIdentity identity;
    ChunkProgress chunks;
  };
  struct EntryProgress {
    LogIndex index;
    ChunkProgress chunks;
  };
  struct UnacknowledgedBatch {
    LogIndex last;
    std::size_t bytes = 0;
  };
  struct Peer {
    LogIndex next{1};
    LogIndex match;
    RoundNumber resetRound;  // when its place was last set back; answers to what was sent before
                             // say nothing new
    RoundNumber matchRound;  // of the reply that raised the match
    RoundNumber acked;
    MonotonicTime heard;
    MonotonicTime contact;  // when the acked round was sent
    std::optional<std::int64_t> wallOffset;
    bool lostState = false;
    std::optional<SnapshotProgress> installing;
    std::optional<EntryProgress> largeEntry;
    std::deque<UnacknowledgedBatch> unacknowledged;
    std::size_t unacknowledgedBytes = 0;
    SendWindow window;
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
  bool selfVotes() const;
  std::size_t majority() const;
  Term termAt(LogIndex index) const;
  const Member* member(const ControllerId& id) const;
  void become(Role role, MonotonicTime now);
  void seeTerm(Term term, MonotonicTime now);
  void resetElection(MonotonicTime now);
  void askToJoin(MonotonicTime now);
  void campaign(MonotonicTime now, bool trial, bool leaderTransfer);
  void countVotes(MonotonicTime now);
  void lead(MonotonicTime now);
  void broadcast(MonotonicTime now, bool force);
  void sendAppend(const Member& to, Peer& peer, bool force);
  std::size_t windowOf(Peer& peer) const;
  void noteContact(Peer& peer, RoundNumber answered, WallTime wall, MonotonicTime now);
  void adaptWindow(Peer& peer, Duration roundTrip) const;
  static void dropAcknowledged(Peer& peer);
  static void forgetUnacknowledged(Peer& peer);
  LogIndex keptFrom(LogIndex folded) const;
  Members membersAt(LogIndex index) const;
  void openTransfer();
  void dropIdleTransfers();
  void sendSnapshot(const Member& to, Peer& peer, bool force);
  void sendLargeEntry(const Member& to, Peer& peer, bool force);
  template <class Chunk>
  void sendChunks(const Member& to, Peer& peer, ChunkProgress& progress, const std::string& bytes,
                  Chunk chunk, bool force);
  Peer* noteChunkReply(const PeerMessage& message, Term term, RoundNumber round, WallTime wall,
                       MonotonicTime now);
  bool hearChunk(const PeerMessage& message, Term term, RoundNumber round, MonotonicTime now);
  std::optional<Snapshot> takeChunk(const InstallSnapshot& body);
  void install(Snapshot snapshot);
  template <class Value, class OfPeer>
  Value reachedByMajority(Value ofSelf, OfPeer ofPeer) const;
  LogIndex heldWithout(const ControllerId& id) const;
  void advanceCommit();
  void noteCommit(MonotonicTime now);
  void tellRemoved(const ControllerId& id);
  // The entry that the members rest on: the change itself, or, once that is compacted, the
  // snapshot.
  std::pair<Term, LogIndex> membersEntry() const;
  void followMoves(MonotonicTime now);
  void cutLog(LogIndex from);
  void findMembers();
  void mark(LogIndex from);
  Address addressOf(const ControllerId& id) const;
  void send(const ControllerId& to, PeerBody body);
  void sendAfterSync(const ControllerId& to, PeerBody body);
  void on(const PeerMessage& message, const RequestVote& body, MonotonicTime now);
  void on(const PeerMessage& message, const RequestVoteReply& body, MonotonicTime now);
  void on(const PeerMessage& message, const AppendEntries& body, MonotonicTime now);
  void on(const PeerMessage& message, const AppendEntriesReply& body, MonotonicTime now);
  void on(const PeerMessage& message, const InstallSnapshot& body, MonotonicTime now);
  void on(const PeerMessage& message, const InstallSnapshotReply& body, MonotonicTime now);
  void on(const PeerMessage& message, const AppendEntryChunk& body, MonotonicTime now);
  void on(const PeerMessage& message, const AppendEntryChunkReply& body, MonotonicTime now);
  void on(const PeerMessage& message, const TimeoutNow& body, MonotonicTime now);
  void on(const PeerMessage& message, const Join& body, MonotonicTime now);
  void on(const PeerMessage& message, const RemovedFromCluster& body, MonotonicTime now);
  void hearLeader(const ControllerId& leader, Term term, RoundNumber heardRound, MonotonicTime now);
  void replyAppend(const ControllerId& to, bool matched, LogIndex match, RoundNumber round);

  Member own;
  RaftOptions options;
  Random random;
  Role currentRole = Role::learner;
  Term currentTerm;
  ControllerId vote;
  ControllerId knownLeader;
  Members currentMembers;
  LogIndex membersIndex;
  Snapshot base;    // index and term before the first entry in memory
  Snapshot stored;  // the latest whole view
  std::optional<OutgoingSnapshot> outgoingSnapshot;
  std::optional<IncomingSnapshot> incomingSnapshot;
  std::optional<IncomingEntry> incomingEntry;
  std::vector<LogEntry> log;
  LogIndex commit;
  LogIndex openedAt;
  LogIndex heldByOthers;      // a majority of the voters holds that much, this one not counted
  LogIndex caughtUpFrom;      // who holds that much has caught up
  LogIndex nextCaughtUpFrom;  // what it becomes next
  MonotonicTime commitNotedAt;
  std::map<ControllerId, Peer> peers;
  std::set<ControllerId> votes;
  bool trialElection = false;
  MonotonicTime electionAt;
  MonotonicTime heardLeader{-1'000'000};
  MonotonicTime nextHeartbeat, broadcastAt;
  MonotonicTime tickedAt,
      readingUntil;  // until then what lay unread through a pause of our own is still being read
  WallTime wallNow;
  MonotonicTime wallAt;
  RoundNumber round;
  std::deque<std::pair<RoundNumber, MonotonicTime>> roundTimes;
  Address leaderJoinAddress;
  std::size_t learnersWanted = 1;
  bool transferringLeadership = false;
  MonotonicTime transferUntil;
  bool wasRemoved = false;
  bool installed = false;

  // Disk: at most one write is under way; what comes meanwhile goes together into the next one.
  DiskVersion nextVersion{1};
  std::optional<WriteAheadRecord> ready;
  struct InFlight {
    DiskVersion version;
    LogIndex covers;
    bool ownVote;
  };
  std::optional<InFlight> inFlight;
  MonotonicTime clockNow;
  bool dirty = false;
  bool wantWhole = false;
  LogIndex dirtyFrom;
  LogIndex syncedIndex;
  // What the disk holds, whoever's log it is: lower than what was acknowledged only where the disk
  // is another one. docs/design.md 3.5.
  LogIndex durableIndex;
  bool ownVotePending = false;
  std::uint64_t sinceWhole = 0, bytesWritten = 0;
  std::vector<std::pair<DiskVersion, PeerMessage>> afterSync;
  std::vector<PeerMessage> outgoing;
  std::map<ControllerId, Address> addresses;  // of those heard from, members or not
  RoundNumber lastRoundSeen;
  ControllerId lastAppender;
  Term lastAppendTerm;
  LogIndex shownBy;  // up to here the log is known to be that leader's
};

}  // namespace aniseline
