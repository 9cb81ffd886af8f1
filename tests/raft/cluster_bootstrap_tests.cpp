// Tests that exactly one controller bootstraps the cluster, for any combination of seeds with and
// without disks. docs/design.md 3.7.
#include "raft/cluster_bootstrap.hpp"
#include <CppUTest/TestHarness.h>

using namespace aniseline;

namespace {
Address address(const char* text) {
  return Address{text};
}
const std::vector<Address> seeds{address("a:1"), address("b:1"), address("c:1")};

// Returns whether one controller bootstraps after every seed has answered. The seeds in `diskless`
// have no disk.
bool bootstraps(const char* self, const std::set<std::string>& diskless, const char* nominee = "") {
  ClusterBootstrap bootstrap(address(self), !diskless.count(self), seeds);
  for (const auto& seed : seeds) {
    const bool hasDisk = !diskless.count(seed.value);
    if (seed != address(self))
      bootstrap.addBlankSeed(seed, hasDisk, hasDisk ? Address{} : address(nominee));
  }
  return bootstrap.mayBootstrap();
}

}  // namespace

TEST_GROUP(ClusterBootstrapTests){};

TEST(ClusterBootstrapTests, onlyTheLowestSeedWithADiskBootstraps) {
  CHECK(bootstraps("a:1", {}));
  for (const char* other : {"b:1", "c:1", "0:1", "d:1"})
    CHECK(!bootstraps(other, {}));
  CHECK(bootstraps("b:1", {"a:1"}));
  for (const char* other : {"a:1", "c:1", "d:1"})
    CHECK(!bootstraps(other, {"a:1"}, "d:1"));
}

TEST(ClusterBootstrapTests, withoutDisksTheLowestSeedNominates) {
  const std::set<std::string> allSeeds{"a:1", "b:1", "c:1"};
  CHECK(bootstraps("d:1", allSeeds, "d:1"));
  CHECK(!bootstraps("e:1", allSeeds, "d:1"));
  CHECK(!bootstraps("e:1", allSeeds));
  // Only the nomination of the lowest seed counts.
  ClusterBootstrap bootstrap(address("e:1"), true, seeds);
  bootstrap.addBlankSeed(address("a:1"), false, address("d:1"));
  bootstrap.addBlankSeed(address("b:1"), false, address("e:1"));
  bootstrap.addBlankSeed(address("c:1"), false, address("e:1"));
  CHECK(!bootstrap.mayBootstrap());
}

TEST(ClusterBootstrapTests, everySeedMustAnswerAndBeBlank) {
  ClusterBootstrap bootstrap(address("a:1"), true, seeds);
  bootstrap.addBlankSeed(address("b:1"), true, Address{});
  CHECK(!bootstrap.mayBootstrap());
  bootstrap.addBlankSeed(address("x:1"), true, Address{});  // not a seed
  CHECK(!bootstrap.mayBootstrap());
  bootstrap.addBlankSeed(address("c:1"), true, Address{});
  CHECK(bootstrap.mayBootstrap());
  CHECK(ClusterBootstrap(address("a:1"), true, {address("a:1")}).mayBootstrap());
  CHECK(!ClusterBootstrap(address("a:1"), false, {address("a:1")}).mayBootstrap());
}
