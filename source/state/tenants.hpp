// Tenants: the API keys that client requests need, and caps on the resources that a tenant's work
// may use at once. Tenants are part of the configuration, so keys and caps take effect with it, at
// one position in the log. docs/design.md 6.7.
#ifndef ANISELINE_STATE_TENANTS_HPP
#define ANISELINE_STATE_TENANTS_HPP
#include "state/config_history.hpp"

namespace aniseline {

using TenantName = StrongId<struct TenantNameTag, std::string>;
/// Reports whether there is nothing to serialize. See serializeTextWithSection().
inline bool isAbsent(const TenantName& name) {
  return name.value.empty();
}

/// The digest that identifies an API key. Keys themselves appear in no table, message or log; only
/// the configuration's text, which its operator may read back, contains them.
struct ApiKeyDigest {
  TextDigest digest;  // zero: no key
  /// Returns the zero digest for an empty key.
  static ApiKeyDigest of(const std::string& key);
  bool isGiven() const { return digest != TextDigest{}; }
  bool operator==(const ApiKeyDigest&) const = default;
  template <class Archive>
  void serialize(Archive& archive, unsigned) {
    archive& digest;
  }
};

/// The resources that all attempts of a tenant may use together, on all workers. 0: no limit.
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
  // Weight of the tenant's share under contention; not used yet, docs/ROADMAP.md 3.
  double weight = 1;
  TenantCap cap;
  template <class Archive>
  void serialize(Archive& archive, unsigned) {
    archive& keys& weight& cap;
  }
};

/// The tenants of a configuration. A configuration without a list of tenants requires no keys.
class TenantDirectory {
 public:
  /// Makes every ingress route that is not public require a key.
  void requireKeys() { keysRequired = true; }
  bool requiresKeys() const { return keysRequired; }
  /// Exempts the route with this host and prefix from keys.
  void addPublicRoute(const std::string& host, const std::string& pathPrefix) {
    publicRoutes.emplace(host, pathPrefix);
  }
  bool requiresKeyFor(const std::string& host, const std::string& pathPrefix) const {
    return keysRequired && !publicRoutes.count({host, pathPrefix});
  }

  /// Adds a tenant. Returns an error and adds nothing if the name is in use or another tenant has
  /// one of the keys.
  std::optional<std::string> add(const TenantName& name, TenantOptions options);
  /// Keeps a tenant that the configuration no longer names, with its cap but without keys, while it
  /// has open jobs.
  void keepWithoutKeys(const TenantName& name, TenantOptions options);

  const std::map<TenantName, TenantOptions>& all() const { return tenants; }
  /// Returns null if there is no such tenant.
  const TenantOptions* find(const TenantName& name) const;
  /// Returns the tenant that owns the key, or null if none does. Always compares with every key, so
  /// that the time taken reveals nothing about the keys.
  const TenantName* findByKey(const ApiKeyDigest& key) const;

  /// Returns the number of keys of all tenants.
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
