#include "net/disk.hpp"
#include <cerrno>
#include <fcntl.h>
#include <filesystem>
#include <fstream>
#include <sys/file.h>
#include <unistd.h>

namespace aniseline {

namespace fs = std::filesystem;

namespace {
constexpr char frameMark[8] = {'A', 'N', 'I', 'S', 'E', '0', '0', '4'};  // the last three are the format's number

std::string nameOf(const WriteAheadRecord& record) {
    char name[64];
    std::snprintf(name, sizeof name, "%s-%020llu", record.whole ? "snapshot" : "log", (unsigned long long)record.version.value);
    return name;
}
std::string systemText() { return std::strerror(errno); }

struct Descriptor {
    int number;
    explicit Descriptor(int number) : number(number) {}
    ~Descriptor() {
        if (number >= 0) ::close(number);
    }
};
bool syncFolder(const std::string& path) {
    Descriptor folder(::open(path.c_str(), O_RDONLY | O_DIRECTORY));
    return folder.number >= 0 && ::fsync(folder.number) == 0;
}
}  // namespace

std::string DataFolder::frame(const std::string& bytes) {
    std::string framed(frameMark, sizeof frameMark);
    const std::uint64_t size = bytes.size();
    const std::uint32_t sum = checksum(bytes);
    framed.append(reinterpret_cast<const char*>(&size), sizeof size);
    framed.append(reinterpret_cast<const char*>(&sum), sizeof sum);
    return framed + bytes;
}

DiskResult<std::string> DataFolder::unframe(const std::string& file, const std::string& bytes) {
    constexpr std::size_t head = sizeof frameMark + 12;
    if (bytes.size() < head) return DiskError{file, bytes.size(), "is torn: the head is not whole"};
    if (std::memcmp(bytes.data(), frameMark, 5) != 0) return DiskError{file, 0, "is not a file of aniseline"};
    if (std::memcmp(bytes.data(), frameMark, sizeof frameMark) != 0) return DiskError{file, 5, "is of format " + bytes.substr(5, 3) + ", which this version does not read"};
    std::uint64_t size;
    std::uint32_t sum;
    std::memcpy(&size, bytes.data() + sizeof frameMark, sizeof size);
    std::memcpy(&sum, bytes.data() + sizeof frameMark + 8, sizeof sum);
    if (bytes.size() - head != size) return DiskError{file, bytes.size(), "is torn: " + std::to_string(size) + " bytes were written"};
    std::string body = bytes.substr(head);
    if (checksum(body) != sum) return DiskError{file, head, "is corrupt: the checksum does not match"};
    return body;
}

DiskResult<bool> DataFolder::writeFile(const std::string& name, const std::string& bytes) {
    const std::string aside = path + "/" + name + ".partial", target = path + "/" + name;
    {
        Descriptor file(::open(aside.c_str(), O_WRONLY | O_CREAT | O_TRUNC, 0644));
        if (file.number < 0) return DiskError{aside, 0, systemText()};
        for (std::size_t written = 0; written < bytes.size();) {
            const auto count = ::write(file.number, bytes.data() + written, bytes.size() - written);
            if (count < 0 && errno == EINTR) continue;
            if (count < 0) return DiskError{aside, written, systemText()};
            written += std::size_t(count);
        }
        if (::fsync(file.number) != 0) return DiskError{aside, 0, systemText()};
    }
    if (::rename(aside.c_str(), target.c_str()) != 0) return DiskError{target, 0, systemText()};
    if (!syncFolder(path)) return DiskError{path, 0, systemText()};
    return true;
}

DiskResult<ControllerId> DataFolder::open() {
    std::error_code error;
    fs::create_directories(path, error);
    if (error) return DiskError{path, 0, error.message()};
    const int lock = ::open((path + "/lock").c_str(), O_RDWR | O_CREAT | O_CLOEXEC, 0644);
    if (lock < 0) return DiskError{path + "/lock", 0, systemText()};
    if (::flock(lock, LOCK_EX | LOCK_NB) != 0) {
        ::close(lock);
        return DiskError{path, 0, "is in use by another process"};
    }
    // The lock is kept for the life of the process.
    return openHeld();
}

DiskResult<ControllerId> DataFolder::openHeld() {
    const std::string file = path + "/identity";
    if (!fs::exists(file)) {
        for (const auto& entry : fs::directory_iterator(path)) {
            const std::string name = entry.path().filename();
            if (name.starts_with("log-") || name.starts_with("snapshot-")) return DiskError{file, 0, "is missing, but the folder holds state"};
        }
        std::random_device device;
        char text[40];
        std::snprintf(text, sizeof text, "%08x%08x", device(), device());
        if (auto written = writeFile("identity", frame(text)); !written) return written.error();
        return ControllerId{text};
    }
    std::ifstream stream(file, std::ios::binary);
    std::string bytes((std::istreambuf_iterator<char>(stream)), {});
    auto body = unframe(file, bytes);
    if (!body) return body.error();
    return ControllerId{body.value()};
}

DiskResult<std::vector<WriteAheadRecord>> DataFolder::load() {
    for (const auto& entry : fs::directory_iterator(path))
        if (entry.path().extension() == ".partial") fs::remove(entry.path());
    return loadFrom(path);
}

DiskResult<std::vector<WriteAheadRecord>> DataFolder::loadFrom(const std::string& path) {
    std::map<std::uint64_t, std::string> files;
    std::uint64_t latestSnapshot = 0;
    std::error_code listError;
    for (const auto& entry : fs::directory_iterator(path, listError)) {
        const std::string name = entry.path().filename();
        const bool snapshot = name.starts_with("snapshot-");
        if ((!snapshot && !name.starts_with("log-")) || name.ends_with(".partial")) continue;
        const std::uint64_t version = std::strtoull(name.c_str() + (snapshot ? 9 : 4), nullptr, 10);
        if (!files.emplace(version, entry.path()).second) return DiskError{entry.path(), 0, "a version stands twice"};
        if (snapshot) latestSnapshot = std::max(latestSnapshot, version);
    }
    if (listError) return DiskError{path, 0, listError.message()};
    files.erase(files.begin(), files.lower_bound(latestSnapshot));
    std::vector<WriteAheadRecord> records;
    std::uint64_t expected = latestSnapshot ? latestSnapshot : 1;
    for (const auto& [version, file] : files) {
        if (version != expected++) return DiskError{file, 0, "version " + std::to_string(expected - 1) + " before it is missing"};
        std::ifstream stream(file, std::ios::binary);
        std::string bytes((std::istreambuf_iterator<char>(stream)), {});
        auto body = unframe(file, bytes);
        if (!body) return body.error();
        auto record = unpack<WriteAheadRecord>(body.value());
        if (!record) return DiskError{file, 20, record.error().text()};
        if (record.value().version.value != version) return DiskError{file, 20, "holds another version than its name says"};
        records.push_back(std::move(record.value()));
    }
    return records;
}

DiskResult<bool> DataFolder::write(const WriteAheadRecord& record) {
    auto written = writeFile(nameOf(record), frame(pack(record)));
    if (!written || !record.whole) return written;
    // Older versions go only now that the whole one is synced.
    for (const auto& entry : fs::directory_iterator(path)) {
        const std::string name = entry.path().filename();
        const bool snapshot = name.starts_with("snapshot-");
        if (!snapshot && !name.starts_with("log-")) continue;
        if (std::strtoull(name.c_str() + (snapshot ? 9 : 4), nullptr, 10) < record.version.value) {
            std::error_code ignored;
            fs::remove(entry.path(), ignored);
        }
    }
    return true;
}

DiskResult<bool> DataFolder::setAside() {
    std::error_code error;
    std::string target;
    for (int count = 1;; ++count) {
        target = path + "/aside-" + std::to_string(count);
        if (!fs::exists(target)) break;
    }
    fs::create_directory(target, error);
    // The identity goes first: without it the rest is never taken for a voter's state.
    if (fs::exists(path + "/identity")) fs::rename(path + "/identity", target + "/identity", error);
    if (!syncFolder(path)) return DiskError{path, 0, systemText()};
    for (const auto& entry : fs::directory_iterator(path)) {
        const std::string name = entry.path().filename();
        if (name.starts_with("log-") || name.starts_with("snapshot-")) fs::rename(entry.path(), target + "/" + name, error);
    }
    if (error) return DiskError{path, 0, error.message()};
    if (!syncFolder(path)) return DiskError{path, 0, systemText()};
    return true;
}

}  // namespace aniseline

#ifdef ANISELINE_TESTS
#include <CppUTest/TestHarness.h>
using namespace aniseline;

TEST_GROUP(DataFolderTests) {
    std::string path;
    void setup() override {
        char made[] = "/tmp/aniseline-test-XXXXXX";
        path = ::mkdtemp(made);
    }
    void teardown() override { fs::remove_all(path); }
    WriteAheadRecord record(std::uint64_t version, bool whole) {
        WriteAheadRecord made;
        made.version = DiskVersion{version};
        made.whole = whole;
        made.first = LogIndex{version};
        made.entries = {LogEntry{Term{1}, false, "payload " + std::to_string(version)}};
        return made;
    }
    std::string fileOf(std::uint64_t version) {
        char name[64];
        std::snprintf(name, sizeof name, "/log-%020llu", (unsigned long long)version);
        return path + name;
    }
    void spoil(const std::string& file, std::size_t place, std::size_t cut) {
        std::ifstream in(file, std::ios::binary);
        std::string bytes((std::istreambuf_iterator<char>(in)), {});
        if (cut) bytes.resize(bytes.size() - cut);
        else bytes[place] = char(bytes[place] ^ 0x40);
        std::ofstream(file, std::ios::binary | std::ios::trunc) << bytes;
    }
};

TEST(DataFolderTests, aWholeVersionTakesThePlaceOfWhatCameBefore) {
    DataFolder folder(path);
    const auto identity = folder.open();
    CHECK(identity.has_value());
    for (std::uint64_t version = 1; version <= 3; ++version) CHECK(folder.write(record(version, false)).has_value());
    CHECK(folder.write(record(4, true)).has_value());
    CHECK(folder.write(record(5, false)).has_value());
    CHECK(!fs::exists(fileOf(3)));
    auto loaded = folder.load();
    CHECK(loaded.has_value());
    LONGS_EQUAL(2, loaded.value().size());
    CHECK(loaded.value()[0].whole);
}

// Torn, corrupt, missing or foreign: refused by name and offset, and never voted with.
TEST(DataFolderTests, damageIsRefusedByFileAndOffset) {
    struct Case { std::size_t place, cut; const char* part; };
    for (const Case& bad : {Case{0, 3, "torn"}, Case{40, 0, "checksum"}, Case{1, 0, "not a file of aniseline"}, Case{6, 0, "format"}}) {
        DataFolder folder(path);
        CHECK(folder.openHeld().has_value());
        for (std::uint64_t version = 1; version <= 3; ++version) CHECK(folder.write(record(version, false)).has_value());
        spoil(fileOf(2), bad.place, bad.cut);
        auto loaded = folder.load();
        CHECK(!loaded.has_value());
        CHECK_TEXT(loaded.error().message().find(bad.part) != std::string::npos, loaded.error().message().c_str());
        CHECK(loaded.error().file.find("log-") != std::string::npos);
        CHECK(folder.setAside().has_value());
        auto anew = folder.load();
        CHECK(anew.has_value() && anew.value().empty());
    }
    DataFolder folder(path);
    CHECK(folder.openHeld().has_value());
    for (std::uint64_t version = 1; version <= 3; ++version) CHECK(folder.write(record(version, false)).has_value());
    fs::remove(fileOf(2));
    CHECK(folder.load().error().message().find("version 2 before it is missing") != std::string::npos);
}

TEST(DataFolderTests, aFolderInUseIsRefused) {
    DataFolder first(path), second(path);
    CHECK(first.open().has_value());
    CHECK(second.open().error().message().find("in use") != std::string::npos);
}
#endif
