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
  WriteAheadRecord record(std::uint64_t version, bool whole) {
    WriteAheadRecord made;
    made.version = DiskVersion{version};
    made.holdsSnapshot = whole;
    made.firstIndex = LogIndex{version};
    made.entries = {LogEntry{Term{1}, false, "payload " + std::to_string(version)}};
    return made;
  }
  std::string fileOf(std::uint64_t version) {
    char name[64];
    std::snprintf(name, sizeof name, "/log-%020llu", (unsigned long long)version);
    return path + name;
  }
  void spoil(const std::string& file, std::size_t offset, std::size_t cut) {
    std::ifstream in(file, std::ios::binary);
    std::string bytes((std::istreambuf_iterator<char>(in)), {});
    if (cut)
      bytes.resize(bytes.size() - cut);
    else
      bytes[offset] = char(bytes[offset] ^ 0x40);
    std::ofstream(file, std::ios::binary | std::ios::trunc) << bytes;
  }
};

TEST(DataFolderTests, aWholeVersionTakesThePlaceOfWhatCameBefore) {
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

// Torn, corrupt, missing or foreign: refused by name and offset, and never voted with.
TEST(DataFolderTests, damageIsRefusedByFileAndOffset) {
  struct Case {
    std::size_t offset, cut;
    const char* part;
  };
  for (const Case& bad : {Case{0, 3, "truncated"}, Case{40, 0, "checksum"},
                          Case{1, 0, "not written by aniseline"}, Case{6, 0, "format"}}) {
    DataFolder folder(path);
    CHECK(folder.openLocked().has_value());
    for (std::uint64_t version = 1; version <= 3; ++version)
      CHECK(folder.write(record(version, false)).has_value());
    spoil(fileOf(2), bad.offset, bad.cut);
    auto loaded = folder.load();
    CHECK(!loaded.has_value());
    CHECK_TEXT(loaded.error().message().find(bad.part) != std::string::npos,
               loaded.error().message().c_str());
    CHECK(loaded.error().file.find("log-") != std::string::npos);
    CHECK(folder.quarantine().has_value());
    auto anew = folder.load();
    CHECK(anew.has_value() && anew.value().empty());
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
