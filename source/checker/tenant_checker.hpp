// Checks rules 22 and 23: API keys and tenant caps match the configurations that may be in force.
// Uses only what clients, operators and workers observed, never the state of the cluster. Called by
// the simulator and by tests. docs/design.md 11.
#ifndef ANISELINE_CHECKER_TENANT_CHECKER_HPP
#define ANISELINE_CHECKER_TENANT_CHECKER_HPP
#include "checker/invariants.hpp"

namespace aniseline {

/// One configuration order as its operator sees it. Orders are sequential: each one is sent after
/// the previous one was acknowledged.
struct ObservedTenantConfig {
  TenantDirectory tenants;
  std::int64_t sentAt = 0;                     // ms, of the first attempt
  std::optional<std::int64_t> acknowledgedAt;  // ms
};

/// The answer to a submission that carried an API key.
struct ObservedKeyUse {
  ApiKeyDigest key;
  std::int64_t sentAt = 0;      // ms
  std::int64_t answeredAt = 0;  // ms
  bool accepted = false;        // otherwise it was rejected because of its key
};

class TenantChecker {
 public:
  /// Takes the configurations in the order in which they were sent, and the tenant of each job by
  /// job id.
  TenantChecker(std::vector<ObservedTenantConfig> configs,
                std::map<std::string, TenantName> tenantByJob)
      : configs(std::move(configs)), tenantByJob(std::move(tenantByJob)) {}

  /// Checks rule 22: each answer must match one of the configurations that may have been in force
  /// between the request and the answer. No extra time is allowed for a change to propagate.
  std::vector<InvariantViolation> checkKeys(const std::vector<ObservedKeyUse>& uses) const;
  /// Checks rule 23 over all starts and ends that workers observed: no start may happen while its
  /// tenant is above the highest cap that may be in force. An order in transit when a cap is
  /// lowered may still arrive within a limited time.
  std::vector<InvariantViolation> checkCaps(const std::vector<HistoryEvent>& history) const;

 private:
  struct Usage {
    std::int64_t cores = 0;   // thousandths
    std::int64_t memory = 0;  // MB
    std::int64_t accelerators = 0;
    void add(const HistoryEvent& start, std::int64_t sign);
  };
  struct Run {
    TenantName tenant;
    HistoryEvent start;
  };
  using RunKey = std::tuple<std::string, std::string, std::uint32_t, std::string>;

  // Returns the indices of the configurations that may be in force at some time from `from` to
  // `to`.
  std::vector<std::size_t> possiblyInForce(std::int64_t from, std::int64_t to) const;
  // Returns the options of a tenant under a configuration. A tenant that the configuration does not
  // contain keeps those of the previous one. Returns null if no configuration contained the tenant.
  const TenantOptions* optionsOf(const TenantName& tenant, std::size_t index) const;
  std::optional<std::string> describeExceededCap(const TenantName& tenant, const Usage& before,
                                                 const HistoryEvent& start) const;
  TenantName tenantOf(const std::string& job) const;

  std::vector<ObservedTenantConfig> configs;
  std::map<std::string, TenantName> tenantByJob;
};

}  // namespace aniseline

#endif  // ANISELINE_CHECKER_TENANT_CHECKER_HPP
