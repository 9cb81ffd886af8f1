#include "net/data_folder.hpp"
#include <cerrno>
#include <fcntl.h>
#include <sys/file.h>
#include <unistd.h>

namespace aniseline {

namespace {

using Code = DiskError::Code;

// A file begins with the product's mark and the three digits of the format.
constexpr char formatMark[8] = {'A', 'N', 'I', 'S', 'E', '0', '0', '5'};
constexpr std::size_t productMarkBytes = 5;
constexpr std::size_t formatDigits = sizeof formatMark - productMarkBytes;
// The mark, the size of the body in 8 bytes, and its checksum in 4.
constexpr std::size_t headerBytes = sizeof formatMark + 8 + 4;

constexpr const char* identityName = "identity";
constexpr std::string_view snapshotPrefix = "snapshot-";
constexpr std::string_view logPrefix = "log-";
// Of a file that is still being written.
constexpr std::string_view partialSuffix = ".partial";

std::string fileNameOf(const WriteAheadRecord& record) {
  char version[24];
  std::snprintf(version, sizeof version, "%020llu", (unsigned long long)record.version.value);
  return std::string(record.holdsSnapshot ? snapshotPrefix : logPrefix) + version;
}

// What the name of a record's file says of it.
struct RecordFile {
  std::uint64_t version = 0;
  bool holdsSnapshot = false;
};

// Nothing where the name is not that of a record's file.
std::optional<RecordFile> parseRecordName(const std::string& name) {
  const bool isSnapshot = name.starts_with(snapshotPrefix);
  if ((!isSnapshot && !name.starts_with(logPrefix)) || name.ends_with(partialSuffix))
    return std::nullopt;
  const std::size_t prefixLength = isSnapshot ? snapshotPrefix.size() : logPrefix.size();
  return RecordFile{std::strtoull(name.c_str() + prefixLength, nullptr, 10), isSnapshot};
}

// The files that hold the newest state, by version.
struct RecordFiles {
  std::uint64_t snapshotVersion = 0;  // of the newest snapshot; 0 where there is none
  std::map<std::uint64_t, std::string> paths;
};

// Older files are there where their removal was not durable. They are of no use: when the newest
// snapshot can't be read, nothing tells whether they hold everything that was acknowledged.
DiskResult<RecordFiles> newestRecords(const std::string& folder, FileSystem& fileSystem) {
  auto names = fileSystem.listNames(folder);
  if (!names)
    return names.error();
  RecordFiles files;
  for (const auto& name : names.value()) {
    const auto file = parseRecordName(name);
    if (!file)
      continue;
    const std::string path = folder + "/" + name;
    if (!files.paths.emplace(file->version, path).second)
      return DiskError{Code::versionDuplicated, path, 0, "a version stands twice"};
    if (file->holdsSnapshot)
      files.snapshotVersion = std::max(files.snapshotVersion, file->version);
  }
  files.paths.erase(files.paths.begin(), files.paths.lower_bound(files.snapshotVersion));
  return files;
}

DiskResult<WriteAheadRecord> readRecord(const std::string& path, std::uint64_t version,
                                        FileSystem& fileSystem) {
  auto bytes = fileSystem.read(path);
  if (!bytes)
    return bytes.error();
  auto body = DataFolder::unframe(path, bytes.value());
  if (!body)
    return body.error();
  auto record = unpack<WriteAheadRecord>(body.value());
  if (!record)
    return DiskError{Code::unreadableRecord, path, headerBytes, record.error().text()};
  if (record.value().version.value != version)
    return DiskError{Code::versionMismatch, path, headerBytes,
                     "holds another version than its name says"};
  return std::move(record.value());
}

}  // namespace

std::string DataFolder::frame(const std::string& body) {
  std::string framed(formatMark, sizeof formatMark);
  const std::uint64_t size = body.size();
  const std::uint32_t sum = checksum(body);
  framed.append(reinterpret_cast<const char*>(&size), sizeof size);
  framed.append(reinterpret_cast<const char*>(&sum), sizeof sum);
  return framed + body;
}

DiskResult<std::string> DataFolder::unframe(const std::string& file, const std::string& bytes) {
  if (bytes.size() < headerBytes)
    return DiskError{Code::truncated, file, bytes.size(), "is torn: the head is not whole"};
  if (std::memcmp(bytes.data(), formatMark, productMarkBytes) != 0)
    return DiskError{Code::foreignFile, file, 0, "is not a file of aniseline"};
  if (std::memcmp(bytes.data(), formatMark, sizeof formatMark) != 0) {
    const std::string format = bytes.substr(productMarkBytes, formatDigits);
    return DiskError{Code::unsupportedFormat, file, productMarkBytes,
                     "is of format " + format + ", which this version does not read"};
  }
  std::uint64_t size;
  std::uint32_t sum;
  std::memcpy(&size, bytes.data() + sizeof formatMark, sizeof size);
  std::memcpy(&sum, bytes.data() + sizeof formatMark + sizeof size, sizeof sum);
  if (bytes.size() - headerBytes != size)
    return DiskError{Code::truncated, file, bytes.size(),
                     "is torn: " + std::to_string(size) + " bytes were written"};
  std::string body = bytes.substr(headerBytes);
  if (checksum(body) != sum)
    return DiskError{Code::checksumMismatch, file, headerBytes,
                     "is corrupt: the checksum does not match"};
  return body;
}

// The file is there completely or not at all: it gets its name only once its content is durable,
// and counts as written only once the name is.
DiskResult<void> DataFolder::writeFileAtomically(const std::string& name,
                                                 const std::string& bytes) {
  const std::string target = pathOf(name);
  const std::string partial = target + std::string(partialSuffix);
  if (auto written = fileSystem->writeSynced(partial, bytes); !written)
    return written;
  if (auto renamed = fileSystem->rename(partial, target); !renamed)
    return renamed;
  return fileSystem->syncFolder(path);
}

DiskResult<ControllerId> DataFolder::open() {
  if (auto made = fileSystem->makeFolder(path); !made)
    return made.error();
  const std::string lockPath = pathOf("lock");
  const int lock = ::open(lockPath.c_str(), O_RDWR | O_CREAT | O_CLOEXEC, 0644);
  if (lock < 0)
    return DiskError{Code::systemError, lockPath, 0, std::strerror(errno)};
  if (::flock(lock, LOCK_EX | LOCK_NB) != 0) {
    ::close(lock);
    return DiskError{Code::folderInUse, path, 0, "is in use by another process"};
  }
  // The descriptor stays open, and with it the lock, until the process ends.
  return openLocked();
}

DiskResult<ControllerId> DataFolder::openLocked() {
  const std::string file = pathOf(identityName);
  if (!fileSystem->exists(file))
    return createIdentity();
  auto bytes = fileSystem->read(file);
  if (!bytes)
    return bytes.error();
  auto body = unframe(file, bytes.value());
  if (!body)
    return body.error();
  return ControllerId{body.value()};
}

DiskResult<ControllerId> DataFolder::createIdentity() {
  auto names = fileSystem->listNames(path);
  if (!names)
    return names.error();
  for (const auto& name : names.value()) {
    if (parseRecordName(name))
      return DiskError{Code::identityMissing, pathOf(identityName), 0,
                       "is missing, but the folder holds state"};
  }
  std::random_device device;
  char identity[40];
  std::snprintf(identity, sizeof identity, "%08x%08x", device(), device());
  if (auto written = writeFileAtomically(identityName, frame(identity)); !written)
    return written.error();
  return ControllerId{identity};
}

DiskResult<std::vector<WriteAheadRecord>> DataFolder::load() {
  auto names = fileSystem->listNames(path);
  if (!names)
    return names.error();
  for (const auto& name : names.value()) {
    if (!name.ends_with(partialSuffix))
      continue;
    if (auto removed = fileSystem->remove(pathOf(name)); !removed)
      return removed.error();
  }
  // A process that was killed may have left a version whose name is not durable yet. It is about to
  // be claimed to others, so it is made durable first.
  if (auto synced = fileSystem->syncFolder(path); !synced)
    return synced.error();
  return readRecords(path, *fileSystem);
}

DiskResult<std::vector<WriteAheadRecord>> DataFolder::readRecords(const std::string& path,
                                                                  FileSystem& fileSystem) {
  auto files = newestRecords(path, fileSystem);
  if (!files)
    return files.error();
  std::vector<WriteAheadRecord> records;
  const std::uint64_t snapshotVersion = files.value().snapshotVersion;
  std::uint64_t expected = snapshotVersion ? snapshotVersion : 1;
  for (const auto& [version, file] : files.value().paths) {
    if (version != expected)
      return DiskError{Code::versionMissing, file, 0,
                       "version " + std::to_string(expected) + " before it is missing"};
    ++expected;
    auto record = readRecord(file, version, fileSystem);
    if (!record)
      return record.error();
    records.push_back(std::move(record.value()));
  }
  return records;
}

DiskResult<void> DataFolder::write(const WriteAheadRecord& record) {
  auto written = writeFileAtomically(fileNameOf(record), frame(pack(record)));
  // Only now that the snapshot is durable, its name included. A file that is back after a loss of
  // power lies below it and is not read.
  if (written && record.holdsSnapshot)
    removeVersionsBefore(record.version);
  return written;
}

// What can't be removed now is removed with the next snapshot.
void DataFolder::removeVersionsBefore(DiskVersion version) {
  auto names = fileSystem->listNames(path);
  if (!names)
    return;
  for (const auto& name : names.value()) {
    const auto file = parseRecordName(name);
    if (file && file->version < version.value)
      (void)fileSystem->remove(pathOf(name));
  }
}

DiskResult<void> DataFolder::quarantine() {
  int number = 1;
  while (fileSystem->exists(pathOf("aside-" + std::to_string(number))))
    ++number;
  const std::string target = pathOf("aside-" + std::to_string(number));
  if (auto made = fileSystem->makeFolder(target); !made)
    return made;
  // The identity goes first: without it the rest is never taken for a voter's state.
  const std::string identityPath = pathOf(identityName);
  if (fileSystem->exists(identityPath)) {
    if (auto moved = fileSystem->rename(identityPath, target + "/" + identityName); !moved)
      return moved;
  }
  if (auto synced = fileSystem->syncFolder(path); !synced)
    return synced;
  auto names = fileSystem->listNames(path);
  if (!names)
    return names.error();
  for (const auto& name : names.value()) {
    if (!parseRecordName(name))
      continue;
    if (auto moved = fileSystem->rename(pathOf(name), target + "/" + name); !moved)
      return moved;
  }
  if (auto synced = fileSystem->syncFolder(target); !synced)
    return synced;
  return fileSystem->syncFolder(path);
}

}  // namespace aniseline
