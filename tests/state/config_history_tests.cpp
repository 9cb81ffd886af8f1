// Tests of the history of configuration updates and of text digests.
#include "state/config_history.hpp"

#include <CppUTest/TestHarness.h>
using namespace aniseline;

TEST_GROUP(ConfigHistoryTests) {
  ConfigHistory history;
  using Outcome = ConfigHistory::Outcome;
  static ConfigUpdate update(std::uint64_t version, std::uint64_t base,
                             const std::string& text = "text") {
    return {ConfigVersion{version}, ConfigVersion{base}, TextDigest::of(text)};
  }
  Outcome found(const ConfigUpdate& requested) const {
    return history.find(requested).outcome;
  }
};

TEST(ConfigHistoryTests, findsByVersionOrByBaseVersion) {
  CHECK(found(update(5, 0)) == Outcome::notApplied);
  history.record(update(5, 0));
  history.record(update(7, 5));
  history.record(update(12, 7, "other"));
  CHECK(found(update(7, 5)) == Outcome::applied);
  CHECK(found(update(7, 5, "other")) == Outcome::notApplied);
  CHECK(found(update(12, 7)) == Outcome::notApplied);
  CHECK(found(update(8, 7, "other")) == Outcome::notApplied);
  LONGS_EQUAL(12, history.find(update(0, 7, "other")).version.value);
  LONGS_EQUAL(5, history.find(update(0, 0)).version.value);
  CHECK(found(update(0, 6)) == Outcome::notApplied);
  CHECK(found(update(0, 12)) == Outcome::notApplied);
}

// The two texts have the same 32-bit checksum.
TEST(ConfigHistoryTests, textsWithTheSameChecksumAreDistinct) {
  const std::string one = "plumless", other = "buckeroo";
  LONGS_EQUAL(checksum(one), checksum(other));
  history.record(update(5, 0, one));
  CHECK(found(update(5, 0, other)) == Outcome::notApplied);
}

// For updates older than all kept ones the outcome is unknown. Updates within the kept range that
// are not found were not applied.
TEST(ConfigHistoryTests, updatesOlderThanTheHistoryAreTooOld) {
  const std::uint64_t dropped = 10, count = ConfigHistory::maxUpdates + dropped;
  for (std::uint64_t version = 1; version <= count; ++version)
    history.record(update(2 * version, 2 * version - 2));
  LONGS_EQUAL(ConfigHistory::maxUpdates, history.updates().size());
  const std::uint64_t earliest = 2 * (dropped + 1);
  CHECK(found(update(earliest, earliest - 2)) == Outcome::applied);
  CHECK(found(update(0, earliest - 2)) == Outcome::applied);
  CHECK(found(update(earliest - 2, earliest - 4)) == Outcome::tooOld);
  CHECK(found(update(0, earliest - 4)) == Outcome::tooOld);
  // Its base version is within the kept range.
  CHECK(found(update(earliest - 2, earliest)) == Outcome::notApplied);
  CHECK(found(update(earliest + 1, earliest - 4)) == Outcome::notApplied);
  const auto copy = unpack<ConfigHistory>(pack(history));
  CHECK(copy.value().find(update(2 * count, 2 * count - 2)).outcome == Outcome::applied);
}

TEST(ConfigHistoryTests, digestIsTheNameBasedUuid) {
  // For the nil namespace and "www.example.com", as computed by Python's uuid.uuid5.
  const TextDigest digest = TextDigest::of("www.example.com");
  CHECK(digest.high == 0x399fc331be2b5b56);
  CHECK(digest.low == 0xb676d6f38dae5aaa);
}
