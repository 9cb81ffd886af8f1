// Tests that data stored by an earlier version can be read, gives the same state, and is written
// again with the same bytes. tests/fixtures/README.md describes the origin of the data.
#include "checker/invariants.hpp"
#include "net/data_folder.hpp"
#include "net/history_file.hpp"
#include "state/cluster_state.hpp"
#include <filesystem>

#include <CppUTest/TestHarness.h>
namespace fs = std::filesystem;
using namespace aniseline;

namespace {

const std::string fixture = ANISELINE_SOURCE "/tests/fixtures/stored-2026-12-02";

// Applies the content of a record, and checks that every log record is packed into the same bytes
// again.
void applyRecord(const WriteAheadRecord& record, ClusterState& state, std::size_t& entries) {
  if (record.snapshot.lastIncludedIndex.value > 0) {
    auto snapshot = unpack<ClusterState>(record.snapshot.state);
    CHECK(snapshot.has_value());
    state = std::move(snapshot.value());
  }
  for (const auto& entry : record.entries) {
    if (entry.isMembership)
      continue;
    const auto logRecord = unpack<LogRecord>(entry.payload);
    CHECK(logRecord.has_value());
    CHECK(pack(logRecord.value()) == entry.payload);
    state.apply(logRecord.value());
    ++entries;
  }
}

}  // namespace

TEST_GROUP(StoredDataTests) {
  std::string folder;
  void setup() override {
    char path[] = "/tmp/aniseline-test-XXXXXX";
    folder = ::mkdtemp(path);
  }
  void teardown() override {
    fs::remove_all(folder);
  }
};

TEST(StoredDataTests, aDataFolderOfAnEarlierVersionGivesTheSameState) {
  fs::copy(fixture + "/data", folder, fs::copy_options::recursive);
  DataFolder dataFolder(folder);
  CHECK(dataFolder.open().has_value());
  const auto records = dataFolder.load();
  CHECK(records.has_value());
  LONGS_EQUAL(40, records.value().size());
  ClusterState state;
  std::size_t entries = 0;
  for (const auto& record : records.value())
    applyRecord(record, state, entries);
  LONGS_EQUAL(66, entries);
  LONGS_EQUAL(351, state.jobs().size());
  LONGS_EQUAL(345, state.counters().succeeded);
  LONGS_EQUAL(374, state.counters().starts);
  LONGS_EQUAL(11, state.workers().size());
  LONGS_EQUAL(1, state.config().version.value);
  LONGS_EQUAL(3329843544, checksum(pack(state)));
}

TEST(StoredDataTests, aRecordOfAnEarlierVersionIsWrittenWithTheSameBytes) {
  std::size_t files = 0;
  for (const auto& file : fs::directory_iterator(fixture + "/data")) {
    if (file.path().filename() == "identity")
      continue;
    std::ifstream stream(file.path(), std::ios::binary);
    const std::string bytes((std::istreambuf_iterator<char>(stream)), {});
    const auto body = DataFolder::unframe(file.path(), bytes);
    CHECK(body.has_value());
    const auto record = unpack<WriteAheadRecord>(body.value());
    CHECK(record.has_value());
    CHECK(DataFolder::frame(pack(record.value())) == bytes);
    ++files;
  }
  LONGS_EQUAL(40, files);
}

TEST(StoredDataTests, aHistoryOfAnEarlierVersionIsCheckedWithTheSameFindings) {
  const auto read = readHistoryFolder(fixture + "/history");
  CHECK(read.has_value());
  const auto& history = read.value();
  LONGS_EQUAL(343, history.events.size());
  LONGS_EQUAL(39, history.submissions.size());
  const auto report = checkInvariants(history.events, history.submissions, InvariantOptions{});
  LONGS_EQUAL(156, report.searchStatistics.operations);
  LONGS_EQUAL(234, report.searchStatistics.configurations);
  LONGS_EQUAL(0, report.violations.size());
  LONGS_EQUAL(0, report.unavoidableViolations.size());
}
