#include "net/data_folder.hpp"
#include <cerrno>
#include <fcntl.h>
#include <sys/file.h>
#include <unistd.h>

namespace aniseline {

namespace {
constexpr char frameMark[8] = {'A', 'N', 'I', 'S',
                               'E', '0', '0', '5'};  // the last three are the format's number

constexpr std::string_view partialEnding = ".partial";

std::string nameOf(const WriteAheadRecord& record) {
  char name[64];
  std::snprintf(name, sizeof name, "%s-%020llu", record.holdsSnapshot ? "snapshot" : "log",
                (unsigned long long)record.version.value);
  return name;
}

// What a file of the folder is by its name; the others are none of the state.
struct VersionFile {
  std::uint64_t version = 0;
  bool snapshot = false;
};
std::optional<VersionFile> versionFile(const std::string& name) {
  constexpr std::string_view snapshotName = "snapshot-", logName = "log-";
  const bool snapshot = name.starts_with(snapshotName);
  if ((!snapshot && !name.starts_with(logName)) || name.ends_with(partialEnding))
    return std::nullopt;
  const std::size_t head = snapshot ? snapshotName.size() : logName.size();
  return VersionFile{std::strtoull(name.c_str() + head, nullptr, 10), snapshot};
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

// Whole or absent: it gets its name only once its content is durable, and counts as written only
// once the name is.
DiskResult<bool> DataFolder::writeFileAtomically(const std::string& name,
                                                 const std::string& bytes) {
  const std::string target = path + "/" + name;
  const std::string aside = target + std::string(partialEnding);
  if (auto written = fileSystem->writeSynced(aside, bytes); !written)
    return written;
  if (auto renamed = fileSystem->rename(aside, target); !renamed)
    return renamed;
  return fileSystem->syncFolder(path);
}

DiskResult<ControllerId> DataFolder::open() {
  if (auto made = fileSystem->makeFolder(path); !made)
    return made.error();
  const int lock = ::open((path + "/lock").c_str(), O_RDWR | O_CREAT | O_CLOEXEC, 0644);
  if (lock < 0)
    return DiskError{path + "/lock", 0, std::strerror(errno), DiskError::Kind::systemError};
  if (::flock(lock, LOCK_EX | LOCK_NB) != 0) {
    ::close(lock);
    return DiskError{path, 0, "is in use by another process", DiskError::Kind::systemError};
  }
  // The lock is kept for the life of the process.
  return openLocked();
}

DiskResult<ControllerId> DataFolder::openLocked() {
  const std::string file = path + "/identity";
  if (!fileSystem->exists(file)) {
    auto names = fileSystem->listNames(path);
    if (!names)
      return names.error();
    for (const auto& name : names.value())
      if (versionFile(name))
        return DiskError{file, 0, "is missing, but the folder holds state"};
    std::random_device device;
    char text[40];
    std::snprintf(text, sizeof text, "%08x%08x", device(), device());
    if (auto written = writeFileAtomically("identity", frame(text)); !written)
      return written.error();
    return ControllerId{text};
  }
  auto bytes = fileSystem->read(file);
  if (!bytes)
    return bytes.error();
  auto body = unframe(file, bytes.value());
  if (!body)
    return body.error();
  return ControllerId{body.value()};
}

DiskResult<std::vector<WriteAheadRecord>> DataFolder::load() {
  auto names = fileSystem->listNames(path);
  if (!names)
    return names.error();
  for (const auto& name : names.value())
    if (name.ends_with(partialEnding))
      if (auto removed = fileSystem->remove(path + "/" + name); !removed)
        return removed.error();
  // A process that was killed may have left a version whose name is not durable yet. It is about to
  // be claimed to others, so first it is made so.
  if (auto synced = fileSystem->syncFolder(path); !synced)
    return synced.error();
  return readRecords(path, *fileSystem);
}

DiskResult<std::vector<WriteAheadRecord>> DataFolder::readRecords(const std::string& path,
                                                                  FileSystem& files) {
  auto names = files.listNames(path);
  if (!names)
    return names.error();
  std::map<std::uint64_t, std::string> versions;
  std::uint64_t latestSnapshot = 0;
  for (const auto& name : names.value()) {
    const auto found = versionFile(name);
    if (!found)
      continue;
    if (!versions.emplace(found->version, path + "/" + name).second)
      return DiskError{path + "/" + name, 0, "a version stands twice"};
    if (found->snapshot)
      latestSnapshot = std::max(latestSnapshot, found->version);
  }
  // Older ones are there when their removal was not durable. They are of no use: when the newest
  // snapshot can't be read, nothing tells whether they hold all that was acknowledged.
  versions.erase(versions.begin(), versions.lower_bound(latestSnapshot));
  std::vector<WriteAheadRecord> records;
  std::uint64_t expected = latestSnapshot ? latestSnapshot : 1;
  for (const auto& [version, file] : versions) {
    if (version != expected++)
      return DiskError{file, 0,
                       "version " + std::to_string(expected - 1) + " before it is missing"};
    auto bytes = files.read(file);
    if (!bytes)
      return bytes.error();
    auto body = unframe(file, bytes.value());
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
  auto written = writeFileAtomically(nameOf(record), frame(pack(record)));
  if (!written || !record.holdsSnapshot)
    return written;
  return removeVersionsBefore(record.version);
}

// Only now that the whole version is durable, its name included. One that comes back after a loss
// of power lies below it and is not read.
DiskResult<bool> DataFolder::removeVersionsBefore(DiskVersion version) {
  auto names = fileSystem->listNames(path);
  if (!names)
    return true;  // they are removed with the next snapshot
  for (const auto& name : names.value()) {
    const auto found = versionFile(name);
    if (!found || found->version >= version.value)
      continue;
    [[maybe_unused]] const auto removed = fileSystem->remove(path + "/" + name);
  }
  return true;
}

DiskResult<bool> DataFolder::quarantine() {
  int count = 1;
  while (fileSystem->exists(path + "/aside-" + std::to_string(count)))
    ++count;
  const std::string target = path + "/aside-" + std::to_string(count);
  if (auto made = fileSystem->makeFolder(target); !made)
    return made;
  // The identity goes first: without it the rest is never taken for a voter's state.
  if (fileSystem->exists(path + "/identity"))
    if (auto moved = fileSystem->rename(path + "/identity", target + "/identity"); !moved)
      return moved;
  if (auto synced = fileSystem->syncFolder(path); !synced)
    return synced;
  auto names = fileSystem->listNames(path);
  if (!names)
    return names.error();
  for (const auto& name : names.value())
    if (versionFile(name))
      if (auto moved = fileSystem->rename(path + "/" + name, target + "/" + name); !moved)
        return moved;
  if (auto synced = fileSystem->syncFolder(target); !synced)
    return synced;
  return fileSystem->syncFolder(path);
}

}  // namespace aniseline
