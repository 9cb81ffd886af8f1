// Which configuration updates were applied, so that one which is sent again
// after its response was lost is answered by what became of it, and not by what
// is in force meanwhile. docs/design.md 6.1.
#ifndef ANISELINE_STATE_CONFIG_HISTORY_HPP
#define ANISELINE_STATE_CONFIG_HISTORY_HPP
#include "base/types.hpp"

namespace aniseline {

/// Tells texts apart: the name-based UUID of a text (RFC 9562, version 5: 122
/// bits of its SHA-1). Two different texts share one by accident about once in
/// 2^61 texts, which a checksum of 32 bits would reach after some ten thousand.
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

/// An operator's request to put a configuration in force: what identifies it
/// when it is repeated.
struct ConfigUpdate {
  ConfigVersion version;      // 0: the leader numbers it
  ConfigVersion baseVersion;  // the version that it builds on
  TextDigest digest;          // of the text as the operator wrote it
  bool operator==(const ConfigUpdate&) const = default;
  template <class Archive>
  void serialize(Archive& archive, unsigned) {
    archive& version& baseVersion& digest;
  }
};

/// The latest updates that were applied; part of the replicated state. Versions
/// rise, and each update builds on the version before it, so that both its
/// versions and its base versions are sorted, and a version or a base version
/// belongs to one update at most.
class ConfigHistory {
 public:
  // Updates kept: an operator gives up long before so many others were applied
  // after its own. At 32 bytes each they add 128 KiB to a snapshot at most.
  static constexpr std::size_t maxUpdates = 4096;

  enum class Outcome : std::uint8_t {
    applied,     // this very update, under the version that is found with it
    notApplied,  // surely not
    tooOld       // older than all that is kept: it is not known any more
  };
  struct LookupResult {
    Outcome outcome = Outcome::notApplied;
    ConfigVersion version;
  };

  void record(const ConfigUpdate& update);
  LookupResult find(const ConfigUpdate& update) const;
  /// The earliest first.
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
