// Messages exchanged between controllers. Their names follow the RPCs of the Raft paper ("In Search
// of an Understandable Consensus Algorithm", Ongaro and Ousterhout). Snapshots and oversized
// entries are sent in chunks (InstallSnapshot, AppendEntryChunk). The field order of each message
// is its wire format. docs/design.md 3.
#ifndef ANISELINE_RAFT_MESSAGES_HPP
#define ANISELINE_RAFT_MESSAGES_HPP
#include "raft/log_entry.hpp"

namespace aniseline {

// Sent by a candidate to request a vote. A pre-vote only asks whether the vote would be granted and
// changes no node's term.
struct RequestVote {
  Term term;  // the election's term; in a pre-vote, the term that the election would have
  bool preVote = false;
  // The current leader triggered this election (leadership transfer), so voters grant their vote
  // even if they have heard from that leader recently.
  bool leaderTransfer = false;
  LogIndex lastLogIndex;  // last entry of the candidate's log
  Term lastLogTerm;
  template <class Archive>
  void serialize(Archive& archive, unsigned) {
    archive& term& preVote& leaderTransfer& lastLogIndex& lastLogTerm;
  }
};

struct RequestVoteReply {
  Term term;  // the requested term if this grants a pre-vote, otherwise the voter's current term
  bool preVote = false;
  bool voteGranted = false;
  template <class Archive>
  void serialize(Archive& archive, unsigned) {
    archive& term& preVote& voteGranted;
  }
};

// Sent by a leader to replicate entries. Without entries it is a heartbeat.
struct AppendEntries {
  Term term;
  LogIndex previousLogIndex;  // index of the entry immediately preceding `entries`
  Term previousLogTerm;
  std::vector<LogEntry> entries;
  LogIndex leaderCommit;
  RoundNumber round;  // echoed in the reply, which proves contact since the start of that round
  // Highest index up to which a majority of the voters holds the log, counting only voters that
  // were recently in contact and not counting the receiver. Up to this index the receiver's copy is
  // not needed for durability. docs/design.md 3.5.
  LogIndex replicatedIndexWithoutReceiver{};
  template <class Archive>
  void serialize(Archive& archive, unsigned) {
    archive& term& previousLogIndex& previousLogTerm& entries& leaderCommit& round&
        replicatedIndexWithoutReceiver;
  }
};

struct AppendEntriesReply {
  Term term;
  bool success = false;  // the follower's log contains the entry at previousLogIndex
  // On success, the follower's log matches the leader's up to this index and is synced. On failure,
  // the logs are known to match up to this index, and the leader resumes from there.
  LogIndex matchIndex;
  LogIndex lastLogIndex;  // last index that is durable on the follower's disk
  RoundNumber round;      // round of the request
  WallTime wallTime;      // the follower's calendar clock
  template <class Archive>
  void serialize(Archive& archive, unsigned) {
    archive& term& success& matchIndex& lastLogIndex& round& wallTime;
  }
};

// Identifies the snapshot that a chunk belongs to. Any leader that has the same snapshot may
// continue a transfer that another one started.
struct SnapshotIdentity {
  LogIndex lastIncludedIndex;
  Term lastIncludedTerm;
  std::uint64_t totalBytes = 0;  // size of the serialized Snapshot
  std::uint32_t checksum = 0;    // checksum of the serialized Snapshot
  bool operator==(const SnapshotIdentity&) const = default;
  template <class Archive>
  void serialize(Archive& archive, unsigned) {
    archive& lastIncludedIndex& lastIncludedTerm& totalBytes& checksum;
  }
};

// One chunk of a serialized Snapshot. A chunk without data acts as a heartbeat and asks the
// follower for the offset from which to continue.
struct InstallSnapshot {
  Term term;
  SnapshotIdentity snapshot;
  std::uint64_t offset = 0;  // position of `data` in the snapshot, in bytes
  std::string data;
  RoundNumber round;
  template <class Archive>
  void serialize(Archive& archive, unsigned) {
    archive& term& snapshot& offset& data& round;
  }
};

// Reply while the transfer is incomplete. A completed transfer is answered with AppendEntriesReply.
struct InstallSnapshotReply {
  Term term;
  SnapshotIdentity snapshot;
  std::uint64_t nextOffset = 0;  // offset of the first byte that the follower is missing
  RoundNumber round;
  WallTime wallTime;
  template <class Archive>
  void serialize(Archive& archive, unsigned) {
    archive& term& snapshot& nextOffset& round& wallTime;
  }
};

// One chunk of an entry that exceeds the follower's send window. A chunk without data acts as a
// heartbeat and asks the follower for the offset from which to continue.
struct AppendEntryChunk {
  Term term;
  LogIndex previousLogIndex;  // index of the entry preceding the one in transfer
  Term previousLogTerm;
  LogIndex leaderCommit;
  Term entryTerm;
  bool isMembership = false;
  std::uint64_t totalBytes = 0;  // size of the entry's payload
  std::uint64_t offset = 0;      // position of `data` in the payload, in bytes
  std::string data;
  RoundNumber round;
  template <class Archive>
  void serialize(Archive& archive, unsigned) {
    archive& term& previousLogIndex& previousLogTerm& leaderCommit& entryTerm& isMembership&
        totalBytes& offset& data& round;
  }
};

// Reply while the entry is incomplete. A completed entry is answered with AppendEntriesReply.
struct AppendEntryChunkReply {
  Term term;
  LogIndex index;  // index of the entry in transfer
  Term entryTerm;
  std::uint64_t nextOffset = 0;  // offset of the first byte that the follower is missing
  RoundNumber round;
  WallTime wallTime;
  template <class Archive>
  void serialize(Archive& archive, unsigned) {
    archive& term& index& entryTerm& nextOffset& round& wallTime;
  }
};

// Sent by a leader that transfers its leadership. The receiver starts an election immediately.
struct TimeoutNow {
  Term term;
  template <class Archive>
  void serialize(Archive& archive, unsigned) {
    archive& term;
  }
};

// Sent by a controller with a new identity that wants to become a learner.
struct JoinRequest {
  Member member;
  template <class Archive>
  void serialize(Archive& archive, unsigned) {
    archive& member;
  }
};

// Sent by a leader to a controller that is no longer a member. The message identifies the committed
// membership entry that proves the removal, so that the receiver can check it against its own log.
// docs/design.md 3.5.
struct RemovedFromCluster {
  Term entryTerm;           // term of the committed membership entry
  LogIndex entryIndex{};    // index of that entry
  Membership membership{};  // membership in force since that entry
  template <class Archive>
  void serialize(Archive& archive, unsigned) {
    archive& entryTerm& entryIndex& membership;
  }
};

// The index of each alternative is part of the wire format.
using PeerBody = boost::variant<RequestVote, RequestVoteReply, AppendEntries, AppendEntriesReply,
                                InstallSnapshot, InstallSnapshotReply, AppendEntryChunk,
                                AppendEntryChunkReply, TimeoutNow, JoinRequest, RemovedFromCluster>;

// A message together with its sender and recipient.
struct PeerMessage {
  ControllerId from;
  // Identity of the intended recipient. Another controller that now runs at the same address
  // ignores the message. Empty only in a JoinRequest, which is sent to an address.
  ControllerId to;
  Address toAddress;
  PeerBody body;
  Address fromAddress;
  ClusterId cluster{};  // cluster of the sender, if it knows one
  template <class Archive>
  void serialize(Archive& archive, unsigned) {
    archive& from& to& toAddress& body& fromAddress;
    serializeTrailingSection(archive, cluster);
  }
};

// Returns the approximate size of a message in memory and on the network, in bytes, without its
// header.
std::size_t payloadBytes(const PeerMessage& message);

}  // namespace aniseline

#endif  // ANISELINE_RAFT_MESSAGES_HPP
