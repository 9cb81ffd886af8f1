// Tests of parsing the cluster configuration.
#include "state/cluster_config.hpp"
#include <muParser.h>
#include <cmath>

#include <CppUTest/TestHarness.h>
using namespace aniseline;

TEST_GROUP(ClusterConfigTests){};

TEST(ClusterConfigTests, parsesACompleteConfiguration) {
  auto config = ClusterConfig::parse(
      R"({"policies":{"short":{"rank":"expansion + urgency","may_hold":"runtime > 0.1"}},
        "queues":{"proofs":{"urgency":9,"retries":2,"policy":"short","trial":{"quantum_ms":5000}}}})");
  CHECK(config.has_value());
  LONGS_EQUAL(5000, config.value().findQueue(QueueName{"proofs"})->trial.quantum.milliseconds);
  LONGS_EQUAL(600000,
              config.value().findQueue(QueueName{"proofs"})->trial.minimumRuntime.milliseconds);
}

TEST(ClusterConfigTests, reportsEveryErrorWithItsPath) {
  auto config = ClusterConfig::parse(R"({"policies":{"odd":{"rank":"wait +"}},
        "queues":{"proofs":{"urgency":"high","retries":-1,"colour":1,"policy":"none"}}})");
  CHECK(!config.has_value());
  std::string text = config.error().text();
  for (const char* path : {"/policies/odd/rank", "/queues/proofs/urgency", "/queues/proofs/retries",
                           "/queues/proofs/colour", "/queues/proofs/policy"})
    CHECK_TEXT(text.find(path) != std::string::npos,
               (std::string(path) + " missing from " + text).c_str());
}
