// A complete cluster in virtual time, determined by one seed. It runs the same core as the daemons
// on a network, disks and clocks into which faults are injected. docs/design.md 12.
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
  // Number of workers, counted from the last one, that do not honour leases.
  std::size_t workersIgnoringLeases = 0;
  // Number of workers, counted from the first one, that do not enforce their capacity.
  std::size_t workersNotEnforcingCapacity = 6;
  // Number of additional workers that are called by an agent instead of syncing with the leader
  // themselves. Each has an agent of its own.
  std::size_t calledWorkers = 0;
  // Number of workers, counted from the last one, that are wrongly set up with the first one's id.
  std::size_t workersWithDuplicateId = 0;
  double messageLoss = 0;  // share of the messages between processes that are lost
  ControllerOptions controller;
};

class SimulatedCluster {
 public:
  explicit SimulatedCluster(SimulatedClusterOptions options);
  ~SimulatedCluster();

  // --- virtual time, in ms ---
  std::int64_t now = 0;
  // The true wall-clock time at virtual time 0.
  static constexpr std::int64_t epochMs = 1'800'000'000'000;
  void scheduleAfter(std::int64_t delay, std::function<void()> work);
  void runUntil(std::int64_t time);
  bool runUntilTrue(const std::function<bool()>& condition, std::int64_t within);

  // --- faults ---
  // With `losesUnsynced`, the write that was in flight is lost, as in a power loss.
  void killController(std::size_t index, bool losesUnsynced);
  void restartController(std::size_t index);
  // Sets how many voters this controller is configured with, from its next start on.
  void setVoters(std::size_t index, std::size_t voters);
  // Kills the controller and erases its disk; it restarts with a new identity.
  void loseDisk(std::size_t index);
  void moveController(std::size_t index);  // takes effect at its next start, at a new address
  void freezeController(std::size_t index, bool frozen);
  void isolateController(std::size_t index, bool cut);  // from all processes, in both directions
  void stallDisk(std::size_t index, std::int64_t milliseconds);
  void slowDisk(std::size_t index, std::int64_t extra);
  std::vector<WriteAheadRecord> copyDisk(std::size_t index) const;
  void replaceDisk(std::size_t index, std::vector<WriteAheadRecord> records);
  void setClockOffset(std::size_t index, std::int64_t offset);
  // Moves the clock by this many ms until it is corrected or the controller starts again.
  void jumpClock(std::size_t index, std::int64_t by);
  void correctClock(std::size_t index);
  // While the disk is full, writes fail and are tried again.
  void setDiskFull(std::size_t index, bool full);
  void transferLeadership(std::size_t index);
  void killGateway(std::size_t index);
  void restartGateway(std::size_t index);
  // Replaces the gateway by one on another machine with another address.
  void moveGateway(std::size_t index);
  void freezeGateway(std::size_t index, bool frozen);
  void killWorker(std::size_t index, bool forGood);
  void restartWorker(std::size_t index);
  // Brings back, without tasks, a worker that had been removed for good.
  void reinstateWorker(std::size_t index);
  void freezeWorker(std::size_t index, bool frozen);
  void isolateWorker(std::size_t index, bool cut);
  void drainWorker(std::size_t index, std::int64_t within);
  void setWorkerBehaviour(std::size_t index, double slowdown, double failureRate);
  // Called workers and their agents; both have the same index.
  void killAgent(std::size_t index);
  void restartAgent(std::size_t index);
  void freezeAgent(std::size_t index, bool frozen);
  void isolateAgent(std::size_t index, bool cut);
  void killCalledWorker(std::size_t index);
  void restartCalledWorker(std::size_t index);  // as a new instance
  void drainCalledWorker(std::size_t index, std::int64_t within, std::int64_t downtime);
  enum class Malfunction : std::uint8_t { none, stalled, rejecting, unresponsive, failing };
  void setCalledWorkerMalfunction(std::size_t index, Malfunction malfunction);
  // While delayed, calls get no answer and are carried out much later.
  void setOrdersDelayed(std::size_t index, bool delayed);
  std::size_t calledWorkerCount() const { return calledWorkers.size(); }
  void partitionZones(std::size_t from, std::size_t to, bool cut);  // one direction
  void healAll();
  // Records in the history that a fault began or ended.
  void recordFault(const std::string& fault, bool ends);
  // Records which configuration each process acts on, for the configuration invariants.
  void observeConfigs();
  void traceControllers() const;  // traces the view of each controller, for debugging

  // --- callers and operators ---
  // Called once, with the answer, or with status 0 if there was none.
  using ResponseHandler = std::function<void(int status, const std::string& body)>;
  void sendRequest(std::size_t gateway, const std::string& method, const std::string& target,
                   const std::string& body, ResponseHandler handler, std::int64_t within = 3000);
  // Starts a caller that resends when it gets no answer, polls until its job has ended, and records
  // everything it observes. It cancels `cancelAfter` ms after the acceptance, or never if that is
  // negative.
  void submit(const JobSubmission& job, std::int64_t cancelAfter = -1,
              const std::string& apiKey = "");
  void resubmit(const JobSubmission& job);
  // Starts a caller that submits through this gateway, waits `patience` ms for the answer, cancels
  // the job through the other gateways whatever the answer was, and then polls it for a while.
  void submitAndGiveUp(const JobSubmission& job, std::size_t gateway, std::int64_t patience);
  void applyConfig(const std::string& text, std::uint64_t baseVersion, ResponseHandler handler,
                   std::size_t gateway = 0);
  // `text` is a patch of the configuration.
  void patchConfig(const std::string& text, std::uint64_t baseVersion, ResponseHandler handler,
                   std::size_t gateway = 0);

  // --- observations ---
  std::optional<std::size_t> leader() const;
  const Controller* controller(std::size_t index) const;
  std::size_t controllerCount() const;
  std::uint64_t countStartsOf(const std::string& job) const;
  bool isVoter(std::size_t index) const;
  bool isWorkerUp(const std::string& id) const;
  std::size_t voterCount() const;
  std::size_t configuredVoters() const { return options.controller.voterCount; }
  // Returns how many voters may be lost at once.
  std::size_t tolerableLosses() const { return (configuredVoters() - 1) / 2; }
  // Returns the number of voters whose disk is lost, or nothing while the number of voters is not
  // the configured one or a membership change is in progress.
  std::optional<std::size_t> votersWithoutDisk() const;
  bool allReplicasIntact() const { return votersWithoutDisk() == std::size_t(0); }
  // Returns, by digest and base version, the configuration changes that were answered with a
  // refusal although the cluster applied them, and those that were acknowledged but are not stored.
  std::vector<std::string> wronglyAnsweredConfigChanges() const;
  // Reports whether every accepted job has been shown to its caller as ended.
  bool allJobsEnded() const;
  std::vector<std::string> unfinishedJobs() const;
  CheckReport checkHistory() const;
  std::uint64_t hash() const { return transcriptHash; }
  // Returns a digest of every durable write of every controller, in order, and of the replicated
  // state of the controllers that are up. It depends only on what is on disk, not on names or texts
  // in the source.
  std::uint64_t durableDigest() const;
  std::vector<HistoryEvent> history;
  std::map<std::string, JobSubmission> submissions;
  std::map<std::string, std::uint32_t> retriesByQueue, maxAttemptsByQueue;
  // By queue: the pools that any configuration assigned to it.
  std::map<std::string, std::set<std::string>> poolsByQueue;
  std::int64_t reservedTrialMemory = 0;  // MB; the maximum that any configuration reserved
  std::map<std::string, std::string> lastObservedState;
  std::set<ClusterId> storedClusters;   // clusters of which a controller has stored state
  std::vector<ObservedKeyUse> keyUses;  // answers to submissions that carried a key
  // Inputs of invariant 20; see InvariantOptions.
  std::map<std::string, TenantName> tenantByJob;
  std::map<TenantName, TenantCap> lowestCaps;
  std::vector<std::int64_t> acknowledgementLatencies;
  std::function<void(const std::string&)> trace;  // called with each line of the transcript
  // Called when a controller sends an answer or emits a log event, so that faults can be injected
  // at that moment.
  std::function<void(std::size_t index, const ApiRequest& request, const ApiResponse& answer)>
      onResponse;
  std::function<void(std::size_t index, const LogEvent& event)> onLogEvent;
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
  struct ConfigRequest {
    const char* method = "";
    std::string body;
    HistoryEvent submitted;
    bool isValid = false;  // as far as that is known without the base configuration
  };
  void schedule(std::int64_t time, std::function<void()> work);
  bool isCutBetween(const Node& from, const Node& to) const;
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
                  ResponseHandler handler, const std::string& apiKey = "");
  void bootWorker(WorkerNode& node);
  void tickWorker(WorkerNode& node, std::uint64_t generation);
  void syncWorker(WorkerNode& node, bool longPoll);
  void discoverGateways(WorkerNode& node, std::size_t index);
  void applyWorkerEffects(WorkerNode& node);
  void bootAgent(AgentNode& node);
  void tickAgent(AgentNode& node, std::uint64_t generation);
  void learnRoute(AgentNode& node, std::uint64_t generation);
  void syncAgent(AgentNode& node, bool longPoll);
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
  // Runs `work` at a process that is still up; a frozen one runs it when it is thawed.
  void deliverAt(Node& to, std::int64_t at, std::function<void()> work);
  // Makes a request that carries a whole configuration or a patch in the body's `field`.
  ConfigRequest makeConfigRequest(const char* method, const std::string& field,
                                  const std::string& text, std::uint64_t baseVersion) const;
  void sendConfigRequest(const ConfigRequest& request, std::size_t gateway,
                         ResponseHandler handler);
  void recordConfigAnswer(const HistoryEvent& submitted, int status, const std::string& body);
  // Note the parts of a configuration that the history checkers need.
  void notePools(const ClusterConfig& config);
  void noteAttemptLimits(const ClusterConfig& config);
  void sendSubmission(std::shared_ptr<CallerState> state);
  void recordSubmission(const CallerState& state);
  void recordSubmissionAnswer(const CallerState& state, std::int64_t askedAt, int status);
  void onCancelAnswered(std::shared_ptr<CallerState> state, int status);
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
  std::unique_ptr<Node> clients;  // the node of all callers and operators
  std::set<std::pair<std::size_t, std::size_t>> partitions;
  std::vector<std::shared_ptr<CallerState>> callers;
  std::vector<Address> seedAddresses;
  std::size_t gatewayAt(const Address& address) const;
  std::uint64_t nextIdentity = 1, nextAddress = 1, nextGatewayAddress = 1, nextExchange = 1;
  std::map<RequestNumber, std::function<void(const ApiResponse&)>> pendingRequests;
};

}  // namespace aniseline

#endif  // ANISELINE_SIMULATOR_SIMULATED_CLUSTER_HPP
