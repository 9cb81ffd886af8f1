// Tests of configuration patches: their effect on a configuration's text, and mismatches with it.
// docs/design.md 6.1.
#include "state/config_patch.hpp"
#include <CppUTest/TestHarness.h>

using namespace aniseline;

namespace {

const char* const arrayConfig = R"({"version":5,"routes":[{"name":"a","ms":1},{"name":"b","ms":2}],
"services":[{"name":"s"}],"limits":{"bytes":7}})";
const char* const objectConfig = R"({"queues":{"proofs":{"retries":1},"plates":{}},"pools":{}})";

Result<std::string> applyPatch(const std::string& base, const std::string& patch) {
  auto parsed = ConfigPatch::parse(patch);
  if (!parsed)
    return parsed.error();
  return parsed.value().applyTo(base);
}
std::string patchedTextOf(const std::string& base, const std::string& patch) {
  const auto text = applyPatch(base, patch);
  return text ? text.value() : "error at " + text.error().details.at(0).path;
}
// Returns the path of the first error, or "none" if the patch fits the base.
std::string errorPathOf(const std::string& base, const std::string& patch) {
  const auto text = applyPatch(base, patch);
  return text ? "none" : text.error().details.at(0).path;
}

}  // namespace

TEST_GROUP(ConfigPatchTests){};

TEST(ConfigPatchTests, replacedItemsKeepTheirPlaceAndNewOnesAreAppended) {
  STRCMP_EQUAL(
      R"({"limits":{"bytes":7},"routes":[{"ms":9,"name":"a"},{"ms":2,"name":"b"},{"name":"c"}],"services":[{"name":"s"}],"version":9})",
      patchedTextOf(arrayConfig,
                    R"({"version":9,"upsert":{"routes":[{"name":"c"},{"name":"a","ms":9}]}})")
          .c_str());
}

TEST(ConfigPatchTests, itemsAreRemovedByName) {
  STRCMP_EQUAL(
      R"({"limits":{"bytes":7},"routes":[{"ms":2,"name":"b"}],"services":[],"version":6})",
      patchedTextOf(arrayConfig, R"({"version":6,"remove":{"routes":["a"],"services":["s"]}})")
          .c_str());
}

TEST(ConfigPatchTests, itemsRemovedAndUpsertedMoveToTheEnd) {
  STRCMP_EQUAL(
      R"({"routes":[{"name":"b"},{"name":"a"}],"version":2})",
      patchedTextOf(R"({"routes":[{"name":"a"},{"name":"b"}]})",
                    R"({"version":2,"upsert":{"routes":[{"name":"a"}]},"remove":{"routes":["a"]}})")
          .c_str());
}

TEST(ConfigPatchTests, objectsOfNamedItemsStayObjects) {
  STRCMP_EQUAL(
      R"({"pools":{},"queues":{"dielines":{"tries":2},"proofs":{"retries":3}}})",
      patchedTextOf(
          objectConfig,
          R"({"upsert":{"queues":{"proofs":{"retries":3},"dielines":{"tries":2}}},"remove":{"queues":["plates"]}})")
          .c_str());
}

// A patched configuration must not inherit the version of its base; the leader assigns a new one.
TEST(ConfigPatchTests, patchWithoutVersionRemovesTheVersion) {
  STRCMP_EQUAL(R"({"queues":{}})", patchedTextOf(R"({"version":5,"queues":{}})", "{}").c_str());
}

TEST(ConfigPatchTests, numbersKeepTheirValues) {
  STRCMP_EQUAL(
      R"({"routes":[{"name":"a","x":262144,"y":1.5}],"version":1})",
      patchedTextOf(R"({"routes":[]})",
                    R"({"version":1,"upsert":{"routes":[{"name":"a","x":262144,"y":1.5}]}})")
          .c_str());
}

TEST(ConfigPatchTests, mismatchesWithTheBaseAreReportedByPath) {
  const std::pair<const char*, const char*> cases[] = {
      {R"({"version":6,"remove":{"routes":["a","c"]}})", "/remove/routes/1"},
      {R"({"version":6,"remove":{"rowtes":["a"]}})", "/remove/rowtes"},
      {R"({"version":6,"upsert":{"rowtes":[{"name":"a"}]}})", "/upsert/rowtes"},
      {R"({"version":6,"upsert":{"limits":[{"name":"a"}]}})", "/upsert/limits"},
      {R"({"version":6,"upsert":{"version":[{"name":"a"}]}})", "/upsert/version"},
      {R"({"version":6,"remove":{"limits":["bytes"]}})", "/remove/limits"},
      {R"({"version":6,"upsert":{"routes":{"a":{}}}})", "/upsert/routes"},
      {R"({"version":6,"upsert":{"routes":[{"ms":1}]}})", "/upsert/routes/0"},
      {R"({"version":6,"upsert":{"routes":[{"name":"c"},{"name":""}]}})", "/upsert/routes/1"},
      {R"({"version":6,"upsert":{"routes":[{"name":7}]}})", "/upsert/routes/0"},
      {R"({"version":6,"upsert":{"routes":[{"name":"c"},{"name":"c"}]}})", "/upsert/routes/1/name"},
  };
  for (const auto& [patch, path] : cases)
    STRCMP_EQUAL(path, errorPathOf(arrayConfig, patch).c_str());
  STRCMP_EQUAL("/upsert/queues",
               errorPathOf(objectConfig, R"({"upsert":{"queues":[{"name":"a"}]}})").c_str());
  STRCMP_EQUAL("/upsert/queues/a",
               errorPathOf(objectConfig, R"({"upsert":{"queues":{"a":1}}})").c_str());
  STRCMP_EQUAL("/upsert/a/0/name", errorPathOf(R"({"a":[{"name":"x"},{"name":"x"}]})",
                                               R"({"upsert":{"a":[{"name":"x"}]}})")
                                       .c_str());
}

TEST(ConfigPatchTests, invalidPatchesAreRejectedByParse) {
  const std::pair<const char*, const char*> cases[] = {
      {"", ""},
      {"[]", ""},
      {R"({"version":6} x)", ""},
      {R"({"version":0})", "/version"},
      {R"({"version":"6"})", "/version"},
      {R"({"version":6,"upsert":[]})", "/upsert"},
      {R"({"version":6,"remove":{"routes":"a"}})", "/remove/routes"},
      {R"({"version":6,"remove":{"routes":[1]}})", "/remove/routes"},
      {R"({"version":6,"upserts":{}})", "/upserts"},
  };
  for (const auto& [patch, path] : cases) {
    const auto parsed = ConfigPatch::parse(patch);
    CHECK(!parsed);
    STRCMP_EQUAL(path, parsed.error().details.at(0).path.c_str());
  }
}

TEST(ConfigPatchTests, patchNeedsAnExistingConfiguration) {
  STRCMP_EQUAL("", errorPathOf("", R"({"version":1})").c_str());
}

// A whole configuration with the same text is a different update.
TEST(ConfigPatchTests, patchDigestDiffersFromConfigurationDigest) {
  CHECK(!(ConfigPatch::digestOf("{}") == TextDigest::of("{}")));
  CHECK(ConfigPatch::digestOf("{}") == ConfigPatch::digestOf("{}"));
  STRCMP_EQUAL(configPatchDigest("{\"a\": 1}").c_str(), configPatchDigest("{\"a\":1}").c_str());
}
