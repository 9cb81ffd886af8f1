// Implements the scripts that prepare the scenarios, and the list of all scenarios.
#include "checker/model/scenarios.hpp"

namespace aniseline::model {

namespace {

using Kind = ActionKind;
constexpr std::size_t a = 0, b = 1, c = 2, d = 3, e = 4;

// The default budget of a breadth-first search. Losing a message is not an action here, because a
// message that is never delivered is a lost message.
Budget budgetWith(const Budget& more) {
  Budget budget{{Kind::duplicate, 0},
                {Kind::drop, 0},
                {Kind::heartbeat, 1},
                {Kind::electionTimeout, 1},
                {Kind::leaderSilence, 2},
                {Kind::restart, 1},
                {Kind::restartKeepingWrite, 0},
                {Kind::loseDisk, 0},
                {Kind::join, 0},
                {Kind::propose, 0},
                {Kind::read, 0},
                {Kind::removeMember, 0},
                {Kind::promote, 0},
                {Kind::transferLeadership, 0},
                {Kind::compact, 0},
                {Kind::rejoinAsNewMember, 1}};
  for (const auto& [kind, count] : more)
    budget[kind] = count;
  return budget;
}

bool isReply(const PeerMessage& message) {
  return message.body.type() == typeid(AppendEntriesReply);
}

bool isHeartbeat(const PeerMessage& message) {
  const auto* append = boost::get<AppendEntries>(&message.body);
  return append && append->entries.empty();
}

bool hasEntries(const PeerMessage& message) {
  const auto* append = boost::get<AppendEntries>(&message.body);
  return append && !append->entries.empty();
}

// Node a is the leader, and its first entry is committed everywhere.
void electedLeader(Script& script) {
  script.elect(a);
  script.replicate(a);
}

// Node a received all pre-votes; its vote for itself is still being written.
void unsyncedCandidate(Script& script) {
  script.step(Kind::electionTimeout, a);
  script.deliverAllUnsynced();
}

void oneEntryUnsent(Script& script) {
  electedLeader(script);
  script.step(Kind::propose, a);
}

// Node a still considers itself the leader; b was elected by b and c and committed an entry.
void twoLeaders(Script& script) {
  electedLeader(script);
  script.elect(b, {b, c});
  script.step(Kind::propose, b);
  script.deliverAll({b, c});
}

// Node a was the leader and holds an entry that no other node has; b was elected and has its own
// entry at the same index.
void forkedLogs(Script& script) {
  electedLeader(script);
  script.step(Kind::propose, a);
  script.completeWrites({a});
  script.dropAllMessages();
  script.electAndDropMessages(b, {b, c});
  script.completeWrites({b});
}

// Node a holds two entries that no other node has; b and c committed others at these indices, which
// a receives one by one.
void twoForkedEntries(Script& script) {
  electedLeader(script);
  script.step(Kind::propose, a);
  script.step(Kind::propose, a);
  script.completeWrites({a});
  script.dropAllMessages();
  script.elect(b, {b, c});
  script.step(Kind::propose, b);
  script.deliverAll({b, c});
  script.replicate(b, {b, c});
  script.step(Kind::heartbeat, b);
}

// Like forkedLogs, but the entries of the old and of the new leader are both in flight to c.
void staleLeader(Script& script) {
  electedLeader(script);
  script.step(Kind::propose, a);
  script.completeWrites({a});
  script.withhold(a, c, hasEntries);
  script.dropAllMessages();
  script.electAndDropMessages(b, {b, c});
  script.step(Kind::heartbeat, b);
}

// Nodes b and c replied to a in an earlier leadership of a, and a has not received the replies.
// Then a was elected again, and after it b, which committed an entry.
void staleReplies(Script& script) {
  electedLeader(script);
  script.replicate(a);
  script.replicate(a);
  script.step(Kind::heartbeat, a);
  script.applyToMessage(Kind::deliver, a, b, isHeartbeat);
  script.withhold(b, a, isReply);
  script.dropAllMessages();
  script.step(Kind::electionTimeout, a);
  script.elect(a);
  script.replicate(a);
  script.elect(b, {b, c});
  script.step(Kind::propose, b);
  script.deliverAll({b, c});
}

// Nodes a and b committed an entry that c does not have.
void laggingFollower(Script& script) {
  electedLeader(script);
  script.step(Kind::propose, a);
  script.deliverAll({a, b});
}

// Node a holds entries, also on its disk, that no other node has. Node b was elected, committed
// entries and compacted the log that a needs; the snapshot is in flight.
void forkedSnapshot(Script& script) {
  electedLeader(script);
  for (int entry = 0; entry < 3; ++entry) {
    script.step(Kind::propose, a);
    script.completeWrites({a});
  }
  script.dropAllMessages();
  script.step(Kind::restart, a);
  script.elect(b, {b, c});
  script.step(Kind::propose, b);
  script.deliverAll({b, c});
  script.replicate(b, {b, c});
  script.step(Kind::compact, b);
  script.completeWrites({b});
  script.step(Kind::heartbeat, b);
  script.applyToMessage(Kind::deliver, b, a, isHeartbeat);
  script.applyToMessage(Kind::deliver, a, b, isReply);
}

// Node a proposes to remove b while it cannot reach c and d.
void pendingRemoval(Script& script) {
  electedLeader(script);
  script.step(Kind::removeMember, a, b);
  script.dropAllMessages();
}

// Learner d is up to date; its promotion is proposed but not sent.
void pendingPromotion(Script& script) {
  electedLeader(script);
  script.step(Kind::join, d, a);
  script.deliverAll();
  script.replicate(a);
  script.step(Kind::promote, a, script.findMemberIndex(a, d));
}

// Node c missed entries of a and b, which then compacted the log that c needs; the snapshot is in
// flight.
void snapshotInFlight(Script& script) {
  electedLeader(script);
  for (int entry = 0; entry < 3; ++entry) {
    script.step(Kind::propose, a);
    script.deliverAll({a, b});
    script.replicate(a, {a, b});
  }
  script.step(Kind::compact, a);
  script.completeWrites({a});
  script.replicate(a);
  script.step(Kind::heartbeat, a);
}

// Node c has none of the newest entries. The messages with these entries and a snapshot that ends
// before the last of them are all in flight to it.
void lateSnapshot(Script& script) {
  const auto isLastEntry = [](const PeerMessage& message) {
    const auto* append = boost::get<AppendEntries>(&message.body);
    return append && append->previousLogIndex == LogIndex{4};
  };
  electedLeader(script);
  script.step(Kind::propose, a);
  script.step(Kind::propose, a);
  script.step(Kind::propose, a);
  script.applyToMessage(Kind::drop, a, b, isLastEntry);
  script.deliverAllWithin({a, b});
  script.step(Kind::compact, a);
  script.completeWrites({a});
  script.step(Kind::heartbeat, a);
  script.applyToMessage(Kind::deliver, a, c, isHeartbeat);
  script.applyToMessage(Kind::deliver, c, a, isReply);
}

// Node b lost its disk and has rejoined as a learner with a new identity.
void lostDisk(Script& script) {
  electedLeader(script);
  script.step(Kind::loseDisk, b);
  script.step(Kind::join, b, a);
  script.deliverAll();
  script.replicate(a);
}

// Node d replaced b, and a, c and d committed the removal of b; b does not know it.
void replacedVoter(Script& script) {
  pendingPromotion(script);
  script.deliverAll();
  script.replicate(a);
  script.step(Kind::removeMember, a, b);
  script.deliverAll({a, c, d});
  script.replicate(a, {a, c, d});
}

// Figure 8 of the Raft paper: an entry of term 2 is on a and b, one of term 3 only on e, and a is
// the leader again.
void entryOfOlderTerm(Script& script) {
  electedLeader(script);
  script.step(Kind::propose, a);
  script.deliverAll({a, b});
  script.electAndDropMessages(e, {c, d, e});
  script.completeWrites({e});
  script.electAndDropMessages(a, {a, b, c, d});
  // Node e steps down and then learns the term of a, so that its next election has a higher term.
  script.step(Kind::electionTimeout, e);
  script.step(Kind::electionTimeout, e);
  script.deliverAll({b, c, d, e});
  script.step(Kind::heartbeat, a);
}

}  // namespace

const std::vector<Scenario>& scenarios() {
  static const std::vector<Scenario> all{
      {"election", "three voters without a leader", 3, 3,
       budgetWith(
           {{Kind::electionTimeout, 2}, {Kind::leaderSilence, 0}, {Kind::restartKeepingWrite, 1}}),
       [](Script&) {
       }},
      {"restarts", "the same with immediate syncs, which allows a deeper search", 3, 3,
       budgetWith({{Kind::electionTimeout, 2}, {Kind::leaderSilence, 0}, {Kind::heartbeat, 0}}),
       [](Script&) {}, true},
      {"slow disk", "a candidate whose vote for itself is not yet synced", 3, 3,
       budgetWith({{Kind::heartbeat, 0}, {Kind::leaderSilence, 0}}), unsyncedCandidate},
      {"entry", "a leader with an entry that is not sent yet", 3, 3,
       budgetWith({{Kind::propose, 1}, {Kind::duplicate, 1}}), oneEntryUnsent},
      {"read", "a read from a leader that has been replaced", 3, 3,
       budgetWith({{Kind::read, 1}, {Kind::electionTimeout, 0}}), twoLeaders},
      {"fork", "two logs that differ at one index; the stale leader is reachable again", 3, 3,
       budgetWith({{Kind::duplicate, 1}, {Kind::heartbeat, 2}}), forkedLogs},
      {"fork of two", "a stale leader receives the committed log one entry at a time", 3, 3,
       budgetWith({{Kind::heartbeat, 1}}), twoForkedEntries, true, true},
      {"stale leader", "entries of an old and a new leader in flight to the same follower", 3, 3,
       budgetWith({{Kind::heartbeat, 0}, {Kind::electionTimeout, 0}, {Kind::removeMember, 1}}),
       staleLeader, true},
      {"stale reply", "a read by a replaced leader while old replies to it are in flight", 3, 3,
       budgetWith({{Kind::read, 1}, {Kind::heartbeat, 0}}), staleReplies, true},
      {"behind", "a node that lacks a committed entry requests votes", 3, 3,
       budgetWith({{Kind::heartbeat, 0}, {Kind::restart, 0}}), laggingFollower, true},
      {"forked snapshot", "a snapshot in flight to a node with a diverging log on disk", 3, 3,
       budgetWith({{Kind::heartbeat, 2}, {Kind::electionTimeout, 0}}), forkedSnapshot},
      {"removal", "the removal of a voter by a leader that cannot reach half of the voters", 4, 4,
       budgetWith({{Kind::electionTimeout, 2}, {Kind::leaderSilence, 1}}), pendingRemoval, true},
      {"promotion", "the promotion of a learner that is not sent yet", 4, 3,
       budgetWith({{Kind::removeMember, 1}}), pendingPromotion},
      {"snapshot", "a follower far behind with a snapshot in flight to it", 3, 3,
       budgetWith({{Kind::heartbeat, 2}, {Kind::restartKeepingWrite, 1}, {Kind::propose, 1}}),
       snapshotInFlight},
      {"late snapshot", "entries and a snapshot that ends before the last of them, in any order", 3,
       3, budgetWith({{Kind::electionTimeout, 0}, {Kind::leaderSilence, 0}}), lateSnapshot, true},
      {"lost disk", "a voter loses its disk and its machine rejoins as a learner", 3, 3,
       budgetWith({{Kind::promote, 1}, {Kind::removeMember, 1}, {Kind::join, 1}}), lostDisk},
      {"replaced", "a voter is replaced and does not know it yet", 4, 3,
       budgetWith({{Kind::electionTimeout, 2}, {Kind::loseDisk, 1}, {Kind::duplicate, 1}}),
       replacedVoter},
      {"older term", "an entry of an older term on a minority, and its leader is elected again", 5,
       5, budgetWith({{Kind::heartbeat, 0}, {Kind::leaderSilence, 1}, {Kind::restart, 0}}),
       entryOfOlderTerm, true, true},
      {"transfer", "a leader that transfers its leadership", 3, 3,
       budgetWith({{Kind::transferLeadership, 1}, {Kind::propose, 1}}), electedLeader},
  };
  return all;
}

const Scenario& scenario(const std::string& name) {
  for (const auto& each : scenarios())
    if (each.name == name)
      return each;
  throw std::invalid_argument("no scenario " + name);
}

ModelCluster withWalkOptions(ModelCluster cluster, bool outcomesOnly, const SeededDefect& defect) {
  auto walkOptions = std::make_shared<ModelOptions>();
  walkOptions->machines = cluster.machines();
  walkOptions->writeImmediately = false;
  walkOptions->outcomesOnly = outcomesOnly;
  walkOptions->seededDefect = defect;
  walkOptions->budget = {{Kind::duplicate, 6},
                         {Kind::electionTimeout, 12},
                         {Kind::restart, 4},
                         {Kind::loseDisk, 2},
                         {Kind::restartKeepingWrite, 3},
                         {Kind::propose, 6},
                         {Kind::read, 4},
                         {Kind::removeMember, 4},
                         {Kind::promote, 4},
                         {Kind::transferLeadership, 2},
                         {Kind::compact, 3}};
  cluster.setOptions(walkOptions);
  return cluster;
}

ModelCluster prepare(const Scenario& scenario, const SeededDefect& defect, bool outcomesOnly) {
  auto scriptOptions = std::make_shared<ModelOptions>();
  scriptOptions->machines = scenario.machines;
  scriptOptions->voters = scenario.voters;
  scriptOptions->syncImmediately = scenario.syncImmediately;
  if (scenario.oneEntryPerMessage)
    scriptOptions->raft.maxBatchBytes = 1;
  ModelCluster cluster(scriptOptions);
  Script script(cluster);
  scenario.prepare(script);
  auto searchOptions = std::make_shared<ModelOptions>(*scriptOptions);
  searchOptions->budget = scenario.budget;
  searchOptions->seededDefect = defect;
  searchOptions->outcomesOnly = outcomesOnly;
  cluster.setOptions(searchOptions);
  return cluster;
}

void Script::step(ActionKind kind, std::size_t machine, std::size_t other) {
  const Action action{kind, std::uint8_t(machine), std::uint8_t(other)};
  const bool taken = cluster.apply(action);
  if (!taken || cluster.violation())
    throw std::logic_error("script: " + cluster.describe(action) + ": " +
                           cluster.violation().value_or("is not enabled"));
}

void Script::completeWrites(const std::set<std::size_t>& machines) {
  for (const auto machine : machines)
    while (cluster.node(machine).writing())
      step(Kind::completeWrite, machine);
}

const Packet* Script::firstDeliverable() const {
  for (const auto& packet : cluster.network())
    if (!withheldPackets.count(packet->hash))
      return packet.get();
  return nullptr;
}

const Packet* Script::findPacket(std::size_t from, std::size_t to,
                                 const std::function<bool(const PeerMessage&)>& fits) const {
  for (const auto& packet : cluster.network())
    if (!withheldPackets.count(packet->hash) && cluster.machineOf(packet->message.from) == from &&
        cluster.machineOf(packet->message.to) == to && fits(packet->message))
      return packet.get();
  throw std::logic_error("script: no such message in flight");
}

void Script::deliverWithinAndDropRest(const std::set<std::size_t>& machines) {
  const Packet packet = *firstDeliverable();
  const auto to = cluster.machineOf(packet.message.to);
  const auto from = cluster.machineOf(packet.message.from);
  const bool arrives = packet.message.to.value.empty() ||
                       (to && from && machines.count(*to) && machines.count(*from));
  cluster.apply({arrives ? Kind::deliver : Kind::drop, 0, 0, packet.hash});
  if (cluster.violation())
    throw std::logic_error("script: " + *cluster.violation());
}

void Script::deliverAll(const std::set<std::size_t>& among) {
  std::set<std::size_t> machines = among;
  for (std::size_t machine = 0; among.empty() && machine < cluster.machines(); ++machine)
    machines.insert(machine);
  for (completeWrites(machines); firstDeliverable(); completeWrites(machines))
    deliverWithinAndDropRest(machines);
}

void Script::deliverAllWithin(const std::set<std::size_t>& among) {
  const auto inside = [&](const std::shared_ptr<const Packet>& packet) {
    const auto from = cluster.machineOf(packet->message.from);
    const auto to = cluster.machineOf(packet->message.to);
    return !withheldPackets.count(packet->hash) && from && to && among.count(*from) &&
           among.count(*to);
  };
  for (completeWrites(among);; completeWrites(among)) {
    const auto next = std::find_if(cluster.network().begin(), cluster.network().end(), inside);
    if (next == cluster.network().end())
      return;
    cluster.apply({Kind::deliver, 0, 0, (*next)->hash});
  }
}

void Script::deliverAllUnsynced() {
  while (const auto* packet = firstDeliverable())
    cluster.apply({Kind::deliver, 0, 0, packet->hash});
}

void Script::applyToMessage(ActionKind kind, std::size_t from, std::size_t to,
                            const std::function<bool(const PeerMessage&)>& fits) {
  cluster.apply({kind, 0, 0, findPacket(from, to, fits)->hash});
}

void Script::withhold(std::size_t from, std::size_t to,
                      const std::function<bool(const PeerMessage&)>& fits) {
  withheldPackets.insert(findPacket(from, to, fits)->hash);
}

void Script::dropAllMessages() {
  while (const auto* packet = firstDeliverable())
    cluster.apply({Kind::drop, 0, 0, packet->hash});
}

void Script::campaign(std::size_t machine, const std::set<std::size_t>& among) {
  for (std::size_t other = 0; other < cluster.machines(); ++other)
    if (other != machine && (among.empty() || among.count(other)) &&
        !cluster.node(other).raft.isLeader() && !cluster.node(other).raft.isBlank())
      step(Kind::leaderSilence, other);
  step(Kind::electionTimeout, machine);
}

void Script::runUntilLeads(std::size_t machine, const std::set<std::size_t>& among,
                           const std::function<void()>& deliver) {
  // An old leader first steps down; a node with a lower term learns the current one.
  constexpr int tries = 3;
  for (int attempt = 0; attempt == 0 || !cluster.node(machine).raft.isLeader(); ++attempt) {
    if (attempt == tries)
      throw std::logic_error("script: not elected");
    campaign(machine, among);
    deliver();
  }
}

void Script::elect(std::size_t machine, const std::set<std::size_t>& among) {
  runUntilLeads(machine, among, [&] { deliverAll(among); });
}

void Script::electAndDropMessages(std::size_t machine, const std::set<std::size_t>& among) {
  runUntilLeads(machine, among, [&] {
    for (completeWrites(among); !cluster.node(machine).raft.isLeader() && firstDeliverable();
         completeWrites(among))
      deliverWithinAndDropRest(among);
  });
  dropAllMessages();
}

void Script::replicate(std::size_t leader, const std::set<std::size_t>& among) {
  constexpr int rounds = 3;  // the entries, the commit index, and one more round for a late joiner
  for (int round = 0; round < rounds; ++round) {
    step(Kind::heartbeat, leader);
    deliverAll(among);
  }
}

std::size_t Script::findMemberIndex(std::size_t leader, std::size_t machine) const {
  const auto& members = cluster.node(leader).raft.membership();
  const auto found = std::find_if(members.begin(), members.end(), [&](const Member& member) {
    return member.id == cluster.node(machine).self.id;
  });
  return std::size_t(found - members.begin());
}

}  // namespace aniseline::model
