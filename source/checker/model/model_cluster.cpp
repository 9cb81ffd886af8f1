// Implements the actions of the model and when each is enabled.
#include "checker/model/model_cluster.hpp"

#include "checker/model/describe.hpp"
#include "checker/model/step_invariants.hpp"

namespace aniseline::model {

namespace {

// Five of the longest election timeouts. After this time a leader that was paused no longer waits
// for unread messages, a candidate requests votes again, and a learner asks whether it is still a
// member (2 s).
Duration beyondAllTimeouts(const RaftOptions& options) {
  return Duration{5 * options.electionTimeoutMax.milliseconds + 1};
}

std::string machineName(std::size_t machine) {
  return std::string(1, char('a' + machine));
}

const Member* findMemberById(const Membership& members, const ControllerId& id) {
  for (const auto& member : members)
    if (member.id == id)
      return &member;
  return nullptr;
}

bool startsNewProcess(ActionKind kind) {
  return kind == ActionKind::restart || kind == ActionKind::restartKeepingWrite ||
         kind == ActionKind::loseDisk || kind == ActionKind::rejoinAsNewMember;
}

bool isVoter(const Membership& members, const ControllerId& id) {
  const auto* member = findMemberById(members, id);
  return member && member->voter;
}

}  // namespace

RaftOptions ModelOptions::discreteRaftOptions() {
  RaftOptions options;
  options.electionTimeoutMin = options.electionTimeoutMax = Duration{500};
  options.retainedEntries = 1;  // so that a follower soon needs entries that were compacted
  options.maxRetainedBytes = 0;
  return options;
}

Member ModelCluster::memberAt(std::size_t machine, unsigned instance) {
  const auto name = machineName(machine);
  return Member{ControllerId{name + std::to_string(instance)}, Address{name + ":1"}, ZoneName{name},
                false};
}

ModelCluster::ModelCluster(std::shared_ptr<const ModelOptions> given) : options(std::move(given)) {
  Membership members;
  for (std::size_t machine = 0; machine < options->voters; ++machine) {
    members.push_back(memberAt(machine, 1));
    members.back().voter = true;
  }
  WriteAheadRecord bootstrapRecord;
  bootstrapRecord.version = DiskVersion{1};
  bootstrapRecord.holdsSnapshot = true;
  bootstrapRecord.term = Term{1};
  bootstrapRecord.firstIndex = LogIndex{1};
  bootstrapRecord.entries.push_back(LogEntry{Term{1}, true, pack(members)});
  auto history = std::make_shared<HistoryVariables>();
  history->commit(bootstrapRecord.entries[0], Term{1});
  for (std::size_t machine = 0; machine < options->machines; ++machine) {
    std::vector<WriteAheadRecord> disk;
    if (machine < options->voters)
      disk.push_back(bootstrapRecord);
    auto node = std::make_shared<ModelNode>(memberAt(machine, 1), options->raft, std::move(disk));
    nodes.push_back({node, node->hash()});
  }
  historyHash = history->hash();
  currentHistory = std::move(history);
}

void ModelCluster::setOptions(std::shared_ptr<const ModelOptions> from) {
  options = std::move(from);
  actionCounts = {};
}

std::uint64_t ModelCluster::hash() const {
  std::uint64_t all = historyHash;
  for (const auto& slot : nodes)
    all = combineHashes(all, slot.hash + slot.incarnation);
  for (const auto& packet : packets)
    all = combineHashes(all, packet->hash);
  for (const auto count : actionCounts)
    all = combineHashes(all, count);
  return all;
}

std::optional<std::size_t> ModelCluster::machineOf(const ControllerId& id) const {
  for (std::size_t machine = 0; machine < nodes.size(); ++machine)
    if (nodes[machine].node->self.id == id)
      return machine;
  return std::nullopt;
}

bool ModelCluster::withinBudget(ActionKind kind) const {
  const auto limit = options->budget.find(kind);
  return limit == options->budget.end() || actionCounts[std::size_t(kind)] < limit->second;
}

std::vector<Action> ModelCluster::enabledActions() const {
  std::vector<Action> actions;
  std::uint64_t lastSeen = 0;
  for (const auto& packet : packets) {
    if (packet->hash == lastSeen)
      continue;  // identical messages lead to the same state
    lastSeen = packet->hash;
    for (const auto kind : {ActionKind::deliver, ActionKind::duplicate, ActionKind::drop})
      if (withinBudget(kind))
        actions.push_back({kind, 0, 0, packet->hash});
  }
  for (std::size_t machine = 0; machine < nodes.size(); ++machine) {
    addNodeActions(machine, actions);
    if (node(machine).raft.isLeader())
      addLeaderActions(machine, actions);
  }
  return actions;
}

void ModelCluster::addNodeActions(std::size_t machine, std::vector<Action>& actions) const {
  for (const auto kind :
       {ActionKind::startWrite, ActionKind::completeWrite, ActionKind::electionTimeout,
        ActionKind::leaderSilence, ActionKind::restart, ActionKind::restartKeepingWrite,
        ActionKind::loseDisk, ActionKind::rejoinAsNewMember, ActionKind::compact}) {
    const Action action{kind, std::uint8_t(machine)};
    if (isEnabled(action))
      actions.push_back(action);
  }
  for (std::size_t other = 0; other < nodes.size(); ++other) {
    const Action action{ActionKind::join, std::uint8_t(machine), std::uint8_t(other)};
    if (isEnabled(action))
      actions.push_back(action);
  }
}

void ModelCluster::addLeaderActions(std::size_t machine, std::vector<Action>& actions) const {
  for (const auto kind : {ActionKind::heartbeat, ActionKind::propose, ActionKind::read,
                          ActionKind::transferLeadership}) {
    const Action action{kind, std::uint8_t(machine)};
    if (isEnabled(action))
      actions.push_back(action);
  }
  // Members are addressed by their index, because an identity that was lost has no machine any
  // more.
  for (const auto kind : {ActionKind::removeMember, ActionKind::promote})
    for (std::size_t index = 0; index < node(machine).raft.membership().size(); ++index) {
      const Action action{kind, std::uint8_t(machine), std::uint8_t(index)};
      if (isEnabled(action))
        actions.push_back(action);
    }
}

bool ModelCluster::isEnabled(const Action& action) const {
  if (!withinBudget(action.kind))
    return false;
  if (action.packetHash)
    return findPacket(action.packetHash) != nullptr;
  const ModelNode& own = node(action.machine);
  switch (action.kind) {
    case ActionKind::startWrite:
      return !options->writeImmediately && !own.writing();
    case ActionKind::completeWrite:
    case ActionKind::restartKeepingWrite:
      return own.writing();
    case ActionKind::electionTimeout:
    case ActionKind::restart:
      return true;
    case ActionKind::leaderSilence:
      return !own.raft.isLeader() && !own.raft.isBlank();
    case ActionKind::loseDisk:
      return !own.raft.isBlank() && mayLoseDisk(own.self.id);
    case ActionKind::rejoinAsNewMember:
      return own.raft.removedFromCluster();
    case ActionKind::join:
      return own.raft.isBlank() && node(action.target).raft.isLeader();
    case ActionKind::compact:
      return own.raft.commitIndex() > own.raft.snapshot().lastIncludedIndex;
    default:
      return isEnabledForLeader(action);
  }
}

bool ModelCluster::isEnabledForLeader(const Action& action) const {
  const RaftNode& raft = node(action.machine).raft;
  if (!raft.isLeader())
    return false;
  if (action.kind == ActionKind::heartbeat)
    return true;
  // RaftNode decides whether a membership change may be proposed.
  if (action.kind != ActionKind::removeMember && action.kind != ActionKind::promote)
    return raft.canServe();
  if (action.target >= raft.membership().size())
    return false;
  const Member& member = raft.membership()[action.target];
  if (action.kind == ActionKind::promote)
    return !member.voter;
  return member.id != raft.self().id;  // a controller never removes itself
}

// Reports whether this node may lose its disk: in each membership that is in force somewhere, the
// number of lost voters must stay within what its quorum tolerates.
bool ModelCluster::mayLoseDisk(const ControllerId& id) const {
  std::vector<Membership> inForce{currentHistory->committedMembers()};
  for (const auto& slot : nodes)
    inForce.push_back(slot.node->raft.membership());
  for (const auto& members : inForce) {
    std::size_t voters = 0, lost = 0;
    for (const auto& member : members) {
      voters += member.voter;
      lost += member.voter && currentHistory->lostDisks.count(member.id);
    }
    if (isVoter(members, id) && lost + 1 > (voters - 1) / 2)
      return false;
  }
  return true;
}

bool ModelCluster::apply(const Action& action) {
  brokenRule.reset();
  if (!isEnabled(action))
    return false;
  ++actionCounts[std::size_t(action.kind)];
  if (!options->budget.count(action.kind))
    actionCounts[std::size_t(action.kind)] = 0;  // actions without a limit are not counted
  if (action.kind == ActionKind::drop) {
    removePacket(action.packetHash);
    return true;
  }
  std::size_t machine = action.machine;
  if (action.packetHash)
    machine = *recipientOf(findPacket(action.packetHash)->message);
  const auto before = nodes[machine].node;
  auto after = std::make_shared<ModelNode>(*before);
  auto historyVariables = std::make_shared<HistoryVariables>(*currentHistory);
  if (action.kind == ActionKind::loseDisk || action.kind == ActionKind::rejoinAsNewMember)
    replaceIdentity(machine, *after, *historyVariables);
  else
    performAction(action, *after, *historyVariables);
  runEffects(*after, *historyVariables, *before, startsNewProcess(action.kind));
  nodes[machine].hash = after->hash();
  nodes[machine].node = std::move(after);
  historyHash = historyVariables->hash();
  currentHistory = std::move(historyVariables);
  return true;
}

void ModelCluster::performAction(const Action& action, ModelNode& node,
                                 HistoryVariables& historyVariables) {
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
      node.advanceClock(raft.heartbeatInterval);
      return node.tick();
    case ActionKind::electionTimeout:
      node.advanceClock(beyondAllTimeouts(raft));
      return node.tick();
    case ActionKind::leaderSilence:
      return node.advanceClock(raft.electionTimeoutMin);
    case ActionKind::restart:
    case ActionKind::restartKeepingWrite:
      std::erase_if(historyVariables.pendingReads,
                    [&](const auto& read) { return read.reader == node.self.id; });
      return node.restart(raft, action.kind == ActionKind::restartKeepingWrite,
                          options->seededDefect.restartsFromOldDisk);
    case ActionKind::compact:
      return node.raft.compact(node.raft.commitIndex(),
                               std::to_string(historyVariables.digestAt(node.raft.commitIndex())));
    case ActionKind::join:
      node.raft.setJoinAddress(this->node(action.target).self.address);
      node.advanceClock(beyondAllTimeouts(raft));
      return node.tick();
    default:
      return performLeaderAction(action, node, historyVariables);
  }
}

void ModelCluster::completeWrite(ModelNode& node) const {
  if (options->seededDefect.acknowledgesUnsyncedWrites)
    node.acknowledgeWithoutWriting();
  else
    node.completeWrite();
  node.proposeOpeningEntry();
}

void ModelCluster::performLeaderAction(const Action& action, ModelNode& node,
                                       HistoryVariables& historyVariables) {
  Membership members = node.raft.membership();
  switch (action.kind) {
    case ActionKind::propose:
      node.raft.propose(node.uniquePayload("value"), node.now());
      break;
    case ActionKind::read:
      beginRead(node, historyVariables);
      break;
    case ActionKind::removeMember:
      members.erase(members.begin() + action.target);
      node.raft.proposeMembership(members, node.now());
      break;
    case ActionKind::promote:
      members[action.target].voter = true;
      node.raft.proposeMembership(members, node.now());
      break;
    case ActionKind::transferLeadership:
      return node.raft.transferLeadership(node.now());
    default:
      return;
  }
  node.tick();  // sends the proposed entries immediately
}

void ModelCluster::beginRead(ModelNode& node, HistoryVariables& historyVariables) const {
  PendingRead read;
  read.reader = node.self.id;
  read.term = node.raft.term();
  read.round = node.raft.startRound(node.now());
  read.lastIndexAtStart = node.raft.lastIndex();
  read.committedAtStart = historyVariables.lastIndex();
  historyVariables.pendingReads.push_back(read);
}

void ModelCluster::deliver(const Action& action, ModelNode& node) {
  const PeerMessage message = findPacket(action.packetHash)->message;
  if (action.kind == ActionKind::deliver)
    removePacket(action.packetHash);
  node.raft.receive(message, node.now());
}

void ModelCluster::replaceIdentity(std::size_t machine, ModelNode& node,
                                   HistoryVariables& historyVariables) {
  const ControllerId old = node.self.id;
  historyVariables.lostDisks[old] = node.diskImage;
  std::erase_if(historyVariables.pendingReads,
                [&](const auto& read) { return read.reader == old; });
  std::erase_if(packets, [&](const auto& packet) { return packet->message.to == old; });
  ++nodes[machine].incarnation;
  node = ModelNode(memberAt(machine, nodes[machine].incarnation), options->raft, {});
}

void ModelCluster::runEffects(ModelNode& node, HistoryVariables& historyVariables,
                              const ModelNode& before, bool restarted) {
  node.proposeOpeningEntry();
  if (options->seededDefect.mutateNode)
    options->seededDefect.mutateNode(node.raft);
  node.raft.takeSnapshotInstalled();
  if (options->writeImmediately)
    node.startWrite();
  while (options->syncImmediately && (node.writing() || node.startWrite()))
    completeWrite(node);
  StepInvariantChecker checker(*this, before, node, historyVariables, options->outcomesOnly,
                               restarted);
  for (auto& message : node.raft.takeMessages()) {
    checker.checkSentMessage(message);
    if (options->seededDefect.mutateMessage)
      options->seededDefect.mutateMessage(message);
    send(std::move(message));
  }
  checker.checkState();
  brokenRule = checker.violation();
}

std::optional<std::size_t> ModelCluster::recipientOf(const PeerMessage& message) const {
  if (message.body.type() != typeid(JoinRequest))
    return machineOf(message.to);
  for (std::size_t machine = 0; machine < nodes.size(); ++machine)
    if (node(machine).self.address == message.toAddress)
      return machine;
  return std::nullopt;
}

void ModelCluster::send(PeerMessage message) {
  if (!recipientOf(message))
    return;  // no machine has this identity any more
  // Wall clocks are not part of this model.
  if (auto* reply = boost::get<AppendEntriesReply>(&message.body))
    reply->wallTime = WallTime{};
  if (auto* reply = boost::get<InstallSnapshotReply>(&message.body))
    reply->wallTime = WallTime{};
  if (auto* reply = boost::get<AppendEntryChunkReply>(&message.body))
    reply->wallTime = WallTime{};
  const auto hash = hashOf(pack(message));
  const auto index =
      std::upper_bound(packets.begin(), packets.end(), hash,
                       [](std::uint64_t value, const auto& other) { return value < other->hash; });
  packets.insert(index, std::make_shared<const Packet>(Packet{std::move(message), hash}));
}

const Packet* ModelCluster::findPacket(std::uint64_t hash) const {
  for (const auto& packet : packets)
    if (packet->hash == hash)
      return packet.get();
  return nullptr;
}

void ModelCluster::removePacket(std::uint64_t hash) {
  const auto index = std::find_if(packets.begin(), packets.end(),
                                  [&](const auto& packet) { return packet->hash == hash; });
  packets.erase(index);
}

std::string ModelCluster::describe(const Action& action) const {
  std::string text = name(action.kind);
  if (action.packetHash) {
    const auto* packet = findPacket(action.packetHash);
    return text + " " +
           (packet ? model::describe(packet->message) : "a message that is not in flight");
  }
  const ModelNode& own = node(action.machine);
  text += " " + own.self.id.value;
  if (action.kind == ActionKind::join)
    return text + " asks " + node(action.target).self.id.value;
  if (action.kind == ActionKind::removeMember || action.kind == ActionKind::promote)
    if (action.target < own.raft.membership().size())
      text += ": " + own.raft.membership()[action.target].id.value;
  return text;
}

}  // namespace aniseline::model
