// The reservoirs' agreement on one log: epochs, votes, replication, membership. Sans-IO. docs/design.md 3.
#pragma once
#include "aniseline.hpp"

namespace aniseline {

struct Member {
    ReservoirId id;
    Address peer;  // where other processes of the system reach it
    AreaName area;
    bool voter = false;
    bool operator==(const Member&) const = default;
    template <class Archive> void serialize(Archive& archive, unsigned) { archive & id & peer & area & voter; }
};
using Members = std::vector<Member>;

struct LogEntry {
    Epoch epoch;
    bool members = false;  // the payload is a packed Members list, in force from the moment it is in the log
    std::string payload;
    template <class Archive> void serialize(Archive& archive, unsigned) { archive & epoch & members & payload; }
};

// Everything up to an index, folded. docs/design.md 3.4.
struct LogView {
    LogIndex index;
    Epoch epoch;
    Members members;
    std::string state;
    template <class Archive> void serialize(Archive& archive, unsigned) { archive & index & epoch & members & state; }
};

// One version of a reservoir's durable state, one file on disk. docs/design.md 3.3.
struct DiskRecord {
    DiskVersion version;
    bool whole = false;  // holds a view and the whole log after it; else only what follows `first`
    Epoch epoch;
    ReservoirId vote;
    LogView view;
    LogIndex first;
    std::vector<LogEntry> entries;
    template <class Archive> void serialize(Archive& archive, unsigned) {
        archive & version & whole & epoch & vote & view & first & entries;
    }
};

struct AskVote {
    Epoch epoch;
    bool trial = false;     // a pre-vote: would you?
    bool handover = false;  // the leader itself asked for this election
    LogIndex last;
    Epoch lastEpoch;
    template <class Archive> void serialize(Archive& archive, unsigned) { archive & epoch & trial & handover & last & lastEpoch; }
};
struct GiveVote {
    Epoch epoch;
    bool trial = false;
    bool given = false;
    template <class Archive> void serialize(Archive& archive, unsigned) { archive & epoch & trial & given; }
};
struct Append {
    Epoch epoch;
    LogIndex previous;
    Epoch previousEpoch;
    std::vector<LogEntry> entries;
    LogIndex commit;
    RoundNumber round;
    template <class Archive> void serialize(Archive& archive, unsigned) {
        archive & epoch & previous & previousEpoch & entries & commit & round;
    }
};
struct AppendReply {
    Epoch epoch;
    bool matched = false;
    LogIndex match;  // synced up to here; of a mismatch: try from here
    LogIndex last;
    RoundNumber round;
    WallTime wall;
    template <class Archive> void serialize(Archive& archive, unsigned) { archive & epoch & matched & match & last & round & wall; }
};
struct InstallView {
    Epoch epoch;
    LogView view;
    RoundNumber round;
    template <class Archive> void serialize(Archive& archive, unsigned) { archive & epoch & view & round; }
};
struct HandOver {
    Epoch epoch;
    template <class Archive> void serialize(Archive& archive, unsigned) { archive & epoch; }
};
struct Join {  // a new identity asks to learn
    Member member;
    template <class Archive> void serialize(Archive& archive, unsigned) { archive & member; }
};
struct Retire {  // the leader tells an identity that it is no member any more, docs/design.md 3.5
    Epoch epoch;
    template <class Archive> void serialize(Archive& archive, unsigned) { archive & epoch; }
};
using PeerBody = boost::variant<AskVote, GiveVote, Append, AppendReply, InstallView, HandOver, Join, Retire>;
struct PeerMessage {
    ReservoirId from;
    ReservoirId to;  // an identity, never just an address; empty only for Join
    Address toAddress;
    PeerBody body;
    Address fromAddress;
    template <class Archive> void serialize(Archive& archive, unsigned) { archive & from & to & toAddress & body & fromAddress; }
};

struct AgreementOptions {
    Span heartbeat{100};
    Span electionLow{500};
    Span electionHigh{1000};
    std::size_t batchBytes = 512 * 1024;
    std::uint64_t roundsAtOnce = 3;  // not yet confirmed by a majority
    std::size_t keepEntries = 2000;  // kept behind a view for followers that are a little late
};

enum class Role : std::uint8_t { learner, follower, candidate, leader };
const char* name(Role role);

class Agreement {
public:
    Agreement(Member self, AgreementOptions options, std::uint64_t seed, const std::vector<DiskRecord>& restored, Instant now);

    void tick(Instant now, WallTime wall);
    void receive(const PeerMessage& message, Instant now);
    void synced(DiskVersion version, Instant now);
    LogIndex propose(std::string payload, Instant now);
    bool proposeMembers(const Members& members, Instant now);
    // Makes the founding entry: a cluster of this one voter. Only for a blank identity.
    void found(Instant now);
    void handOver(Instant now);
    void checkpoint(LogIndex index, std::string state);
    void join(const Address& address);
    // How many learners may be members at a time: each costs a copy of the log. docs/design.md 3.5.
    void wantLearners(std::size_t count) { learnersWanted = count; }
    RoundNumber startRound(Instant now);

    // Effects, taken by whoever drives this.
    std::vector<PeerMessage> takeMessages() { return std::exchange(outgoing, {}); }
    std::optional<DiskRecord> takeWrite();
    bool takeInstalled() { return std::exchange(installed, false); }

    Role role() const { return currentRole; }
    bool leads() const { return currentRole == Role::leader; }
    // Leader with an entry of its own epoch committed: it knows all that was ever committed.
    bool serves() const { return leads() && commit >= openedAt && !handingOver; }
    Epoch epoch() const { return currentEpoch; }
    const ReservoirId& leader() const { return knownLeader; }
    const Members& members() const { return currentMembers; }
    const Member& self() const { return own; }
    bool retired() const { return wasRetired; }
    bool blank() const { return currentMembers.empty() && last() == LogIndex{}; }
    LogIndex commitIndex() const { return commit; }
    LogIndex last() const { return LogIndex{base.index.value + log.size()}; }
    LogIndex viewIndex() const { return base.index; }
    const LogView& view() const { return stored; }
    const LogEntry& entry(LogIndex index) const { return log[index.value - base.index.value - 1]; }
    RoundNumber confirmedRound() const;
    Instant quorumContact() const;
    Instant heardFrom(const ReservoirId& id) const;
    LogIndex matchOf(const ReservoirId& id) const;
    bool membersSettled() const { return membersIndex <= commit; }
    bool forgetful(const ReservoirId& id) const;
    std::uint64_t versionsSinceWhole() const { return sinceWhole; }
    std::uint64_t bytesSinceWhole() const { return bytesWritten; }
    std::optional<WallTime> agreedWall(Instant now) const;  // docs/design.md 3.6

private:
    struct Peer {
        LogIndex next{1};
        LogIndex match;
        RoundNumber resetRound;  // when its place was last set back; answers to what was sent before say nothing new
        RoundNumber matchRound;  // of the reply that raised the match
        RoundNumber acked;
        Instant heard;
        Instant contact;  // when the acked round was sent
        std::optional<std::int64_t> wallOffset;
        bool installing = false;
        bool forgetful = false;
        Instant installSent;
    };
    bool selfVotes() const;
    std::size_t majority() const;
    Epoch epochAt(LogIndex index) const;
    const Member* member(const ReservoirId& id) const;
    void become(Role role, Instant now);
    void seeEpoch(Epoch epoch, Instant now);
    void resetElection(Instant now);
    void askToJoin(Instant now);
    void campaign(Instant now, bool trial, bool handover);
    void countVotes(Instant now);
    void lead(Instant now);
    void broadcast(Instant now, bool force);
    void sendAppend(const Member& to, Peer& peer, Instant now, bool force);
    template <class Value, class OfPeer> Value reachedByMajority(Value ofSelf, OfPeer ofPeer) const;
    void advanceCommit();
    void followMoves(Instant now);
    void cutLog(LogIndex from);
    void findMembers();
    void mark(LogIndex from);
    Address addressOf(const ReservoirId& id) const;
    void send(const ReservoirId& to, PeerBody body);
    void sendAfterSync(const ReservoirId& to, PeerBody body);
    void on(const PeerMessage& message, const AskVote& body, Instant now);
    void on(const PeerMessage& message, const GiveVote& body, Instant now);
    void on(const PeerMessage& message, const Append& body, Instant now);
    void on(const PeerMessage& message, const AppendReply& body, Instant now);
    void on(const PeerMessage& message, const InstallView& body, Instant now);
    void on(const PeerMessage& message, const HandOver& body, Instant now);
    void on(const PeerMessage& message, const Join& body, Instant now);
    void on(const PeerMessage& message, const Retire& body, Instant now);
    void hearLeader(const ReservoirId& leader, Epoch epoch, RoundNumber heardRound, Instant now);
    void replyAppend(const ReservoirId& to, bool matched, LogIndex match, RoundNumber round);

    Member own;
    AgreementOptions options;
    Draw draw;
    Role currentRole = Role::learner;
    Epoch currentEpoch;
    ReservoirId vote;
    ReservoirId knownLeader;
    Members currentMembers;
    LogIndex membersIndex;
    LogView base;    // index and epoch before the first entry in memory
    LogView stored;  // the latest whole view
    std::vector<LogEntry> log;
    LogIndex commit;
    LogIndex openedAt;
    std::map<ReservoirId, Peer> peers;
    std::set<ReservoirId> votes;
    bool trialElection = false;
    Instant electionAt;
    Instant heardLeader{-1'000'000};
    Instant nextHeartbeat, broadcastAt;
    Instant tickedAt, readingUntil;  // until then what lay unread through a pause of our own is still being read
    WallTime wallNow;
    Instant wallAt;
    RoundNumber round;
    std::deque<std::pair<RoundNumber, Instant>> roundTimes;
    Address leaderJoinAddress;
    std::size_t learnersWanted = 1;
    bool handingOver = false;
    Instant handOverUntil;
    bool wasRetired = false;
    bool installed = false;

    // Disk: at most one write is under way; what comes meanwhile goes together into the next one.
    DiskVersion nextVersion{1};
    std::optional<DiskRecord> ready;
    struct InFlight {
        DiskVersion version;
        LogIndex covers;
        bool ownVote;
    };
    std::optional<InFlight> inFlight;
    Instant clockNow;
    bool dirty = false;
    bool wantWhole = false;
    LogIndex dirtyFrom;
    LogIndex syncedIndex;
    bool ownVotePending = false;
    std::uint64_t sinceWhole = 0, bytesWritten = 0;
    std::vector<std::pair<DiskVersion, PeerMessage>> afterSync;
    std::vector<PeerMessage> outgoing;
    std::map<ReservoirId, Address> addresses;  // of those heard from, members or not
    RoundNumber lastRoundSeen;
    ReservoirId lastAppender;
    Epoch lastAppendEpoch;
    LogIndex shownBy;  // up to here the log is known to be that leader's
};

}  // namespace aniseline
