// A controller's data folder: its identity, and one file for each version of its durable state.
// docs/design.md 3.3.
#pragma once
#include "raft/node.hpp"

namespace aniseline {

struct DiskError {
  std::string file;
  std::uint64_t offset = 0;
  std::string text;
  std::string message() const {
    return file + (offset ? " at byte " + std::to_string(offset) : "") + ": " + text;
  }
};
template <class Value>
using DiskResult = Result<Value, DiskError>;

class DataFolder {
 public:
  explicit DataFolder(std::string path) : path(std::move(path)) {}
  // Opens the folder; an empty one gets a new identity. Damage is an error, never a guess.
  DiskResult<ControllerId> open();
  DiskResult<ControllerId> openHeld();  // the same, by the process that holds the folder already
  DiskResult<std::vector<WriteAheadRecord>> load();
  DiskResult<bool> write(const WriteAheadRecord& record);
  // Puts a folder whose identity may not vote any more aside; the next open begins a new identity.
  DiskResult<bool> setAside();
  static DiskResult<std::vector<WriteAheadRecord>> loadFrom(const std::string& path);
  static std::string frame(const std::string& bytes);
  static DiskResult<std::string> unframe(const std::string& file, const std::string& bytes);

 private:
  DiskResult<bool> writeFile(const std::string& name, const std::string& bytes);
  std::string path;
};

}  // namespace aniseline
