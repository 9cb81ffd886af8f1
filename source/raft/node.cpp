#include "raft/node.hpp"

namespace aniseline {

const char* name(Role role) {
    static const char* const names[] = {"learner", "follower", "candidate", "leader"};
    return names[std::size_t(role)];
}

RaftNode::RaftNode(Member self, RaftOptions options, std::uint64_t seed, const std::vector<WriteAheadRecord>& restored, MonotonicTime now)
    : own(std::move(self)), options(options), random(seed), clockNow(now) {
    for (const auto& record : restored) {
        currentTerm = record.term;
        vote = record.vote;
        if (record.whole) {
            stored = record.snapshot;
            base = Snapshot{record.snapshot.index, record.snapshot.term, record.snapshot.members, {}};
            log = record.entries;
            sinceWhole = 0;
        } else {
            if (!record.entries.empty()) {
                log.resize(record.first.value - base.index.value - 1);
                log.insert(log.end(), record.entries.begin(), record.entries.end());
            }
            ++sinceWhole;
        }
        nextVersion = record.version.next();
    }
    commit = base.index;
    syncedIndex = last();
    findMembers();
    currentRole = selfVotes() ? Role::follower : Role::learner;
    resetElection(now);
}

bool RaftNode::selfVotes() const {
    const auto* found = member(own.id);
    return found && found->voter;
}
const Member* RaftNode::member(const ControllerId& id) const {
    for (const auto& entry : currentMembers)
        if (entry.id == id) return &entry;
    return nullptr;
}
std::size_t RaftNode::majority() const {
    return std::size_t(std::count_if(currentMembers.begin(), currentMembers.end(), [](auto& entry) { return entry.voter; })) / 2 + 1;
}
Term RaftNode::termAt(LogIndex index) const {
    if (index == base.index) return base.term;
    if (index < base.index || index > last()) return Term{};
    return entry(index).term;
}

void RaftNode::findMembers() {
    currentMembers = base.members;
    membersIndex = base.index;
    for (std::uint64_t place = log.size(); place > 0; --place)
        if (log[place - 1].members) {
            auto found = unpack<Members>(log[place - 1].payload);
            if (found) currentMembers = found.value();
            membersIndex = LogIndex{base.index.value + place};
            break;
        }
}

void RaftNode::resetElection(MonotonicTime now) {
    electionAt = now + Duration{random.between(options.electionLow.milliseconds, options.electionHigh.milliseconds)};
}

Address RaftNode::addressOf(const ControllerId& id) const {
    // Where it last spoke from: a member may have come back at another address, which its log does not say yet.
    if (auto heard = addresses.find(id); heard != addresses.end()) return heard->second;
    const auto* found = member(id);
    return found ? found->peer : Address{};
}
void RaftNode::send(const ControllerId& to, PeerBody body) {
    outgoing.push_back(PeerMessage{own.id, to, addressOf(to), std::move(body), own.peer});
}
// docs/design.md 3.3: what rests on durable state leaves only when that state is synced.
void RaftNode::sendAfterSync(const ControllerId& to, PeerBody body) {
    afterSync.emplace_back(nextVersion, PeerMessage{own.id, to, addressOf(to), std::move(body), own.peer});
}

void RaftNode::mark(LogIndex from) {
    if (!dirty || from < dirtyFrom) dirtyFrom = from;
    dirty = true;
}

std::optional<WriteAheadRecord> RaftNode::takeWrite() {
    if (inFlight || (!dirty && !wantWhole)) return std::nullopt;
    WriteAheadRecord record;
    record.version = nextVersion;
    nextVersion = nextVersion.next();
    record.term = currentTerm;
    record.vote = vote;
    record.whole = wantWhole;
    if (wantWhole) {
        record.snapshot = stored;
        record.first = stored.index.next();
        for (LogIndex index = record.first; index <= last(); index = index.next()) record.entries.push_back(entry(index));
        sinceWhole = 0;
        bytesWritten = 0;
    } else {
        record.first = dirtyFrom;
        for (LogIndex index = dirtyFrom; index <= last(); index = index.next()) {
            record.entries.push_back(entry(index));
            bytesWritten += entry(index).payload.size() + 32;
        }
        ++sinceWhole;
    }
    inFlight = InFlight{record.version, last(), ownVotePending};
    ownVotePending = false;
    dirty = wantWhole = false;
    return record;
}

void RaftNode::synced(DiskVersion version, MonotonicTime now) {
    if (!inFlight || inFlight->version != version) return;
    clockNow = now;
    syncedIndex = std::max(syncedIndex, inFlight->covers);
    const bool ownVote = inFlight->ownVote;
    inFlight.reset();
    std::vector<std::pair<DiskVersion, PeerMessage>> later;
    for (auto& [needs, message] : afterSync) {
        if (needs <= version) {
            outgoing.push_back(std::move(message));
        } else later.emplace_back(needs, std::move(message));
    }
    afterSync = std::move(later);
    if (ownVote && currentRole == Role::candidate && !trialElection && vote == own.id) {
        votes.insert(own.id);
        countVotes(now);
    }
    if (leads()) advanceCommit();
    else if (!lastAppender.value.empty() && lastAppender == knownLeader) replyAppend(lastAppender, true, std::min(syncedIndex, shownBy), lastRoundSeen);
}

void RaftNode::cutLog(LogIndex from) {
    log.resize(from.value - base.index.value - 1);
    syncedIndex = std::min(syncedIndex, LogIndex{from.value - 1});
    if (inFlight) inFlight->covers = std::min(inFlight->covers, LogIndex{from.value - 1});
    mark(from);
    if (membersIndex >= from) findMembers();
}

void RaftNode::seeTerm(Term term, MonotonicTime now) {
    if (term <= currentTerm) return;
    currentTerm = term;
    vote = ControllerId{};
    knownLeader = ControllerId{};
    mark(last().next());
    if (currentRole != Role::learner) become(Role::follower, now);
}

void RaftNode::become(Role role, MonotonicTime now) {
    currentRole = role;
    votes.clear();
    trialElection = false;
    if (role == Role::follower) {
        if (!selfVotes()) currentRole = Role::learner;
        resetElection(now);
        transferringLeadership = false;
    }
}

void RaftNode::tick(MonotonicTime now, WallTime wall) {
    clockNow = now;
    wallNow = wall;
    wallAt = now;
    // After a pause of our own the answers of others may lie unread: our lateness says nothing of them. docs/design.md 3.2.
    if (now - tickedAt > Duration{2 * options.heartbeat.milliseconds}) readingUntil = now + options.electionLow;
    tickedAt = now;
    if (leads()) {
        // A leader that has not heard from a majority for the longest election time may have been replaced. docs/design.md 3.2.
        const Duration unheard = currentMembers.size() > 1 ? now - quorumContact() : Duration{0};
        if (unheard > options.electionHigh && (now >= readingUntil || unheard > Duration{5 * options.electionHigh.milliseconds})) {
            knownLeader = ControllerId{};
            become(Role::follower, now);
            return;
        }
        if (transferringLeadership && now > transferUntil) transferringLeadership = false;
        // A few rounds at a time: where the others are slow what is wanted meanwhile goes together into the next. docs/design.md 3.2.
        const bool mayBegin = round.value - confirmedRound().value < options.roundsAtOnce || now - broadcastAt >= options.heartbeat;
        if (now >= nextHeartbeat && mayBegin) broadcast(now, true);
        return;
    }
    if (now >= nextHeartbeat) askToJoin(now);
    if (selfVotes() && currentRole == Role::learner) currentRole = Role::follower;
    if (currentRole != Role::learner && now >= electionAt && !wasRemoved) campaign(now, true, false);
}

// A blank one asks where its seeds point; a learner that hears no leader may have been put out while it was away, and asks
// whoever it knew. docs/design.md 3.5.
void RaftNode::askToJoin(MonotonicTime now) {
    auto ask = [&](const Address& address) { outgoing.push_back({own.id, ControllerId{}, address, Join{own}, own.peer}); };
    if (blank() && !leaderJoinAddress.value.empty()) ask(leaderJoinAddress);
    else if (!blank() && currentRole == Role::learner && now - heardLeader > Duration{2000}) {
        for (const auto& entry : currentMembers)
            if (entry.id != own.id) ask(entry.peer);
        if (!leaderJoinAddress.value.empty()) ask(leaderJoinAddress);
    } else return;
    nextHeartbeat = now + Duration{500};
}

void RaftNode::campaign(MonotonicTime now, bool trial, bool leaderTransfer) {
    if (!selfVotes()) return;
    currentRole = Role::candidate;
    knownLeader = ControllerId{};
    trialElection = trial;
    votes.clear();
    resetElection(now);
    if (!trial) {
        currentTerm = currentTerm.next();
        vote = own.id;
        ownVotePending = true;
        mark(last().next());
    } else votes.insert(own.id);
    RequestVote ask;
    ask.term = trial ? currentTerm.next() : currentTerm;
    ask.trial = trial;
    ask.leaderTransfer = leaderTransfer;
    ask.last = last();
    ask.lastTerm = termAt(last());
    for (const auto& entry : currentMembers)
        if (entry.voter && entry.id != own.id) send(entry.id, ask);
    if (trial) countVotes(now);
}

void RaftNode::countVotes(MonotonicTime now) {
    std::size_t given = 0;
    for (const auto& entry : currentMembers) given += entry.voter && votes.count(entry.id);
    if (given < majority()) return;
    if (trialElection) campaign(now, false, false);
    else lead(now);
}

void RaftNode::lead(MonotonicTime now) {
    become(Role::leader, now);
    knownLeader = own.id;
    transferringLeadership = false;
    peers.clear();
    roundTimes.clear();
    round = RoundNumber{};
    for (const auto& entry : currentMembers)
        if (entry.id != own.id) {
            Peer& peer = peers[entry.id];
            peer.next = last().next();
            peer.heard = peer.contact = now;
        }
    openedAt = last().next();  // the owner proposes its opening entry at once
    nextHeartbeat = now;
}

LogIndex RaftNode::propose(std::string payload, MonotonicTime now) {
    log.push_back(LogEntry{currentTerm, false, std::move(payload)});
    mark(last());
    nextHeartbeat = std::min(nextHeartbeat, now);
    return last();
}

bool RaftNode::proposeMembers(const Members& members, MonotonicTime now) {
    if (!serves() || !membersSettled()) return false;
    log.push_back(LogEntry{currentTerm, true, pack(members)});
    mark(last());
    currentMembers = members;
    membersIndex = last();
    for (const auto& entry : currentMembers)
        if (entry.id != own.id && !peers.count(entry.id)) {
            Peer& peer = peers[entry.id];
            peer.next = last().next();
            peer.heard = peer.contact = now;
        }
    std::erase_if(peers, [&](const auto& entry) { return !member(entry.first); });
    nextHeartbeat = std::min(nextHeartbeat, now);
    return true;
}

void RaftNode::found(MonotonicTime now) {
    if (!blank()) return;
    currentTerm = currentTerm.next();
    vote = own.id;
    Member first = own;
    first.voter = true;
    log.push_back(LogEntry{currentTerm, true, pack(Members{first})});
    mark(last());
    findMembers();
    currentRole = Role::follower;
    resetElection(now);
}

void RaftNode::transferLeadership(MonotonicTime now) {
    if (!leads()) return;
    const Member* best = nullptr;
    for (const auto& entry : currentMembers)
        if (entry.voter && entry.id != own.id && now - peers[entry.id].heard < options.electionLow &&
            (!best || peers[entry.id].match > peers[best->id].match))
            best = &entry;
    if (!best) return;
    transferringLeadership = true;
    transferUntil = now + options.electionHigh;
    broadcast(now, true);
    send(best->id, TimeoutNow{currentTerm});
}

void RaftNode::compact(LogIndex index, std::string state) {
    if (index > commit || index <= stored.index) return;
    Members members = base.members;
    for (LogIndex at = base.index.next(); at <= index; at = at.next())
        if (entry(at).members)
            if (auto found = unpack<Members>(entry(at).payload)) members = found.value();
    stored = Snapshot{index, termAt(index), members, std::move(state)};
    wantWhole = true;
    const std::uint64_t cut = std::min<std::uint64_t>(index.value, last().value > options.keepEntries ? last().value - options.keepEntries : 0);
    if (cut > base.index.value) {
        Members atCut = base.members;
        for (std::uint64_t at = base.index.value + 1; at <= cut; ++at)
            if (entry(LogIndex{at}).members)
                if (auto found = unpack<Members>(entry(LogIndex{at}).payload)) atCut = found.value();
        const Term termAtCut = termAt(LogIndex{cut});
        log.erase(log.begin(), log.begin() + std::ptrdiff_t(cut - base.index.value));
        base = Snapshot{LogIndex{cut}, termAtCut, atCut, {}};
    }
}

void RaftNode::join(const Address& address) { leaderJoinAddress = address; }

RoundNumber RaftNode::startRound(MonotonicTime now) {
    nextHeartbeat = std::min(nextHeartbeat, now);
    return round.next();
}

// The highest value that a majority of the voters has reached.
template <class Value, class OfPeer>
Value RaftNode::reachedByMajority(Value ofSelf, OfPeer ofPeer) const {
    std::vector<Value> reached;
    for (const auto& entry : currentMembers) {
        if (!entry.voter) continue;
        auto found = peers.find(entry.id);
        if (entry.id == own.id) reached.push_back(ofSelf);
        else reached.push_back(found == peers.end() ? Value{} : ofPeer(found->second));
    }
    if (reached.size() < majority()) return Value{};
    std::sort(reached.begin(), reached.end(), std::greater<>());
    return reached[majority() - 1];
}
RoundNumber RaftNode::confirmedRound() const {
    return reachedByMajority(round, [](const Peer& peer) { return peer.acked; });
}
MonotonicTime RaftNode::quorumContact() const {
    return reachedByMajority(clockNow, [](const Peer& peer) { return peer.contact; });
}
MonotonicTime RaftNode::heardFrom(const ControllerId& id) const {
    auto found = peers.find(id);
    return found == peers.end() ? clockNow : found->second.heard;
}
LogIndex RaftNode::matchOf(const ControllerId& id) const {
    auto found = peers.find(id);
    return found == peers.end() ? LogIndex{} : found->second.match;
}
bool RaftNode::lostState(const ControllerId& id) const {
    auto found = peers.find(id);
    return found != peers.end() && found->second.lostState;
}

std::optional<WallTime> RaftNode::agreedWall(MonotonicTime now) const {
    std::vector<std::int64_t> walls;
    for (const auto& entry : currentMembers) {
        if (!entry.voter) continue;
        if (entry.id == own.id) walls.push_back(wallNow.milliseconds + (now - wallAt).milliseconds);
        else {
            auto found = peers.find(entry.id);
            if (found != peers.end() && found->second.wallOffset) walls.push_back(now.milliseconds + *found->second.wallOffset);
        }
    }
    if (walls.size() < majority()) return std::nullopt;
    std::sort(walls.begin(), walls.end());
    return WallTime{walls[(walls.size() - 1) / 2]};  // the lower median: one clock alone cannot move it ahead
}

void RaftNode::broadcast(MonotonicTime now, bool force) {
    broadcastAt = now;
    round = round.next();
    roundTimes.emplace_back(round, now);
    if (roundTimes.size() > 256) roundTimes.pop_front();
    for (const auto& entry : currentMembers)
        if (entry.id != own.id) sendAppend(entry, peers[entry.id], now, force);
    nextHeartbeat = now + options.heartbeat;
    advanceCommit();
}

void RaftNode::sendAppend(const Member& to, Peer& peer, MonotonicTime now, bool force) {
    if (peer.next <= base.index) {
        if (peer.installing && now - peer.installSent < Duration{2000}) {
            send(to.id, AppendEntries{currentTerm, last(), termAt(last()), {}, LogIndex{}, round});
            return;
        }
        peer.installing = true;
        peer.installSent = now;
        send(to.id, InstallSnapshot{currentTerm, stored, round});
        return;
    }
    AppendEntries body;
    body.term = currentTerm;
    body.previous = LogIndex{peer.next.value - 1};
    body.previousTerm = termAt(body.previous);
    body.commit = commit;
    body.round = round;
    std::size_t bytes = 0;
    for (LogIndex index = peer.next; index <= last() && bytes < options.batchBytes; index = index.next()) {
        body.entries.push_back(entry(index));
        bytes += entry(index).payload.size() + 32;
    }
    if (body.entries.empty() && !force) return;
    peer.next = LogIndex{peer.next.value + body.entries.size()};
    send(to.id, std::move(body));
}

void RaftNode::advanceCommit() {
    const LogIndex agreed = reachedByMajority(std::min(syncedIndex, last()), [](const Peer& peer) { return peer.match; });
    if (agreed > commit && termAt(agreed) == currentTerm) {
        commit = agreed;
        nextHeartbeat = std::min(nextHeartbeat, clockNow + Duration{10});
        if (!selfVotes()) become(Role::follower, clockNow);
    }
}

void RaftNode::receive(const PeerMessage& message, MonotonicTime now) {
    clockNow = std::max(clockNow, now);
    const bool isJoin = message.body.type() == typeid(Join);
    if (!isJoin && message.to != own.id) return;  // meant for another identity at this address
    if (addresses.size() > 64) addresses.clear();
    addresses[message.from] = message.fromAddress;
    boost::apply_visitor([&](const auto& body) { on(message, body, now); }, message.body);
    if (serves() && membersSettled()) followMoves(now);
}

// A member that speaks from a new address has moved with its disk: that is logged, so that everyone finds it. docs/design.md 3.5.
void RaftNode::followMoves(MonotonicTime now) {
    Members moved = currentMembers;
    for (auto& entry : moved) {
        auto heard = addresses.find(entry.id);
        if (entry.id != own.id && heard != addresses.end() && !heard->second.value.empty()) entry.peer = heard->second;
        if (entry.id == own.id) entry.peer = own.peer;
    }
    if (moved != currentMembers) proposeMembers(moved, now);
}

void RaftNode::on(const PeerMessage& message, const RequestVote& body, MonotonicTime now) {
    const auto* candidate = member(message.from);
    if (!candidate && body.term > currentTerm && leads()) {
        send(message.from, RemovedFromCluster{currentTerm});
        return;
    }
    // One that hears a leader does not help to unseat it. docs/design.md 3.2.
    const bool content = leads() || (now - heardLeader < options.electionLow);
    if (content && !body.leaderTransfer) {
        send(message.from, RequestVoteReply{currentTerm, body.trial, false});
        return;
    }
    if (!body.trial) seeTerm(body.term, now);
    const bool newer = std::tie(body.lastTerm, body.last) >= std::make_tuple(termAt(last()), last());
    // A learner votes too when asked by its identity: the asker's log may hold the change that made it a voter, which its
    // own does not hold yet, and that change may need its vote to be committed. docs/design.md 3.5.
    bool given = newer && body.term >= currentTerm && !wasRemoved;
    if (!body.trial) {
        given = given && body.term == currentTerm && (vote.value.empty() || vote == message.from);
        if (given) {
            vote = message.from;
            mark(last().next());
            resetElection(now);
        }
        sendAfterSync(message.from, RequestVoteReply{currentTerm, false, given});
        if (!dirty && !inFlight) mark(last().next());
    } else send(message.from, RequestVoteReply{given ? body.term : currentTerm, true, given});  // one behind must learn by how far
}

void RaftNode::on(const PeerMessage& message, const RequestVoteReply& body, MonotonicTime now) {
    if (!body.given) {
        if (body.term > currentTerm) seeTerm(body.term, now);
        return;
    }
    if (currentRole != Role::candidate || trialElection != body.trial) return;
    if (body.term != (body.trial ? currentTerm.next() : currentTerm)) return;
    votes.insert(message.from);
    countVotes(now);
}

void RaftNode::replyAppend(const ControllerId& to, bool matched, LogIndex match, RoundNumber answered) {
    AppendEntriesReply reply;
    reply.term = currentTerm;
    reply.matched = matched;
    reply.match = match;
    reply.last = std::min(syncedIndex, last());
    reply.round = answered;
    reply.wall = wallNow + (clockNow - wallAt);
    send(to, reply);
}

void RaftNode::hearLeader(const ControllerId& leader, Term term, RoundNumber heardRound, MonotonicTime now) {
    knownLeader = leader;
    heardLeader = now;
    resetElection(now);
    const bool another = lastAppender != leader || lastAppendTerm != term;
    // docs/design.md 3.3: of what lies here only the committed part is known to be in a new leader's log.
    if (another) shownBy = commit;
    lastRoundSeen = another ? heardRound : std::max(lastRoundSeen, heardRound);
    lastAppender = leader;
    lastAppendTerm = term;
}

void RaftNode::on(const PeerMessage& message, const AppendEntries& body, MonotonicTime now) {
    if (body.term < currentTerm) {
        replyAppend(message.from, false, LogIndex{}, RoundNumber{});
        return;
    }
    seeTerm(body.term, now);
    if (leads()) return;  // cannot be: one leader a term
    if (currentRole == Role::candidate) become(Role::follower, now);
    hearLeader(message.from, body.term, body.round, now);
    // Up to what this leader has shown the logs agree, so one answer sets it back far enough. docs/design.md 3.4.
    if (body.previous > last()) return replyAppend(message.from, false, shownBy, body.round);
    if (body.previous < base.index) return replyAppend(message.from, true, std::min(syncedIndex, commit), body.round);
    if (termAt(body.previous) != body.previousTerm)
        return replyAppend(message.from, false, shownBy, body.round);
    LogIndex index = body.previous;
    bool membersChanged = false;
    for (const auto& added : body.entries) {
        index = index.next();
        if (index <= last()) {
            if (termAt(index) == added.term) continue;
            cutLog(index);
        }
        log.push_back(added);
        mark(index);
        membersChanged = membersChanged || added.members;
    }
    if (membersChanged) {
        findMembers();
        if (selfVotes() && currentRole == Role::learner) currentRole = Role::follower;
        else if (!selfVotes() && currentRole == Role::follower) currentRole = Role::learner;
    }
    commit = std::max(commit, std::min(body.commit, index));
    shownBy = std::max(shownBy, index);
    replyAppend(message.from, true, std::min(index, syncedIndex), body.round);
}

void RaftNode::on(const PeerMessage& message, const AppendEntriesReply& body, MonotonicTime now) {
    if (body.term > currentTerm) return seeTerm(body.term, now);
    if (!leads() || body.term != currentTerm) return;
    auto found = peers.find(message.from);
    if (found == peers.end()) return;
    Peer& peer = found->second;
    peer.heard = now;
    peer.wallOffset = body.wall.milliseconds - now.milliseconds;
    if (body.round > peer.acked) {
        peer.acked = body.round;
        for (const auto& [number, sent] : roundTimes)
            if (number == body.round) peer.contact = std::max(peer.contact, sent);
    }
    // docs/design.md 3.5: it once acknowledged more than it now has; its disk is not the one that voted. A reply of a
    // later round was made later; one that was merely overtaken on the way proves nothing.
    if (body.last < peer.match) {
        peer.lostState = peer.lostState || body.round > peer.matchRound;
        return;
    }
    if (body.matched) {
        if (body.match > peer.match) {
            peer.match = body.match;
            peer.matchRound = body.round;
        }
        if (peer.installing && body.match >= base.index) peer.installing = false;
        if (peer.next <= peer.match) peer.next = peer.match.next();
        advanceCommit();
        if (peer.next <= last()) {
            if (const auto* to = member(message.from)) sendAppend(*to, peer, now, false);
        }
    } else if (body.round > peer.resetRound && (!peer.installing || body.match >= base.index)) {
        peer.installing = false;
        peer.resetRound = round;
        peer.next = LogIndex{std::max(peer.match.value, std::min(body.match.value, peer.next.value - 1)) + 1};
        if (const auto* to = member(message.from)) sendAppend(*to, peer, now, true);
    }
}

void RaftNode::on(const PeerMessage& message, const InstallSnapshot& body, MonotonicTime now) {
    if (body.term < currentTerm) return replyAppend(message.from, false, LogIndex{}, RoundNumber{});
    seeTerm(body.term, now);
    if (leads()) return;
    hearLeader(message.from, body.term, body.round, now);
    if (body.snapshot.index > commit) {
        // What the disk holds beyond what this leader has shown may be another log; it stands for nothing of the view.
        syncedIndex = std::min(syncedIndex, shownBy);
        if (inFlight) inFlight->covers = std::min(inFlight->covers, shownBy);
        shownBy = body.snapshot.index;
        stored = body.snapshot;
        base = Snapshot{body.snapshot.index, body.snapshot.term, body.snapshot.members, {}};
        log.clear();
        commit = body.snapshot.index;
        wantWhole = true;
        installed = true;
        findMembers();
        if (selfVotes() && currentRole == Role::learner) currentRole = Role::follower;
    }
    replyAppend(message.from, true, std::min(syncedIndex, shownBy), body.round);
}

void RaftNode::on(const PeerMessage& message, const TimeoutNow& body, MonotonicTime now) {
    if (body.term == currentTerm && message.from == knownLeader) campaign(now, false, true);
}
void RaftNode::on(const PeerMessage& message, const RemovedFromCluster& body, MonotonicTime) {
    // Only a leader of a later or the same term, once a member with us, can retire us.
    if (body.term >= currentTerm && message.from != own.id && !leads()) wasRemoved = true;
}
void RaftNode::on(const PeerMessage&, const Join& body, MonotonicTime now) {
    if (!serves() || member(body.member.id) || !membersSettled()) return;
    Members members = currentMembers;
    // The same address under a new identity: the old learner there is no more.
    std::erase_if(members, [&](const Member& entry) { return !entry.voter && entry.peer == body.member.peer; });
    const auto learners = std::count_if(members.begin(), members.end(), [](const Member& entry) { return !entry.voter; });
    if (std::size_t(learners) >= learnersWanted) return;
    Member learner = body.member;
    learner.voter = false;
    members.push_back(learner);
    proposeMembers(members, now);
}

}  // namespace aniseline

#ifdef ANISELINE_TESTS
#include <CppUTest/TestHarness.h>
using namespace aniseline;

namespace {
const Members three{{ControllerId{"a"}, Address{"a:1"}, ZoneName{"x"}, true}, {ControllerId{"b"}, Address{"b:1"}, ZoneName{"y"}, true}, {ControllerId{"c"}, Address{"c:1"}, ZoneName{"z"}, true}};
// A follower whose disk holds the members and entries of term 1 that no majority ever had.
WriteAheadRecord heldBy(std::size_t entries) {
    WriteAheadRecord record;
    record.version = DiskVersion{1};
    record.whole = true;
    record.term = Term{1};
    record.first = LogIndex{1};
    record.entries.push_back({Term{1}, true, pack(three)});
    for (std::size_t count = 0; count < entries; ++count) record.entries.push_back({Term{1}, false, "lost"});
    return record;
}
std::vector<AppendEntriesReply> repliesOf(RaftNode& raft) {
    std::vector<AppendEntriesReply> replies;
    for (auto& message : raft.takeMessages())
        if (auto* reply = boost::get<AppendEntriesReply>(&message.body)) replies.push_back(*reply);
    return replies;
}
PeerMessage fromC(PeerBody body) { return PeerMessage{ControllerId{"c"}, ControllerId{"b"}, Address{"b:1"}, std::move(body), Address{"c:1"}}; }
}  // namespace

TEST_GROUP(RaftTests) {
    RaftNode follower{three[1], {}, 1, {heldBy(5)}, MonotonicTime{0}};
    void sync(std::int64_t now) {
        while (auto record = follower.takeWrite()) follower.synced(record->version, MonotonicTime{now});
    }
};

// docs/design.md 3.3: what lies on disk is claimed only up to where it is known to be the leader's.
TEST(RaftTests, aFollowerClaimsNoEntriesThatItsLeaderHasNotShown) {
    AppendEntries heartbeat;
    heartbeat.term = Term{2};
    heartbeat.previous = LogIndex{1};
    heartbeat.previousTerm = Term{1};
    heartbeat.round = RoundNumber{1};
    follower.receive(fromC(heartbeat), MonotonicTime{10});
    sync(12);
    for (const auto& reply : repliesOf(follower)) LONGS_EQUAL(1, reply.match.value);
}

// docs/design.md 3.4: however its log differs, one answer tells the leader where to go on from.
TEST(RaftTests, oneMismatchTellsWhereTheLogsAgree) {
    AppendEntries ahead;
    ahead.term = Term{2};
    ahead.previous = LogIndex{9};
    ahead.previousTerm = Term{2};
    ahead.round = RoundNumber{1};
    follower.receive(fromC(ahead), MonotonicTime{10});
    auto replies = repliesOf(follower);
    CHECK(!replies.empty() && !replies[0].matched);
    AppendEntries again = ahead;
    again.previous = replies[0].match;
    again.previousTerm = again.previous.value > 1 ? Term{2} : again.previous.value ? Term{1} : Term{};  // the leader's own from 2 on
    again.entries.assign(9 - again.previous.value, LogEntry{Term{2}, false, "kept"});
    follower.receive(fromC(again), MonotonicTime{12});
    replies = repliesOf(follower);
    CHECK(!replies.empty() && replies.back().matched);
    LONGS_EQUAL(9, follower.last().value);
}

// docs/design.md 3.2: a candidate behind in terms learns it from the refusal; else no one could ever be elected.
TEST(RaftTests, aRefusedTrialTellsTheTerm) {
    AppendEntries seen;
    seen.term = Term{47};
    follower.receive(fromC(seen), MonotonicTime{10});
    follower.takeMessages();
    RequestVote ask{Term{33}, true, false, LogIndex{99}, Term{32}};
    follower.receive(fromC(ask), MonotonicTime{5000});
    const auto messages = follower.takeMessages();
    LONGS_EQUAL(1, messages.size());
    const auto& answer = boost::get<RequestVoteReply>(messages[0].body);
    CHECK(!answer.given);
    LONGS_EQUAL(47, answer.term.value);
}

// A learner that was put out while it was away asks to learn again; it would stay out for ever. docs/design.md 3.5.
TEST(RaftTests, aLearnerThatHearsNoLeaderAsksToJoin) {
    auto record = heldBy(1);
    Members members = three;
    members[1].voter = false;
    record.entries[0].payload = pack(members);
    RaftNode learner(three[1], {}, 1, {record}, MonotonicTime{0});
    for (std::int64_t now = 0; now < 4000; now += 100) learner.tick(MonotonicTime{now}, WallTime{now});
    std::size_t asked = 0;
    for (const auto& message : learner.takeMessages()) asked += message.body.type() == typeid(Join);
    CHECK(asked > 0);
}

// A view counts only once it is synced; what lay on the disk before it is another log.
TEST(RaftTests, anInstalledViewIsClaimedOnlyWhenItIsSynced) {
    InstallSnapshot install{Term{2}, Snapshot{LogIndex{4}, Term{2}, three, "state"}, RoundNumber{1}};
    follower.receive(fromC(install), MonotonicTime{10});
    for (const auto& reply : repliesOf(follower)) CHECK(reply.match.value < 4);
    sync(12);
    const auto after = repliesOf(follower);
    CHECK(!after.empty());
    LONGS_EQUAL(4, after.back().match.value);
}
#endif
