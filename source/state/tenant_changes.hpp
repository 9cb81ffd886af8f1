// Applies the changes of tenants in a new configuration to existing work. Called when the
// configuration is applied. docs/design.md 6.7.
#ifndef ANISELINE_STATE_TENANT_CHANGES_HPP
#define ANISELINE_STATE_TENANT_CHANGES_HPP
#include "state/cluster_tables.hpp"

namespace aniseline {

/// Removed tenants with open jobs keep their caps, without keys. If a tenant's cap was lowered
/// below its current use, starts that no worker has reported yet are stopped, the latest first,
/// until the use is within the cap. Their orders may not have reached the workers, which would
/// otherwise start them long after the change. These stops do not count against the retry limit.
void applyTenantChanges(ClusterTables& tables, const TenantDirectory& previous);

}  // namespace aniseline

#endif  // ANISELINE_STATE_TENANT_CHANGES_HPP
