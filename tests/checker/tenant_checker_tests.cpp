// Tests that the checker of API keys and tenant caps finds violations of rules 22 and 23 and
// nothing else. docs/design.md 11.
#include "checker/tenant_checker.hpp"
#include <CppUTest/TestHarness.h>

using namespace aniseline;

namespace {

constexpr std::int64_t firstAcknowledged = 1100;
constexpr std::int64_t secondSent = 2000;
constexpr std::int64_t secondAcknowledged = 2100;
constexpr std::int64_t longAfter = 60'000;

ObservedTenantConfig config(std::int64_t sentAt, std::optional<std::int64_t> acknowledgedAt,
                            const std::string& key, std::uint64_t cores) {
  ObservedTenantConfig made;
  made.sentAt = sentAt;
  made.acknowledgedAt = acknowledgedAt;
  TenantOptions tenant;
  tenant.keys = {ApiKeyDigest::of(key)};
  tenant.cap.cores = cores;
  made.tenants.requireKeys();
  made.tenants.add(TenantName{"north"}, tenant);
  return made;
}

HistoryEvent event(HistoryEvent::Kind kind, std::int64_t at, const std::string& job,
                   std::uint32_t cores = 1000) {
  HistoryEvent made;
  made.kind = kind;
  made.timestamp = at;
  made.job = job;
  made.worker = "a";
  made.attempt = "1";
  made.cores = cores;
  return made;
}

}  // namespace

TEST_GROUP(TenantCheckerTests) {
  // The API key changes from "old" to "new", and the cap from four cores to two.
  std::vector<ObservedTenantConfig> configs{config(1000, firstAcknowledged, "old", 4000),
                                            config(secondSent, secondAcknowledged, "new", 2000)};
  std::vector<HistoryEvent> history;

  std::size_t keyViolations(const char* key, std::int64_t sentAt, std::int64_t answeredAt,
                            bool accepted) const {
    const TenantChecker checker(configs, {});
    return checker.checkKeys({{ApiKeyDigest::of(key), sentAt, answeredAt, accepted}}).size();
  }
  void start(std::int64_t at, const std::string& job, std::uint32_t cores = 1000) {
    history.push_back(event(HistoryEvent::Kind::started, at, job, cores));
  }
  std::size_t capViolations() const {
    std::map<std::string, TenantName> tenants;
    for (const auto& each : history)
      tenants[each.job] = TenantName{"north"};
    return TenantChecker(configs, tenants).checkCaps(history).size();
  }
};

TEST(TenantCheckerTests, findsAnAcceptedRevokedKey) {
  LONGS_EQUAL(1, keyViolations("old", secondAcknowledged + 1, secondAcknowledged + 20, true));
  LONGS_EQUAL(0, keyViolations("old", secondAcknowledged + 1, secondAcknowledged + 20, false));
  LONGS_EQUAL(1, keyViolations("never", 1500, 1520, true));
}

TEST(TenantCheckerTests, findsARejectedValidKey) {
  LONGS_EQUAL(1, keyViolations("new", secondAcknowledged + 1, secondAcknowledged + 20, false));
  LONGS_EQUAL(0, keyViolations("new", secondAcknowledged + 1, secondAcknowledged + 20, true));
  LONGS_EQUAL(1, keyViolations("old", 1500, 1900, false));
}

TEST(TenantCheckerTests, acceptsEitherAnswerDuringAChange) {
  for (const bool accepted : {true, false}) {
    LONGS_EQUAL(0, keyViolations("old", 1990, 2050, accepted));
    LONGS_EQUAL(0, keyViolations("new", 1990, 2050, accepted));
  }
  // The new configuration was not sent yet when the answer came.
  LONGS_EQUAL(1, keyViolations("new", 1500, 1900, true));
}

TEST(TenantCheckerTests, anUnacknowledgedChangeMayBeInForceOrNot) {
  configs.back().acknowledgedAt.reset();
  for (const bool accepted : {true, false}) {
    LONGS_EQUAL(0, keyViolations("old", longAfter, longAfter + 20, accepted));
    LONGS_EQUAL(0, keyViolations("new", longAfter, longAfter + 20, accepted));
  }
}

TEST(TenantCheckerTests, findsAStartAboveTheCap) {
  start(1200, "one", 3000);
  start(1210, "two", 1500);  // exceeds the cap by part of one task, which is allowed
  LONGS_EQUAL(0, capViolations());
  start(1220, "three", 100);
  LONGS_EQUAL(1, capViolations());
}

TEST(TenantCheckerTests, endedRunsAreNotCounted) {
  start(1200, "one", 4500);
  history.push_back(event(HistoryEvent::Kind::ended, 1300, "one"));
  start(1310, "two");
  LONGS_EQUAL(0, capViolations());
  start(1320, "three", 4000);
  auto lost = event(HistoryEvent::Kind::workerLost, 1400, "");
  history.push_back(lost);
  start(1410, "four");
  LONGS_EQUAL(0, capViolations());
}

TEST(TenantCheckerTests, aLowerCapAppliesAfterOrdersInTransitArrived) {
  start(1200, "one", 3000);
  start(secondAcknowledged + 2000, "two");
  LONGS_EQUAL(0, capViolations());
  start(secondAcknowledged + 2600, "three");
  LONGS_EQUAL(1, capViolations());
}

// The tenant keeps its cap while it has open jobs.
TEST(TenantCheckerTests, anUnlistedTenantKeepsItsPreviousCap) {
  configs.push_back(ObservedTenantConfig{{}, 3000, 3100});
  start(1200, "one", 2500);
  start(9000, "two");
  LONGS_EQUAL(1, capViolations());
  configs.push_back(config(9500, 9600, "old", 1000));
  history.clear();
  start(4000, "three", 1500);
  start(9700, "four");  // ordered while the cap was two cores
  LONGS_EQUAL(0, capViolations());
}

TEST(TenantCheckerTests, lateOrdersAreCheckedAgainstThePreviousCap) {
  start(1200, "one", 3000);
  auto late = event(HistoryEvent::Kind::started, secondAcknowledged + 9000, "two");
  late.executedLate = true;
  history.push_back(late);
  LONGS_EQUAL(0, capViolations());
}
