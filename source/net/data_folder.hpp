// A controller's data folder: its identity, and one file for each version of its durable state. The
// controller daemon owns it, opens it on its own thread, and then writes on a thread that does
// nothing else. docs/design.md 3.3.
#ifndef ANISELINE_NET_DATA_FOLDER_HPP
#define ANISELINE_NET_DATA_FOLDER_HPP
#include "net/file_system.hpp"
#include "raft/write_ahead_record.hpp"

namespace aniseline {

class DataFolder {
 public:
  explicit DataFolder(std::string path, std::shared_ptr<FileSystem> fileSystem = posixFileSystem())
      : path(std::move(path)), fileSystem(std::move(fileSystem)) {}

  // Locks the folder for the life of this process and reads the identity; an empty folder gets a
  // new one. The identity may be sent to others only after `load`, which makes it durable.
  DiskResult<ControllerId> open();
  // The same, where this process holds the lock already.
  DiskResult<ControllerId> openLocked();

  // The newest state, all of it durable: the newest record with a snapshot and those after it, in
  // the order of their versions. Where one is missing or can't be read that is an error: an older
  // state is never returned for the newest.
  DiskResult<std::vector<WriteAheadRecord>> load();
  // Makes a record durable. One with a snapshot replaces all older ones.
  DiskResult<void> write(const WriteAheadRecord& record);

  // Moves the identity and the state to a subfolder, where the identity may not vote any more; the
  // next `openLocked` begins a new identity.
  DiskResult<void> quarantine();

  // What `load` returns, but leaves the folder as it is, so that it may be in use.
  static DiskResult<std::vector<WriteAheadRecord>> readRecords(
      const std::string& path, FileSystem& fileSystem = *posixFileSystem());

  // A file's content: a header with the format, the size and a checksum, and the body.
  static std::string frame(const std::string& body);
  // The body of a file's content. \param file is its name, for errors.
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
