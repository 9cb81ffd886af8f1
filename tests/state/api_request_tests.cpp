// Tests of parsing API requests, rendering submissions, and admitting requests under load.
#include "state/api_request.hpp"
#include <cmath>

#include <CppUTest/TestHarness.h>
using namespace aniseline;

TEST_GROUP(ApiRequestTests){};

TEST(ApiRequestTests, invalidRequestsAreRejectedWithThePathOfTheError) {
  struct Case {
    const char* method;
    const char* target;
    const char* body;
    const char* expectedText;
  };
  const Case cases[] = {
      {"POST", "/v1/jobs", "{", "not JSON"},
      {"POST", "/v1/jobs", "[[[[[[[[[[[[[[[[[[[[[[[[[[[[[[[[[[[[[[[[[[[[[[[[[[", "nested too deep"},
      {"POST", "/v1/jobs", "[]", "must be an object"},
      {"POST", "/v1/jobs",
       R"({"id":"a","queue":"q","steps":[{"tasks":[{"cores":0,"memory_mb":1,"runtime_ms":1}]}]})",
       "/steps/0/tasks/0/cores"},
      {"POST", "/v1/jobs",
       R"({"id":"a","queue":"q","colour":1,"steps":[{"tasks":[{"cores":1,"memory_mb":1,"runtime_ms":1}]}]})",
       "/colour"},
      {"POST", "/v1/jobs",
       R"({"id":"a","queue":"q","steps":[{"tasks":[{"cores":1e99,"memory_mb":1,"runtime_ms":1}]}]})",
       "/steps/0/tasks/0/cores"},
      {"POST", "/v1/jobs",
       R"({"id":"a","queue":"q","steps":[{"tasks":[{"count":1000000,"cores":1,"memory_mb":1,"runtime_ms":1}]}]})",
       "/count"},
      {"POST", "/v1/workers/m/sync",
       R"({"incarnation":"99999999999999999999","cores":1,"memory_mb":1,"last_order":"0"})",
       "/incarnation"},
      {"PUT", "/v1/config", R"({"config":{}})", "/based_on"},
      {"PATCH", "/v1/jobs", "", "there is no"},
      {"GET", "/v1/jobs/a/b/c", "", "there is no"},
  };
  for (const auto& invalid : cases) {
    auto parsed = ApiRequest::parse(invalid.method, invalid.target, invalid.body);
    CHECK_TEXT(!parsed.has_value(), invalid.body);
    CHECK_TEXT(parsed.error().text().find(invalid.expectedText) != std::string::npos,
               parsed.error().text().c_str());
  }
}

TEST(ApiRequestTests, ordinarySubmissionsLeaveCapacityForPriorityQueues) {
  LeaderRoute route;
  route.priorityQueues = {QueueName{"proofs"}};
  ApiRequest ordinary, urgent, sync;
  ordinary.kind = urgent.kind = RequestKind::submitJob;
  ordinary.job.queue = QueueName{"plates"};
  urgent.job.queue = QueueName{"proofs"};
  sync.kind = RequestKind::syncWorker;
  CHECK(route.admits(ordinary, 79, 100));
  CHECK(!route.admits(ordinary, 80, 100));
  CHECK(route.admits(urgent, 99, 100));
  CHECK(!route.admits(urgent, 100, 100));
  CHECK(route.admits(sync, 1000, 100));
}

TEST(ApiRequestTests, renderedSubmissionParsesToTheSameJob) {
  auto parsed = ApiRequest::parse(
      "POST", "/v1/jobs",
      R"({"id":"a","queue":"q","steps":[{"name":"x","gang":true,"tasks":[{"count":3,"cores":2,"memory_mb":5,"runtime_ms":7,"payload":"p"}]}]})");
  CHECK(parsed.has_value());
  auto again = ApiRequest::parse("POST", "/v1/jobs", renderJobSubmission(parsed.value().job));
  CHECK(again.has_value());
  LONGS_EQUAL(parsed.value().job.digest(), again.value().job.digest());
}
