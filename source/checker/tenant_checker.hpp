// Rules 22 and 23: keys and caps are those of the configurations that may be in force. Checks what
// clients, operators and workers observed, and knows nothing of the cluster's own state. Called by
// the simulator and by tests. docs/design.md 11.
#ifndef ANISELINE_CHECKER_TENANT_CHECKER_HPP
#define ANISELINE_CHECKER_TENANT_CHECKER_HPP
#include "checker/invariants.hpp"

namespace aniseline {

/// One order of an operator, as the operator knows it. Orders follow each other: each was sent
/// after the one before was acknowledged.
struct ObservedTenantConfig {
  TenantDirectory tenants;
  std::int64_t sentAt = 0;                     // ms, first
  std::optional<std::int64_t> acknowledgedAt;  // ms
};

/// The answer to a client's submission that carried a key.
struct ObservedKeyUse {
  ApiKeyDigest key;
  std::int64_t sentAt = 0;      // ms
  std::int64_t answeredAt = 0;  // ms
  bool accepted = false;        // else refused for its key
};

class TenantChecker {
 public:
  /// Configurations in the order of their sending, and the tenant of each job by its id.
  TenantChecker(std::vector<ObservedTenantConfig> configs,
                std::map<std::string, TenantName> tenantByJob)
      : configs(std::move(configs)), tenantByJob(std::move(tenantByJob)) {}

  /// Rule 22. The answer fits one of the configurations that may have been in force between the
  /// sending and the answer: no time is allowed for a change to spread.
  std::vector<InvariantViolation> checkKeys(const std::vector<ObservedKeyUse>& uses) const;
  /// Rule 23, over all starts and ends that workers observed: no start finds its tenant above the
  /// highest cap that may be in force. An order that was on its way to a worker when a cap was
  /// lowered may arrive for a bounded time.
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

  // The indices of the configurations that may be in force at some time from `from` to `to`.
  std::vector<std::size_t> possiblyInForce(std::int64_t from, std::int64_t to) const;
  // A tenant that a configuration does not name keeps what the one before gave it; null if none
  // named it.
  const TenantOptions* optionsOf(const TenantName& tenant, std::size_t index) const;
  std::optional<std::string> describeExceededCap(const TenantName& tenant, const Usage& before,
                                                 const HistoryEvent& start) const;
  TenantName tenantOf(const std::string& job) const;

  std::vector<ObservedTenantConfig> configs;
  std::map<std::string, TenantName> tenantByJob;
};

}  // namespace aniseline

#endif  // ANISELINE_CHECKER_TENANT_CHECKER_HPP
