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
constexpr char frameMark[8] = {'A', 'N', 'I', 'S',
                               'E', '0', '0', '5'};  // the last three are the format's number

std::string nameOf(const WriteAheadRecord& record) {
  char name[64];
  std::snprintf(name, sizeof name, "%s-%020llu", record.whole ? "snapshot" : "log",
                (unsigned long long)record.version.value);
  return name;
}
std::string systemText() {
  return std::strerror(errno);
}

struct Descriptor {
  int number;
  explicit Descriptor(int number) : number(number) {}
  ~Descriptor() {
    if (number >= 0)
      ::close(number);
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
  if (bytes.size() < head)
    return DiskError{file, bytes.size(), "is torn: the head is not whole"};
  if (std::memcmp(bytes.data(), frameMark, 5) != 0)
    return DiskError{file, 0, "is not a file of aniseline"};
  if (std::memcmp(bytes.data(), frameMark, sizeof frameMark) != 0)
    return DiskError{file, 5,
                     "is of format " + bytes.substr(5, 3) + ", which this version does not read"};
  std::uint64_t size;
  std::uint32_t sum;
  std::memcpy(&size, bytes.data() + sizeof frameMark, sizeof size);
  std::memcpy(&sum, bytes.data() + sizeof frameMark + 8, sizeof sum);
  if (bytes.size() - head != size)
    return DiskError{file, bytes.size(),
                     "is torn: " + std::to_string(size) + " bytes were written"};
  std::string body = bytes.substr(head);
  if (checksum(body) != sum)
    return DiskError{file, head, "is corrupt: the checksum does not match"};
  return body;
}

DiskResult<bool> DataFolder::writeFile(const std::string& name, const std::string& bytes) {
  const std::string aside = path + "/" + name + ".partial", target = path + "/" + name;
  {
    Descriptor file(::open(aside.c_str(), O_WRONLY | O_CREAT | O_TRUNC, 0644));
    if (file.number < 0)
      return DiskError{aside, 0, systemText()};
    for (std::size_t written = 0; written < bytes.size();) {
      const auto count = ::write(file.number, bytes.data() + written, bytes.size() - written);
      if (count < 0 && errno == EINTR)
        continue;
      if (count < 0)
        return DiskError{aside, written, systemText()};
      written += std::size_t(count);
    }
    if (::fsync(file.number) != 0)
      return DiskError{aside, 0, systemText()};
  }
  if (::rename(aside.c_str(), target.c_str()) != 0)
    return DiskError{target, 0, systemText()};
  if (!syncFolder(path))
    return DiskError{path, 0, systemText()};
  return true;
}

DiskResult<ControllerId> DataFolder::open() {
  std::error_code error;
  fs::create_directories(path, error);
  if (error)
    return DiskError{path, 0, error.message()};
  const int lock = ::open((path + "/lock").c_str(), O_RDWR | O_CREAT | O_CLOEXEC, 0644);
  if (lock < 0)
    return DiskError{path + "/lock", 0, systemText()};
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
      if (name.starts_with("log-") || name.starts_with("snapshot-"))
        return DiskError{file, 0, "is missing, but the folder holds state"};
    }
    std::random_device device;
    char text[40];
    std::snprintf(text, sizeof text, "%08x%08x", device(), device());
    if (auto written = writeFile("identity", frame(text)); !written)
      return written.error();
    return ControllerId{text};
  }
  std::ifstream stream(file, std::ios::binary);
  std::string bytes((std::istreambuf_iterator<char>(stream)), {});
  auto body = unframe(file, bytes);
  if (!body)
    return body.error();
  return ControllerId{body.value()};
}

DiskResult<std::vector<WriteAheadRecord>> DataFolder::load() {
  for (const auto& entry : fs::directory_iterator(path))
    if (entry.path().extension() == ".partial")
      fs::remove(entry.path());
  return loadFrom(path);
}

DiskResult<std::vector<WriteAheadRecord>> DataFolder::loadFrom(const std::string& path) {
  std::map<std::uint64_t, std::string> files;
  std::uint64_t latestSnapshot = 0;
  std::error_code listError;
  for (const auto& entry : fs::directory_iterator(path, listError)) {
    const std::string name = entry.path().filename();
    const bool snapshot = name.starts_with("snapshot-");
    if ((!snapshot && !name.starts_with("log-")) || name.ends_with(".partial"))
      continue;
    const std::uint64_t version = std::strtoull(name.c_str() + (snapshot ? 9 : 4), nullptr, 10);
    if (!files.emplace(version, entry.path()).second)
      return DiskError{entry.path(), 0, "a version stands twice"};
    if (snapshot)
      latestSnapshot = std::max(latestSnapshot, version);
  }
  if (listError)
    return DiskError{path, 0, listError.message()};
  files.erase(files.begin(), files.lower_bound(latestSnapshot));
  std::vector<WriteAheadRecord> records;
  std::uint64_t expected = latestSnapshot ? latestSnapshot : 1;
  for (const auto& [version, file] : files) {
    if (version != expected++)
      return DiskError{file, 0,
                       "version " + std::to_string(expected - 1) + " before it is missing"};
    std::ifstream stream(file, std::ios::binary);
    std::string bytes((std::istreambuf_iterator<char>(stream)), {});
    auto body = unframe(file, bytes);
    if (!body)
      return body.error();
    auto record = unpack<WriteAheadRecord>(body.value());
    if (!record)
      return DiskError{file, 20, record.error().text()};
    if (record.value().version.value != version)
      return DiskError{file, 20, "holds another version than its name says"};
    records.push_back(std::move(record.value()));
  }
  return records;
}

DiskResult<bool> DataFolder::write(const WriteAheadRecord& record) {
  auto written = writeFile(nameOf(record), frame(pack(record)));
  if (!written || !record.whole)
    return written;
  // Older versions go only now that the whole one is synced.
  for (const auto& entry : fs::directory_iterator(path)) {
    const std::string name = entry.path().filename();
    const bool snapshot = name.starts_with("snapshot-");
    if (!snapshot && !name.starts_with("log-"))
      continue;
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
    if (!fs::exists(target))
      break;
  }
  fs::create_directory(target, error);
  // The identity goes first: without it the rest is never taken for a voter's state.
  if (fs::exists(path + "/identity"))
    fs::rename(path + "/identity", target + "/identity", error);
  if (!syncFolder(path))
    return DiskError{path, 0, systemText()};
  for (const auto& entry : fs::directory_iterator(path)) {
    const std::string name = entry.path().filename();
    if (name.starts_with("log-") || name.starts_with("snapshot-"))
      fs::rename(entry.path(), target + "/" + name, error);
  }
  if (error)
    return DiskError{path, 0, error.message()};
  if (!syncFolder(path))
    return DiskError{path, 0, systemText()};
  return true;
}

}  // namespace aniseline
