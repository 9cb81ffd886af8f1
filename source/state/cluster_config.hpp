// The config aggregate: the operators' whole description of queues, policies and planner options.
// docs/design.md 6.
#ifndef ANISELINE_STATE_CLUSTER_CONFIG_HPP
#define ANISELINE_STATE_CLUSTER_CONFIG_HPP
#include "base/types.hpp"
#include <picojson.h>

namespace aniseline {

struct TrialOptions {
  Duration quantum{60'000};          // paper section 3: one minute
  std::uint64_t memory = 1024;       // MB, paper section 3: one gigabyte
  Duration minimumRuntime{600'000};  // paper section 2.4: ten minutes uninterrupted
  template <class Archive>
  void serialize(Archive& archive, unsigned) {
    archive& quantum& memory& minimumRuntime;
  }
};

struct QueueOptions {
  QueueName name;
  std::int64_t priority = 0;
  std::uint32_t maxRetries = 0;
  std::uint64_t maxOpenJobs = 1000;    // open jobs past which a submission is rejected
  std::uint64_t reservedOpenJobs = 0;  // open jobs of the whole that only this queue may use
  TrialOptions trial;
  Duration hardRuntimeLimit{0};  // 0: an overrunning task stays in place
  Duration reassignAfter{
      0};  // waited beyond lease and margin before a silent worker's tasks are started elsewhere
  std::string policy = "default";
  std::string pool;  // the workers its tasks run on; empty: those of no pool
  std::uint32_t maxFailures =
      0;  // not 0: a task may end as failed this often, and nothing else counts. docs/design.md 4.4
  double latencyTargetFactor =
      1.0;  // the aim of a job is this times its longest chain of work, and the target
  Duration latencyTargetBase{0};
  bool closedToSubmissions =
      false;  // removed from the config while jobs were open: runs on, takes nothing new
  template <class Archive>
  void serialize(Archive& archive, unsigned) {
    archive& name& priority& maxRetries& maxOpenJobs& reservedOpenJobs& trial& hardRuntimeLimit&
        reassignAfter& policy& pool& maxFailures& latencyTargetFactor& latencyTargetBase&
            closedToSubmissions;
  }
};

struct PoolOptions {
  bool enforcesCapacity = false;  // its workers themselves reject what they can't hold
  template <class Archive>
  void serialize(Archive& archive, unsigned) {
    archive& enforcesCapacity;
  }
};

// Where callers that speak of hosts and paths reach a queue: the longest prefix of the path wins.
struct IngressRoute {
  std::string host, pathPrefix;
  QueueName queue;
  template <class Archive>
  void serialize(Archive& archive, unsigned) {
    archive& host& pathPrefix& queue;
  }
};

struct PolicyOptions {
  std::string rankExpression = "weight_wait * wait + weight_expansion * expansion";
  std::string suspendExpression = "1";
  template <class Archive>
  void serialize(Archive& archive, unsigned) {
    archive& rankExpression& suspendExpression;
  }
};

struct PlannerOptions {
  Duration period{50};
  double weightWait = 0.0167;  // paper table 3, LXF&W-backfill
  double weightExpansion = 1.0;
  bool trialsEnabled = true;
  std::uint64_t reservedTrialMemory =
      0;  // MB of each worker that only trials may use; 0 is the paper's design
  std::uint64_t maxOpenJobs = 20'000;
  Duration finishedJobRetention{3'600'000};
  std::uint64_t maxRetainedJobs =
      300'000;  // jobs kept; past it the earliest ended go first, docs/design.md 4.5
  bool strictPriority =
      false;  // a more urgent queue's work goes before all less urgent work, whatever its rank
  double remoteSlowdown =
      1.0;  // what a task away from its data, or from its step's rack, takes of its time
  Duration capacitySettleTime{
      30'000};  // how long workers must have been as they are before a job is rejected as too large
  template <class Archive>
  void serialize(Archive& archive, unsigned) {
    archive& period& weightWait& weightExpansion& trialsEnabled& reservedTrialMemory& maxOpenJobs&
        finishedJobRetention& maxRetainedJobs& strictPriority& remoteSlowdown& capacitySettleTime;
  }
};

struct ClusterConfig {
  ConfigVersion version;
  std::map<QueueName, QueueOptions> queues;
  std::map<std::string, PolicyOptions> policies;
  PlannerOptions planner;
  std::map<std::string, PoolOptions> pools;
  std::vector<IngressRoute> ingressRoutes;
  std::string text;  // as the operator wrote it

  const QueueOptions* findQueue(const QueueName& name) const;
  // The queue behind a host and path, and how much of the path is its prefix.
  const IngressRoute* findIngressRoute(const std::string& host, const std::string& path) const;
  // Every fault is named by its path; nothing is taken from a faulty text.
  static Result<ClusterConfig> parse(const std::string& text);
  template <class Archive>
  void serialize(Archive& archive, unsigned) {
    archive& version& queues& policies& planner& pools& ingressRoutes& text;
  }
};

// Of the content of a config's text, however it is spaced: the TextDigest that orders are known by.
std::string configDigest(const std::string& text);

// A compiled policy program (muParser). Not for threads to share.
class PolicyProgram {
 public:
  struct Inputs {
    double wait = 0, runtime = 0, expansion = 0, cores = 0, memory = 0, priority = 0, slowdown = 0,
           running = 0;
    double weightWait = 0, weightExpansion = 0;
  };
  explicit PolicyProgram(const std::string& text);
  PolicyProgram(PolicyProgram&&) noexcept;
  ~PolicyProgram();
  double evaluate(const Inputs& inputs) const;
  static std::optional<std::string> check(const std::string& text);

 private:
  struct Implementation;
  std::unique_ptr<Implementation> implementation;
};

}  // namespace aniseline

#endif  // ANISELINE_STATE_CLUSTER_CONFIG_HPP
