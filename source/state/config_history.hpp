// History of applied configuration updates. An update that is resent because its response was lost
// is answered by its own outcome, not by the current configuration. docs/design.md 6.1.
#ifndef ANISELINE_STATE_CONFIG_HISTORY_HPP
#define ANISELINE_STATE_CONFIG_HISTORY_HPP
#include "base/types.hpp"

namespace aniseline {

/// Identifies a text: the name-based UUID of the text (RFC 9562, version 5: 122 bits of its SHA-1).
/// The chance of a collision is about one in 2^61 texts; a 32-bit checksum would collide after some
/// ten thousand texts.
struct TextDigest {
  std::uint64_t high = 0;
  std::uint64_t low = 0;
  static TextDigest of(const std::string& text);
  std::string text() const { return std::to_string(high) + "-" + std::to_string(low); }
  bool operator==(const TextDigest&) const = default;
  template <class Archive>
  void serialize(Archive& archive, unsigned) {
    archive& high& low;
  }
};

/// An operator's request to apply a configuration: the fields that identify it when it is repeated.
struct ConfigUpdate {
  ConfigVersion version;      // 0: the leader assigns it
  ConfigVersion baseVersion;  // the version that it replaces
  TextDigest digest;          // digest of the text as written by the operator
  bool operator==(const ConfigUpdate&) const = default;
  template <class Archive>
  void serialize(Archive& archive, unsigned) {
    archive& version& baseVersion& digest;
  }
};

/// The latest applied updates; part of the replicated state. Versions increase and each update
/// replaces the version before it, so both versions and base versions are sorted, and each belongs
/// to at most one update.
class ConfigHistory {
 public:
  // Maximum number of updates kept: operators give up long before so many later updates have been
  // applied. At 32 bytes each they add at most 128 KiB to a snapshot.
  static constexpr std::size_t maxUpdates = 4096;

  enum class Outcome : std::uint8_t {
    applied,     // this update was applied, with the version in the result
    notApplied,  // the update was certainly not applied
    tooOld       // older than all updates kept, so its outcome is unknown
  };
  struct LookupResult {
    Outcome outcome = Outcome::notApplied;
    ConfigVersion version;
  };

  void record(const ConfigUpdate& update);
  LookupResult find(const ConfigUpdate& update) const;
  /// Returns the updates, oldest first.
  const std::deque<ConfigUpdate>& updates() const { return recentUpdates; }

  template <class Archive>
  void serialize(Archive& archive, unsigned) {
    archive& recentUpdates;
  }

 private:
  std::deque<ConfigUpdate> recentUpdates;  // the earliest first
};

}  // namespace aniseline

#endif  // ANISELINE_STATE_CONFIG_HISTORY_HPP
