// A patch of the configuration that adds, replaces or removes named items. The leader applies it to
// the text of the base configuration and logs the resulting whole configuration, so that replicas
// need no earlier one. docs/design.md 6.1.
#ifndef ANISELINE_STATE_CONFIG_PATCH_HPP
#define ANISELINE_STATE_CONFIG_PATCH_HPP
#include "base/json.hpp"
#include "state/config_history.hpp"

namespace aniseline {

/// A patch has the form
///   {"version": 9, "upsert": {LIST: ITEMS...}, "remove": {LIST: [NAME...]}}
/// where LIST is a list of the configuration. The items of a list are objects, either in an array,
/// each with its name in the field "name", or in an object keyed by their names. `upsert` gives the
/// items in the same form as the configuration.
class ConfigPatch {
 public:
  using Removals = std::map<std::string, std::vector<std::string>>;  // names of items, by list

  /// Parses a patch. The error lists all errors in the patch itself with their paths.
  static Result<ConfigPatch> parse(const std::string& text);
  /// Returns a digest that distinguishes the patch from other patches and from whole
  /// configurations.
  static TextDigest digestOf(const std::string& text);

  /// Returns the version of the patched configuration; 0: the leader assigns it.
  ConfigVersion version() const { return givenVersion; }
  /// Returns the text of the patched configuration, without validating it further. A replaced item
  /// keeps its place and a new one is appended. The error names the first mismatch with the base: a
  /// list that it does not have, or an item to remove that does not exist.
  Result<std::string> applyTo(const std::string& baseText) const;

 private:
  ConfigVersion givenVersion;
  picojson::object upserts;  // items by list, in the same form as in the base
  Removals removals;
};

/// Returns ConfigPatch::digestOf, as text, of a patch's JSON with white space ignored, or an empty
/// string if the text is not JSON.
std::string configPatchDigest(const std::string& text);

}  // namespace aniseline

#endif  // ANISELINE_STATE_CONFIG_PATCH_HPP
