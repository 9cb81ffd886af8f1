// Implements the file format, atomic writes, recovery and quarantine of a data folder.
#include "net/data_folder.hpp"
#include <cerrno>
#include <fcntl.h>
#include <sys/file.h>
#include <unistd.h>

namespace aniseline {

namespace {

using Code = DiskError::Code;

// Every file begins with a product mark and the three digits of its format version.
constexpr char formatMark[8] = {'A', 'N', 'I', 'S', 'E', '0', '0', '5'};
constexpr std::size_t productMarkBytes = 5;
constexpr std::size_t formatDigits = sizeof formatMark - productMarkBytes;
// The header: the mark, the size of the body in 8 bytes, and the body's checksum in 4 bytes.
constexpr std::size_t headerBytes = sizeof formatMark + 8 + 4;

constexpr const char* identityName = "identity";
constexpr const char* clusterName = "cluster";
constexpr const char* quarantinePrefix = "aside-";
constexpr std::string_view snapshotPrefix = "snapshot-";
constexpr std::string_view logPrefix = "log-";
// The suffix of a file that is still being written.
constexpr std::string_view partialSuffix = ".partial";

std::string fileNameOf(const WriteAheadRecord& record) {
  char version[24];
  std::snprintf(version, sizeof version, "%020llu", (unsigned long long)record.version.value);
  return std::string(record.holdsSnapshot ? snapshotPrefix : logPrefix) + version;
}

// The attributes of a record that are encoded in its file name.
struct RecordFile {
  std::uint64_t version = 0;
  bool holdsSnapshot = false;
};

// Returns nothing if the name is not that of a record file.
std::optional<RecordFile> parseRecordName(const std::string& name) {
  const bool isSnapshot = name.starts_with(snapshotPrefix);
  if ((!isSnapshot && !name.starts_with(logPrefix)) || name.ends_with(partialSuffix))
    return std::nullopt;
  const std::size_t prefixLength = isSnapshot ? snapshotPrefix.size() : logPrefix.size();
  return RecordFile{std::strtoull(name.c_str() + prefixLength, nullptr, 10), isSnapshot};
}

// The record files that hold the newest state.
struct RecordFiles {
  std::uint64_t snapshotVersion = 0;           // the newest snapshot's version; 0 if there is none
  std::map<std::uint64_t, std::string> paths;  // by version
};

// Returns the files from the newest snapshot on. Older files may remain because their removal was
// not durable. They are ignored even if the newest snapshot can't be read, because they may not
// contain everything that was acknowledged.
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
      return DiskError{Code::versionDuplicated, path, 0, "another file holds the same version"};
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
                     "holds a version that differs from its file name"};
  return std::move(record.value());
}

}  // namespace

std::string DataFolder::frame(const std::string& body) {
  std::string framed(formatMark, sizeof formatMark);
  const std::uint64_t size = body.size();
  const std::uint32_t bodyChecksum = checksum(body);
  framed.append(reinterpret_cast<const char*>(&size), sizeof size);
  framed.append(reinterpret_cast<const char*>(&bodyChecksum), sizeof bodyChecksum);
  return framed + body;
}

DiskResult<std::string> DataFolder::unframe(const std::string& file, const std::string& bytes) {
  if (bytes.size() < headerBytes)
    return DiskError{Code::truncated, file, bytes.size(), "is truncated: the header is incomplete"};
  if (std::memcmp(bytes.data(), formatMark, productMarkBytes) != 0)
    return DiskError{Code::foreignFile, file, 0, "was not written by aniseline"};
  if (std::memcmp(bytes.data(), formatMark, sizeof formatMark) != 0) {
    const std::string format = bytes.substr(productMarkBytes, formatDigits);
    return DiskError{Code::unsupportedFormat, file, productMarkBytes,
                     "has format " + format + ", which this version can't read"};
  }
  std::uint64_t size;
  std::uint32_t bodyChecksum;
  std::memcpy(&size, bytes.data() + sizeof formatMark, sizeof size);
  std::memcpy(&bodyChecksum, bytes.data() + sizeof formatMark + sizeof size, sizeof bodyChecksum);
  if (bytes.size() - headerBytes != size)
    return DiskError{
        Code::truncated, file, bytes.size(),
        "is truncated or too long: the body should have " + std::to_string(size) + " bytes"};
  std::string body = bytes.substr(headerBytes);
  if (checksum(body) != bodyChecksum)
    return DiskError{Code::checksumMismatch, file, headerBytes,
                     "is corrupt: the checksum does not match"};
  return body;
}

// Writes a file completely or not at all: the file is renamed to its final name once its content is
// durable, and the write succeeds only once the rename is durable.
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
  // The descriptor is never closed, so the lock is held until the process ends.
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
                       "is missing, although the folder holds state"};
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
  // A process that was killed may have left a version whose file name is not durable yet. This
  // process is about to report that version to others, so it is made durable first.
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
  // Older files are removed only now that the snapshot and its file name are durable. A removed
  // file that reappears after a power loss has an older version than the snapshot and is not read.
  if (written && record.holdsSnapshot)
    removeVersionsBefore(record.version);
  return written;
}

// Removes older record files. Files that can't be removed now are removed with the next snapshot.
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

bool DataFolder::hasQuarantined() const {
  return fileSystem->exists(pathOf(quarantinePrefix + std::string("1")));
}

DiskResult<ClusterId> DataFolder::readCluster() const {
  const std::string file = pathOf(clusterName);
  if (!fileSystem->exists(file))
    return ClusterId{};
  auto bytes = fileSystem->read(file);
  if (!bytes)
    return bytes.error();
  auto body = unframe(file, bytes.value());
  if (!body)
    return body.error();
  return ClusterId{body.value()};
}

DiskResult<void> DataFolder::writeCluster(const ClusterId& cluster) {
  return writeFileAtomically(clusterName, frame(cluster.value));
}

DiskResult<void> DataFolder::quarantine() {
  int number = 1;
  while (fileSystem->exists(pathOf(quarantinePrefix + std::to_string(number))))
    ++number;
  const std::string target = pathOf(quarantinePrefix + std::to_string(number));
  if (auto made = fileSystem->makeFolder(target); !made)
    return made;
  // The identity is moved first: state without an identity is never used as the state of a voter.
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
