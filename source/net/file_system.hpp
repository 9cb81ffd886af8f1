// The few operations on files that a data folder needs, behind an interface so that tests can stop
// or lose any of them. Called on the thread of the data folder's owner. docs/design.md 3.3.
#ifndef ANISELINE_NET_FILE_SYSTEM_HPP
#define ANISELINE_NET_FILE_SYSTEM_HPP
#include "base/types.hpp"

namespace aniseline {

// Why a file or folder can't be used.
struct DiskError {
  enum class Code : std::uint8_t {
    systemError,        // the system refused an operation; `detail` is its reason
    folderInUse,        // another process has the folder open
    readFailed,         // the file could be opened, but not read to its end
    truncated,          // the file holds less, or more, than was written
    foreignFile,        // the file was not written by aniseline
    unsupportedFormat,  // the file's format is of another version of aniseline
    checksumMismatch,   // the content is not what was written
    unreadableRecord,   // the content is sound, but not a record
    versionMismatch,    // the record's version is not that of the file's name
    versionMissing,     // the record before this one is not there
    versionDuplicated,  // two files hold the same version
    identityMissing,    // the folder holds state, but not whose it is
  };
  Code code = Code::systemError;
  std::string file;
  std::uint64_t offset = 0;  // bytes into the file; 0 also where no position applies
  std::string detail;        // in words, for people

  // What is there is not what was written. Otherwise the system refused, and what is there may be
  // sound.
  bool isCorruption() const { return code != Code::systemError && code != Code::folderInUse; }
  std::string message() const {
    return file + (offset ? " at byte " + std::to_string(offset) : "") + ": " + detail;
  }
};
template <class Value>
using DiskResult = Result<Value, DiskError>;

// What is durable: a file's content once `writeSynced` has returned; that a name was added, changed
// or removed only once `syncFolder` of its folder has returned.
class FileSystem {
 public:
  virtual ~FileSystem() = default;
  // The names of all files and folders in a folder, without its path, in any order.
  virtual DiskResult<std::vector<std::string>> listNames(const std::string& folder) = 0;
  virtual bool exists(const std::string& path) = 0;
  virtual DiskResult<std::string> read(const std::string& path) = 0;
  // Creates or replaces a file.
  virtual DiskResult<void> writeSynced(const std::string& path, const std::string& bytes) = 0;
  // Replaces the file at `to`, if there is one, in one step.
  virtual DiskResult<void> rename(const std::string& from, const std::string& to) = 0;
  virtual DiskResult<void> remove(const std::string& path) = 0;
  // Makes a folder and those above it, each durable; does nothing where it exists.
  virtual DiskResult<void> makeFolder(const std::string& path) = 0;
  virtual DiskResult<void> syncFolder(const std::string& path) = 0;
};

// The file system of this machine.
std::shared_ptr<FileSystem> posixFileSystem();

}  // namespace aniseline

#endif  // ANISELINE_NET_FILE_SYSTEM_HPP
