// Which configs were taken, so that an order which is sent again after its answer was lost is
// answered by what it is and not by what is in force meanwhile. docs/design.md 6.1.
#ifndef ANISELINE_STATE_CONFIG_HISTORY_HPP
#define ANISELINE_STATE_CONFIG_HISTORY_HPP
#include "base/types.hpp"
#include <deque>

namespace aniseline {

// Tells texts apart: the name-based UUID of the text (RFC 9562, version 5: 122 bits of its SHA-1).
// Two different texts share one by accident about once in 2^61 texts, which a checksum of 32 bits
// would reach after some ten thousand.
struct TextDigest {
  std::uint64_t high = 0, low = 0;
  static TextDigest of(const std::string& text);
  std::string text() const { return std::to_string(high) + "-" + std::to_string(low); }
  bool operator==(const TextDigest&) const = default;
  template <class Archive>
  void serialize(Archive& archive, unsigned) {
    archive& high& low;
  }
};

// An operator's order to put a config in force: what makes it the same order when it comes again.
struct ConfigUpdate {
  ConfigVersion version;      // 0: the order leaves the number to us
  ConfigVersion baseVersion;  // the version that it builds on
  TextDigest digest;          // of the text as the operator wrote it
  bool operator==(const ConfigUpdate&) const = default;
  template <class Archive>
  void serialize(Archive& archive, unsigned) {
    archive& version& baseVersion& digest;
  }
};

// The orders that were taken, the latest of them; part of the replicated state. Versions rise, and
// each order builds on the version before it, so that both its versions and its bases are sorted,
// and a version or a base belongs to one order at most.
class ConfigHistory {
 public:
  // Orders kept: an operator gives up long before so many others were taken after its own. At 32
  // bytes each they add 128 KiB to a snapshot at most.
  static constexpr std::size_t maxUpdates = 4096;

  enum class Outcome : std::uint8_t {
    applied,     // this very order, under the version that is told with it
    notApplied,  // surely not
    tooOld       // older than all that is kept: nobody can tell any more
  };
  struct LookupResult {
    Outcome outcome = Outcome::notApplied;
    ConfigVersion version;
  };

  void record(const ConfigUpdate& order);
  LookupResult find(const ConfigUpdate& order) const;
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
