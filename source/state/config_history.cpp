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

void ConfigHistory::record(const ConfigOrder& order) {
  kept.push_back(order);
  if (kept.size() > keptOrders)
    kept.pop_front();
}

ConfigHistory::Finding ConfigHistory::find(const ConfigOrder& order) const {
  // One that names its version is found by that, whatever it builds on: the text under a version
  // is the config. One that names none is found by its base, on which one order at most was taken.
  const bool named = order.version.value > 0;
  const auto key = named ? &ConfigOrder::version : &ConfigOrder::base;
  const auto found = std::lower_bound(
      kept.begin(), kept.end(), order,
      [key](const ConfigOrder& left, const ConfigOrder& right) { return left.*key < right.*key; });
  if (found != kept.end() && (*found).*key == order.*key)
    return found->digest == order.digest ? Finding{Outcome::taken, found->version}
                                         : Finding{Outcome::notTaken, ConfigVersion{}};
  // What was dropped had both a lower version and a lower base than the earliest that is kept.
  const bool older = !kept.empty() && order.base < kept.front().base &&
                     (!named || order.version < kept.front().version);
  return Finding{older ? Outcome::forgotten : Outcome::notTaken, ConfigVersion{}};
}

}  // namespace aniseline
