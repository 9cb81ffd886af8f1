// Tests that exactly one controller bootstraps the cluster, for any combination of seeds with and
// without disks. docs/design.md 3.7.
#include "raft/cluster_bootstrap.hpp"
#include <CppUTest/TestHarness.h>

using namespace aniseline;

namespace {
Address at(const char* text) {
  return Address{text};
}
const std::vector<Address> seeds{at("a:1"), at("b:1"), at("c:1")};

// Returns whether one controller bootstraps after every seed has answered. The seeds in `diskless`
// have no disk.
bool founds(const char* self, const std::set<std::string>& diskless, const char* nominee = "") {
  ClusterBootstrap bootstrap(at(self), !diskless.count(self), seeds);
  for (const auto& seed : seeds) {
    const bool hasDisk = !diskless.count(seed.value);
    if (seed != at(self))
      bootstrap.addBlankSeed(seed, hasDisk, hasDisk ? Address{} : at(nominee));
  }
  return bootstrap.mayBootstrap();
}

}  // namespace

TEST_GROUP(FoundingTests){};

TEST(FoundingTests, theLowestSeedWithADiskFoundsAndNoOther) {
  CHECK(founds("a:1", {}));
  for (const char* other : {"b:1", "c:1", "0:1", "d:1"})
    CHECK(!founds(other, {}));
  CHECK(founds("b:1", {"a:1"}));
  for (const char* other : {"a:1", "c:1", "d:1"})
    CHECK(!founds(other, {"a:1"}, "d:1"));
}

TEST(FoundingTests, whereNoSeedHasADiskTheLowestNamesOne) {
  const std::set<std::string> none{"a:1", "b:1", "c:1"};
  CHECK(founds("d:1", none, "d:1"));
  CHECK(!founds("e:1", none, "d:1"));
  CHECK(!founds("e:1", none));
  // Only the nomination of the lowest seed counts.
  ClusterBootstrap founding(at("e:1"), true, seeds);
  founding.addBlankSeed(at("a:1"), false, at("d:1"));
  founding.addBlankSeed(at("b:1"), false, at("e:1"));
  founding.addBlankSeed(at("c:1"), false, at("e:1"));
  CHECK(!founding.mayBootstrap());
}

TEST(FoundingTests, everySeedMustBeThereAndBlank) {
  ClusterBootstrap founding(at("a:1"), true, seeds);
  founding.addBlankSeed(at("b:1"), true, Address{});
  CHECK(!founding.mayBootstrap());
  founding.addBlankSeed(at("x:1"), true, Address{});  // not a seed
  CHECK(!founding.mayBootstrap());
  founding.addBlankSeed(at("c:1"), true, Address{});
  CHECK(founding.mayBootstrap());
  CHECK(ClusterBootstrap(at("a:1"), true, {at("a:1")}).mayBootstrap());
  CHECK(!ClusterBootstrap(at("a:1"), false, {at("a:1")}).mayBootstrap());
}
