// A cluster of controllers that exchange messages in memory and keep their disk records, for tests
// of responses across leader changes, restarts and partitions.
#ifndef ANISELINE_TESTS_CONTROLLER_CONTROLLER_CLUSTER_HPP
#define ANISELINE_TESTS_CONTROLLER_CONTROLLER_CLUSTER_HPP
#include "controller/controller.hpp"

namespace aniseline {

class ControllerCluster {
 public:
  // Creates a cluster with this number of voters, followed by this number of learners.
  explicit ControllerCluster(std::size_t voters, std::size_t learners = 0,
                             ControllerOptions initialOptions = {})
      : options(initialOptions) {
    options.voterCount = voters;
    Membership members;
    for (std::size_t index = 0; index < voters + learners; ++index)
      members.push_back(memberAt(index, index < voters));
    WriteAheadRecord initialRecord;
    initialRecord.version = DiskVersion{1};
    initialRecord.holdsSnapshot = true;
    initialRecord.term = Term{1};
    initialRecord.snapshot = Snapshot{LogIndex{1}, Term{1}, members, pack(ClusterState{})};
    initialRecord.firstIndex = LogIndex{2};
    nodes.resize(members.size());
    for (std::size_t index = 0; index < nodes.size(); ++index) {
      nodes[index].disk = {initialRecord};
      start(index);
    }
    run(3000);
  }

  std::size_t size() const { return nodes.size(); }
  Controller& controller(std::size_t index) { return *nodes[index].core; }
  // Returns the index of the serving leader; if there are several, the one with the latest term.
  // Returns size() if there is none.
  std::size_t leader() const {
    std::size_t found = nodes.size();
    for (std::size_t index = 0; index < nodes.size(); ++index) {
      const auto& core = nodes[index].core;
      if (core && core->raftNode().canServe() &&
          (found == nodes.size() || core->raftNode().term() > nodes[found].core->raftNode().term()))
        found = index;
    }
    return found;
  }
  void start(std::size_t index) {
    Node& node = nodes[index];
    node.core = std::make_unique<Controller>(memberAt(index, false), options, index + 1, node.disk,
                                             MonotonicTime{now});
  }
  void kill(std::size_t index) { nodes[index].core.reset(); }
  void setPartitioned(std::size_t index, bool isPartitioned) {
    nodes[index].partitioned = isPartitioned;
  }

  // Sets the calendar clocks of all machines ahead by this many milliseconds.
  void setWallClockAhead(std::int64_t milliseconds) { wallClockAhead = milliseconds; }

  void run(std::int64_t span) {
    for (const std::int64_t end = now + span; now < end; now += 10)
      for (auto& node : nodes)
        if (node.core)
          step(node);
  }
  RequestNumber submit(std::size_t index, const ApiRequest& request) {
    const RequestNumber number{++lastRequest};
    controller(index).submitRequest(number, request, MonotonicTime{now});
    return number;
  }
  // Returns nothing while there is no response yet.
  std::optional<ApiResponse> response(RequestNumber number) const {
    const auto found = responses.find(number);
    return found == responses.end() ? std::nullopt : std::optional(found->second);
  }
  // Submits a request to the leader and waits for its response.
  ApiResponse askLeader(const ApiRequest& request) {
    for (int attempts = 0; leader() == nodes.size() && attempts < 100; ++attempts)
      run(100);
    const RequestNumber number = submit(leader(), request);
    for (int attempts = 0; !responses.count(number) && attempts < 500; ++attempts)
      run(10);
    return responses.at(number);
  }

 private:
  struct Node {
    std::unique_ptr<Controller> core;
    std::vector<WriteAheadRecord> disk;
    bool partitioned = false;
  };
  static Member memberAt(std::size_t index, bool voter) {
    const std::string name = "c" + std::to_string(index);
    return Member{ControllerId{name}, Address{name + ":1"}, ZoneName{name}, voter};
  }
  void step(Node& node) {
    Controller& core = *node.core;
    core.step(MonotonicTime{now}, WallTime{now + wallClockAhead});
    while (auto record = core.takeWrite()) {
      const DiskVersion version = record->version;
      if (record->holdsSnapshot)
        node.disk.clear();
      node.disk.push_back(std::move(*record));
      core.onRecordSynced(version, MonotonicTime{now});
    }
    if (auto work = core.takeSnapshotWork())
      core.onSnapshotPacked(packSnapshot(*work));
    for (const auto& message : core.takeMessages())
      deliver(node, message);
    for (auto& [number, apiResponse] : core.takeResponses())
      responses[number] = std::move(apiResponse);
  }
  void deliver(const Node& from, const PeerMessage& message) {
    for (auto& to : nodes)
      if (to.core && !from.partitioned && !to.partitioned &&
          to.core->raftNode().self().address == message.toAddress)
        to.core->receive(message, MonotonicTime{now});
  }

  ControllerOptions options;
  std::vector<Node> nodes;
  std::map<RequestNumber, ApiResponse> responses;
  std::uint64_t lastRequest = 0;
  std::int64_t now = 1000;
  std::int64_t wallClockAhead = 0;
};

}  // namespace aniseline

#endif  // ANISELINE_TESTS_CONTROLLER_CONTROLLER_CLUSTER_HPP
