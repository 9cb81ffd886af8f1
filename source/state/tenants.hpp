// Tenants: whose key a client's request needs, and how much of a tenant's work may run at once. A
// part of the configuration, so that keys and caps come into force with it and at the same place in
// the log. docs/design.md 6.7.
#ifndef ANISELINE_STATE_TENANTS_HPP
#define ANISELINE_STATE_TENANTS_HPP
#include "state/config_history.hpp"

namespace aniseline {

using TenantName = StrongId<struct TenantNameTag, std::string>;
/// Is there nothing to serialize? See serializeTextWithSection().
inline bool isAbsent(const TenantName& name) {
  return name.value.empty();
}

/// The digest by which a key is known. Keys themselves stand in no table, message or log; only the
/// configuration's text, which its operator may read back, holds them.
struct ApiKeyDigest {
  TextDigest digest;  // zero: no key was given
  /// Zero for an empty key.
  static ApiKeyDigest of(const std::string& key);
  bool isGiven() const { return digest != TextDigest{}; }
  bool operator==(const ApiKeyDigest&) const = default;
  template <class Archive>
  void serialize(Archive& archive, unsigned) {
    archive& digest;
  }
};

/// What a tenant's attempts may hold together, on all workers. 0: no limit.
struct TenantCap {
  std::uint64_t cores = 0;   // thousandths of a core
  std::uint64_t memory = 0;  // MB
  std::uint64_t accelerators = 0;
  bool isLimited() const { return cores || memory || accelerators; }
  template <class Archive>
  void serialize(Archive& archive, unsigned) {
    archive& cores& memory& accelerators;
  }
};

struct TenantOptions {
  std::vector<ApiKeyDigest> keys;
  double weight = 1;  // of its share when all is full; not used yet, docs/ROADMAP.md 3
  TenantCap cap;
  template <class Archive>
  void serialize(Archive& archive, unsigned) {
    archive& keys& weight& cap;
  }
};

/// The tenants of a configuration. A configuration without a list of tenants asks for no keys.
class TenantDirectory {
 public:
  /// From now on every ingress route that is not public asks for a key.
  void requireKeys() { keysRequired = true; }
  bool requiresKeys() const { return keysRequired; }
  /// The route of that host and prefix asks for no key.
  void addPublicRoute(const std::string& host, const std::string& pathPrefix) {
    publicRoutes.emplace(host, pathPrefix);
  }
  bool requiresKeyFor(const std::string& host, const std::string& pathPrefix) const {
    return keysRequired && !publicRoutes.count({host, pathPrefix});
  }

  /// What is wrong with the tenant, if anything: its name is taken, or another tenant has one of
  /// its keys. It is added only if nothing is.
  std::optional<std::string> add(const TenantName& name, TenantOptions options);
  /// Keeps the cap of a tenant that the configuration no longer names while jobs of it are open; it
  /// has no keys.
  void keepWithoutKeys(const TenantName& name, TenantOptions options);

  const std::map<TenantName, TenantOptions>& all() const { return tenants; }
  /// Null if there is no such tenant.
  const TenantOptions* find(const TenantName& name) const;
  /// The tenant that a key belongs to; null for a key that none has. Compares with every key
  /// whatever is found, so that the time it takes tells nothing of any of them.
  const TenantName* findByKey(const ApiKeyDigest& key) const;

  /// Of all tenants.
  std::size_t keyCount() const;

  bool isEmpty() const { return !keysRequired && tenants.empty() && publicRoutes.empty(); }
  template <class Archive>
  void serialize(Archive& archive, unsigned) {
    archive& keysRequired& tenants& publicRoutes;
  }

 private:
  bool keysRequired = false;
  std::map<TenantName, TenantOptions> tenants;
  std::set<std::pair<std::string, std::string>> publicRoutes;  // host and path prefix
};

inline bool isAbsent(const TenantDirectory& tenants) {
  return tenants.isEmpty();
}

}  // namespace aniseline

#endif  // ANISELINE_STATE_TENANTS_HPP
