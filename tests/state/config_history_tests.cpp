#include "state/config_history.hpp"

#include <CppUTest/TestHarness.h>
using namespace aniseline;

TEST_GROUP(ConfigHistoryTests) {
  ConfigHistory history;
  using Outcome = ConfigHistory::Outcome;
  static ConfigUpdate order(std::uint64_t version, std::uint64_t base,
                            const std::string& text = "text") {
    return {ConfigVersion{version}, ConfigVersion{base}, TextDigest::of(text)};
  }
  Outcome found(const ConfigUpdate& asked) const {
    return history.find(asked).outcome;
  }
};

TEST(ConfigHistoryTests, findsByVersionOrByBase) {
  CHECK(found(order(5, 0)) == Outcome::notApplied);
  history.record(order(5, 0));
  history.record(order(7, 5));
  history.record(order(12, 7, "other"));
  CHECK(found(order(7, 5)) == Outcome::applied);
  CHECK(found(order(7, 5, "other")) == Outcome::notApplied);
  CHECK(found(order(12, 7)) == Outcome::notApplied);
  CHECK(found(order(8, 7, "other")) == Outcome::notApplied);
  LONGS_EQUAL(12, history.find(order(0, 7, "other")).version.value);
  LONGS_EQUAL(5, history.find(order(0, 0)).version.value);
  CHECK(found(order(0, 6)) == Outcome::notApplied);
  CHECK(found(order(0, 12)) == Outcome::notApplied);
}

// The two texts have the same checksum of 32 bits.
TEST(ConfigHistoryTests, textsThatShareAChecksumAreTwo) {
  const std::string one = "plumless", other = "buckeroo";
  LONGS_EQUAL(checksum(one), checksum(other));
  history.record(order(5, 0, one));
  CHECK(found(order(5, 0, other)) == Outcome::notApplied);
}

// Nobody can tell whether what is older than all that is kept was taken; what would be among the
// kept ones was not.
TEST(ConfigHistoryTests, whatFellOutIsForgottenNotRefused) {
  const std::uint64_t dropped = 10, count = ConfigHistory::maxUpdates + dropped;
  for (std::uint64_t version = 1; version <= count; ++version)
    history.record(order(2 * version, 2 * version - 2));
  LONGS_EQUAL(ConfigHistory::maxUpdates, history.updates().size());
  const std::uint64_t earliest = 2 * (dropped + 1);
  CHECK(found(order(earliest, earliest - 2)) == Outcome::applied);
  CHECK(found(order(0, earliest - 2)) == Outcome::applied);
  CHECK(found(order(earliest - 2, earliest - 4)) == Outcome::tooOld);
  CHECK(found(order(0, earliest - 4)) == Outcome::tooOld);
  CHECK(found(order(earliest - 2, earliest)) == Outcome::notApplied);  // its base is kept
  CHECK(found(order(earliest + 1, earliest - 4)) == Outcome::notApplied);
  const auto copy = unpack<ConfigHistory>(pack(history));
  CHECK(copy.value().find(order(2 * count, 2 * count - 2)).outcome == Outcome::applied);
}

TEST(ConfigHistoryTests, theDigestIsTheNamedUuid) {
  // Of the nil namespace and "www.example.com", as Python's uuid.uuid5 gives it.
  const TextDigest digest = TextDigest::of("www.example.com");
  CHECK(digest.high == 0x399fc331be2b5b56);
  CHECK(digest.low == 0xb676d6f38dae5aaa);
}
