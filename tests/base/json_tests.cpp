// Tests of JSON parsing: untrusted text gives errors instead of exceptions, and numbers are
// clamped.
#include "base/json.hpp"
#include "net/json_worker_protocol.hpp"
#include "state/cluster_config.hpp"

#include <CppUTest/TestHarness.h>
using namespace aniseline;

TEST_GROUP(JsonTests) {
  picojson::value root;
};

// Any process may send these texts: each must give an error, not an exception. docs/design.md 9.4.
TEST(JsonTests, invalidJsonGivesAnError) {
  STRCMP_EQUAL("", parseJson(root, R"({"a":[1,2]} )", true).c_str());
  STRCMP_EQUAL("a number is too large", parseJson(root, R"({"a":1e999})").c_str());
  STRCMP_EQUAL("a number is too large", parseJson(root, "-1e999").c_str());
  STRCMP_EQUAL("is nested too deep", parseJson(root, std::string(100'000, '[')).c_str());
  STRCMP_EQUAL("unexpected text after the value", parseJson(root, "1 x", true).c_str());
  STRCMP_EQUAL("", parseJson(root, "1 x").c_str());
  CHECK(!parseJson(root, "{").empty());
  CHECK(!parseJson(root, "").empty());
}

TEST(JsonTests, numbersAreClampedToTheirType) {
  LONGS_EQUAL(0, clampToInteger<std::uint32_t>(-5));
  LONGS_EQUAL(0xffffffffu, clampToInteger<std::uint32_t>(1e300));
  LONGS_EQUAL(0, clampToInteger<std::uint64_t>(-1));
  CHECK(clampToInteger<std::int64_t>(1e300) == std::int64_t(1) << 53);
  CHECK(clampToInteger<std::int64_t>(-1e300) == -(std::int64_t(1) << 53));
  LONGS_EQUAL(-7, clampToInteger<std::int64_t>(-7.9));
}

// Guards against exceptions that ended the process: in a gateway on the response of a worker, and
// in an operator's command on a file.
TEST(JsonTests, readersRejectTooLargeNumbers) {
  CHECK(!SyncResponse::parse(R"({"term":"1","lease_ms":1e999})").has_value());
  CHECK(!ClusterConfig::parse(R"({"queues":1e999})").has_value());
  CHECK(!ApiRequest::parse("POST", "/v1/jobs", R"({"id":1e999})").has_value());
}
