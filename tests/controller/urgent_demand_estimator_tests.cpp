// The peak of urgent demand halves every five seconds.
#include "controller/urgent_demand_estimator.hpp"
#include <CppUTest/TestHarness.h>

using namespace aniseline;

TEST_GROUP(UrgentDemandEstimatorTests) {
  UrgentDemandEstimator estimator;
};

TEST(UrgentDemandEstimatorTests, peakDecaysUnlessExceeded) {
  estimator.record({{"pool", 8000}}, MonotonicTime{1000});
  LONGS_EQUAL(8000, estimator.demand(MonotonicTime{1000}).at("pool"));
  LONGS_EQUAL(4000, estimator.demand(MonotonicTime{6000}).at("pool"));
  estimator.record({{"pool", 1000}}, MonotonicTime{6000});
  LONGS_EQUAL(4000, estimator.demand(MonotonicTime{6000}).at("pool"));
  estimator.record({{"pool", 6000}}, MonotonicTime{6000});
  LONGS_EQUAL(6000, estimator.demand(MonotonicTime{6000}).at("pool"));
}

TEST(UrgentDemandEstimatorTests, clearForgetsEveryPool) {
  estimator.record({{"pool", 8000}}, MonotonicTime{1000});
  estimator.clear();
  CHECK(estimator.demand(MonotonicTime{1000}).empty());
}
