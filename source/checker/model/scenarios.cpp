#include "checker/model/scenarios.hpp"

namespace aniseline::model {

namespace {

using Kind = ActionKind;
constexpr std::size_t a = 0, b = 1, c = 2, d = 3, e = 4;

// Of a breadth-first search. A message that is never delivered is a lost one, so that losing it is
// no step of its own.
Budget budgetWith(Budget more) {
  Budget budget{
      {Kind::duplicate, 0}, {Kind::lose, 0},     {Kind::heartbeat, 1},   {Kind::timeOut, 1},
      {Kind::silence, 2},   {Kind::restart, 1},  {Kind::restartKept, 0}, {Kind::loseDisk, 0},
      {Kind::join, 0},      {Kind::propose, 0},  {Kind::read, 0},        {Kind::removeMember, 0},
      {Kind::promote, 0},   {Kind::transfer, 0}, {Kind::compact, 0},     {Kind::renew, 1}};
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
void led(Script& script) {
  script.elect(a);
  script.spread(a);
}

// a was granted every pre-vote; its vote for itself is still being written.
void slowCandidate(Script& script) {
  script.step(Kind::timeOut, a);
  script.settleUnsynced();
}

void oneEntryUnsent(Script& script) {
  led(script);
  script.step(Kind::propose, a);
}

// a still takes itself for the leader; b was elected by b and c, and committed an entry.
void twoLeaders(Script& script) {
  led(script);
  script.elect(b, {b, c});
  script.step(Kind::propose, b);
  script.settle({b, c});
}

// a led with an entry that nobody else has; b was elected and has one of its own at the same index.
void forkedLogs(Script& script) {
  led(script);
  script.step(Kind::propose, a);
  script.sync({a});
  script.loseAll();
  script.electUnheard(b, {b, c});
  script.sync({b});
}

// a holds two entries that nobody else has; b and c committed others there, which come one by one.
void forkOfTwo(Script& script) {
  led(script);
  script.step(Kind::propose, a);
  script.step(Kind::propose, a);
  script.sync({a});
  script.loseAll();
  script.elect(b, {b, c});
  script.step(Kind::propose, b);
  script.settle({b, c});
  script.spread(b, {b, c});
  script.step(Kind::heartbeat, b);
}

// As the first fork, and the old leader's entry is still under way to c, the new one's too.
void staleLeader(Script& script) {
  led(script);
  script.step(Kind::propose, a);
  script.sync({a});
  script.hold(a, c, hasEntries);
  script.loseAll();
  script.electUnheard(b, {b, c});
  script.step(Kind::heartbeat, b);
}

// b and c answered a in an earlier leadership of a's, which it has not read. a was elected again,
// then b, which committed an entry.
void staleReplies(Script& script) {
  led(script);
  script.spread(a);
  script.spread(a);
  script.step(Kind::heartbeat, a);
  script.message(Kind::deliver, a, b, isHeartbeat);
  script.hold(b, a, isReply);
  script.loseAll();
  script.step(Kind::timeOut, a);
  script.elect(a);
  script.spread(a);
  script.elect(b, {b, c});
  script.step(Kind::propose, b);
  script.settle({b, c});
}

// a and b committed an entry that c has not.
void behind(Script& script) {
  led(script);
  script.step(Kind::propose, a);
  script.settle({a, b});
}

// a holds entries of its own that nobody else has, also on its disk; b was elected, went on and
// dropped the log that a needs: the snapshot is on its way.
void forkedSnapshot(Script& script) {
  led(script);
  for (int entry = 0; entry < 3; ++entry) {
    script.step(Kind::propose, a);
    script.sync({a});
  }
  script.loseAll();
  script.step(Kind::restart, a);
  script.elect(b, {b, c});
  script.step(Kind::propose, b);
  script.settle({b, c});
  script.spread(b, {b, c});
  script.step(Kind::compact, b);
  script.sync({b});
  script.step(Kind::heartbeat, b);
  script.message(Kind::deliver, b, a, isHeartbeat);
  script.message(Kind::deliver, a, b, isReply);
}

// a proposes to remove b, cut off from c and d.
void pendingRemoval(Script& script) {
  led(script);
  script.step(Kind::removeMember, a, b);
  script.loseAll();
}

// d has learnt all; its promotion is proposed and not sent.
void pendingPromotion(Script& script) {
  led(script);
  script.step(Kind::join, d, a);
  script.settle();
  script.spread(a);
  script.step(Kind::promote, a, script.placeOf(a, d));
}

// c slept while a and b went on and dropped the log that c needs; the snapshot is on its way.
void installing(Script& script) {
  led(script);
  for (int entry = 0; entry < 3; ++entry) {
    script.step(Kind::propose, a);
    script.settle({a, b});
    script.spread(a, {a, b});
  }
  script.step(Kind::compact, a);
  script.sync({a});
  script.spread(a);
  script.step(Kind::heartbeat, a);
}

// c has none of the newest entries; the messages that hold them and a snapshot that ends before the
// last of them are all under way to it.
void lateSnapshot(Script& script) {
  const auto isLastEntry = [](const PeerMessage& message) {
    const auto* append = boost::get<AppendEntries>(&message.body);
    return append && append->previous == LogIndex{4};
  };
  led(script);
  script.step(Kind::propose, a);
  script.step(Kind::propose, a);
  script.step(Kind::propose, a);
  script.message(Kind::lose, a, b, isLastEntry);
  script.settleWithin({a, b});
  script.step(Kind::compact, a);
  script.sync({a});
  script.step(Kind::heartbeat, a);
  script.message(Kind::deliver, a, c, isHeartbeat);
  script.message(Kind::deliver, c, a, isReply);
}

// b's disk is lost; it is back as a new identity and asks to learn.
void lostDisk(Script& script) {
  led(script);
  script.step(Kind::loseDisk, b);
  script.step(Kind::join, b, a);
  script.settle();
  script.spread(a);
}

// d took the place of b, whose removal is committed by a, c and d; b has not heard.
void replaced(Script& script) {
  pendingPromotion(script);
  script.settle();
  script.spread(a);
  script.step(Kind::removeMember, a, b);
  script.settle({a, c, d});
  script.spread(a, {a, c, d});
}

// The Raft paper's figure 8: an entry of term 2 on a and b, one of term 3 on e alone; a leads
// again.
void olderTermsEntry(Script& script) {
  led(script);
  script.step(Kind::propose, a);
  script.settle({a, b});
  script.electUnheard(e, {c, d, e});
  script.sync({e});
  script.electUnheard(a, {a, b, c, d});
  // e steps down, then learns of the term that a leads: its next election would be a later one.
  script.step(Kind::timeOut, e);
  script.step(Kind::timeOut, e);
  script.settle({b, c, d, e});
  script.step(Kind::heartbeat, a);
}

}  // namespace

const std::vector<Scenario>& scenarios() {
  static const std::vector<Scenario> all{
      {"election", "three voters, nobody leads", 3, 3,
       budgetWith({{Kind::timeOut, 2}, {Kind::silence, 0}, {Kind::restartKept, 1}}),
       [](Script&) {
       }},
      {"restarts", "the same with quick disks, for the sake of depth", 3, 3,
       budgetWith({{Kind::timeOut, 2}, {Kind::silence, 0}, {Kind::heartbeat, 0}}), [](Script&) {},
       true},
      {"slow disk", "a candidate whose vote for itself is not yet synced", 3, 3,
       budgetWith({{Kind::heartbeat, 0}, {Kind::silence, 0}}), slowCandidate},
      {"entry", "a leader with an entry not yet sent", 3, 3,
       budgetWith({{Kind::propose, 1}, {Kind::duplicate, 1}}), oneEntryUnsent},
      {"read", "a leader that another has replaced is read from", 3, 3,
       budgetWith({{Kind::read, 1}, {Kind::timeOut, 0}}), twoLeaders},
      {"fork", "two logs that differ at one index; the stale leader is back", 3, 3,
       budgetWith({{Kind::duplicate, 1}, {Kind::heartbeat, 2}}), forkedLogs},
      {"fork of two", "a committed log comes entry by entry to a stale leader", 3, 3,
       budgetWith({{Kind::heartbeat, 1}}), forkOfTwo, true, true},
      {"stale leader", "entries of an old and of a new leader under way to one follower", 3, 3,
       budgetWith({{Kind::heartbeat, 0}, {Kind::timeOut, 0}, {Kind::removeMember, 1}}), staleLeader,
       true},
      {"stale reply", "a read by a leader that others replaced, old answers under way to it", 3, 3,
       budgetWith({{Kind::read, 1}, {Kind::heartbeat, 0}}), staleReplies, true},
      {"behind", "one that lacks what is committed asks for votes", 3, 3,
       budgetWith({{Kind::heartbeat, 0}, {Kind::restart, 0}}), behind, true},
      {"forked snapshot", "a snapshot under way to one whose disk holds another log", 3, 3,
       budgetWith({{Kind::heartbeat, 2}, {Kind::timeOut, 0}}), forkedSnapshot},
      {"removal", "the removal of a voter, cut off from half of the voters", 4, 4,
       budgetWith({{Kind::timeOut, 2}, {Kind::silence, 1}}), pendingRemoval, true},
      {"promotion", "a learner's promotion not yet sent", 4, 3,
       budgetWith({{Kind::removeMember, 1}}), pendingPromotion},
      {"snapshot", "a follower far behind, the snapshot under way", 3, 3,
       budgetWith({{Kind::heartbeat, 2}, {Kind::restartKept, 1}, {Kind::propose, 1}}), installing},
      {"late snapshot", "entries and a snapshot that ends before the last of them, in any order", 3,
       3, budgetWith({{Kind::timeOut, 0}, {Kind::silence, 0}}), lateSnapshot, true},
      {"lost disk", "a voter's disk is lost, its machine learns anew", 3, 3,
       budgetWith({{Kind::promote, 1}, {Kind::removeMember, 1}, {Kind::join, 1}}), lostDisk},
      {"replaced", "a voter is replaced and has not heard of it", 4, 3,
       budgetWith({{Kind::timeOut, 2}, {Kind::loseDisk, 1}, {Kind::duplicate, 1}}), replaced},
      {"older term", "an entry of an older term on a minority, its leader is elected again", 5, 5,
       budgetWith({{Kind::heartbeat, 0}, {Kind::silence, 1}, {Kind::restart, 0}}), olderTermsEntry,
       true, true},
      {"transfer", "a leader that hands over", 3, 3,
       budgetWith({{Kind::transfer, 1}, {Kind::propose, 1}}), led},
  };
  return all;
}

const Scenario& scenario(const std::string& name) {
  for (const auto& each : scenarios())
    if (each.name == name)
      return each;
  throw std::invalid_argument("no scenario " + name);
}

ModelWorld openForWalks(ModelWorld world, bool outcomesOnly, const Tamper& tamper) {
  auto open = std::make_shared<ModelOptions>();
  open->machines = world.machines();
  open->writesAtOnce = false;
  open->outcomesOnly = outcomesOnly;
  open->tamper = tamper;
  open->budget = {{Kind::duplicate, 6}, {Kind::timeOut, 12},     {Kind::restart, 4},
                  {Kind::loseDisk, 2},  {Kind::restartKept, 3},  {Kind::propose, 6},
                  {Kind::read, 4},      {Kind::removeMember, 4}, {Kind::promote, 4},
                  {Kind::transfer, 2},  {Kind::compact, 3}};
  world.allow(open);
  return world;
}

ModelWorld prepare(const Scenario& scenario, const Tamper& tamper, bool outcomesOnly) {
  auto free = std::make_shared<ModelOptions>();
  free->machines = scenario.machines;
  free->voters = scenario.voters;
  free->disksAtOnce = scenario.disksAtOnce;
  if (scenario.entryByEntry)
    free->raft.batchBytes = 1;
  ModelWorld world(free);
  Script script(world);
  scenario.prepare(script);
  auto bounded = std::make_shared<ModelOptions>(*free);
  bounded->budget = scenario.budget;
  bounded->tamper = tamper;
  bounded->outcomesOnly = outcomesOnly;
  world.allow(bounded);
  return world;
}

void Script::step(ActionKind kind, std::size_t machine, std::size_t other) {
  const Action action{kind, std::uint8_t(machine), std::uint8_t(other)};
  const bool taken = world.apply(action);
  if (!taken || world.violation())
    throw std::logic_error("script: " + world.describe(action) + ": " +
                           world.violation().value_or("can't be taken"));
}

void Script::sync(const std::set<std::size_t>& machines) {
  for (const auto machine : machines)
    while (world.node(machine).writing())
      step(Kind::completeWrite, machine);
}

const Packet* Script::firstFree() const {
  for (const auto& packet : world.network())
    if (!held.count(packet->hash))
      return packet.get();
  return nullptr;
}

const Packet* Script::find(std::size_t from, std::size_t to,
                           const std::function<bool(const PeerMessage&)>& fits) const {
  for (const auto& packet : world.network())
    if (!held.count(packet->hash) && world.machineOf(packet->message.from) == from &&
        world.machineOf(packet->message.to) == to && fits(packet->message))
      return packet.get();
  throw std::logic_error("script: no such message under way");
}

void Script::arriveOrLose(const std::set<std::size_t>& machines) {
  const Packet packet = *firstFree();
  const auto to = world.machineOf(packet.message.to);
  const auto from = world.machineOf(packet.message.from);
  const bool arrives = packet.message.to.value.empty() ||
                       (to && from && machines.count(*to) && machines.count(*from));
  world.apply({arrives ? Kind::deliver : Kind::lose, 0, 0, packet.hash});
  if (world.violation())
    throw std::logic_error("script: " + *world.violation());
}

void Script::settle(const std::set<std::size_t>& among) {
  std::set<std::size_t> machines = among;
  for (std::size_t machine = 0; among.empty() && machine < world.machines(); ++machine)
    machines.insert(machine);
  for (sync(machines); firstFree(); sync(machines))
    arriveOrLose(machines);
}

void Script::settleWithin(const std::set<std::size_t>& among) {
  const auto inside = [&](const std::shared_ptr<const Packet>& packet) {
    const auto from = world.machineOf(packet->message.from);
    const auto to = world.machineOf(packet->message.to);
    return !held.count(packet->hash) && from && to && among.count(*from) && among.count(*to);
  };
  for (sync(among);; sync(among)) {
    const auto next = std::find_if(world.network().begin(), world.network().end(), inside);
    if (next == world.network().end())
      return;
    world.apply({Kind::deliver, 0, 0, (*next)->hash});
  }
}

void Script::settleUnsynced() {
  while (const auto* packet = firstFree())
    world.apply({Kind::deliver, 0, 0, packet->hash});
}

void Script::message(ActionKind kind, std::size_t from, std::size_t to,
                     const std::function<bool(const PeerMessage&)>& fits) {
  world.apply({kind, 0, 0, find(from, to, fits)->hash});
}

void Script::hold(std::size_t from, std::size_t to,
                  const std::function<bool(const PeerMessage&)>& fits) {
  held.insert(find(from, to, fits)->hash);
}

void Script::loseAll() {
  while (const auto* packet = firstFree())
    world.apply({Kind::lose, 0, 0, packet->hash});
}

void Script::campaign(std::size_t machine, const std::set<std::size_t>& among) {
  for (std::size_t other = 0; other < world.machines(); ++other)
    if (other != machine && (among.empty() || among.count(other)) &&
        !world.node(other).raft.leads() && !world.node(other).raft.blank())
      step(Kind::silence, other);
  step(Kind::timeOut, machine);
}

void Script::untilLeads(std::size_t machine, const std::set<std::size_t>& among,
                        const std::function<void()>& deliver) {
  constexpr int tries = 3;  // an old leader steps down first; one behind is told by how far
  for (int attempt = 0; attempt == 0 || !world.node(machine).raft.leads(); ++attempt) {
    if (attempt == tries)
      throw std::logic_error("script: not elected");
    campaign(machine, among);
    deliver();
  }
}

void Script::elect(std::size_t machine, const std::set<std::size_t>& among) {
  untilLeads(machine, among, [&] { settle(among); });
}

void Script::electUnheard(std::size_t machine, const std::set<std::size_t>& among) {
  untilLeads(machine, among, [&] {
    for (sync(among); !world.node(machine).raft.leads() && firstFree(); sync(among))
      arriveOrLose(among);
  });
  loseAll();
}

void Script::spread(std::size_t leader, const std::set<std::size_t>& among) {
  constexpr int rounds = 3;  // the entries, the commit index, and a round more for a late joiner
  for (int round = 0; round < rounds; ++round) {
    step(Kind::heartbeat, leader);
    settle(among);
  }
}

std::size_t Script::placeOf(std::size_t leader, std::size_t machine) const {
  const auto& members = world.node(leader).raft.members();
  const auto found = std::find_if(members.begin(), members.end(), [&](const Member& member) {
    return member.id == world.node(machine).self.id;
  });
  return std::size_t(found - members.begin());
}

}  // namespace aniseline::model
