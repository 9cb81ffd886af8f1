// Implements FileSystem with POSIX system calls.
#include "net/file_system.hpp"
#include <cerrno>
#include <fcntl.h>
#include <filesystem>
#include <fstream>
#include <unistd.h>

namespace aniseline {

namespace fs = std::filesystem;

namespace {

// Returns the error of the last failed system call, from errno.
DiskError lastSystemError(const std::string& path, std::uint64_t offset = 0) {
  return DiskError{DiskError::Code::systemError, path, offset, std::strerror(errno)};
}

DiskError systemError(const std::string& path, const std::error_code& error) {
  return DiskError{DiskError::Code::systemError, path, 0, error.message()};
}

// Closes a file descriptor at the end of its scope.
struct Descriptor {
  int number;
  explicit Descriptor(int number) : number(number) {}
  Descriptor(const Descriptor&) = delete;
  Descriptor& operator=(const Descriptor&) = delete;
  ~Descriptor() {
    if (number >= 0)
      ::close(number);
  }
};

class PosixFileSystem final : public FileSystem {
 public:
  DiskResult<std::vector<std::string>> listNames(const std::string& folder) override {
    std::error_code error;
    std::vector<std::string> names;
    for (fs::directory_iterator entry(folder, error), end; !error && entry != end;
         entry.increment(error)) {
      names.push_back(entry->path().filename());
    }
    if (error)
      return systemError(folder, error);
    return names;
  }

  bool exists(const std::string& path) override {
    std::error_code ignored;
    return fs::exists(path, ignored);
  }

  DiskResult<std::string> read(const std::string& path) override {
    std::ifstream stream(path, std::ios::binary);
    if (!stream)
      return lastSystemError(path);
    std::string bytes((std::istreambuf_iterator<char>(stream)), {});
    if (stream.bad())
      return DiskError{DiskError::Code::readFailed, path, bytes.size(),
                       "could not be read to its end"};
    return bytes;
  }

  DiskResult<void> writeSynced(const std::string& path, const std::string& bytes) override {
    Descriptor file(::open(path.c_str(), O_WRONLY | O_CREAT | O_TRUNC, 0644));
    if (file.number < 0)
      return lastSystemError(path);
    for (std::size_t written = 0; written < bytes.size();) {
      const auto count = ::write(file.number, bytes.data() + written, bytes.size() - written);
      if (count < 0 && errno == EINTR)
        continue;
      if (count < 0)
        return lastSystemError(path, written);
      written += std::size_t(count);
    }
    if (::fsync(file.number) != 0)
      return lastSystemError(path);
    return outcome::success();
  }

  DiskResult<void> rename(const std::string& from, const std::string& to) override {
    if (::rename(from.c_str(), to.c_str()) != 0)
      return lastSystemError(to);
    return outcome::success();
  }

  DiskResult<void> remove(const std::string& path) override {
    if (::unlink(path.c_str()) != 0)
      return lastSystemError(path);
    return outcome::success();
  }

  // Syncs the parent of each new folder, which makes the new folder's name durable.
  DiskResult<void> makeFolder(const std::string& path) override {
    const fs::path folder = fs::absolute(path).lexically_normal();
    if (exists(folder))
      return outcome::success();
    const fs::path parent =
        folder.has_filename() ? folder.parent_path() : folder.parent_path().parent_path();
    if (auto made = makeFolder(parent); !made)
      return made;
    std::error_code error;
    fs::create_directory(folder, error);
    if (error)
      return systemError(path, error);
    return syncFolder(parent);
  }

  DiskResult<void> syncFolder(const std::string& path) override {
    Descriptor folder(::open(path.c_str(), O_RDONLY | O_DIRECTORY));
    if (folder.number < 0 || ::fsync(folder.number) != 0)
      return lastSystemError(path);
    return outcome::success();
  }
};

}  // namespace

std::shared_ptr<FileSystem> posixFileSystem() {
  static const auto files = std::make_shared<PosixFileSystem>();
  return files;
}

}  // namespace aniseline
