// Tests the checker of configuration orders.
#include "checker/config_order_checker.hpp"

#include <CppUTest/TestHarness.h>
using namespace aniseline;

namespace {
using Kind = HistoryEvent::Kind;
HistoryEvent event(Kind kind, std::uint64_t base, const std::string& text,
                   std::uint64_t version = 0) {
  HistoryEvent given;
  given.kind = kind;
  given.baseVersion = base;
  given.digest = text;
  given.version = version;
  return given;
}
bool holds(const std::vector<HistoryEvent>& events) {
  ConfigOrderChecker checker;
  return std::none_of(events.begin(), events.end(), [&](const HistoryEvent& given) {
    return checker.observe(given).has_value();
  });
}
}  // namespace

TEST_GROUP(ConfigOrderCheckerTests){};

TEST(ConfigOrderCheckerTests, anAppliedOrderMayBeAcknowledgedAgain) {
  CHECK(holds({event(Kind::configSubmitted, 5, "a"), event(Kind::configSubmitted, 5, "b"),
               event(Kind::configAcknowledged, 5, "a", 7), event(Kind::configRejected, 5, "b"),
               event(Kind::configAcknowledged, 7, "c", 9),
               event(Kind::configAcknowledged, 5, "a", 7), event(Kind::configRejected, 5, "b")}));
}

// The first answer may have been lost, and another order may have been acknowledged since.
TEST(ConfigOrderCheckerTests, theFirstAcknowledgementMayBeDelayed) {
  CHECK(holds({event(Kind::configSubmitted, 5, "a"), event(Kind::configAcknowledged, 7, "c", 9),
               event(Kind::configAcknowledged, 5, "a", 7)}));
  CHECK(!holds({event(Kind::configAcknowledged, 7, "c", 9), event(Kind::configSubmitted, 5, "a"),
                event(Kind::configAcknowledged, 5, "a", 7)}));
}

TEST(ConfigOrderCheckerTests, onlyOneOfConflictingOrdersIsAcknowledged) {
  CHECK(!holds(
      {event(Kind::configAcknowledged, 5, "a", 7), event(Kind::configAcknowledged, 6, "b", 7)}));
  CHECK(!holds({event(Kind::configSubmitted, 5, "b"), event(Kind::configAcknowledged, 5, "a", 7),
                event(Kind::configAcknowledged, 5, "b", 8)}));
  CHECK(!holds(
      {event(Kind::configAcknowledged, 5, "a", 7), event(Kind::configAcknowledged, 5, "a", 8)}));
}

TEST(ConfigOrderCheckerTests, anOrderIsNotBothAcknowledgedAndRejected) {
  CHECK(!holds({event(Kind::configAcknowledged, 5, "a", 7),
                event(Kind::configAcknowledged, 7, "c", 9), event(Kind::configRejected, 5, "a")}));
  CHECK(!holds({event(Kind::configRejected, 5, "a"), event(Kind::configAcknowledged, 5, "a", 7)}));
}

// Older writers do not record the identity of an order. For them versions must increase.
TEST(ConfigOrderCheckerTests, versionsIncreaseWithoutOrderIdentity) {
  CHECK(holds(
      {event(Kind::configAcknowledged, 0, "", 1), event(Kind::configAcknowledged, 0, "", 2)}));
  CHECK(!holds(
      {event(Kind::configAcknowledged, 0, "", 2), event(Kind::configAcknowledged, 0, "", 2)}));
}
