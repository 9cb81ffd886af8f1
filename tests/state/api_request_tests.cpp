#include "state/api_request.hpp"
#include <cmath>

#include <CppUTest/TestHarness.h>
using namespace aniseline;

TEST_GROUP(ExchangeTests){};

TEST(ExchangeTests, badBodiesAreNamedAndNothingElse) {
  struct Case {
    const char* method;
    const char* target;
    const char* body;
    const char* part;
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
  for (const auto& bad : cases) {
    auto parsed = ApiRequest::parse(bad.method, bad.target, bad.body);
    CHECK_TEXT(!parsed.has_value(), bad.body);
    CHECK_TEXT(parsed.error().text().find(bad.part) != std::string::npos,
               parsed.error().text().c_str());
  }
}

TEST(ExchangeTests, aFloodOfOtherWorkLeavesRoomForUrgent) {
  LeaderRoute view;
  view.priorityQueues = {QueueName{"proofs"}};
  ApiRequest plain, urgent, sync;
  plain.kind = urgent.kind = RequestKind::submitJob;
  plain.job.queue = QueueName{"plates"};
  urgent.job.queue = QueueName{"proofs"};
  sync.kind = RequestKind::syncWorker;
  CHECK(view.admits(plain, 79, 100));
  CHECK(!view.admits(plain, 80, 100));
  CHECK(view.admits(urgent, 99, 100));
  CHECK(!view.admits(urgent, 100, 100));
  CHECK(view.admits(sync, 1000, 100));
}

TEST(ExchangeTests, aJobSurvivesItsOwnRendering) {
  auto parsed = ApiRequest::parse(
      "POST", "/v1/jobs",
      R"({"id":"a","queue":"q","steps":[{"name":"x","gang":true,"tasks":[{"count":3,"cores":2,"memory_mb":5,"runtime_ms":7,"payload":"p"}]}]})");
  CHECK(parsed.has_value());
  auto again = ApiRequest::parse("POST", "/v1/jobs", renderJobSubmission(parsed.value().job));
  CHECK(again.has_value());
  LONGS_EQUAL(parsed.value().job.digest(), again.value().job.digest());
}
