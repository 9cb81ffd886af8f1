// Tests a data folder on a real file system: snapshots, damaged files and locking.
#include "net/data_folder.hpp"
#include <cerrno>
#include <fcntl.h>
#include <filesystem>
#include <fstream>
#include <sys/file.h>
#include <unistd.h>

#include <CppUTest/TestHarness.h>
namespace fs = std::filesystem;
using namespace aniseline;

TEST_GROUP(DataFolderTests) {
  std::string path;
  void setup() override {
    char made[] = "/tmp/aniseline-test-XXXXXX";
    path = ::mkdtemp(made);
  }
  void teardown() override {
    fs::remove_all(path);
  }
  WriteAheadRecord record(std::uint64_t version, bool isSnapshot) {
    WriteAheadRecord made;
    made.version = DiskVersion{version};
    made.holdsSnapshot = isSnapshot;
    made.firstIndex = LogIndex{version};
    made.entries = {LogEntry{Term{1}, false, "payload " + std::to_string(version)}};
    return made;
  }
  std::string fileOf(std::uint64_t version) {
    char name[64];
    std::snprintf(name, sizeof name, "/log-%020llu", (unsigned long long)version);
    return path + name;
  }
  void damage(const std::string& file, std::size_t offset, std::size_t removedBytes) {
    std::ifstream in(file, std::ios::binary);
    std::string bytes((std::istreambuf_iterator<char>(in)), {});
    if (removedBytes)
      bytes.resize(bytes.size() - removedBytes);
    else
      bytes[offset] = char(bytes[offset] ^ 0x40);
    std::ofstream(file, std::ios::binary | std::ios::trunc) << bytes;
  }
};

TEST(DataFolderTests, aSnapshotReplacesOlderVersions) {
  DataFolder folder(path);
  const auto identity = folder.open();
  CHECK(identity.has_value());
  for (std::uint64_t version = 1; version <= 3; ++version)
    CHECK(folder.write(record(version, false)).has_value());
  CHECK(folder.write(record(4, true)).has_value());
  CHECK(folder.write(record(5, false)).has_value());
  CHECK(!fs::exists(fileOf(3)));
  auto loaded = folder.load();
  CHECK(loaded.has_value());
  LONGS_EQUAL(2, loaded.value().size());
  CHECK(loaded.value()[0].holdsSnapshot);
}

// A truncated, corrupt, missing or foreign file has to be reported by name and reason, and its
// state must never be used by a voter.
TEST(DataFolderTests, damageIsReportedWithFileAndReason) {
  struct Case {
    std::size_t offset, removedBytes;
    const char* expectedText;
  };
  for (const Case& damageCase : {Case{0, 3, "truncated"}, Case{40, 0, "checksum"},
                                 Case{1, 0, "not written by aniseline"}, Case{6, 0, "format"}}) {
    DataFolder folder(path);
    CHECK(folder.openLocked().has_value());
    for (std::uint64_t version = 1; version <= 3; ++version)
      CHECK(folder.write(record(version, false)).has_value());
    damage(fileOf(2), damageCase.offset, damageCase.removedBytes);
    auto loaded = folder.load();
    CHECK(!loaded.has_value());
    CHECK_TEXT(loaded.error().message().find(damageCase.expectedText) != std::string::npos,
               loaded.error().message().c_str());
    CHECK(loaded.error().file.find("log-") != std::string::npos);
    CHECK(folder.quarantine().has_value());
    auto reloaded = folder.load();
    CHECK(reloaded.has_value() && reloaded.value().empty());
  }
  DataFolder folder(path);
  CHECK(folder.openLocked().has_value());
  for (std::uint64_t version = 1; version <= 3; ++version)
    CHECK(folder.write(record(version, false)).has_value());
  fs::remove(fileOf(2));
  CHECK(folder.load().error().message().find("version 2 before it is missing") !=
        std::string::npos);
}

TEST(DataFolderTests, aFolderInUseIsRefused) {
  DataFolder first(path), second(path);
  CHECK(first.open().has_value());
  CHECK(second.open().error().message().find("in use") != std::string::npos);
}

// A machine whose identity was retired must still know to which cluster it belongs, so that it
// neither bootstraps another one nor joins one.
TEST(DataFolderTests, theRecordedClusterOutlivesTheIdentity) {
  DataFolder folder(path);
  CHECK(folder.open().has_value());
  CHECK(!folder.hasQuarantined());
  CHECK(folder.readCluster().value().value.empty());
  CHECK(folder.writeCluster(ClusterId{"first"}).has_value());
  CHECK(folder.write(record(1, false)).has_value());
  CHECK(folder.quarantine().has_value());
  CHECK(folder.hasQuarantined());
  DataFolder reopened(path);
  STRCMP_EQUAL("first", reopened.readCluster().value().value.c_str());
  damage(path + "/cluster", 0, 2);
  CHECK(reopened.readCluster().error().isCorruption());
}
