#include "checker/model/scenarios.hpp"

namespace aniseline::model {

namespace {

using Kind = ActionKind;
constexpr std::size_t a = 0, b = 1, c = 2, d = 3, e = 4;

// Of a breadth-first search. A message that is never delivered is a lost one, so that losing it is
// no step of its own.
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

// a leads, its opening entry is committed everywhere.
void electedLeader(Script& script) {
  script.elect(a);
  script.replicate(a);
}

// a was granted every pre-vote; its vote for itself is still being written.
void unsyncedCandidate(Script& script) {
  script.step(Kind::electionTimeout, a);
  script.deliverAllUnsynced();
}

void oneEntryUnsent(Script& script) {
  electedLeader(script);
  script.step(Kind::propose, a);
}

// a still takes itself for the leader; b was elected by b and c, and committed an entry.
void twoLeaders(Script& script) {
  electedLeader(script);
  script.elect(b, {b, c});
  script.step(Kind::propose, b);
  script.deliverAll({b, c});
}

// a led with an entry that nobody else has; b was elected and has one of its own at the same index.
void forkedLogs(Script& script) {
  electedLeader(script);
  script.step(Kind::propose, a);
  script.completeWrites({a});
  script.dropAllMessages();
  script.electAndDropMessages(b, {b, c});
  script.completeWrites({b});
}

// a holds two entries that nobody else has; b and c committed others there, which come one by one.
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

// As the first fork, and the old leader's entry is still under way to c, the new one's too.
void staleLeader(Script& script) {
  electedLeader(script);
  script.step(Kind::propose, a);
  script.completeWrites({a});
  script.withhold(a, c, hasEntries);
  script.dropAllMessages();
  script.electAndDropMessages(b, {b, c});
  script.step(Kind::heartbeat, b);
}

// b and c answered a in an earlier leadership of a's, which it has not read. a was elected again,
// then b, which committed an entry.
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

// a and b committed an entry that c has not.
void laggingFollower(Script& script) {
  electedLeader(script);
  script.step(Kind::propose, a);
  script.deliverAll({a, b});
}

// a holds entries of its own that nobody else has, also on its disk; b was elected, went on and
// dropped the log that a needs: the snapshot is on its way.
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

// a proposes to remove b, cut off from c and d.
void pendingRemoval(Script& script) {
  electedLeader(script);
  script.step(Kind::removeMember, a, b);
  script.dropAllMessages();
}

// d has learnt all; its promotion is proposed and not sent.
void pendingPromotion(Script& script) {
  electedLeader(script);
  script.step(Kind::join, d, a);
  script.deliverAll();
  script.replicate(a);
  script.step(Kind::promote, a, script.findMemberIndex(a, d));
}

// c slept while a and b went on and dropped the log that c needs; the snapshot is on its way.
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

// c has none of the newest entries; the messages that hold them and a snapshot that ends before the
// last of them are all under way to it.
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

// b's disk is lost; it is back as a new identity and asks to learn.
void lostDisk(Script& script) {
  electedLeader(script);
  script.step(Kind::loseDisk, b);
  script.step(Kind::join, b, a);
  script.deliverAll();
  script.replicate(a);
}

// d took the place of b, whose removal is committed by a, c and d; b has not heard.
void replacedVoter(Script& script) {
  pendingPromotion(script);
  script.deliverAll();
  script.replicate(a);
  script.step(Kind::removeMember, a, b);
  script.deliverAll({a, c, d});
  script.replicate(a, {a, c, d});
}

// The Raft paper's figure 8: an entry of term 2 on a and b, one of term 3 on e alone; a leads
// again.
void entryOfOlderTerm(Script& script) {
  electedLeader(script);
  script.step(Kind::propose, a);
  script.deliverAll({a, b});
  script.electAndDropMessages(e, {c, d, e});
  script.completeWrites({e});
  script.electAndDropMessages(a, {a, b, c, d});
  // e steps down, then learns of the term that a leads: its next election would be a later one.
  script.step(Kind::electionTimeout, e);
  script.step(Kind::electionTimeout, e);
  script.deliverAll({b, c, d, e});
  script.step(Kind::heartbeat, a);
}

}  // namespace

const std::vector<Scenario>& scenarios() {
  static const std::vector<Scenario> all{
      {"election", "three voters, nobody leads", 3, 3,
       budgetWith(
           {{Kind::electionTimeout, 2}, {Kind::leaderSilence, 0}, {Kind::restartKeepingWrite, 1}}),
       [](Script&) {
       }},
      {"restarts", "the same with quick disks, for the sake of depth", 3, 3,
       budgetWith({{Kind::electionTimeout, 2}, {Kind::leaderSilence, 0}, {Kind::heartbeat, 0}}),
       [](Script&) {}, true},
      {"slow disk", "a candidate whose vote for itself is not yet synced", 3, 3,
       budgetWith({{Kind::heartbeat, 0}, {Kind::leaderSilence, 0}}), unsyncedCandidate},
      {"entry", "a leader with an entry not yet sent", 3, 3,
       budgetWith({{Kind::propose, 1}, {Kind::duplicate, 1}}), oneEntryUnsent},
      {"read", "a leader that another has replaced is read from", 3, 3,
       budgetWith({{Kind::read, 1}, {Kind::electionTimeout, 0}}), twoLeaders},
      {"fork", "two logs that differ at one index; the stale leader is back", 3, 3,
       budgetWith({{Kind::duplicate, 1}, {Kind::heartbeat, 2}}), forkedLogs},
      {"fork of two", "a committed log comes entry by entry to a stale leader", 3, 3,
       budgetWith({{Kind::heartbeat, 1}}), twoForkedEntries, true, true},
      {"stale leader", "entries of an old and of a new leader under way to one follower", 3, 3,
       budgetWith({{Kind::heartbeat, 0}, {Kind::electionTimeout, 0}, {Kind::removeMember, 1}}),
       staleLeader, true},
      {"stale reply", "a read by a leader that others replaced, old answers under way to it", 3, 3,
       budgetWith({{Kind::read, 1}, {Kind::heartbeat, 0}}), staleReplies, true},
      {"behind", "one that lacks what is committed asks for votes", 3, 3,
       budgetWith({{Kind::heartbeat, 0}, {Kind::restart, 0}}), laggingFollower, true},
      {"forked snapshot", "a snapshot under way to one whose disk holds another log", 3, 3,
       budgetWith({{Kind::heartbeat, 2}, {Kind::electionTimeout, 0}}), forkedSnapshot},
      {"removal", "the removal of a voter, cut off from half of the voters", 4, 4,
       budgetWith({{Kind::electionTimeout, 2}, {Kind::leaderSilence, 1}}), pendingRemoval, true},
      {"promotion", "a learner's promotion not yet sent", 4, 3,
       budgetWith({{Kind::removeMember, 1}}), pendingPromotion},
      {"snapshot", "a follower far behind, the snapshot under way", 3, 3,
       budgetWith({{Kind::heartbeat, 2}, {Kind::restartKeepingWrite, 1}, {Kind::propose, 1}}),
       snapshotInFlight},
      {"late snapshot", "entries and a snapshot that ends before the last of them, in any order", 3,
       3, budgetWith({{Kind::electionTimeout, 0}, {Kind::leaderSilence, 0}}), lateSnapshot, true},
      {"lost disk", "a voter's disk is lost, its machine learns anew", 3, 3,
       budgetWith({{Kind::promote, 1}, {Kind::removeMember, 1}, {Kind::join, 1}}), lostDisk},
      {"replaced", "a voter is replaced and has not heard of it", 4, 3,
       budgetWith({{Kind::electionTimeout, 2}, {Kind::loseDisk, 1}, {Kind::duplicate, 1}}),
       replacedVoter},
      {"older term", "an entry of an older term on a minority, its leader is elected again", 5, 5,
       budgetWith({{Kind::heartbeat, 0}, {Kind::leaderSilence, 1}, {Kind::restart, 0}}),
       entryOfOlderTerm, true, true},
      {"transfer", "a leader that hands over", 3, 3,
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
                           cluster.violation().value_or("can't be taken"));
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
  throw std::logic_error("script: no such message under way");
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
  constexpr int tries = 3;  // an old leader steps down first; one behind is told by how far
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
  constexpr int rounds = 3;  // the entries, the commit index, and a round more for a late joiner
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
