// Lookup, expiry and size of tombstones.
#include "state/cancellation_tombstones.hpp"
#include "state/allocation_sizes.hpp"

namespace aniseline {

namespace {
// Each tombstone is an entry of two ordered containers.
constexpr std::uint64_t entriesPerTombstone = 2;
}  // namespace

void CancellationTombstones::add(const JobId& job, const CancellationScope& scope,
                                 ClusterTime cancelledAt) {
  const Key key{job, scope};
  eraseKey(key);
  times.emplace(key, cancelledAt);
  keysByTime.emplace(cancelledAt, key);
  totalBytes += estimateBytes(job, scope);
}

bool CancellationTombstones::cover(const JobId& job, const TenantName& tenant) const {
  return times.count({job, CancellationScope::ofTenant(tenant)}) > 0 ||
         times.count({job, CancellationScope::ofEverySender()}) > 0;
}

void CancellationTombstones::erase(const JobId& job, const TenantName& tenant) {
  eraseKey({job, CancellationScope::ofTenant(tenant)});
  eraseKey({job, CancellationScope::ofEverySender()});
}

void CancellationTombstones::eraseBefore(ClusterTime time) {
  while (!keysByTime.empty() && keysByTime.begin()->first < time) {
    const Key key = keysByTime.begin()->second;
    eraseKey(key);
  }
}

void CancellationTombstones::eraseKey(const Key& key) {
  const auto found = times.find(key);
  if (found == times.end())
    return;
  totalBytes -= estimateBytes(key.first, key.second);
  keysByTime.erase({found->second, key});
  times.erase(found);
}

std::uint64_t CancellationTombstones::estimateBytes(const JobId& job,
                                                    const CancellationScope& scope) {
  const std::uint64_t entryBytes = sizeof(Key) + sizeof(ClusterTime) + mapNodeOverhead +
                                   textBytes(job.value) + textBytes(scope.tenant.value);
  return entriesPerTombstone * entryBytes;
}

void CancellationTombstones::rebuildIndexes() {
  keysByTime.clear();
  totalBytes = 0;
  for (const auto& [key, cancelledAt] : times) {
    keysByTime.emplace(cancelledAt, key);
    totalBytes += estimateBytes(key.first, key.second);
  }
}

}  // namespace aniseline
