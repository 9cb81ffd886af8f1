// Raft nodes in virtual time, connected by links with a configurable bandwidth. Messages on a link
// are queued in order, as on one TCP connection. Disconnecting a node drops its messages in flight.
#ifndef ANISELINE_TESTS_RAFT_NODE_LINKS_HPP
#define ANISELINE_TESTS_RAFT_NODE_LINKS_HPP
#include "raft/node.hpp"

#include <functional>

namespace aniseline {

class NodeLinks {
 public:
  static constexpr std::int64_t tickInterval = 10;      // milliseconds
  static constexpr std::int64_t propagationDelay = 15;  // one-way delay in milliseconds

  // Returns the transmission time of a message in milliseconds. 0 means unlimited bandwidth.
  std::function<std::int64_t(const PeerMessage&)> transmissionTime = [](const PeerMessage&) {
    return 0;
  };
  // Called before each delivery of a message.
  std::function<void(const PeerMessage&)> onDelivery = [](const PeerMessage&) {
  };
  // May modify a message before it is delivered.
  std::function<void(PeerMessage&)> corrupt = [](PeerMessage&) {
  };
  std::size_t snapshotBytes = 8 * 1024 * 1024;  // same as ControllerOptions::snapshotBytes
  std::size_t stateBytes = 1000;
  std::int64_t now = 0;
  RaftOptions options;
  Membership members;
  std::map<ControllerId, std::unique_ptr<RaftNode>> nodes;
  std::map<ControllerId, std::vector<WriteAheadRecord>> disks;
  std::set<ControllerId> disconnected, stopped;
  std::size_t peakRetainedBytes = 0;

  explicit NodeLinks(std::size_t voters, RaftOptions options = {}) : options(options) {
    for (std::size_t memberIndex = 0; memberIndex < voters; ++memberIndex) {
      const std::string name(1, char('a' + memberIndex));
      members.push_back({ControllerId{name}, Address{name + ":1"}, ZoneName{name}, true});
    }
    WriteAheadRecord initialRecord;
    initialRecord.version = DiskVersion{1};
    initialRecord.holdsSnapshot = true;
    initialRecord.term = Term{1};
    initialRecord.firstIndex = LogIndex{1};
    initialRecord.entries.push_back({Term{1}, true, pack(members)});
    for (const auto& member : members) {
      disks[member.id] = {initialRecord};
      startNode(member.id);
    }
  }

  void startNode(const ControllerId& id) {
    for (const auto& member : members)
      if (member.id == id)
        nodes[id] =
            std::make_unique<RaftNode>(member, options, ++seed, disks[id], MonotonicTime{now});
    stopped.erase(id);
  }
  // Stops a node. Loses its unwritten state and all messages in flight to and from it.
  void stopNode(const ControllerId& id) {
    stopped.insert(id);
    dropMessagesInFlight(id);
  }
  void setDisconnected(const ControllerId& id, bool isDisconnected) {
    if (!isDisconnected)
      disconnected.erase(id);
    else if (disconnected.insert(id).second)
      dropMessagesInFlight(id);
  }

  RaftNode* leader() {
    RaftNode* found = nullptr;
    for (const auto& [id, node] : nodes)
      if (!stopped.count(id) && node->isLeader() && (!found || node->term() > found->term()))
        found = node.get();
    return found;
  }
  RaftNode& node(const char* name) { return *nodes.at(ControllerId{name}); }

  bool runUntil(const std::function<bool()>& condition, std::int64_t timeout) {
    for (const std::int64_t end = now + timeout; now < end;) {
      if (condition())
        return true;
      run(tickInterval);
    }
    return condition();
  }
  void run(std::int64_t duration) {
    for (const std::int64_t end = now + duration; now < end; now += tickInterval)
      advanceOneTick();
  }
  static std::size_t retainedBytes(const RaftNode& node) {
    std::size_t bytes = 0;
    for (LogIndex index = node.logBaseIndex().next(); index <= node.lastIndex();
         index = index.next())
      bytes += node.entry(index).payload.size();
    return bytes;
  }

 private:
  struct InFlightMessage {
    std::int64_t deliverAt;
    PeerMessage message;
  };
  using Link = std::pair<ControllerId, ControllerId>;

  void advanceOneTick() {
    for (auto& [id, node] : nodes) {
      if (stopped.count(id))
        continue;
      node->tick(MonotonicTime{now}, WallTime{now});
      write(id, *node);
      compact(*node);
      for (auto& message : node->takeMessages())
        enqueue(std::move(message));
    }
    for (auto& [link, queue] : links)
      while (!queue.empty() && queue.front().deliverAt <= now) {
        PeerMessage message = std::move(queue.front().message);
        queue.pop_front();
        if (stopped.count(message.to))
          continue;
        corrupt(message);
        onDelivery(message);
        nodes.at(message.to)->receive(message, MonotonicTime{now});
      }
  }
  void write(const ControllerId& id, RaftNode& node) {
    while (auto record = node.takeWrite()) {
      const DiskVersion version = record->version;
      if (record->holdsSnapshot)
        disks[id].clear();
      disks[id].push_back(std::move(*record));
      node.onWriteSynced(version, MonotonicTime{now});
    }
  }
  // Takes snapshots like the controller does, except that serialization takes no time.
  void compact(RaftNode& node) {
    node.takeSnapshotInstalled();
    peakRetainedBytes = std::max(peakRetainedBytes, retainedBytes(node));
    if (node.logBytesSinceSnapshot() < snapshotBytes ||
        node.commitIndex() <= node.snapshot().lastIncludedIndex)
      return;
    std::string state = std::to_string(node.commitIndex().value);
    state.resize(std::max(state.size(), stateBytes), 's');
    node.compact(node.commitIndex(), std::move(state));
  }
  void enqueue(PeerMessage message) {
    if (disconnected.count(message.from) || disconnected.count(message.to) ||
        stopped.count(message.to))
      return;
    const Link link{message.from, message.to};
    std::int64_t& freeAt = linkFreeAt[link];
    freeAt = std::max(freeAt, now) + transmissionTime(message);
    links[link].push_back({freeAt + propagationDelay, std::move(message)});
  }
  void dropMessagesInFlight(const ControllerId& id) {
    for (auto& [link, queue] : links)
      if (link.first == id || link.second == id) {
        queue.clear();
        linkFreeAt[link] = now;
      }
  }
  std::map<Link, std::deque<InFlightMessage>> links;
  std::map<Link, std::int64_t> linkFreeAt;
  std::uint64_t seed = 0;
};

}  // namespace aniseline

#endif  // ANISELINE_TESTS_RAFT_NODE_LINKS_HPP
