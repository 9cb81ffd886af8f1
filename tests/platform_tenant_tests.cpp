// Tests API keys and tenant caps through the platform's requests and responses and a cluster of
// controllers, without sockets and real clocks. Two incidents are reproduced:
//
// Revoked keys were accepted. Requests with a revoked key were accepted, with status 200, seconds
// after the configuration that removed the key was acknowledged, by processes that had been healthy
// throughout: version 8 had the key, version 12 removed it half a second later, and requests 2.6 s
// and 4.8 s after that were accepted. The cause: no code read the header `Authorization` or the
// list of tenants. Version 12 was in effect, because the same controllers rejected a path that it
// had removed at once, and a key that no version had ever contained was accepted as well.
//
// A tenant exceeded its cap. A tenant ran 230 cores at once, though its cap allowed 180 plus one
// task that crosses the limit. One or several wide jobs reached an idle fleet, and every task was
// started. The cause: the planner did not know tenants. The number of starts depended only on the
// free capacity of the workers and did not change with the cap.
#include "controller/controller_cluster.hpp"
#include "platform/configuration_codec.hpp"
#include "platform/request_codec.hpp"
#include "platform/response_codec.hpp"
#include <CppUTest/TestHarness.h>

using namespace aniseline;
using namespace aniseline::platform;

namespace {

constexpr const char* orchardKey = "orchard-key-1";
constexpr const char* orchardSecondKey = "orchard-key-2";
constexpr const char* breweryKey = "brewery-key-1";
constexpr const char* protectedPath = "/proofs/";
constexpr const char* removedPath = "/plates/";
constexpr const char* publicPath = "/public/";

Settings settings() {
  auto parsed = Settings::parse(
      "node=edge-1\nip=10.1.0.10\naz=north\npeers=10.1.0.10:8166\nport_range=7720,7735\n");
  CHECK(parsed.has_value());
  return parsed.value();
}

std::string routeJson(const std::string& path, bool isPublic = false) {
  return R"({"name":"r)" + path + R"(","host":"press.example","prefix":")" + path +
         R"(","timeout_ms":3000,"target_ms":200,"prio":0,"service":"press","tries":2,"extend":1.5,"public":)" +
         (isPublic ? "true" : "false") + "}";
}

struct TenantFields {
  std::string name;
  std::vector<std::string> keys;
  std::uint32_t coresCap = 0;   // thousandths of a core; 0: no limit
  std::uint64_t memoryCap = 0;  // MB
};

std::string tenantJson(const TenantFields& tenant) {
  std::string keys;
  for (const auto& key : tenant.keys)
    keys += (keys.empty() ? "\"" : ",\"") + key + "\"";
  return R"({"name":")" + tenant.name + R"(","api_keys":[)" + keys +
         R"(],"weight":1,"cap":{"cpu":)" + std::to_string(tenant.coresCap) + R"(,"mem_mb":)" +
         std::to_string(tenant.memoryCap) + R"(,"gpus":0}})";
}

std::string configurationJson(std::uint64_t version, const std::vector<std::string>& routes,
                              const std::vector<TenantFields>& tenants) {
  const auto joined = [](const std::vector<std::string>& items) {
    std::string text;
    for (const auto& item : items)
      text += (text.empty() ? "" : ",") + item;
    return text;
  };
  std::vector<std::string> tenantTexts;
  for (const auto& tenant : tenants)
    tenantTexts.push_back(tenantJson(tenant));
  return R"({"version":)" + std::to_string(version) + R"(,"routes":[)" + joined(routes) +
         R"(],"services":[{"name":"press","guards":true}],"limits":{},"tenants":[)" +
         joined(tenantTexts) + "]}";
}

std::string jobJson(std::size_t tasks, std::uint32_t cores, bool gang = false,
                    std::uint64_t memory = 100) {
  return R"({"spec":"work","stages":[{"replicas":)" + std::to_string(tasks) + R"(,"cpu":)" +
         std::to_string(cores) + R"(,"mem_mb":)" + std::to_string(memory) +
         R"(,"est_ms":60000,"gang":)" + (gang ? "true" : "false") + "}]}";
}

}  // namespace

struct TenantFleet {
  ControllerCluster cluster{3};
  std::uint64_t currentVersion = 0;
  std::uint64_t lastJob = 0;

  int configure(std::uint64_t version, const std::vector<std::string>& routes,
                const std::vector<TenantFields>& tenants) {
    HttpRequest request{"POST", "/api/Config.Replace", configurationJson(version, routes, tenants)};
    request.headers = {{"base-version", std::to_string(currentVersion)}};
    auto decoded = decodeOperatorRequest(request, settings());
    if (!decoded)
      return ApiResponse::fromError(decoded.error()).status;
    const int status =
        encodeOperatorResponse(decoded.value(), cluster.askLeader(decoded.value())).status;
    if (status == 200)
      currentVersion = version;
    return status;
  }
  int sendRequest(const std::string& method, const std::string& target,
                  const std::string& authorization, const std::string& body = "") {
    HttpRequest request{method, target, body, {{"host", "press.example"}}};
    if (!authorization.empty())
      request.headers.emplace_back("authorization", authorization);
    auto decoded = decodeClientRequest(request);
    if (!decoded)
      return ApiResponse::fromError(decoded.error()).status;
    return encodeClientResponse(decoded.value(), cluster.askLeader(decoded.value())).status;
  }
  std::string nextJobId() {
    std::ostringstream id;
    id << std::hex << 0x5c0e7a2100000000 + ++lastJob;
    return id.str();
  }
  // Submits a new job and returns the status of the response.
  int submit(const std::string& path, const std::string& key,
             const std::string& body = jobJson(1, 100)) {
    return sendRequest("POST", path + nextJobId(), key.empty() ? "" : "Bearer " + key, body);
  }
  // Sends an agent's report of its worker, which has applied the orders up to `applied`.
  void syncWorker(const std::string& id, std::uint32_t cores, OrderNumber applied = {}) {
    ApiRequest request;
    request.kind = RequestKind::syncWorker;
    request.targetId = id;
    request.report.id = WorkerId{id};
    request.report.incarnation = Incarnation{1};
    request.report.lastAppliedOrder = applied;
    Capacity& capacity = request.report.capacity;
    capacity.cores = cores;
    capacity.memory = 1'000'000;
    capacity.pool = "press";
    capacity.honoursLeases = capacity.killsOnLeaseExpiry = capacity.selfAssemblingGangs = true;
    capacity.supportsSuspend = false;
    cluster.askLeader(request);
  }
  const ClusterState& state() { return cluster.controller(cluster.leader()).committed(); }
  std::uint64_t coresRunning() {
    std::uint64_t cores = 0;
    for (const auto& [number, attempt] : state().attempts())
      cores += attempt.cores;
    return cores;
  }
  // Returns the cores of running tasks after several rounds of worker reports and planning.
  std::uint64_t coresRunningAfterPlans() {
    for (int round = 0; round < 5; ++round) {
      syncWorker("a", 64'000);
      syncWorker("b", 64'000);
      cluster.run(200);
    }
    return coresRunning();
  }
};

TEST_GROUP(RevokedKeyTests) {
  TenantFleet fleet;
};

TEST(RevokedKeyTests, rejectsKeyThatTheNewestConfigurationLacks) {
  LONGS_EQUAL(200, fleet.configure(8, {routeJson(protectedPath), routeJson(removedPath)},
                                   {{"orchard", {orchardKey, orchardSecondKey}}}));
  LONGS_EQUAL(200, fleet.submit(protectedPath, orchardKey));
  LONGS_EQUAL(200, fleet.submit(removedPath, orchardSecondKey));

  LONGS_EQUAL(200,
              fleet.configure(12, {routeJson(protectedPath)}, {{"orchard", {orchardSecondKey}}}));
  // The new configuration is in effect, because the route that it removed is rejected.
  LONGS_EQUAL(404, fleet.submit(removedPath, orchardSecondKey));
  LONGS_EQUAL(401, fleet.submit(protectedPath, orchardKey));
  LONGS_EQUAL(200, fleet.submit(protectedPath, orchardSecondKey));
}

TEST_GROUP(TenantCapTests) {
  TenantFleet fleet;
};

TEST(TenantCapTests, startsWideJobOnIdleFleetUpToTenantCap) {
  LONGS_EQUAL(200, fleet.configure(5, {routeJson(protectedPath)},
                                   {{"orchard", {orchardKey}, 20'000}, {"brewery", {breweryKey}}}));
  fleet.syncWorker("a", 64'000);
  fleet.syncWorker("b", 64'000);
  LONGS_EQUAL(200, fleet.submit(protectedPath, orchardKey, jobJson(60, 1000)));
  LONGS_EQUAL(20'000, fleet.coresRunningAfterPlans());
  // All tasks of a tenant without a cap are started if they fit.
  LONGS_EQUAL(200, fleet.submit(protectedPath, breweryKey, jobJson(60, 1000)));
  LONGS_EQUAL(80'000, fleet.coresRunningAfterPlans());
}

TEST(TenantCapTests, capAppliesToAllJobsOfATenantTogether) {
  LONGS_EQUAL(200, fleet.configure(5, {routeJson(protectedPath)},
                                   {{"orchard", {orchardKey, orchardSecondKey}, 20'000, 1500}}));
  fleet.syncWorker("a", 64'000);
  fleet.syncWorker("b", 64'000);
  for (const char* key : {orchardKey, orchardSecondKey, orchardKey})
    LONGS_EQUAL(200, fleet.submit(protectedPath, key, jobJson(6, 1000)));
  // 15 tasks of 100 MB each use up the cap's memory, although cores are left.
  LONGS_EQUAL(15'000, fleet.coresRunningAfterPlans());
}

// A new leader derives its state from the replicated log, so it counts the tasks that the previous
// leader started, whether they are running or still being started.
TEST(TenantCapTests, newLeaderCountsTasksStartedByThePreviousLeader) {
  LONGS_EQUAL(200,
              fleet.configure(5, {routeJson(protectedPath)}, {{"orchard", {orchardKey}, 20'000}}));
  fleet.syncWorker("a", 64'000);
  LONGS_EQUAL(200, fleet.submit(protectedPath, orchardKey, jobJson(60, 1000)));
  LONGS_EQUAL(20'000, fleet.coresRunningAfterPlans());
  for (int leaderChange = 0; leaderChange < 3; ++leaderChange) {
    const std::size_t leader = fleet.cluster.leader();
    fleet.cluster.kill(leader);
    fleet.cluster.run(3000);
    LONGS_EQUAL(20'000, fleet.coresRunningAfterPlans());
    fleet.cluster.start(leader);
    fleet.cluster.run(3000);
  }
}

TEST(TenantCapTests, loweringTheCapStopsStartsAndRaisingItResumesThem) {
  const std::vector<std::string> routes{routeJson(protectedPath)};
  LONGS_EQUAL(200, fleet.configure(5, routes, {{"orchard", {orchardKey}, 20'000}}));
  fleet.syncWorker("a", 64'000);
  LONGS_EQUAL(200, fleet.submit(protectedPath, orchardKey, jobJson(60, 1000)));
  LONGS_EQUAL(20'000, fleet.coresRunningAfterPlans());
  LONGS_EQUAL(200, fleet.configure(6, routes, {{"orchard", {orchardKey}, 10'000}}));
  CHECK(fleet.coresRunningAfterPlans() <= 20'000);
  LONGS_EQUAL(200, fleet.configure(8, routes, {{"orchard", {orchardKey}, 30'000}}));
  LONGS_EQUAL(30'000, fleet.coresRunningAfterPlans());
}

TEST(RevokedKeyTests, acceptsBearerSchemeInAnyCaseAndSpacing) {
  LONGS_EQUAL(200, fleet.configure(8, {routeJson(protectedPath), routeJson(publicPath, true)},
                                   {{"orchard", {orchardKey}}}));
  const std::string path = protectedPath + fleet.nextJobId();
  const std::string body = jobJson(1, 100);
  LONGS_EQUAL(200, fleet.sendRequest("POST", path, std::string("Bearer ") + orchardKey, body));
  LONGS_EQUAL(200, fleet.sendRequest("GET", path, std::string("bearer  ") + orchardKey));
  LONGS_EQUAL(401, fleet.sendRequest("GET", path, std::string("Basic ") + orchardKey));
  LONGS_EQUAL(401, fleet.sendRequest("GET", path, orchardKey));
  LONGS_EQUAL(401, fleet.sendRequest("GET", path, "Bearer "));
  LONGS_EQUAL(401, fleet.sendRequest("GET", path, ""));
  LONGS_EQUAL(401, fleet.sendRequest("DELETE", path, std::string("Bearer ") + breweryKey));
  LONGS_EQUAL(200, fleet.submit(publicPath, ""));
  LONGS_EQUAL(404, fleet.submit("/nowhere/", orchardKey));
}

TEST(RevokedKeyTests, configurationWithoutTenantsRequiresNoKeys) {
  HttpRequest request{"POST", "/api/Config.Replace",
                      R"({"version":3,"routes":[)" + routeJson(protectedPath) +
                          R"(],"services":[{"name":"press"}]})"};
  request.headers = {{"base-version", "0"}};
  LONGS_EQUAL(200,
              fleet.cluster.askLeader(decodeOperatorRequest(request, settings()).value()).status);
  LONGS_EQUAL(200, fleet.submit(protectedPath, ""));
}

TEST_GROUP(TenantConfigurationTests) {
  TenantFleet fleet;
  const std::vector<std::string> routes{routeJson(protectedPath)};

  static std::string configurationErrors(const std::string& tenants) {
    const auto decoded = decodeConfiguration(
        R"({"version":7,"routes":[],"services":[],"tenants":)" + tenants + "}", settings());
    return decoded ? "" : decoded.error().text();
  }
};

TEST(TenantConfigurationTests, rejectsKeySharedByTwoTenants) {
  LONGS_EQUAL(200, fleet.configure(5, routes, {{"orchard", {orchardKey}}}));
  LONGS_EQUAL(400,
              fleet.configure(7, routes, {{"orchard", {orchardKey}}, {"brewery", {orchardKey}}}));
  LONGS_EQUAL(200, fleet.submit(protectedPath, orchardKey));
  LONGS_EQUAL(200, fleet.configure(7, routes,
                                   {{"orchard", {orchardSecondKey}}, {"brewery", {orchardKey}}}));
}

TEST(TenantConfigurationTests, errorsNameThePathOfTheInvalidField) {
  STRCMP_EQUAL("/tenants: must be a list", configurationErrors("{}").c_str());
  STRCMP_EQUAL("/tenants/0/name: is missing", configurationErrors("[{}]").c_str());
  STRCMP_EQUAL("/tenants/0/name: is missing", configurationErrors("[7]").c_str());
  STRCMP_EQUAL("/tenants/0/api_keys: must be a list",
               configurationErrors(R"([{"name":"a","api_keys":"k"}])").c_str());
  STRCMP_EQUAL("/tenants/0/api_keys: must contain only non-empty strings",
               configurationErrors(R"([{"name":"a","api_keys":[""]}])").c_str());
  STRCMP_EQUAL("/tenants/1: tenant a stands twice",
               configurationErrors(R"([{"name":"a"},{"name":"a"}])").c_str());
  STRCMP_EQUAL("",
               configurationErrors(R"([{"name":"a","api_keys":["k","l"]},{"name":"b"}])").c_str());
}

TEST(TenantConfigurationTests, decodesCapsInThousandthsOfACoreAndMegabytes) {
  const auto decoded = decodeConfiguration(
      R"({"version":7,"routes":[],"services":[],"tenants":[{"name":"a","weight":10,"cap":{"cpu":1500,"mem_mb":2048,"gpus":3}}]})",
      settings());
  const TenantOptions& tenant = *decoded.value().tenants.find(TenantName{"a"});
  LONGS_EQUAL(1500, tenant.cap.cores);
  LONGS_EQUAL(2048, tenant.cap.memory);
  LONGS_EQUAL(3, tenant.cap.accelerators);
  DOUBLES_EQUAL(10, tenant.weight, 0);
}

// A patch adds and removes tenants by name, like routes.
TEST(TenantConfigurationTests, patchAddsAndRemovesTenants) {
  ControllerOptions options;
  options.parseConfig = [](const std::string& text) {
    return decodeConfiguration(text, settings());
  };
  fleet.cluster = ControllerCluster(3, 0, options);
  LONGS_EQUAL(200, fleet.configure(5, routes, {{"orchard", {orchardKey}}}));
  HttpRequest patch{"POST", "/api/Config.Patch",
                    R"({"version":6,"upsert":{"tenants":[)" +
                        tenantJson({"brewery", {breweryKey}}) +
                        R"(]},"remove":{"tenants":["orchard"]}})"};
  patch.headers = {{"base-version", "5"}};
  LONGS_EQUAL(200,
              fleet.cluster.askLeader(decodeOperatorRequest(patch, settings()).value()).status);
  LONGS_EQUAL(401, fleet.submit(protectedPath, orchardKey));
  LONGS_EQUAL(200, fleet.submit(protectedPath, breweryKey));
}
