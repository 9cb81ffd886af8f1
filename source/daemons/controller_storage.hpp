// A controller's durable identity and state: opens the data folder, recovers what it holds, and
// begins as a new identity where the old one must not vote any more. docs/design.md 3.3, 3.5.
#ifndef ANISELINE_DAEMONS_CONTROLLER_STORAGE_HPP
#define ANISELINE_DAEMONS_CONTROLLER_STORAGE_HPP
#include "net/data_folder.hpp"
#include <string_view>

namespace aniseline {

// What a controller starts from.
struct RecoveredState {
  ControllerId identity;
  std::vector<WriteAheadRecord> records;  // oldest first; empty for a new identity
};

// Owns the data folder. `recover` and `beginAsNewIdentity` are called on the event loop's thread
// while no other thread writes; `write` is called on the disk thread.
class ControllerStorage {
 public:
  // An empty path: the controller has no disk, stores nothing and never votes.
  explicit ControllerStorage(const std::string& path) : path(path), folder(path) {}

  bool isPersistent() const { return !path.empty(); }

  // Opens the folder and reads what it holds. A corrupt folder is quarantined and a new identity
  // begins, because corrupt state must never vote. Nothing: the process has to end, and the reason
  // has been logged; the state may be sound, and the next start tries again.
  std::optional<RecoveredState> recover();
  // Quarantines the folder and begins a new identity in it. Nothing: the process has to end.
  std::optional<RecoveredState> beginAsNewIdentity();
  // Makes one record durable before it returns.
  DiskResult<void> write(const WriteAheadRecord& record) { return folder.write(record); }

 private:
  std::string path;
  DataFolder folder;
};

// Logs what the disk or the folder refused: its code, its file and what was said.
void logDiskError(std::string_view event, const DiskError& error);

}  // namespace aniseline

#endif  // ANISELINE_DAEMONS_CONTROLLER_STORAGE_HPP
