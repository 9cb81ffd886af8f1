// Text digests, and the recording and lookup of configuration updates.
#include "state/config_history.hpp"
#include <boost/endian/conversion.hpp>
#include <boost/uuid/name_generator_sha1.hpp>

namespace aniseline {

TextDigest TextDigest::of(const std::string& text) {
  // The nil UUID serves as the namespace, since only the digest of the text is of interest.
  const boost::uuids::name_generator_sha1 generate{boost::uuids::uuid{}};
  const boost::uuids::uuid id = generate(text);
  return TextDigest{boost::endian::load_big_u64(id.data), boost::endian::load_big_u64(id.data + 8)};
}

void ConfigHistory::record(const ConfigUpdate& update) {
  recentUpdates.push_back(update);
  if (recentUpdates.size() > maxUpdates)
    recentUpdates.pop_front();
}

ConfigHistory::LookupResult ConfigHistory::find(const ConfigUpdate& update) const {
  // An update with a version is found by its version, whatever its base version, because a version
  // identifies the text of a configuration. An update without a version is found by its base
  // version, to which at most one update was applied.
  const bool namesVersion = update.version.value > 0;
  const auto key = namesVersion ? &ConfigUpdate::version : &ConfigUpdate::baseVersion;
  const auto found = std::lower_bound(recentUpdates.begin(), recentUpdates.end(), update,
                                      [key](const ConfigUpdate& left, const ConfigUpdate& right) {
                                        return left.*key < right.*key;
                                      });
  if (found != recentUpdates.end() && (*found).*key == update.*key)
    return found->digest == update.digest ? LookupResult{Outcome::applied, found->version}
                                          : LookupResult{Outcome::notApplied, ConfigVersion{}};
  // Dropped updates had both a lower version and a lower base version than the oldest one kept.
  const bool older = !recentUpdates.empty() &&
                     update.baseVersion < recentUpdates.front().baseVersion &&
                     (!namesVersion || update.version < recentUpdates.front().version);
  return LookupResult{older ? Outcome::tooOld : Outcome::notApplied, ConfigVersion{}};
}

}  // namespace aniseline
