// Tests of the expiry of gateway contacts.
#include "controller/gateway_registry.hpp"
#include <CppUTest/TestHarness.h>

using namespace aniseline;

TEST_GROUP(GatewayRegistryTests) {
  GatewayRegistry registry;
  const GatewayEndpoint gateway{Address{"g:1"}, ZoneName{"z"}};
};

TEST(GatewayRegistryTests, aGatewayIsLiveForTenSecondsAfterItsLastContact) {
  registry.recordContact(gateway, MonotonicTime{0});
  registry.recordContact(gateway, MonotonicTime{5000});
  LONGS_EQUAL(1, registry.live(MonotonicTime{14'999}).size());
  STRCMP_EQUAL("g:1", registry.live(MonotonicTime{14'999}).front().address.value.c_str());
  STRCMP_EQUAL("z", registry.live(MonotonicTime{14'999}).front().zone.value.c_str());
  CHECK(registry.live(MonotonicTime{15'000}).empty());
}

TEST(GatewayRegistryTests, aStaleGatewayIsRemoved) {
  registry.recordContact(gateway, MonotonicTime{0});
  registry.removeStale(MonotonicTime{10'000});
  LONGS_EQUAL(1, registry.all().size());
  registry.removeStale(MonotonicTime{10'001});
  CHECK(registry.all().empty());
}
