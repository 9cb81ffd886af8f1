// The data folder through every crash: the process killed or the power lost after any step of any
// operation, with any of the folder's changes that were not yet synced there or not.
// docs/design.md 3.3.
#include "net/data_folder.hpp"

#include <CppUTest/TestHarness.h>
using namespace aniseline;

namespace {

struct Crash {};
constexpr std::size_t mostUnsyncedChanges = 12;

// A disk whose contents are durable once a file is synced, and whose names are once their folder
// is.
class ModelDisk final : public FileSystem {
 public:
  std::size_t stepsLeft = SIZE_MAX;  // until the crash

  DiskResult<std::vector<std::string>> listNames(const std::string& folder) override {
    std::vector<std::string> names;
    for (const auto& [path, file] : seen)
      if (folderOf(path) == folder)
        names.push_back(path.substr(folder.size() + 1));
    return names;
  }
  bool exists(const std::string& path) override {
    const bool folder = std::any_of(
        seen.begin(), seen.end(), [&](const auto& entry) { return folderOf(entry.first) == path; });
    return folder || seen.count(path);
  }
  DiskResult<std::string> read(const std::string& path) override { return seen.at(path)->content; }
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
    const auto file = seen.at(from);
    if (folderOf(from) == folderOf(to)) {
      change({Change::Kind::move, from, to, file});
      return outcome::success();
    }
    // Each folder has its part of it, and is synced by itself.
    change({Change::Kind::put, "", to, file});
    change({Change::Kind::remove, "", from, file});
    return outcome::success();
  }
  DiskResult<void> remove(const std::string& path) override {
    step();
    change({Change::Kind::remove, "", path, seen.at(path)});
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
  // Of the changes that were not synced those in the mask are there, the others never were; what
  // was not synced of a file's content is torn.
  void losePower(std::size_t mask) {
    for (std::size_t index = 0; index < unsynced.size(); ++index)
      if (mask >> index & 1)
        apply(durable, unsynced[index]);
    unsynced.clear();
    for (auto& [path, file] : durable)
      if (!file->synced)
        file->content.resize(file->content.size() / 2);
    seen = durable;
    stepsLeft = SIZE_MAX;
  }
  ModelDisk copy() const {  // files are changed only while they are written
    ModelDisk made = *this;
    return made;
  }
  void spoil(const std::string& path) {
    auto file = std::make_shared<File>(*seen.at(path));
    file->content.resize(file->content.size() / 2);
    seen[path] = durable[path] = file;
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
    apply(seen, made);
    unsynced.push_back(std::move(made));
  }
  void step() {
    if (stepsLeft == 0)
      throw Crash{};
    --stepsLeft;
  }
  Names seen, durable;
  std::vector<Change> unsynced;
};

WriteAheadRecord record(std::uint64_t version, bool whole, const std::string& life) {
  WriteAheadRecord made;
  made.version = DiskVersion{version};
  made.holdsSnapshot = whole;
  made.firstIndex = LogIndex{version};
  made.entries = {LogEntry{Term{1}, false, life + std::to_string(version)}};
  return made;
}

// What the process knows: what was synced, and so may have been claimed to others.
struct Claims {
  std::string identity;
  std::uint64_t version = 0;                   // the latest written and synced, or loaded
  std::uint64_t attempted = 0;                 // the latest of which writing began
  std::map<std::uint64_t, std::string> lives;  // by version: whose content it has
};

void writeVersions(DataFolder& folder, Claims& claims, const std::vector<bool>& wholes,
                   const std::string& life) {
  for (const bool whole : wholes) {
    const std::uint64_t version = claims.version + 1;
    claims.attempted = version;
    claims.lives[version] = life;
    CHECK(folder.write(record(version, whole, life)).has_value());
    claims.version = version;
  }
}

// Opens and loads as a start does. Gives all that was claimed, in order, to the newest; what it
// gives is claimed from then on.
void start(const std::shared_ptr<ModelDisk>& disk, Claims& claims) {
  DataFolder folder("d", disk);
  const auto identity = folder.openLocked();
  CHECK_TEXT(identity.has_value(), identity ? "" : identity.error().message().c_str());
  if (!claims.identity.empty())
    STRCMP_EQUAL(claims.identity.c_str(), identity.value().value.c_str());
  const auto loaded = folder.load();
  CHECK_TEXT(loaded.has_value(), loaded ? "" : loaded.error().message().c_str());
  const auto& records = loaded.value();
  const std::uint64_t newest = records.empty() ? 0 : records.back().version.value;
  CHECK_COMPARE(newest, >=, claims.version);
  CHECK_COMPARE(newest, <=, claims.attempted);
  for (std::size_t index = 0; index < records.size(); ++index) {
    const std::uint64_t version = newest - (records.size() - 1 - index);
    LONGS_EQUAL(version, records[index].version.value);
    CHECK(records[index].holdsSnapshot == (index == 0 && version > 1) ||
          records[index].version.value == 1);
    const std::string expected = claims.lives[version] + std::to_string(version);
    STRCMP_EQUAL(expected.c_str(), records[index].entries[0].payload.c_str());
  }
  claims.identity = identity.value().value;
  claims.version = claims.attempted = newest;
}

// Each state in which the disk may be after the crash: as it is, when the process was killed, and
// each that a loss of power may leave.
void eachAftermath(const ModelDisk& crashed,
                   const std::function<void(const std::shared_ptr<ModelDisk>&)>& look) {
  CHECK_COMPARE(crashed.unsyncedChanges(), <=, mostUnsyncedChanges);  // each is there or not
  auto killed = std::make_shared<ModelDisk>(crashed.copy());
  killed->stepsLeft = SIZE_MAX;
  look(killed);
  for (std::size_t mask = 0; mask < std::size_t(1) << crashed.unsyncedChanges(); ++mask) {
    auto lost = std::make_shared<ModelDisk>(crashed.copy());
    lost->losePower(mask);
    look(lost);
  }
}

// Runs `work` with a crash after each of its steps in turn; gives the number of them.
std::size_t eachCrash(const ModelDisk& before, const Claims& claims,
                      const std::function<void(const std::shared_ptr<ModelDisk>&, Claims&)>& work,
                      const std::function<void(const ModelDisk&, const Claims&)>& look) {
  for (std::size_t steps = 0;; ++steps) {
    auto disk = std::make_shared<ModelDisk>(before.copy());
    disk->stepsLeft = steps;
    Claims known = claims;
    bool crashed = false;
    try {
      work(disk, known);
    } catch (const Crash&) {
      crashed = true;
    }
    look(*disk, known);
    if (!crashed)
      return steps;
  }
}

}  // namespace

TEST_GROUP(DiskCrashTests){};

// Log versions and snapshots, a crash anywhere, a start, another life with its own crash anywhere,
// and a start again: what was synced or loaded is never older the next time.
TEST(DiskCrashTests, whatWasClaimedIsLoadedAfterEveryCrash) {
  std::size_t starts = 0;
  const auto firstLife = [](const std::shared_ptr<ModelDisk>& disk, Claims& claims) {
    start(disk, claims);
    DataFolder folder("d", disk);
    writeVersions(folder, claims, {false, false, true, false, true, true, false}, "first ");
  };
  const auto secondLife = [&](const std::shared_ptr<ModelDisk>& disk, Claims& claims) {
    ++starts;
    start(disk, claims);
    DataFolder folder("d", disk);
    writeVersions(folder, claims, {false, true}, "second ");
  };
  eachCrash(ModelDisk{}, {}, firstLife, [&](const ModelDisk& crashed, const Claims& claims) {
    eachAftermath(crashed, [&](const std::shared_ptr<ModelDisk>& found) {
      eachCrash(*found, claims, secondLife, [&](const ModelDisk& again, const Claims& known) {
        eachAftermath(again, [&](const std::shared_ptr<ModelDisk>& left) {
          Claims last = known;
          ++starts;
          start(left, last);
        });
      });
    });
  });
  CHECK_COMPARE(starts, >, std::size_t(10'000));
}

// Files below the newest snapshot are left from a removal that was not durable. With the newest
// torn nothing tells whether they hold all that was acknowledged: refused, and never read as
// newest.
TEST(DiskCrashTests, aTornSnapshotIsRefusedWhateverLiesBesideIt) {
  std::size_t withOlder = 0;
  const auto life = [](const std::shared_ptr<ModelDisk>& disk, Claims& claims) {
    start(disk, claims);
    DataFolder folder("d", disk);
    writeVersions(folder, claims, {true, false, false, true}, "first ");
  };
  eachCrash(ModelDisk{}, {}, life, [&](const ModelDisk& crashed, const Claims& claims) {
    eachAftermath(crashed, [&](const std::shared_ptr<ModelDisk>& found) {
      const std::string newest = "d/snapshot-00000000000000000004";
      if (!found->exists(newest))
        return;
      withOlder += found->exists("d/snapshot-00000000000000000001");
      found->spoil(newest);
      const auto loaded = DataFolder("d", found).load();
      CHECK(!loaded.has_value());
      STRCMP_EQUAL(newest.c_str(), loaded.error().file.c_str());
      CHECK(loaded.error().code == DiskError::Code::truncated);
      CHECK(loaded.error().isCorruption());
      CHECK(claims.attempted == 4);
    });
  });
  CHECK_COMPARE(withOlder, >, std::size_t(0));
}

// A folder that is set aside and begun anew, with a crash anywhere: it is the old identity with all
// that was claimed, or a new one with nothing of the old.
TEST(DiskCrashTests, aNewIdentityNeverHasTheStateOfTheOldOne) {
  auto before = std::make_shared<ModelDisk>();
  Claims old;
  start(before, old);
  DataFolder folder("d", before);
  writeVersions(folder, old, {false, true, false, false}, "old ");
  const auto beginAnew = [](const std::shared_ptr<ModelDisk>& disk, Claims&) {
    DataFolder renewed("d", disk);
    CHECK(renewed.quarantine().has_value());
    CHECK(renewed.openLocked().has_value());
    CHECK(renewed.write(record(1, false, "new ")).has_value());
  };
  std::size_t olds = 0, news = 0;
  const auto look = [&](const std::shared_ptr<ModelDisk>& found) {
    // As the daemon starts.
    DataFolder again("d", found);
    auto opened = again.openLocked();
    auto loaded = again.load();
    if (!opened || !loaded) {
      CHECK(again.quarantine().has_value());
      opened = again.openLocked();
      loaded = again.load();
    }
    CHECK(opened.has_value() && loaded.has_value());
    const bool isOld = opened.value().value == old.identity;
    ++(isOld ? olds : news);
    if (isOld)
      LONGS_EQUAL(4, loaded.value().back().version.value);
    for (const auto& version : loaded.value())
      CHECK_EQUAL(isOld, version.entries[0].payload.starts_with("old "));
  };
  eachCrash(*before, old, beginAnew,
            [&](const ModelDisk& crashed, const Claims&) { eachAftermath(crashed, look); });
  CHECK(olds > 0 && news > 0);
}
