// What a new configuration's tenants change for work that is there already. Called when the
// configuration is applied. docs/design.md 6.7.
#ifndef ANISELINE_STATE_TENANT_CHANGES_HPP
#define ANISELINE_STATE_TENANT_CHANGES_HPP
#include "state/cluster_tables.hpp"

namespace aniseline {

/// Removed tenants with open jobs keep their caps, without keys; and of a tenant whose cap was
/// lowered below what it has, starts that no worker has reported yet are stopped, the latest first,
/// until the rest is within the cap. They may not have reached their workers, where they would
/// begin long after the change; they count for nothing.
void applyTenantChanges(ClusterTables& tables, const TenantDirectory& previous);

}  // namespace aniseline

#endif  // ANISELINE_STATE_TENANT_CHANGES_HPP
