#include "state/config_history.hpp"
#include <algorithm>
#include <boost/endian/conversion.hpp>
#include <boost/uuid/name_generator_sha1.hpp>

namespace aniseline {

TextDigest TextDigest::of(const std::string& text) {
  // Only the digest matters, not its namespace, so that is the nil UUID.
  const boost::uuids::name_generator_sha1 generate{boost::uuids::uuid{}};
  const boost::uuids::uuid id = generate(text);
  return TextDigest{boost::endian::load_big_u64(id.data), boost::endian::load_big_u64(id.data + 8)};
}

void ConfigHistory::record(const ConfigUpdate& order) {
  recentUpdates.push_back(order);
  if (recentUpdates.size() > maxUpdates)
    recentUpdates.pop_front();
}

ConfigHistory::LookupResult ConfigHistory::find(const ConfigUpdate& order) const {
  // One that names its version is found by that, whatever it builds on: the text under a version
  // is the config. One that names none is found by its base, on which one order at most was taken.
  const bool named = order.version.value > 0;
  const auto key = named ? &ConfigUpdate::version : &ConfigUpdate::baseVersion;
  const auto found = std::lower_bound(recentUpdates.begin(), recentUpdates.end(), order,
                                      [key](const ConfigUpdate& left, const ConfigUpdate& right) {
                                        return left.*key < right.*key;
                                      });
  if (found != recentUpdates.end() && (*found).*key == order.*key)
    return found->digest == order.digest ? LookupResult{Outcome::applied, found->version}
                                         : LookupResult{Outcome::notApplied, ConfigVersion{}};
  // What was dropped had both a lower version and a lower base than the earliest that is kept.
  const bool older = !recentUpdates.empty() &&
                     order.baseVersion < recentUpdates.front().baseVersion &&
                     (!named || order.version < recentUpdates.front().version);
  return LookupResult{older ? Outcome::tooOld : Outcome::notApplied, ConfigVersion{}};
}

}  // namespace aniseline
