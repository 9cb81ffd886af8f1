// Declares the file operations that a data folder needs, as an interface so that tests can simulate
// a crash or a power loss at any of them. Called on the thread of the data folder's owner.
// docs/design.md 3.3.
#ifndef ANISELINE_NET_FILE_SYSTEM_HPP
#define ANISELINE_NET_FILE_SYSTEM_HPP
#include "base/types.hpp"

namespace aniseline {

// The reason why a file or folder can't be used.
struct DiskError {
  enum class Code : std::uint8_t {
    systemError,        // a system call failed; `detail` is its error message
    folderInUse,        // another process has locked the folder
    readFailed,         // the file was opened, but could not be read to its end
    truncated,          // the file is shorter or longer than its header says
    foreignFile,        // the file was not written by aniseline
    unsupportedFormat,  // the file has the format of another version of aniseline
    checksumMismatch,   // the content does not match its checksum
    unreadableRecord,   // the content matches its checksum, but is not a record
    versionMismatch,    // the record's version differs from the version in the file name
    versionMissing,     // the record before this one is missing
    versionDuplicated,  // two files hold the same version
    identityMissing,    // the folder holds state, but no identity
  };
  Code code = Code::systemError;
  std::string file;
  std::uint64_t offset = 0;  // byte position in the file; 0 also if no position applies
  std::string detail;        // a description for people

  // Reports whether the stored data is damaged or incomplete. For other errors the operating system
  // refused the access, and the data may be intact.
  bool isCorruption() const { return code != Code::systemError && code != Code::folderInUse; }
  std::string message() const {
    return file + (offset ? " at byte " + std::to_string(offset) : "") + ": " + detail;
  }
};
template <class Value>
using DiskResult = Result<Value, DiskError>;

// Accesses files and folders. The content of a file is durable once `writeSynced` has returned; a
// created, changed or removed name is durable once `syncFolder` has returned for its folder.
class FileSystem {
 public:
  virtual ~FileSystem() = default;
  // Returns the names of all files and folders in a folder, without the path, in any order.
  virtual DiskResult<std::vector<std::string>> listNames(const std::string& folder) = 0;
  virtual bool exists(const std::string& path) = 0;
  virtual DiskResult<std::string> read(const std::string& path) = 0;
  // Creates or overwrites a file and syncs its content.
  virtual DiskResult<void> writeSynced(const std::string& path, const std::string& bytes) = 0;
  // Renames a file; an existing file at `to` is replaced atomically.
  virtual DiskResult<void> rename(const std::string& from, const std::string& to) = 0;
  virtual DiskResult<void> remove(const std::string& path) = 0;
  // Creates a folder and its missing parents durably; does nothing if the folder exists.
  virtual DiskResult<void> makeFolder(const std::string& path) = 0;
  virtual DiskResult<void> syncFolder(const std::string& path) = 0;
};

// Returns the file system of this machine.
std::shared_ptr<FileSystem> posixFileSystem();

}  // namespace aniseline

#endif  // ANISELINE_NET_FILE_SYSTEM_HPP
