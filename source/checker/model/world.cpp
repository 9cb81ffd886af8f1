#include "checker/model/world.hpp"

#include "checker/model/describe.hpp"
#include "checker/model/step_judge.hpp"

namespace aniseline::model {

namespace {

// Five of the longest election times: past it a leader stops waiting for late readings, a candidate
// asks again, and a learner asks whether it is still one (2 s).
Duration pastEveryTimeOut(const RaftOptions& options) {
  return Duration{5 * options.electionHigh.milliseconds + 1};
}

std::string letter(std::size_t machine) {
  return std::string(1, char('a' + machine));
}

const Member* memberIn(const Members& members, const ControllerId& id) {
  for (const auto& member : members)
    if (member.id == id)
      return &member;
  return nullptr;
}

bool beginsLife(ActionKind kind) {
  return kind == ActionKind::restart || kind == ActionKind::restartKept ||
         kind == ActionKind::loseDisk || kind == ActionKind::renew;
}

bool isVoter(const Members& members, const ControllerId& id) {
  const auto* member = memberIn(members, id);
  return member && member->voter;
}

}  // namespace

RaftOptions ModelOptions::discreteRaft() {
  RaftOptions options;
  options.electionLow = options.electionHigh = Duration{500};
  options.keepEntries = 1;  // so that a compacted log is soon behind a follower's
  options.keepBytes = 0;
  return options;
}

Member ModelWorld::memberAt(std::size_t machine, unsigned life) {
  const auto name = letter(machine);
  return Member{ControllerId{name + std::to_string(life)}, Address{name + ":1"}, ZoneName{name},
                false};
}

ModelWorld::ModelWorld(std::shared_ptr<const ModelOptions> given) : options(std::move(given)) {
  Members members;
  for (std::size_t machine = 0; machine < options->voters; ++machine) {
    members.push_back(memberAt(machine, 1));
    members.back().voter = true;
  }
  WriteAheadRecord founding;
  founding.version = DiskVersion{1};
  founding.whole = true;
  founding.term = Term{1};
  founding.first = LogIndex{1};
  founding.entries.push_back(LogEntry{Term{1}, true, pack(members)});
  auto ghost = std::make_shared<Ghost>();
  ghost->commit(founding.entries[0], Term{1});
  for (std::size_t machine = 0; machine < options->machines; ++machine) {
    std::vector<WriteAheadRecord> disk;
    if (machine < options->voters)
      disk.push_back(founding);
    auto node = std::make_shared<ModelNode>(memberAt(machine, 1), options->raft, std::move(disk));
    nodes.push_back({node, node->hash()});
  }
  pastHash = ghost->hash();
  past = std::move(ghost);
}

void ModelWorld::allow(std::shared_ptr<const ModelOptions> from) {
  options = std::move(from);
  used = {};
}

std::uint64_t ModelWorld::hash() const {
  std::uint64_t all = pastHash;
  for (const auto& slot : nodes)
    all = combine(all, slot.hash + slot.life);
  for (const auto& packet : packets)
    all = combine(all, packet->hash);
  for (const auto count : used)
    all = combine(all, count);
  return all;
}

std::optional<std::size_t> ModelWorld::machineOf(const ControllerId& id) const {
  for (std::size_t machine = 0; machine < nodes.size(); ++machine)
    if (nodes[machine].node->self.id == id)
      return machine;
  return std::nullopt;
}

bool ModelWorld::within(ActionKind kind) const {
  const auto limit = options->budget.find(kind);
  return limit == options->budget.end() || used[std::size_t(kind)] < limit->second;
}

std::vector<Action> ModelWorld::enabled() const {
  std::vector<Action> actions;
  std::uint64_t lastSeen = 0;
  for (const auto& packet : packets) {
    if (packet->hash == lastSeen)
      continue;  // two of a kind: either is the same step
    lastSeen = packet->hash;
    for (const auto kind : {ActionKind::deliver, ActionKind::duplicate, ActionKind::lose})
      if (within(kind))
        actions.push_back({kind, 0, 0, packet->hash});
  }
  for (std::size_t machine = 0; machine < nodes.size(); ++machine) {
    addNodeActions(machine, actions);
    if (node(machine).raft.leads())
      addLeaderActions(machine, actions);
  }
  return actions;
}

void ModelWorld::addNodeActions(std::size_t machine, std::vector<Action>& actions) const {
  for (const auto kind : {ActionKind::startWrite, ActionKind::completeWrite, ActionKind::timeOut,
                          ActionKind::silence, ActionKind::restart, ActionKind::restartKept,
                          ActionKind::loseDisk, ActionKind::renew, ActionKind::compact}) {
    const Action action{kind, std::uint8_t(machine)};
    if (can(action))
      actions.push_back(action);
  }
  for (std::size_t other = 0; other < nodes.size(); ++other) {
    const Action action{ActionKind::join, std::uint8_t(machine), std::uint8_t(other)};
    if (can(action))
      actions.push_back(action);
  }
}

void ModelWorld::addLeaderActions(std::size_t machine, std::vector<Action>& actions) const {
  for (const auto kind :
       {ActionKind::heartbeat, ActionKind::propose, ActionKind::read, ActionKind::transfer}) {
    const Action action{kind, std::uint8_t(machine)};
    if (can(action))
      actions.push_back(action);
  }
  // Members by the machine that holds or held them; one whose identity is lost is named by it too.
  for (const auto kind : {ActionKind::removeMember, ActionKind::promote})
    for (std::size_t place = 0; place < node(machine).raft.members().size(); ++place) {
      const Action action{kind, std::uint8_t(machine), std::uint8_t(place)};
      if (can(action))
        actions.push_back(action);
    }
}

bool ModelWorld::can(const Action& action) const {
  if (!within(action.kind))
    return false;
  if (action.packet)
    return find(action.packet) != nullptr;
  const ModelNode& own = node(action.node);
  switch (action.kind) {
    case ActionKind::startWrite:
      return !options->writesAtOnce && !own.writing();
    case ActionKind::completeWrite:
    case ActionKind::restartKept:
      return own.writing();
    case ActionKind::timeOut:
    case ActionKind::restart:
      return true;
    case ActionKind::silence:
      return !own.raft.leads() && !own.raft.blank();
    case ActionKind::loseDisk:
      return !own.raft.blank() && mayLoseDisk(own.self.id);
    case ActionKind::renew:
      return own.raft.removedFromCluster();
    case ActionKind::join:
      return own.raft.blank() && node(action.other).raft.leads();
    case ActionKind::compact:
      return own.raft.commitIndex() > own.raft.snapshot().index;
    default:
      return canLead(action);
  }
}

bool ModelWorld::canLead(const Action& action) const {
  const RaftNode& raft = node(action.node).raft;
  if (!raft.leads())
    return false;
  if (action.kind == ActionKind::heartbeat)
    return true;
  // Whether a change of members may be proposed is for the core to say.
  if (action.kind != ActionKind::removeMember && action.kind != ActionKind::promote)
    return raft.serves();
  if (action.other >= raft.members().size())
    return false;
  const Member& member = raft.members()[action.other];
  if (action.kind == ActionKind::promote)
    return !member.voter;
  return member.id != raft.self().id;  // the controller never puts itself out
}

// No more voters than a membership's quorum can spare, in each membership that is in force
// somewhere.
bool ModelWorld::mayLoseDisk(const ControllerId& id) const {
  std::vector<Members> inForce{past->members()};
  for (const auto& slot : nodes)
    inForce.push_back(slot.node->raft.members());
  for (const auto& members : inForce) {
    std::size_t voters = 0, lost = 0;
    for (const auto& member : members) {
      voters += member.voter;
      lost += member.voter && past->lostDisks.count(member.id);
    }
    if (isVoter(members, id) && lost + 1 > (voters - 1) / 2)
      return false;
  }
  return true;
}

bool ModelWorld::apply(const Action& action) {
  broken.reset();
  if (!can(action))
    return false;
  ++used[std::size_t(action.kind)];
  if (!options->budget.count(action.kind))
    used[std::size_t(action.kind)] = 0;  // what has no bound is not counted
  if (action.kind == ActionKind::lose) {
    take(action.packet);
    return true;
  }
  std::size_t machine = action.node;
  if (action.packet)
    machine = *receiver(find(action.packet)->message);
  const auto before = nodes[machine].node;
  auto after = std::make_shared<ModelNode>(*before);
  auto ghost = std::make_shared<Ghost>(*past);
  if (action.kind == ActionKind::loseDisk || action.kind == ActionKind::renew)
    beginAnew(machine, *after, *ghost);
  else
    act(action, *after, *ghost);
  runEffects(*after, *ghost, *before, beginsLife(action.kind));
  nodes[machine].hash = after->hash();
  nodes[machine].node = std::move(after);
  pastHash = ghost->hash();
  past = std::move(ghost);
  return true;
}

void ModelWorld::act(const Action& action, ModelNode& node, Ghost& ghost) {
  const RaftOptions& raft = options->raft;
  switch (action.kind) {
    case ActionKind::deliver:
    case ActionKind::duplicate:
      return deliver(action, node);
    case ActionKind::startWrite:
      node.startWrite();
      return;
    case ActionKind::completeWrite:
      return completeWrite(node);
    case ActionKind::heartbeat:
      node.advance(raft.heartbeat);
      return node.tick();
    case ActionKind::timeOut:
      node.advance(pastEveryTimeOut(raft));
      return node.tick();
    case ActionKind::silence:
      return node.advance(raft.electionLow);
    case ActionKind::restart:
    case ActionKind::restartKept:
      std::erase_if(ghost.reads, [&](const auto& read) { return read.reader == node.self.id; });
      return node.restart(raft, action.kind == ActionKind::restartKept, options->tamper.oldDisk);
    case ActionKind::compact:
      return node.raft.compact(node.raft.commitIndex(),
                               std::to_string(ghost.digestAt(node.raft.commitIndex())));
    case ActionKind::join:
      node.raft.join(this->node(action.other).self.peer);
      node.advance(pastEveryTimeOut(raft));
      return node.tick();
    default:
      return actOnCluster(action, node, ghost);
  }
}

void ModelWorld::completeWrite(ModelNode& node) const {
  if (options->tamper.diskLies)
    node.pretendWrite();
  else
    node.completeWrite();
  node.openLeadership();
}

void ModelWorld::actOnCluster(const Action& action, ModelNode& node, Ghost& ghost) {
  Members members = node.raft.members();
  switch (action.kind) {
    case ActionKind::propose:
      node.raft.propose(node.payload("value"), node.now());
      break;
    case ActionKind::read:
      beginRead(node, ghost);
      break;
    case ActionKind::removeMember:
      members.erase(members.begin() + action.other);
      node.raft.proposeMembers(members, node.now());
      break;
    case ActionKind::promote:
      members[action.other].voter = true;
      node.raft.proposeMembers(members, node.now());
      break;
    case ActionKind::transfer:
      return node.raft.transferLeadership(node.now());
    default:
      return;
  }
  node.tick();  // what was proposed leaves at once
}

void ModelWorld::beginRead(ModelNode& node, Ghost& ghost) const {
  PendingRead read;
  read.reader = node.self.id;
  read.term = node.raft.term();
  read.round = node.raft.startRound(node.now());
  read.barrier = node.raft.last();
  read.floor = ghost.last();
  ghost.reads.push_back(read);
}

void ModelWorld::deliver(const Action& action, ModelNode& node) {
  const PeerMessage message = find(action.packet)->message;
  if (action.kind == ActionKind::deliver)
    take(action.packet);
  node.raft.receive(message, node.now());
}

void ModelWorld::beginAnew(std::size_t machine, ModelNode& node, Ghost& ghost) {
  const ControllerId old = node.self.id;
  ghost.lostDisks[old] = node.image;
  std::erase_if(ghost.reads, [&](const auto& read) { return read.reader == old; });
  std::erase_if(packets, [&](const auto& packet) { return packet->message.to == old; });
  ++nodes[machine].life;
  node = ModelNode(memberAt(machine, nodes[machine].life), options->raft, {});
}

void ModelWorld::runEffects(ModelNode& node, Ghost& ghost, const ModelNode& before,
                            bool restarted) {
  node.openLeadership();
  if (options->tamper.node)
    options->tamper.node(node.raft);
  node.raft.takeInstalled();
  if (options->writesAtOnce)
    node.startWrite();
  while (options->disksAtOnce && (node.writing() || node.startWrite()))
    completeWrite(node);
  StepJudge judge(*this, before, node, ghost, options->outcomesOnly, restarted);
  for (auto& message : node.raft.takeMessages()) {
    judge.sent(message);
    if (options->tamper.message)
      options->tamper.message(message);
    put(std::move(message));
  }
  judge.state();
  broken = judge.verdict();
}

std::optional<std::size_t> ModelWorld::receiver(const PeerMessage& message) const {
  if (message.body.type() != typeid(Join))
    return machineOf(message.to);
  for (std::size_t machine = 0; machine < nodes.size(); ++machine)
    if (node(machine).self.peer == message.toAddress)
      return machine;
  return std::nullopt;
}

void ModelWorld::put(PeerMessage message) {
  if (!receiver(message))
    return;  // nobody has this identity any more
  // Calendar clocks are no part of this model.
  if (auto* reply = boost::get<AppendEntriesReply>(&message.body))
    reply->wall = WallTime{};
  if (auto* reply = boost::get<InstallSnapshotReply>(&message.body))
    reply->wall = WallTime{};
  if (auto* reply = boost::get<AppendEntryChunkReply>(&message.body))
    reply->wall = WallTime{};
  const auto hash = hashOf(pack(message));
  const auto place =
      std::upper_bound(packets.begin(), packets.end(), hash,
                       [](std::uint64_t value, const auto& other) { return value < other->hash; });
  packets.insert(place, std::make_shared<const Packet>(Packet{std::move(message), hash}));
}

const Packet* ModelWorld::find(std::uint64_t hash) const {
  for (const auto& packet : packets)
    if (packet->hash == hash)
      return packet.get();
  return nullptr;
}

void ModelWorld::take(std::uint64_t hash) {
  const auto place = std::find_if(packets.begin(), packets.end(),
                                  [&](const auto& packet) { return packet->hash == hash; });
  packets.erase(place);
}

std::string ModelWorld::describe(const Action& action) const {
  std::string text = name(action.kind);
  if (action.packet) {
    const auto* packet = find(action.packet);
    return text + " " + (packet ? model::describe(packet->message) : "what is not there");
  }
  const ModelNode& own = node(action.node);
  text += " " + own.self.id.value;
  if (action.kind == ActionKind::join)
    return text + " asks " + node(action.other).self.id.value;
  if (action.kind == ActionKind::removeMember || action.kind == ActionKind::promote)
    if (action.other < own.raft.members().size())
      text += ": " + own.raft.members()[action.other].id.value;
  return text;
}

}  // namespace aniseline::model
