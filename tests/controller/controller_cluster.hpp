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
                             ControllerOptions given = {})
      : options(given) {
    options.voterCount = voters;
    Membership members;
    for (std::size_t place = 0; place < voters + learners; ++place)
      members.push_back(memberAt(place, place < voters));
    WriteAheadRecord founding;
    founding.version = DiskVersion{1};
    founding.holdsSnapshot = true;
    founding.term = Term{1};
    founding.snapshot = Snapshot{LogIndex{1}, Term{1}, members, pack(ClusterState{})};
    founding.firstIndex = LogIndex{2};
    nodes.resize(members.size());
    for (std::size_t place = 0; place < nodes.size(); ++place) {
      nodes[place].disk = {founding};
      start(place);
    }
    run(3000);
  }

  std::size_t size() const { return nodes.size(); }
  Controller& controller(std::size_t place) { return *nodes[place].core; }
  // Returns the index of the serving leader; if there are several, the one with the latest term.
  // Returns size() if there is none.
  std::size_t leader() const {
    std::size_t found = nodes.size();
    for (std::size_t place = 0; place < nodes.size(); ++place) {
      const auto& core = nodes[place].core;
      if (core && core->raftNode().canServe() &&
          (found == nodes.size() || core->raftNode().term() > nodes[found].core->raftNode().term()))
        found = place;
    }
    return found;
  }
  void start(std::size_t place) {
    Node& node = nodes[place];
    node.writer = SnapshotWriter{};
    node.core = std::make_unique<Controller>(memberAt(place, false), options, place + 1, node.disk,
                                             MonotonicTime{now});
  }
  void kill(std::size_t place) { nodes[place].core.reset(); }
  void setPartitioned(std::size_t place, bool isCut) { nodes[place].partitioned = isCut; }

  void run(std::int64_t span) {
    for (const std::int64_t end = now + span; now < end; now += 10)
      for (auto& node : nodes)
        if (node.core)
          step(node);
  }
  RequestNumber submit(std::size_t place, const ApiRequest& request) {
    const RequestNumber number{++lastRequest};
    controller(place).submitRequest(number, request, MonotonicTime{now});
    return number;
  }
  // Returns nothing while there is no response yet.
  std::optional<ApiResponse> response(RequestNumber number) const {
    const auto found = responses.find(number);
    return found == responses.end() ? std::nullopt : std::optional(found->second);
  }
  // Submits a request to the leader and waits for its response.
  ApiResponse askLeader(const ApiRequest& request) {
    for (int tries = 0; leader() == nodes.size() && tries < 100; ++tries)
      run(100);
    const RequestNumber number = submit(leader(), request);
    for (int tries = 0; !responses.count(number) && tries < 500; ++tries)
      run(10);
    return responses.at(number);
  }

 private:
  struct Node {
    std::unique_ptr<Controller> core;
    std::vector<WriteAheadRecord> disk;
    SnapshotWriter writer;
    bool partitioned = false;
  };
  static Member memberAt(std::size_t place, bool voter) {
    const std::string name = "c" + std::to_string(place);
    return Member{ControllerId{name}, Address{name + ":1"}, ZoneName{name}, voter};
  }
  void step(Node& node) {
    Controller& core = *node.core;
    core.step(MonotonicTime{now}, WallTime{now});
    while (auto record = core.takeWrite()) {
      const DiskVersion version = record->version;
      if (record->holdsSnapshot)
        node.disk.clear();
      node.disk.push_back(std::move(*record));
      core.onRecordSynced(version, MonotonicTime{now});
    }
    if (auto work = core.takeSnapshotWork(); !work.empty())
      if (auto view = node.writer.process(work))
        core.onSnapshotPacked(std::move(*view));
    for (const auto& message : core.takeMessages())
      deliver(node, message);
    for (auto& [number, given] : core.takeResponses())
      responses[number] = std::move(given);
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
};

}  // namespace aniseline

#endif  // ANISELINE_TESTS_CONTROLLER_CONTROLLER_CLUSTER_HPP
