// Tests that a record is written again until the disk takes it. A full disk once ended its
// controller at the first write. docs/design.md 3.3.
#include "daemons/state_writers.hpp"

#include <CppUTest/TestHarness.h>
#include <filesystem>
#include <thread>
#include <unistd.h>
namespace fs = std::filesystem;
using namespace aniseline;

namespace {

constexpr Duration patience{5000};

WriteAheadRecord firstRecord() {
  WriteAheadRecord record;
  record.version = DiskVersion{1};
  record.firstIndex = LogIndex{1};
  record.entries = {LogEntry{Term{1}, false, "payload"}};
  return record;
}

// Waits on the event loop's thread until the condition holds.
bool waitUntil(const std::function<bool()>& condition) {
  const MonotonicTime deadline = monotonicNow() + patience;
  while (!condition() && monotonicNow() < deadline)
    sleepFor(Duration{10});
  return condition();
}

}  // namespace

TEST_GROUP(StateWritersTests) {
  std::string path;
  void setup() override {
    char made[] = "/tmp/aniseline-test-XXXXXX";
    path = std::string(::mkdtemp(made)) + "/data";
  }
  void teardown() override {
    fs::remove_all(fs::path(path).parent_path());
  }
};

TEST(StateWritersTests, aRecordThatTheDiskRefusesIsWrittenOnceItTakesWritesAgain) {
  std::size_t failures = 0;
  bool written = false;
  bool failedBefore = false;
  // Must outlive the thread, whose fiber scheduler uses it until the thread ends.
  std::unique_ptr<EventLoop> loop;
  std::thread([&] {
    loop = std::make_unique<EventLoop>();
    ControllerStorage storage(path);
    failedBefore = !storage.recover();
    {
      StateWriters writers(
          *loop, storage,
          {[&](DiskVersion) { written = true; }, [&](const DiskError&) { ++failures; },
           [](PackedSnapshot) {
           }});
      fs::rename(path, path + "-away");  // every write fails while the folder is away
      writers.write(firstRecord());
      waitUntil([&] { return failures >= 2; });
      fs::rename(path + "-away", path);
      waitUntil([&] { return written; });
    }
  }).join();
  CHECK_FALSE(failedBefore);
  CHECK(failures >= 2);
  CHECK(written);
  const auto stored = DataFolder::readRecords(path);
  CHECK(stored.has_value());
  LONGS_EQUAL(1, stored.value().size());
}
