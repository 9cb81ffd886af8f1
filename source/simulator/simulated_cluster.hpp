// A whole cluster in virtual time, from one seed: the same core as in the daemons, with a network,
// disks and clocks that fail on purpose. docs/design.md 12.
#ifndef ANISELINE_SIMULATOR_SIMULATED_CLUSTER_HPP
#define ANISELINE_SIMULATOR_SIMULATED_CLUSTER_HPP
#include "gateway/peer_directory.hpp"
#include "gateway/leader_call.hpp"
#include "agent/worker_session.hpp"
#include "agent/node_agent.hpp"
#include "checker/tenant_checker.hpp"
#include "controller/controller.hpp"
#include "state/config_patch.hpp"
#include <queue>

namespace aniseline {

struct SimulatedClusterOptions {
  std::uint64_t seed = 1;
  std::size_t zones = 3, controllers = 3, gateways = 7, workers = 11;
  std::uint32_t cores = 16'000;  // thousandths
  std::uint64_t memory = 32 * 1024;
  std::size_t workersIgnoringLeases = 0;  // workers, from the last on, that do not honour leases
  std::size_t workersNotEnforcingCapacity =
      6;  // workers, from the first on, that do not guard their room
  std::size_t calledWorkers =
      0;  // workers beside these that are called rather than call, each with its agent
  std::size_t workersWithDuplicateId =
      0;                   // workers, from the last on, that wrongly bear the first one's id
  double messageLoss = 0;  // part of the messages between processes
  ControllerOptions controller;
};

class SimulatedCluster {
 public:
  explicit SimulatedCluster(SimulatedClusterOptions options);
  ~SimulatedCluster();

  // Time.
  std::int64_t now = 0;
  static constexpr std::int64_t epochMs = 1'800'000'000'000;  // the true calendar time at virtual 0
  void scheduleAfter(std::int64_t delay, std::function<void()> work);
  void runUntil(std::int64_t time);
  bool runUntilTrue(const std::function<bool()>& condition, std::int64_t within);

  // Faults.
  void killController(std::size_t index, bool losesUnsynced);  // restart brings it back
  void restartController(std::size_t index);
  void setVoters(std::size_t index, std::size_t voters);  // its setting, from its next start on
  void loseDisk(std::size_t index);        // with the kill; the restart is a new identity
  void moveController(std::size_t index);  // its next start is at a new address
  void freezeController(std::size_t index, bool frozen);
  void isolateController(std::size_t index, bool cut);  // from everyone, both ways
  void stallDisk(std::size_t index, std::int64_t milliseconds);
  void slowDisk(std::size_t index, std::int64_t extra);
  std::vector<WriteAheadRecord> copyDisk(std::size_t index) const;
  void replaceDisk(std::size_t index, std::vector<WriteAheadRecord> records);
  void setClockOffset(std::size_t index, std::int64_t wrongBy);
  void setDiskFull(std::size_t index, bool full);  // a write then fails, and the process ends
  void transferLeadership(std::size_t index);
  void killGateway(std::size_t index);
  void restartGateway(std::size_t index);
  void moveGateway(std::size_t index);  // another machine, with another address, in its place
  void freezeGateway(std::size_t index, bool frozen);
  void killWorker(std::size_t index, bool forGood);
  void restartWorker(std::size_t index);
  void reinstateWorker(std::size_t index);  // one that went for good is there again, empty
  void freezeWorker(std::size_t index, bool frozen);
  void isolateWorker(std::size_t index, bool cut);
  void drainWorker(std::size_t index, std::int64_t within);
  void setWorkerBehaviour(std::size_t index, double slow, double fail);
  // Workers that are called, and their agents, by place.
  void killAgent(std::size_t index);
  void restartAgent(std::size_t index);
  void freezeAgent(std::size_t index, bool frozen);
  void isolateAgent(std::size_t index, bool cut);
  void killCalledWorker(std::size_t index);
  void restartCalledWorker(std::size_t index);  // another life
  void drainCalledWorker(std::size_t index, std::int64_t within, std::int64_t awayFor);
  enum class Malfunction : std::uint8_t { none, stalled, rejecting, unresponsive, failing };
  void setCalledWorkerMalfunction(std::size_t index, Malfunction sickness);
  void setOrdersDelayed(std::size_t index,
                        bool delayed);  // calls get no answer and are carried out much later
  std::size_t calledWorkerCount() const { return calledWorkers.size(); }
  void partitionZones(std::size_t from, std::size_t to, bool cut);  // one way
  void healAll();
  // Records in the history that a fault begins or ends.
  void recordFault(const std::string& fault, bool ends);
  // What each process acts on, for the rules of configs.
  void observeConfigs();
  void traceControllers() const;  // what each believes, for whoever looks into a run

  // Callers and operators. The handler is called once, with the answer, or with status 0 if there
  // was none.
  using ResponseHandler = std::function<void(int status, const std::string& body)>;
  void sendRequest(std::size_t gateway, const std::string& method, const std::string& target,
                   const std::string& body, ResponseHandler follower, std::int64_t within = 3000);
  // A caller that resends after silence, polls until its job has ended, and records all it
  // observes.
  void submit(const JobSubmission& job, std::int64_t cancelAfter = -1,
              const std::string& apiKey = "");
  void resubmit(const JobSubmission& job);
  void applyConfig(const std::string& text, std::uint64_t baseVersion, ResponseHandler follower,
                   std::size_t gateway = 0);
  // The text is that of a patch.
  void patchConfig(const std::string& text, std::uint64_t baseVersion, ResponseHandler follower,
                   std::size_t gateway = 0);

  // What can be seen.
  std::optional<std::size_t> leader() const;
  const Controller* controller(std::size_t index) const;
  std::size_t controllerCount() const;
  std::uint64_t countStartsOf(const std::string& job) const;
  bool isVoter(std::size_t index) const;
  bool isWorkerUp(const std::string& id) const;
  std::size_t voterCount() const;
  std::size_t configuredVoters() const { return options.controller.voterCount; }
  std::size_t tolerableLosses() const {
    return (configuredVoters() - 1) / 2;
  }  // voters that may be lost at once
  // Voters whose disk is gone; nothing while their number is not the wanted one or a change of
  // members is under way.
  std::optional<std::size_t> votersWithoutDisk() const;
  bool allReplicasIntact() const { return votersWithoutDisk() == std::size_t(0); }
  // The orders for configs that a refusal was sent for, by digest and base, though the cluster took
  // them; and acknowledged ones that it does not hold.
  std::vector<std::string> misjudgedConfigOrders() const;
  bool allJobsEnded() const;  // every job that was accepted has been shown as over
  std::vector<std::string> unfinishedJobs() const;
  CheckReport checkHistory() const;
  std::uint64_t hash() const { return transcriptHash; }
  // A digest of every durable write of every controller in its order, and of the replicated state
  // of those that are up: it depends on no name and no text of ours but what is on disk.
  std::uint64_t durableDigest() const;
  std::vector<HistoryEvent> history;
  std::map<std::string, JobSubmission> submissions;
  std::map<std::string, std::uint32_t> retriesByQueue, maxAttemptsByQueue;
  std::map<std::string, std::set<std::string>>
      poolsByQueue;                      // by queue: those that any config sent it to
  std::int64_t reservedTrialMemory = 0;  // MB; the most that any config reserved
  std::map<std::string, std::string> lastObservedState;
  std::vector<ObservedKeyUse> keyUses;  // answers to submissions that carried a key
  // For rule 20: see InvariantOptions.
  std::map<std::string, TenantName> tenantByJob;
  std::map<TenantName, TenantCap> lowestCaps;
  std::vector<std::int64_t> acknowledgementLatencies;
  std::function<void(const std::string&)> trace;  // each thing of note, for transcripts
  // The moment at which a controller sends an answer, or tells of something: faults are aimed at
  // these.
  std::function<void(std::size_t index, const ApiRequest& request, const ApiResponse& answer)>
      onResponse;
  std::function<void(std::size_t index, const LogEvent& note)> onLogEvent;
  void recordEvent(HistoryEvent event);

 private:
  struct Node;
  struct ControllerNode;
  struct RoutedNode;
  struct GatewayNode;
  struct WorkerNode;
  struct AgentNode;
  struct CalledWorkerNode;
  struct Call;
  struct CallerState;
  struct ConfigOrder {
    const char* method = "";
    std::string body;
    HistoryEvent submitted;
    bool isValid = false;  // as far as can be told without the configuration it is based on
  };
  void schedule(std::int64_t time, std::function<void()> work);
  bool cutBetween(const Node& from, const Node& to) const;
  void deliver(Node& from, Node& to, std::function<void()> work);
  void processOutputs(ControllerNode& node);
  void finishWrite(ControllerNode& node, std::uint64_t generation);
  void scheduleStep(ControllerNode& node);
  void bootController(ControllerNode& node);
  void tickController(ControllerNode& node, std::uint64_t generation);
  void refreshRoute(GatewayNode& node, std::uint64_t generation);
  void callLeader(RoutedNode& node, ApiRequest request,
                  std::function<void(const ApiResponse&)> reply);
  void continueLeaderCall(RoutedNode& node, std::shared_ptr<LeaderCall> course, ApiRequest request,
                          LeaderCall::Step step, std::function<void(const ApiResponse&)> reply);
  void askController(Node& from, const Address& target, const ApiRequest& request,
                     std::int64_t within,
                     std::function<void(std::optional<ApiResponse>, LeaderCall::Failure)> reply);
  void askGateway(Node& from, std::size_t gateway, const std::string& method,
                  const std::string& target, const std::string& body, std::int64_t within,
                  ResponseHandler follower, const std::string& apiKey = "");
  void bootWorker(WorkerNode& node);
  void tickWorker(WorkerNode& node, std::uint64_t generation);
  void syncWorker(WorkerNode& node, bool patient);
  void learnContacts(WorkerNode& node, std::size_t index);
  void applyWorkerEffects(WorkerNode& node);
  void bootAgent(AgentNode& node);
  void tickAgent(AgentNode& node, std::uint64_t generation);
  void learnRoute(AgentNode& node, std::uint64_t generation);
  void syncAgent(AgentNode& node, bool patient);
  void callWorker(AgentNode& node, const WorkerCall& call);
  void bootCalledWorker(CalledWorkerNode& node);
  void tickCalledWorker(CalledWorkerNode& node, std::uint64_t generation);
  void sendHeartbeat(CalledWorkerNode& node);
  void endCalledWorker(CalledWorkerNode& node);
  void announceDrain(CalledWorkerNode& node);
  void receiveDrainAnnouncement(AgentNode& agent, const WorkerId& instance);
  void awaitDrainAcknowledgement(AgentNode& agent, const WorkerId& instance);
  void acknowledgeDrain(std::size_t index, const WorkerId& instance);
  void advanceDrain(CalledWorkerNode& node);
  void deliverLocally(Node& to, std::function<void()> work);
  // What reaches a process that is up still; a frozen one gets it when it wakes.
  void deliverAt(Node& to, std::int64_t at, std::function<void()> work);
  // A whole configuration or a patch, in the field of the body that bears its name.
  ConfigOrder makeConfigOrder(const char* method, const std::string& field, const std::string& text,
                              std::uint64_t baseVersion) const;
  void sendConfigOrder(const ConfigOrder& order, std::size_t gateway, ResponseHandler follower);
  void recordConfigAnswer(const HistoryEvent& submitted, int status, const std::string& body);
  // What the checkers of runs need to know of a configuration.
  void notePools(const ClusterConfig& config);
  void noteAttemptLimits(const ClusterConfig& config);
  void sendSubmission(std::shared_ptr<CallerState> state);
  void sendCancel(std::shared_ptr<CallerState> state);
  void pollJob(std::shared_ptr<CallerState> state);
  void freeze(Node& node, bool frozen);
  ControllerNode* controllerAt(const Address& address);

  struct Event {
    std::int64_t time;
    std::uint64_t order;
    std::function<void()> action;
    bool operator<(const Event& other) const {
      return std::tie(time, order) > std::tie(other.time, other.order);
    }
  };
  SimulatedClusterOptions options;
  Random random;
  std::priority_queue<Event> events;
  std::uint64_t nextEvent = 0;
  std::uint64_t transcriptHash = 1469598103934665603ull;
  std::uint64_t writesDigest = 1469598103934665603ull;
  std::vector<std::unique_ptr<ControllerNode>> controllers;
  std::vector<std::unique_ptr<GatewayNode>> gateways;
  std::vector<std::unique_ptr<WorkerNode>> workers;
  std::vector<std::unique_ptr<AgentNode>> agents;
  std::vector<std::unique_ptr<CalledWorkerNode>> calledWorkers;
  struct GangState;
  std::unique_ptr<GangState> gangState;
  std::unique_ptr<Node> clients;  // callers and operators
  std::set<std::pair<std::size_t, std::size_t>> partitions;
  std::vector<std::shared_ptr<CallerState>> callers;
  std::vector<Address> seedAddresses;
  std::size_t gatewayAt(const Address& address) const;
  std::uint64_t nextIdentity = 1, nextAddress = 1, nextGatewayAddress = 1, nextExchange = 1;
  std::map<RequestNumber, std::function<void(const ApiResponse&)>> pendingRequests;
};

}  // namespace aniseline

#endif  // ANISELINE_SIMULATOR_SIMULATED_CLUSTER_HPP
