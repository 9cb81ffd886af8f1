// Tombstones: cancellations that were acknowledged while their job was unknown. A submission that
// was sent before such a cancellation may still be in the sockets of a process that stopped
// responding, or on a stalled link. When it arrives, its job is recorded as cancelled and never
// runs. Part of the replicated state, so that every later leader knows them. docs/design.md 4.3.
#ifndef ANISELINE_STATE_CANCELLATION_TOMBSTONES_HPP
#define ANISELINE_STATE_CANCELLATION_TOMBSTONES_HPP
#include "state/tenants.hpp"

namespace aniseline {

/// The submissions that the cancellation of an unknown job applies to. Without it, one tenant could
/// prevent the jobs of another.
struct CancellationScope {
  enum class Kind : std::uint8_t {
    none,        // the job was known when it was cancelled; no tombstone is needed
    tenant,      // submissions of `tenant`, or those without a tenant if it is absent
    everySender  // submissions by anyone
  };
  Kind kind = Kind::none;
  TenantName tenant;

  static CancellationScope ofTenant(TenantName tenant) { return {Kind::tenant, std::move(tenant)}; }
  static CancellationScope ofEverySender() { return {Kind::everySender, {}}; }
  auto operator<=>(const CancellationScope&) const = default;
  template <class Archive>
  void serialize(Archive& archive, unsigned) {
    archive& kind& tenant;
  }
};
/// Reports whether there is nothing to serialize. See serializeTextWithSection().
inline bool isAbsent(const CancellationScope& scope) {
  return scope.kind == CancellationScope::Kind::none;
}

class CancellationTombstones {
 public:
  /// Adds a tombstone, or renews the time of one that exists.
  void add(const JobId& job, const CancellationScope& scope, ClusterTime cancelledAt);
  /// Reports whether the job was cancelled before this tenant submitted it.
  bool cover(const JobId& job, const TenantName& tenant) const;
  /// Removes the tombstones that cover() reports.
  void erase(const JobId& job, const TenantName& tenant);
  /// Removes the tombstones of cancellations before this time.
  void eraseBefore(ClusterTime time);

  std::size_t size() const { return times.size(); }
  /// Returns the estimated memory in bytes that the tombstones take in one copy of the state.
  std::uint64_t estimatedBytes() const { return totalBytes; }
  /// Returns the estimated memory in bytes of one tombstone.
  static std::uint64_t estimateBytes(const JobId& job, const CancellationScope& scope);

  template <class Archive>
  void serialize(Archive& archive, unsigned) {
    archive& times;
    if constexpr (Archive::is_loading::value)
      rebuildIndexes();
  }

 private:
  using Key = std::pair<JobId, CancellationScope>;
  void eraseKey(const Key& key);
  void rebuildIndexes();

  std::map<Key, ClusterTime> times;
  // Derived from `times` and not serialized.
  std::set<std::pair<ClusterTime, Key>> keysByTime;
  std::uint64_t totalBytes = 0;
};
/// Reports whether there is nothing to serialize. See serializeTrailingSection().
inline bool isAbsent(const CancellationTombstones& tombstones) {
  return tombstones.size() == 0;
}

}  // namespace aniseline

#endif  // ANISELINE_STATE_CANCELLATION_TOMBSTONES_HPP
