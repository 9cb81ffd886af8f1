// Stores a controller's identity and its durable state, with one file per version of the state. The
// controller daemon owns the folder, opens it on its main thread, and then writes on a dedicated
// thread. docs/design.md 3.3.
#ifndef ANISELINE_NET_DATA_FOLDER_HPP
#define ANISELINE_NET_DATA_FOLDER_HPP
#include "net/file_system.hpp"
#include "raft/write_ahead_record.hpp"

namespace aniseline {

class DataFolder {
 public:
  explicit DataFolder(std::string path, std::shared_ptr<FileSystem> fileSystem = posixFileSystem())
      : path(std::move(path)), fileSystem(std::move(fileSystem)) {}

  // Locks the folder until this process ends and returns the identity; creates one in an empty
  // folder. The identity may be sent to other processes only after `load`, which makes it durable.
  DiskResult<ControllerId> open();
  // Does the same without locking, for a process that already holds the lock.
  DiskResult<ControllerId> openLocked();

  // Returns the newest state, all of it durable: the newest record with a snapshot and all records
  // after it, in the order of their versions. A missing or unreadable record is an error: an older
  // state is never returned in place of the newest.
  DiskResult<std::vector<WriteAheadRecord>> load();
  // Writes a record durably. A record with a snapshot replaces all older records.
  DiskResult<void> write(const WriteAheadRecord& record);

  // Moves the identity and the state to a subfolder. This retires the identity, which must never
  // vote again; the next `openLocked` creates a new one. The recorded cluster stays.
  DiskResult<void> quarantine();
  // Reports whether an identity of this folder has been retired.
  bool hasQuarantined() const;

  // Returns the recorded cluster; absent if none is recorded.
  DiskResult<ClusterId> readCluster() const;
  // Records durably to which cluster the controllers of this folder belong. docs/design.md 3.8.
  DiskResult<void> writeCluster(const ClusterId& cluster);

  // Returns the same records as `load` without modifying the folder, so the folder may be in use by
  // another process.
  static DiskResult<std::vector<WriteAheadRecord>> readRecords(
      const std::string& path, FileSystem& fileSystem = *posixFileSystem());

  // Returns the content of a file with this body: a header with the format, the size and a
  // checksum, followed by the body.
  static std::string frame(const std::string& body);
  // Returns the body in the content of a file. \param file is the file's name, for errors.
  static DiskResult<std::string> unframe(const std::string& file, const std::string& bytes);

 private:
  DiskResult<ControllerId> createIdentity();
  DiskResult<void> writeFileAtomically(const std::string& name, const std::string& bytes);
  void removeVersionsBefore(DiskVersion version);
  std::string pathOf(const std::string& name) const { return path + "/" + name; }

  std::string path;
  std::shared_ptr<FileSystem> fileSystem;
};

}  // namespace aniseline

#endif  // ANISELINE_NET_DATA_FOLDER_HPP
