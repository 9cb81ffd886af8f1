// A patch of the configuration: named items that are added, replaced or
// removed. The leader applies it to the text of the configuration that the
// patch is based on, and logs the result as a whole configuration, so that a
// replica needs no earlier one. docs/design.md 6.1.
#ifndef ANISELINE_STATE_CONFIG_PATCH_HPP
#define ANISELINE_STATE_CONFIG_PATCH_HPP
#include "base/json.hpp"
#include "state/config_history.hpp"

namespace aniseline {

/// Operators send it as
///   {"version": 9, "upsert": {LIST: ITEMS...}, "remove": {LIST: [NAME...]}}
/// where LIST is a list of the configuration. Its items are objects, either in
/// an array, each with its name in the field "name", or in an object under
/// their names; `upsert` gives them in the same form.
class ConfigPatch {
 public:
  using Removals = std::map<std::string, std::vector<std::string>>;  // names, by list

  /// The error names each fault of the patch itself by its path.
  static Result<ConfigPatch> parse(const std::string& text);
  /// What tells this patch from other patches, and from whole configurations.
  static TextDigest digestOf(const std::string& text);

  /// The version that the patched configuration gets; 0: the leader numbers it.
  ConfigVersion version() const { return givenVersion; }
  /// The text of the patched configuration, which is not checked further. An
  /// item that is replaced keeps its place, a new one goes to the end. The
  /// error names what does not fit the base: a list that it does not have, or
  /// an item to remove that is not there.
  Result<std::string> applyTo(const std::string& baseText) const;

 private:
  ConfigVersion givenVersion;
  picojson::object upserts;  // items by list, in the form of the base
  Removals removals;
};

/// ConfigPatch::digestOf, as text, of a patch's JSON without regard to white
/// space; empty if the text is not JSON.
std::string configPatchDigest(const std::string& text);

}  // namespace aniseline

#endif  // ANISELINE_STATE_CONFIG_PATCH_HPP
