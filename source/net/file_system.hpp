// The few operations that a data folder needs, so that tests can stop or lose any of them.
// docs/design.md 3.3.
#ifndef ANISELINE_NET_FILE_SYSTEM_HPP
#define ANISELINE_NET_FILE_SYSTEM_HPP
#include "base/types.hpp"

namespace aniseline {

struct DiskError {
  // `damage`: what is there is not what was written. `system`: the system refused; what is there
  // may be sound.
  enum class Kind : std::uint8_t { corruption, systemError };
  std::string file;
  std::uint64_t offset = 0;
  std::string reason;
  Kind kind = Kind::corruption;
  std::string message() const {
    return file + (offset ? " at byte " + std::to_string(offset) : "") + ": " + reason;
  }
};
template <class Value>
using DiskResult = Result<Value, DiskError>;

// What is durable: a file's content once it is written with `writeSynced`; a name's coming, change
// or going only once `syncFolder` of its folder has returned.
class FileSystem {
 public:
  virtual ~FileSystem() = default;
  virtual DiskResult<std::vector<std::string>> listNames(const std::string& folder) = 0;
  virtual bool exists(const std::string& path) = 0;
  virtual DiskResult<std::string> read(const std::string& path) = 0;
  virtual DiskResult<bool> writeSynced(const std::string& path, const std::string& bytes) = 0;
  virtual DiskResult<bool> rename(const std::string& from, const std::string& to) = 0;
  virtual DiskResult<bool> remove(const std::string& path) = 0;
  virtual DiskResult<bool> makeFolder(const std::string& path) = 0;  // and those above it
  virtual DiskResult<bool> syncFolder(const std::string& path) = 0;
};

std::shared_ptr<FileSystem> posixFileSystem();

}  // namespace aniseline

#endif  // ANISELINE_NET_FILE_SYSTEM_HPP
