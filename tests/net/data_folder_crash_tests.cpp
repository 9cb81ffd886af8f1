// Tests the data folder with a crash after every step of every operation: the process is killed, or
// the power fails and any subset of the unsynced folder changes is lost. docs/design.md 3.3.
#include "net/data_folder.hpp"

#include <CppUTest/TestHarness.h>
using namespace aniseline;

namespace {

struct Crash {};
constexpr std::size_t maxUnsyncedChanges = 12;

// A simulated disk. The content of a file is durable once the file is synced, and file names are
// durable once their folder is synced.
class ModelDisk final : public FileSystem {
 public:
  std::size_t stepsLeft = SIZE_MAX;  // the number of steps until the crash

  DiskResult<std::vector<std::string>> listNames(const std::string& folder) override {
    std::vector<std::string> names;
    for (const auto& [path, file] : visible)
      if (folderOf(path) == folder)
        names.push_back(path.substr(folder.size() + 1));
    return names;
  }
  bool exists(const std::string& path) override {
    const bool folder = std::any_of(visible.begin(), visible.end(), [&](const auto& entry) {
      return folderOf(entry.first) == path;
    });
    return folder || visible.count(path);
  }
  DiskResult<std::string> read(const std::string& path) override {
    return visible.at(path)->content;
  }
  DiskResult<void> writeSynced(const std::string& path, const std::string& bytes) override {
    step();
    auto file = std::make_shared<File>();
    change({Change::Kind::put, "", path, file});
    step();
    file->content = bytes.substr(0, bytes.size() / 2);
    step();
    file->content = bytes;
    file->synced = true;
    return outcome::success();
  }
  DiskResult<void> rename(const std::string& from, const std::string& to) override {
    step();
    const auto file = visible.at(from);
    if (folderOf(from) == folderOf(to)) {
      change({Change::Kind::move, from, to, file});
      return outcome::success();
    }
    // A move between folders changes both, and each is synced separately.
    change({Change::Kind::put, "", to, file});
    change({Change::Kind::remove, "", from, file});
    return outcome::success();
  }
  DiskResult<void> remove(const std::string& path) override {
    step();
    change({Change::Kind::remove, "", path, visible.at(path)});
    return outcome::success();
  }
  DiskResult<void> makeFolder(const std::string&) override { return outcome::success(); }
  DiskResult<void> syncFolder(const std::string& path) override {
    step();
    std::vector<Change> rest;
    for (auto& made : unsynced)
      if (folderOf(made.path) == path)
        apply(durable, made);
      else
        rest.push_back(made);
    unsynced = std::move(rest);
    return outcome::success();
  }

  std::size_t unsyncedChanges() const { return unsynced.size(); }
  // Simulates a power loss: of the unsynced changes, those in the mask become durable and the
  // others are lost. The unsynced content of a file is truncated.
  void losePower(std::size_t mask) {
    for (std::size_t index = 0; index < unsynced.size(); ++index)
      if (mask >> index & 1)
        apply(durable, unsynced[index]);
    unsynced.clear();
    for (auto& [path, file] : durable)
      if (!file->synced)
        file->content.resize(file->content.size() / 2);
    visible = durable;
    stepsLeft = SIZE_MAX;
  }
  ModelDisk copy() const {  // may share files, because a file changes only while it is written
    ModelDisk made = *this;
    return made;
  }
  void truncateFile(const std::string& path) {
    auto file = std::make_shared<File>(*visible.at(path));
    file->content.resize(file->content.size() / 2);
    visible[path] = durable[path] = file;
  }

 private:
  struct File {
    std::string content;
    bool synced = false;
  };
  using Names = std::map<std::string, std::shared_ptr<File>>;
  struct Change {
    enum class Kind : std::uint8_t { put, move, remove } kind;
    std::string from, path;
    std::shared_ptr<File> file;
  };
  static std::string folderOf(const std::string& path) { return path.substr(0, path.rfind('/')); }
  static void apply(Names& names, const Change& made) {
    if (made.kind == Change::Kind::move)
      names.erase(made.from);
    if (made.kind == Change::Kind::remove)
      names.erase(made.path);
    else
      names[made.path] = made.file;
  }
  void change(Change made) {
    apply(visible, made);
    unsynced.push_back(std::move(made));
  }
  void step() {
    if (stepsLeft == 0)
      throw Crash{};
    --stepsLeft;
  }
  Names visible, durable;
  std::vector<Change> unsynced;
};

WriteAheadRecord record(std::uint64_t version, bool isSnapshot, const std::string& run) {
  WriteAheadRecord made;
  made.version = DiskVersion{version};
  made.holdsSnapshot = isSnapshot;
  made.firstIndex = LogIndex{version};
  made.entries = {LogEntry{Term{1}, false, run + std::to_string(version)}};
  return made;
}

// The state that was synced, and that the process may therefore have reported to others.
struct AcknowledgedState {
  std::string identity;
  std::uint64_t version = 0;                  // the latest version that was synced or loaded
  std::uint64_t attempted = 0;                // the latest version whose write was started
  std::map<std::uint64_t, std::string> runs;  // the run that wrote the content, by version
};

void writeVersions(DataFolder& folder, AcknowledgedState& acknowledged,
                   const std::vector<bool>& snapshotFlags, const std::string& run) {
  for (const bool isSnapshot : snapshotFlags) {
    const std::uint64_t version = acknowledged.version + 1;
    acknowledged.attempted = version;
    acknowledged.runs[version] = run;
    CHECK(folder.write(record(version, isSnapshot, run)).has_value());
    acknowledged.version = version;
  }
}

// Opens and loads the folder as a starting process does. Checks that all acknowledged versions are
// loaded, in order up to the newest, and records the loaded state as acknowledged.
void startAndCheck(const std::shared_ptr<ModelDisk>& disk, AcknowledgedState& acknowledged) {
  DataFolder folder("d", disk);
  const auto identity = folder.openLocked();
  CHECK_TEXT(identity.has_value(), identity ? "" : identity.error().message().c_str());
  if (!acknowledged.identity.empty())
    STRCMP_EQUAL(acknowledged.identity.c_str(), identity.value().value.c_str());
  const auto loaded = folder.load();
  CHECK_TEXT(loaded.has_value(), loaded ? "" : loaded.error().message().c_str());
  const auto& records = loaded.value();
  const std::uint64_t newest = records.empty() ? 0 : records.back().version.value;
  CHECK_COMPARE(newest, >=, acknowledged.version);
  CHECK_COMPARE(newest, <=, acknowledged.attempted);
  for (std::size_t index = 0; index < records.size(); ++index) {
    const std::uint64_t version = newest - (records.size() - 1 - index);
    LONGS_EQUAL(version, records[index].version.value);
    CHECK(records[index].holdsSnapshot == (index == 0 && version > 1) ||
          records[index].version.value == 1);
    const std::string expected = acknowledged.runs[version] + std::to_string(version);
    STRCMP_EQUAL(expected.c_str(), records[index].entries[0].payload.c_str());
  }
  acknowledged.identity = identity.value().value;
  acknowledged.version = acknowledged.attempted = newest;
}

// Calls `check` with each state that the disk may have after the crash: the unchanged state if the
// process was killed, and every state that a power loss may leave.
void forEachDiskAfterCrash(const ModelDisk& crashed,
                           const std::function<void(const std::shared_ptr<ModelDisk>&)>& check) {
  CHECK_COMPARE(crashed.unsyncedChanges(), <=, maxUnsyncedChanges);  // bounds the number of subsets
  auto killed = std::make_shared<ModelDisk>(crashed.copy());
  killed->stepsLeft = SIZE_MAX;
  check(killed);
  for (std::size_t mask = 0; mask < std::size_t(1) << crashed.unsyncedChanges(); ++mask) {
    auto lost = std::make_shared<ModelDisk>(crashed.copy());
    lost->losePower(mask);
    check(lost);
  }
}

// Runs `work` once for each of its steps with a crash after that step, and once without a crash.
// Returns the number of steps.
std::size_t forEachCrash(
    const ModelDisk& before, const AcknowledgedState& acknowledged,
    const std::function<void(const std::shared_ptr<ModelDisk>&, AcknowledgedState&)>& work,
    const std::function<void(const ModelDisk&, const AcknowledgedState&)>& check) {
  for (std::size_t steps = 0;; ++steps) {
    auto disk = std::make_shared<ModelDisk>(before.copy());
    disk->stepsLeft = steps;
    AcknowledgedState known = acknowledged;
    bool crashed = false;
    try {
      work(disk, known);
    } catch (const Crash&) {
      crashed = true;
    }
    check(*disk, known);
    if (!crashed)
      return steps;
  }
}

}  // namespace

TEST_GROUP(DiskCrashTests){};

// Writes log versions and snapshots with a crash at any step, restarts and writes more with a
// second crash at any step, and restarts again. No restart may load a state older than one that was
// synced or loaded before.
TEST(DiskCrashTests, acknowledgedStateIsLoadedAfterEveryCrash) {
  std::size_t starts = 0;
  const auto firstRun = [](const std::shared_ptr<ModelDisk>& disk,
                           AcknowledgedState& acknowledged) {
    startAndCheck(disk, acknowledged);
    DataFolder folder("d", disk);
    writeVersions(folder, acknowledged, {false, false, true, false, true, true, false}, "first ");
  };
  const auto secondRun = [&](const std::shared_ptr<ModelDisk>& disk,
                             AcknowledgedState& acknowledged) {
    ++starts;
    startAndCheck(disk, acknowledged);
    DataFolder folder("d", disk);
    writeVersions(folder, acknowledged, {false, true}, "second ");
  };
  forEachCrash(ModelDisk{}, {}, firstRun,
               [&](const ModelDisk& crashed, const AcknowledgedState& acknowledged) {
                 forEachDiskAfterCrash(crashed, [&](const std::shared_ptr<ModelDisk>& found) {
                   forEachCrash(*found, acknowledged, secondRun,
                                [&](const ModelDisk& crashedAgain, const AcknowledgedState& known) {
                                  forEachDiskAfterCrash(
                                      crashedAgain,
                                      [&](const std::shared_ptr<ModelDisk>& finalDisk) {
                                        AcknowledgedState last = known;
                                        ++starts;
                                        startAndCheck(finalDisk, last);
                                      });
                                });
                 });
               });
  CHECK_COMPARE(starts, >, std::size_t(10'000));
}

// Files older than the newest snapshot may remain after a removal that was not durable. If the
// newest snapshot is truncated, the older files may not contain everything that was acknowledged,
// so loading has to fail instead of returning them.
TEST(DiskCrashTests, aTruncatedNewestSnapshotIsAnErrorDespiteOlderFiles) {
  std::size_t withOlder = 0;
  const auto run = [](const std::shared_ptr<ModelDisk>& disk, AcknowledgedState& acknowledged) {
    startAndCheck(disk, acknowledged);
    DataFolder folder("d", disk);
    writeVersions(folder, acknowledged, {true, false, false, true}, "first ");
  };
  forEachCrash(ModelDisk{}, {}, run,
               [&](const ModelDisk& crashed, const AcknowledgedState& acknowledged) {
                 forEachDiskAfterCrash(crashed, [&](const std::shared_ptr<ModelDisk>& found) {
                   const std::string newest = "d/snapshot-00000000000000000004";
                   if (!found->exists(newest))
                     return;
                   withOlder += found->exists("d/snapshot-00000000000000000001");
                   found->truncateFile(newest);
                   const auto loaded = DataFolder("d", found).load();
                   CHECK(!loaded.has_value());
                   STRCMP_EQUAL(newest.c_str(), loaded.error().file.c_str());
                   CHECK(loaded.error().code == DiskError::Code::truncated);
                   CHECK(loaded.error().isCorruption());
                   CHECK(acknowledged.attempted == 4);
                 });
               });
  CHECK_COMPARE(withOlder, >, std::size_t(0));
}

// Quarantines a folder and creates a new identity, with a crash at any step. After a restart, the
// folder has either the old identity with all acknowledged state, or a new identity with none of
// it.
TEST(DiskCrashTests, aNewIdentityNeverHasTheStateOfTheOldOne) {
  auto before = std::make_shared<ModelDisk>();
  AcknowledgedState old;
  startAndCheck(before, old);
  DataFolder folder("d", before);
  writeVersions(folder, old, {false, true, false, false}, "old ");
  const auto startNewIdentity = [](const std::shared_ptr<ModelDisk>& disk, AcknowledgedState&) {
    DataFolder renewed("d", disk);
    CHECK(renewed.quarantine().has_value());
    CHECK(renewed.openLocked().has_value());
    CHECK(renewed.write(record(1, false, "new ")).has_value());
  };
  std::size_t oldIdentities = 0, newIdentities = 0;
  const auto check = [&](const std::shared_ptr<ModelDisk>& found) {
    // Follows the start procedure of the controller daemon.
    DataFolder reopened("d", found);
    auto opened = reopened.openLocked();
    auto loaded = reopened.load();
    if (!opened || !loaded) {
      CHECK(reopened.quarantine().has_value());
      opened = reopened.openLocked();
      loaded = reopened.load();
    }
    CHECK(opened.has_value() && loaded.has_value());
    const bool isOld = opened.value().value == old.identity;
    ++(isOld ? oldIdentities : newIdentities);
    if (isOld)
      LONGS_EQUAL(4, loaded.value().back().version.value);
    for (const auto& version : loaded.value())
      CHECK_EQUAL(isOld, version.entries[0].payload.starts_with("old "));
  };
  forEachCrash(*before, old, startNewIdentity,
               [&](const ModelDisk& crashed, const AcknowledgedState&) {
                 forEachDiskAfterCrash(crashed, check);
               });
  CHECK(oldIdentities > 0 && newIdentities > 0);
}
