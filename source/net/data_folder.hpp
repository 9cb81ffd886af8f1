// A controller's data folder: its identity, and one file for each version of its durable state.
// docs/design.md 3.3.
#ifndef ANISELINE_NET_DATA_FOLDER_HPP
#define ANISELINE_NET_DATA_FOLDER_HPP
#include "net/file_system.hpp"
#include "raft/node.hpp"

namespace aniseline {

class DataFolder {
 public:
  explicit DataFolder(std::string path, std::shared_ptr<FileSystem> fileSystem = posixFileSystem())
      : path(std::move(path)), fileSystem(std::move(fileSystem)) {}
  // Opens the folder; an empty one gets a new identity. Damage is an error, never a guess. The
  // identity may be told to others only after `load`, which makes it durable.
  DiskResult<ControllerId> open();
  DiskResult<ControllerId> openLocked();  // the same, by the process that holds the folder already
  // The newest state; what it gives is durable. Several versions that don't follow on each other,
  // or one that can't be read, are an error: an older state is never given for the newest.
  DiskResult<std::vector<WriteAheadRecord>> load();
  DiskResult<bool> write(const WriteAheadRecord& record);
  // Puts a folder whose identity may not vote any more aside; the next open begins a new identity.
  DiskResult<bool> quarantine();
  static DiskResult<std::vector<WriteAheadRecord>> readRecords(
      const std::string& path, FileSystem& files = *posixFileSystem());
  static std::string frame(const std::string& bytes);
  static DiskResult<std::string> unframe(const std::string& file, const std::string& bytes);

 private:
  DiskResult<bool> writeFileAtomically(const std::string& name, const std::string& bytes);
  DiskResult<bool> removeVersionsBefore(DiskVersion version);
  std::string path;
  std::shared_ptr<FileSystem> fileSystem;
};

}  // namespace aniseline

#endif  // ANISELINE_NET_DATA_FOLDER_HPP
