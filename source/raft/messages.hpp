// The messages between controllers. They are named after the RPCs of the Raft paper ("In Search of
// an Understandable Consensus Algorithm", Ongaro and Ousterhout); InstallSnapshot and
// AppendEntryChunk are sent in chunks. The order of their fields is the wire format.
// docs/design.md 3.
#ifndef ANISELINE_RAFT_MESSAGES_HPP
#define ANISELINE_RAFT_MESSAGES_HPP
#include "raft/log_entry.hpp"

namespace aniseline {

// A candidate asks for a vote. A pre-vote asks only whether the vote would be granted, and changes
// nobody's term.
struct RequestVote {
  Term term;  // of the election; of a pre-vote: of the election that would follow
  bool preVote = false;
  // The leader itself started this election, so that even those who hear it grant their votes.
  bool leaderTransfer = false;
  LogIndex lastLogIndex;  // of the candidate's log
  Term lastLogTerm;
  template <class Archive>
  void serialize(Archive& archive, unsigned) {
    archive& term& preVote& leaderTransfer& lastLogIndex& lastLogTerm;
  }
};

struct RequestVoteReply {
  Term term;  // of a granted pre-vote: the term asked about; else the voter's own
  bool preVote = false;
  bool voteGranted = false;
  template <class Archive>
  void serialize(Archive& archive, unsigned) {
    archive& term& preVote& voteGranted;
  }
};

// A leader replicates entries; without any it is a heartbeat.
struct AppendEntries {
  Term term;
  LogIndex previousLogIndex;  // of the entry just before `entries`
  Term previousLogTerm;
  std::vector<LogEntry> entries;
  LogIndex leaderCommit;
  RoundNumber round;  // the reply repeats it, which confirms contact since that round began
  // Up to here a majority of the voters holds the log that was heard from lately and does not
  // count the receiver: so far the receiver's copy would not be missed. docs/design.md 3.5.
  LogIndex replicatedIndexWithoutReceiver{};
  template <class Archive>
  void serialize(Archive& archive, unsigned) {
    archive& term& previousLogIndex& previousLogTerm& entries& leaderCommit& round&
        replicatedIndexWithoutReceiver;
  }
};

struct AppendEntriesReply {
  Term term;
  bool success = false;  // the follower's log contains the entry before the sent ones
  // On success: up to here the follower's log is the leader's and is synced. Else: up to here the
  // logs are known to agree, and the leader goes on from there.
  LogIndex matchIndex;
  LogIndex lastLogIndex;  // the last index that is durable on the follower's disk
  RoundNumber round;      // of the request
  WallTime wallTime;      // the follower's calendar clock
  template <class Archive>
  void serialize(Archive& archive, unsigned) {
    archive& term& success& matchIndex& lastLogIndex& round& wallTime;
  }
};

// Which snapshot a chunk belongs to. A transfer may be continued by whoever sends the same one.
struct SnapshotIdentity {
  LogIndex lastIncludedIndex;
  Term lastIncludedTerm;
  std::uint64_t totalBytes = 0;  // of the packed Snapshot
  std::uint32_t checksum = 0;    // of the packed Snapshot
  bool operator==(const SnapshotIdentity&) const = default;
  template <class Archive>
  void serialize(Archive& archive, unsigned) {
    archive& lastIncludedIndex& lastIncludedTerm& totalBytes& checksum;
  }
};

// One chunk of a packed Snapshot. A chunk without data is a heartbeat, and asks for the offset at
// which the follower goes on.
struct InstallSnapshot {
  Term term;
  SnapshotIdentity snapshot;
  std::uint64_t offset = 0;  // of `data`, in bytes
  std::string data;
  RoundNumber round;
  template <class Archive>
  void serialize(Archive& archive, unsigned) {
    archive& term& snapshot& offset& data& round;
  }
};

// The answer while the transfer is incomplete; a complete one is answered by AppendEntriesReply.
struct InstallSnapshotReply {
  Term term;
  SnapshotIdentity snapshot;
  std::uint64_t nextOffset = 0;  // the first byte that the follower does not have yet
  RoundNumber round;
  WallTime wallTime;
  template <class Archive>
  void serialize(Archive& archive, unsigned) {
    archive& term& snapshot& nextOffset& round& wallTime;
  }
};

// One chunk of an entry that is larger than the follower's send window. A chunk without data is a
// heartbeat, and asks for the offset at which the follower goes on.
struct AppendEntryChunk {
  Term term;
  LogIndex previousLogIndex;  // the entry stands after this one
  Term previousLogTerm;
  LogIndex leaderCommit;
  Term entryTerm;
  bool isMembership = false;
  std::uint64_t totalBytes = 0;  // of the entry's payload
  std::uint64_t offset = 0;      // of `data`, in bytes
  std::string data;
  RoundNumber round;
  template <class Archive>
  void serialize(Archive& archive, unsigned) {
    archive& term& previousLogIndex& previousLogTerm& leaderCommit& entryTerm& isMembership&
        totalBytes& offset& data& round;
  }
};

// The answer while the entry is incomplete; a complete one is answered by AppendEntriesReply.
struct AppendEntryChunkReply {
  Term term;
  LogIndex index;  // of the entry
  Term entryTerm;
  std::uint64_t nextOffset = 0;  // the first byte that the follower does not have yet
  RoundNumber round;
  WallTime wallTime;
  template <class Archive>
  void serialize(Archive& archive, unsigned) {
    archive& term& index& entryTerm& nextOffset& round& wallTime;
  }
};

// A leader that hands over asks its successor to start an election at once.
struct TimeoutNow {
  Term term;
  template <class Archive>
  void serialize(Archive& archive, unsigned) {
    archive& term;
  }
};

// A new identity asks to become a learner.
struct JoinRequest {
  Member member;
  template <class Archive>
  void serialize(Archive& archive, unsigned) {
    archive& member;
  }
};

// A leader tells an identity that it is not a member any more. The message names the committed
// change that shows it, so that the receiver can check it against its own log.
// docs/design.md 3.5.
struct RemovedFromCluster {
  Term entryTerm;           // of the committed membership entry
  LogIndex entryIndex{};    // of the same entry
  Membership membership{};  // in force since that entry
  template <class Archive>
  void serialize(Archive& archive, unsigned) {
    archive& entryTerm& entryIndex& membership;
  }
};

// The position of an alternative is part of the wire format.
using PeerBody = boost::variant<RequestVote, RequestVoteReply, AppendEntries, AppendEntriesReply,
                                InstallSnapshot, InstallSnapshotReply, AppendEntryChunk,
                                AppendEntryChunkReply, TimeoutNow, JoinRequest, RemovedFromCluster>;

// A message with its envelope.
struct PeerMessage {
  ControllerId from;
  // The identity that the message is meant for: another one at the same address ignores it. Empty
  // only for a JoinRequest, which is sent to an address.
  ControllerId to;
  Address toAddress;
  PeerBody body;
  Address fromAddress;
  template <class Archive>
  void serialize(Archive& archive, unsigned) {
    archive& from& to& toAddress& body& fromAddress;
  }
};

// What a message takes in memory and on a link, in bytes, without its header.
std::size_t payloadBytes(const PeerMessage& message);

}  // namespace aniseline

#endif  // ANISELINE_RAFT_MESSAGES_HPP
