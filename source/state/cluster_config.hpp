// The cluster configuration: queues, policies, pools, ingress routes, tenants and planner options,
// as written by operators. It is replicated through the log and always replaced as a whole.
// docs/design.md 6.
#ifndef ANISELINE_STATE_CLUSTER_CONFIG_HPP
#define ANISELINE_STATE_CLUSTER_CONFIG_HPP
#include "base/types.hpp"
#include "state/policy_program.hpp"
#include "state/tenants.hpp"

namespace aniseline {

/// Options of trials: short first runs of tasks that detect jobs which fail early. docs/paper.md.
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
  std::uint32_t maxRetries = 0;  // starts of a task after the first, unless `maxFailures` is set
  std::uint64_t maxOpenJobs = 1000;  // with so many open jobs further submissions are rejected
  // The part of PlannerOptions::maxOpenJobs that is kept for this queue only.
  std::uint64_t reservedOpenJobs = 0;
  TrialOptions trial;
  Duration hardRuntimeLimit{0};  // 0: tasks may run past their requested run time without limit
  // How long the tasks of an unreachable worker wait, after its lease and the safety margin, before
  // they are restarted elsewhere.
  Duration reassignAfter{0};
  std::string policy = "default";
  std::string pool;  // the pool of workers that run its tasks; empty: the default pool
  // Not 0: the number of failures after which a task fails; nothing else counts against the limit.
  // docs/design.md 4.4.
  std::uint32_t maxFailures = 0;
  // The latency target of a job is its critical path times the factor, plus the base.
  double latencyTargetFactor = 1.0;
  Duration latencyTargetBase{0};
  bool hasLatencyTarget() const { return latencyTargetBase.milliseconds > 0; }
  /// Returns the latency target in milliseconds of a job with this critical path.
  double latencyTarget(Duration criticalPath) const {
    return latencyTargetFactor * double(criticalPath.milliseconds) +
           double(latencyTargetBase.milliseconds);
  }
  // The queue was removed from the configuration while it had open jobs: it completes them and
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

/// Maps requests by host and path to a queue. The route with the longest matching path prefix is
/// used.
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
  // The rank of a waiting job; the job with the highest rank is scheduled first.
  std::string rankExpression = "weight_wait * wait + weight_expansion * expansion";
  // A value other than 0 allows a running attempt to be suspended for a trial.
  std::string suspendExpression = "1";
  template <class Archive>
  void serialize(Archive& archive, unsigned) {
    archive& rankExpression& suspendExpression;
  }
};

struct PlannerOptions {
  Duration period{50};         // interval between plans
  double weightWait = 0.0167;  // paper table 3, LXF&W-backfill
  double weightExpansion = 1.0;
  bool trialsEnabled = true;
  // Memory of each worker, in MB, that only trials may use; 0 is the paper's design.
  std::uint64_t reservedTrialMemory = 0;
  std::uint64_t maxOpenJobs = 20'000;
  Duration finishedJobRetention{3'600'000};
  // The maximum number of jobs kept; above it, those that ended first are dropped first.
  // docs/design.md 4.5.
  std::uint64_t maxRetainedJobs = 300'000;
  // Jobs of a queue with higher priority go before all jobs with lower priority, whatever their
  // rank.
  bool strictPriority = false;
  // Factor on the run time of a task that runs away from its data or from the rack of its step.
  double remoteSlowdown = 1.0;
  // How long the workers' capacities must have been stable before a job may be rejected as too
  // large.
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
  std::string text;  // the text as written by the operator
  TenantDirectory tenants;

  /// Returns null if there is no such queue.
  const QueueOptions* findQueue(const QueueName& name) const;
  /// Returns the route of a request, or null if there is none.
  const IngressRoute* findIngressRoute(const std::string& host, const std::string& path) const;
  /// Parses a configuration in JSON. If any part is invalid, the error lists all errors with their
  /// paths.
  static Result<ClusterConfig> parse(const std::string& text);
  template <class Archive>
  void serialize(Archive& archive, unsigned) {
    archive& version& queues& policies& planner& pools& ingressRoutes;
    serializeTextWithSection(archive, text, tenants);
  }
};

/// Parses the text of a configuration: ClusterConfig::parse, or the parser of an adapter whose
/// operators use another format.
using ConfigParser = std::function<Result<ClusterConfig>(const std::string& text)>;

/// Returns the TextDigest, as text, of a configuration's JSON with white space ignored, or an empty
/// string if the text is not JSON. The digest identifies a configuration update.
std::string configDigest(const std::string& text);

}  // namespace aniseline

#endif  // ANISELINE_STATE_CLUSTER_CONFIG_HPP
