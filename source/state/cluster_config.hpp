// The configuration: the operators' whole description of queues, policies,
// pools, ingress routes and planner options. Replicated through the log; every
// part is replaced at once. docs/design.md 6.
#ifndef ANISELINE_STATE_CLUSTER_CONFIG_HPP
#define ANISELINE_STATE_CLUSTER_CONFIG_HPP
#include "base/types.hpp"
#include "state/policy_program.hpp"
#include "state/tenants.hpp"

namespace aniseline {

/// Short first runs of tasks, by which jobs that fail early are found out.
/// docs/paper.md.
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
  std::uint32_t maxRetries = 0;  // starts of a task beyond the first, unless `maxFailures` is set
  std::uint64_t maxOpenJobs = 1000;    // beyond it a submission is rejected
  std::uint64_t reservedOpenJobs = 0;  // of PlannerOptions::maxOpenJobs, for this queue only
  TrialOptions trial;
  Duration hardRuntimeLimit{0};  // 0: a task that overruns its request goes on
  // How long beyond lease and margin an unreachable worker's tasks wait before
  // they are started elsewhere.
  Duration reassignAfter{0};
  std::string policy = "default";
  std::string pool;  // of the workers its tasks run on; empty: the default pool
  // Not 0: how often a task may fail; nothing else counts against it.
  // docs/design.md 4.4.
  std::uint32_t maxFailures = 0;
  // The latency target of a job: the factor times its critical path, plus the
  // base.
  double latencyTargetFactor = 1.0;
  Duration latencyTargetBase{0};
  bool hasLatencyTarget() const { return latencyTargetBase.milliseconds > 0; }
  /// In milliseconds, for a job with that critical path.
  double latencyTarget(Duration criticalPath) const {
    return latencyTargetFactor * double(criticalPath.milliseconds) +
           double(latencyTargetBase.milliseconds);
  }
  // Removed from the configuration while it had open jobs: completes them and
  // admits no new ones.
  bool closedToSubmissions = false;
  template <class Archive>
  void serialize(Archive& archive, unsigned) {
    archive& name& priority& maxRetries& maxOpenJobs& reservedOpenJobs& trial& hardRuntimeLimit&
        reassignAfter& policy& pool& maxFailures& latencyTargetFactor& latencyTargetBase&
            closedToSubmissions;
  }
};

struct PoolOptions {
  bool enforcesCapacity = false;  // its workers reject starts that exceed their free capacity
  template <class Archive>
  void serialize(Archive& archive, unsigned) {
    archive& enforcesCapacity;
  }
};

/// Maps requests by host and path to a queue: the longest matching prefix of
/// the path wins.
struct IngressRoute {
  std::string host;
  std::string pathPrefix;
  QueueName queue;
  template <class Archive>
  void serialize(Archive& archive, unsigned) {
    archive& host& pathPrefix& queue;
  }
};

struct PolicyOptions {
  // The rank of a job that waits: the highest goes first.
  std::string rankExpression = "weight_wait * wait + weight_expansion * expansion";
  // Not 0: a running attempt may be suspended for a trial.
  std::string suspendExpression = "1";
  template <class Archive>
  void serialize(Archive& archive, unsigned) {
    archive& rankExpression& suspendExpression;
  }
};

struct PlannerOptions {
  Duration period{50};         // between plans
  double weightWait = 0.0167;  // paper table 3, LXF&W-backfill
  double weightExpansion = 1.0;
  bool trialsEnabled = true;
  // MB of each worker that only trials may use; 0 is the paper's design.
  std::uint64_t reservedTrialMemory = 0;
  std::uint64_t maxOpenJobs = 20'000;
  Duration finishedJobRetention{3'600'000};
  // Jobs that are kept; beyond it the earliest ended go first.
  // docs/design.md 4.5.
  std::uint64_t maxRetainedJobs = 300'000;
  // The work of a queue of higher priority goes before all of lower priority,
  // whatever its rank.
  bool strictPriority = false;
  // Factor on the run time of a task away from its data, or from the rack of
  // its step.
  double remoteSlowdown = 1.0;
  // How long the workers' capacities must have been as they are before a job is
  // rejected as too large.
  Duration capacitySettleTime{30'000};
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
  TenantDirectory tenants;

  /// Null if there is no such queue.
  const QueueOptions* findQueue(const QueueName& name) const;
  /// The route of a request; null if there is none.
  const IngressRoute* findIngressRoute(const std::string& host, const std::string& path) const;
  /// Reads a configuration in JSON. Either it is valid as a whole, or the error
  /// names each fault by its path.
  static Result<ClusterConfig> parse(const std::string& text);
  template <class Archive>
  void serialize(Archive& archive, unsigned) {
    archive& version& queues& policies& planner& pools& ingressRoutes;
    serializeTextWithSection(archive, text, tenants);
  }
};

/// Reads the text of a configuration: ClusterConfig::parse, or an adapter's
/// reader where operators write another form.
using ConfigParser = std::function<Result<ClusterConfig>(const std::string& text)>;

/// The TextDigest, as text, of a configuration's JSON without regard to white
/// space; empty if the text is not JSON. Configuration updates are identified
/// by it.
std::string configDigest(const std::string& text);

}  // namespace aniseline

#endif  // ANISELINE_STATE_CLUSTER_CONFIG_HPP
