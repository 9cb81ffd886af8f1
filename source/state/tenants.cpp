// API key digests and the lookup of tenants.
#include "state/tenants.hpp"

namespace aniseline {

namespace {

// Distinguishes digests of keys from those of other texts.
constexpr const char* digestPrefix = "api key:";

// Compares two digests in a time that does not depend on their values.
bool equalInConstantTime(const ApiKeyDigest& left, const ApiKeyDigest& right) {
  const std::uint64_t difference =
      (left.digest.high ^ right.digest.high) | (left.digest.low ^ right.digest.low);
  return difference == 0;
}

}  // namespace

ApiKeyDigest ApiKeyDigest::of(const std::string& key) {
  return key.empty() ? ApiKeyDigest{} : ApiKeyDigest{TextDigest::of(digestPrefix + key)};
}

std::optional<std::string> TenantDirectory::add(const TenantName& name, TenantOptions options) {
  if (tenants.count(name))
    return "tenant " + name.value + " stands twice";
  for (const auto& key : options.keys) {
    if (const auto* owner = findByKey(key))
      return "has a key that tenant " + owner->value + " has too";
  }
  tenants.emplace(name, std::move(options));
  return std::nullopt;
}

void TenantDirectory::keepWithoutKeys(const TenantName& name, TenantOptions options) {
  options.keys.clear();
  tenants.emplace(name, std::move(options));
}

const TenantOptions* TenantDirectory::find(const TenantName& name) const {
  const auto found = tenants.find(name);
  return found == tenants.end() ? nullptr : &found->second;
}

std::size_t TenantDirectory::keyCount() const {
  std::size_t count = 0;
  for (const auto& [name, options] : tenants)
    count += options.keys.size();
  return count;
}

const TenantName* TenantDirectory::findByKey(const ApiKeyDigest& key) const {
  const TenantName* owner = nullptr;
  if (!key.isGiven())
    return owner;
  for (const auto& [name, options] : tenants) {
    for (const auto& known : options.keys) {
      if (equalInConstantTime(known, key))
        owner = &name;
    }
  }
  return owner;
}

}  // namespace aniseline
