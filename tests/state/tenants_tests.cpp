// Tests of tenants in the configuration: keys, caps, validation, serialization, and the effect of
// changes on existing work. docs/design.md 6.7.
#include "state/cluster_state_fixture.hpp"
#include "state/tenants.hpp"

using namespace aniseline;

namespace {

constexpr const char* withTenants =
    R"({"pools":{"press":{}},"queues":{"q":{"pool":"press","tries":3}},
      "entrances":[{"host":"h","prefix":"/a/","queue":"q"},{"host":"h","prefix":"/b/","queue":"q","public":true}],
      "tenants":{"north":{"api_keys":["k1","k2"],"weight":3,"cap":{"cores":2.5,"memory_mb":800,"accelerators":1}},
                 "south":{"api_keys":["k3"]}}})";

std::string errorsOf(const std::string& tenants) {
  const auto parsed = ClusterConfig::parse(R"({"queues":{"q":{}},"tenants":)" + tenants + "}");
  return parsed ? "" : parsed.error().text();
}

}  // namespace

TEST_GROUP(TenantsTests){};

TEST(TenantsTests, configurationDefinesTenantsWithKeysAndCaps) {
  const auto parsed = ClusterConfig::parse(withTenants);
  CHECK(parsed.has_value());
  const TenantDirectory& tenants = parsed.value().tenants;
  LONGS_EQUAL(2, tenants.all().size());
  LONGS_EQUAL(3, tenants.keyCount());
  STRCMP_EQUAL("north", tenants.findByKey(ApiKeyDigest::of("k2"))->value.c_str());
  STRCMP_EQUAL("south", tenants.findByKey(ApiKeyDigest::of("k3"))->value.c_str());
  CHECK(tenants.findByKey(ApiKeyDigest::of("k4")) == nullptr);
  const TenantOptions& north = *tenants.find(TenantName{"north"});
  LONGS_EQUAL(2500, north.cap.cores);
  LONGS_EQUAL(800, north.cap.memory);
  LONGS_EQUAL(1, north.cap.accelerators);
  DOUBLES_EQUAL(3, north.weight, 0);
  CHECK_FALSE(tenants.find(TenantName{"south"})->cap.isLimited());
}

TEST(TenantsTests, emptyKeysMatchNoTenant) {
  const auto parsed = ClusterConfig::parse(withTenants);
  CHECK(parsed.value().tenants.findByKey(ApiKeyDigest::of("")) == nullptr);
  CHECK(parsed.value().tenants.findByKey(ApiKeyDigest{}) == nullptr);
}

TEST(TenantsTests, routesRequireKeysUnlessPublicOrWithoutTenants) {
  const auto parsed = ClusterConfig::parse(withTenants);
  CHECK(parsed.value().tenants.requiresKeyFor("h", "/a/"));
  CHECK_FALSE(parsed.value().tenants.requiresKeyFor("h", "/b/"));
  const auto open = ClusterConfig::parse(R"({"queues":{"q":{}}})");
  CHECK_FALSE(open.value().tenants.requiresKeyFor("h", "/a/"));
  const auto withEmptyTenants = ClusterConfig::parse(R"({"queues":{"q":{}},"tenants":{}})");
  CHECK(withEmptyTenants.value().tenants.requiresKeyFor("h", "/a/"));
}

TEST(TenantsTests, duplicateKeysAndOtherErrorsAreReportedByPath) {
  STRCMP_EQUAL("/tenants/south/api_keys: has a key that tenant north has too",
               errorsOf(R"({"north":{"api_keys":["k"]},"south":{"api_keys":["k"]}})").c_str());
  CHECK(errorsOf(R"({"north":{"api_keys":[7]}})").find("/tenants/north/api_keys") == 0);
  CHECK(errorsOf(R"({"north":{"api_keys":[""]}})").find("/tenants/north/api_keys") == 0);
  CHECK(errorsOf(R"({"north":{"cap":{"cores":-1}}})").find("/tenants/north/cap/cores") == 0);
  CHECK(errorsOf(R"({"north":{"cap":{"watts":1}}})").find("/tenants/north/cap") == 0);
  CHECK(errorsOf(R"({"north":{"key":"k"}})").find("/tenants/north") == 0);
  STRCMP_EQUAL("", errorsOf(R"({"north":{"api_keys":["k","l"]},"south":{}})").c_str());
}

TEST(TenantsTests, keysAreStoredAsDigestsOnly) {
  const auto parsed = ClusterConfig::parse(withTenants);
  CHECK(pack(parsed.value().tenants).find("k1") == std::string::npos);
}

TEST(TenantsTests, serializedConfigurationWithTenantsRoundTrips) {
  const auto parsed = ClusterConfig::parse(withTenants);
  const auto read = unpack<ClusterConfig>(pack(parsed.value()));
  CHECK(read.has_value());
  CHECK(pack(read.value()) == pack(parsed.value()));
  LONGS_EQUAL(3, read.value().tenants.keyCount());
  CHECK_FALSE(read.value().tenants.requiresKeyFor("h", "/b/"));
}

// Stored data of clusters without tenants keeps its format; stored_data_tests.cpp reads examples of
// it.
TEST(TenantsTests, withoutTenantsSerializedBytesAreUnchanged) {
  JobSubmission job;
  job.payload = "work";
  const std::string withoutTenant = pack(job);
  CHECK(withoutTenant.ends_with(pack(std::string("work"))));
  job.tenant = TenantName{"north"};
  const std::string withTenant = pack(job);
  LONGS_EQUAL(withoutTenant.size() + pack(job.tenant).size(), withTenant.size());
  STRCMP_EQUAL("north", unpack<JobSubmission>(withTenant).value().tenant.value.c_str());
  CHECK(unpack<JobSubmission>(withoutTenant).value().tenant == TenantName{});
}

// Reads the bytes as a program without support for sections would.
TEST(TenantsTests, readerWithoutSectionSupportRejectsThem) {
  JobSubmission job;
  job.tenant = TenantName{"north"};
  OutputArchive archive;
  serializeTextWithSection(archive, job.payload, job.tenant);
  const auto read = unpack<std::string>(archive.bytes);
  CHECK_FALSE(read.has_value());
}

TEST_GROUP(TenantChangesTests) {
  ClusterStateFixture fixture{withTenants};
  std::uint64_t version = 1;

  void setup() override {
    fixture.registerWorker("a", {.cores = 16'000});
  }
  void submit(const std::string& id, const std::string& tenant, std::size_t tasks,
              bool gang = false) {
    JobSubmission job;
    job.id = JobId{id};
    job.queue = QueueName{"q"};
    job.tenant = TenantName{tenant};
    job.steps = {ClusterStateFixture::step(tasks, 1000, {}, gang)};
    job.steps[0].name = "0";
    fixture.apply(JobAccepted{std::move(job)});
  }
  void configure(const std::string& tenants) {
    auto config = ClusterConfig::parse(
        R"({"pools":{"press":{}},"queues":{"q":{"pool":"press","tries":3}},"tenants":)" + tenants +
        "}");
    CHECK_TEXT(config.has_value(), config ? "" : config.error().text().c_str());
    config.value().version = ConfigVersion{++version};
    fixture.apply(ConfigCommitted{config.value()});
  }
  std::size_t attemptsIn(AttemptState state) const {
    std::size_t count = 0;
    for (const auto& [number, attempt] : fixture.clusterState.attempts())
      count += attempt.state == state;
    return count;
  }
  const TenantOptions* tenant(const char* name) const {
    return fixture.clusterState.config().tenants.find(TenantName{name});
  }
};

TEST(TenantChangesTests, removedTenantWithOpenJobsKeepsItsCapWithoutKeys) {
  submit("job", "north", 1);
  configure(R"({"south":{"api_keys":["k3"]}})");
  CHECK(tenant("north") != nullptr);
  LONGS_EQUAL(0, tenant("north")->keys.size());
  LONGS_EQUAL(2500, tenant("north")->cap.cores);
  CHECK(fixture.clusterState.config().tenants.findByKey(ApiKeyDigest::of("k1")) == nullptr);
  // The tenant is kept only until its jobs have ended.
  fixture.apply(JobCancelled{JobId{"job"}});
  configure(R"({"south":{"api_keys":["k3"]}})");
  CHECK(tenant("north") == nullptr);
}

TEST(TenantChangesTests, removedTenantWithoutOpenJobsIsDropped) {
  configure(R"({"south":{"api_keys":["k3"]}})");
  CHECK(tenant("north") == nullptr);
}

TEST(TenantChangesTests, anotherTenantMayUseTheKeysOfARemovedOne) {
  submit("job", "north", 1);
  configure(R"({"south":{"api_keys":["k1"]}})");
  STRCMP_EQUAL(
      "south",
      fixture.clusterState.config().tenants.findByKey(ApiKeyDigest::of("k1"))->value.c_str());
}

// The orders of unreported starts may not have reached the worker, for example because it is cut
// off. It would then start them long after the change.
TEST(TenantChangesTests, unreportedStartsAreStoppedWhenACapIsLowered) {
  submit("job", "south", 6);
  fixture.plan();
  LONGS_EQUAL(6, attemptsIn(AttemptState::ordered));
  configure(R"({"south":{"api_keys":["k3"],"cap":{"cores":2}}})");
  LONGS_EQUAL(2, attemptsIn(AttemptState::ordered));
  LONGS_EQUAL(4, attemptsIn(AttemptState::stopping));
  const Worker& worker = fixture.clusterState.workers().at(WorkerId{"a"});
  std::size_t starts = 0;
  for (const auto& order : worker.unappliedOrders)
    starts += order.kind == OrderKind::start;
  LONGS_EQUAL(2, starts);
}

TEST(TenantChangesTests, runningAttemptsContinueWhenACapIsLowered) {
  submit("job", "south", 6);
  fixture.planAndRun();
  configure(R"({"south":{"api_keys":["k3"],"cap":{"cores":2}}})");
  LONGS_EQUAL(6, attemptsIn(AttemptState::running));
  STRCMP_EQUAL("", fixture.plan().c_str());
}

TEST(TenantChangesTests, startStoppedByACapIsNotCounted) {
  submit("job", "south", 1);
  fixture.plan();
  const AttemptNumber attempt = fixture.attempt("job");
  configure(R"({"south":{"api_keys":["k3"],"cap":{"cores":0.5}}})");
  CHECK(fixture.clusterState.attempts().at(attempt).state == AttemptState::stopping);
  fixture.endAttempt(attempt, AttemptOutcome::stopped);
  const Task& task = fixture.clusterState.jobs().at(JobId{"job"}).tasks[0];
  CHECK(task.state == TaskState::pending);
  LONGS_EQUAL(0, task.failureCount);
}

TEST(TenantChangesTests, gangsAreStoppedAsAWhole) {
  submit("gang", "south", 3, true);
  fixture.plan();
  LONGS_EQUAL(3, attemptsIn(AttemptState::ordered));
  configure(R"({"south":{"api_keys":["k3"],"cap":{"cores":2}}})");
  LONGS_EQUAL(3, attemptsIn(AttemptState::stopping));
}

TEST(TenantChangesTests, otherTenantsAndHigherCapsStopNothing) {
  submit("south-job", "south", 2);
  submit("north-job", "north", 2);
  fixture.plan();
  configure(
      R"({"south":{"api_keys":["k3"],"cap":{"cores":4}},"north":{"cap":{"cores":9,"memory_mb":900,"accelerators":1}}})");
  LONGS_EQUAL(4, attemptsIn(AttemptState::ordered));
}
