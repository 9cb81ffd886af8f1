// Stores a controller's durable identity and state: opens the data folder, recovers its contents,
// and starts a new identity when the old one must not vote any more. Remembers the cluster that the
// machine belongs to over all its identities. docs/design.md 3.3, 3.5, 3.8.
#ifndef ANISELINE_DAEMONS_CONTROLLER_STORAGE_HPP
#define ANISELINE_DAEMONS_CONTROLLER_STORAGE_HPP
#include "net/data_folder.hpp"
#include <string_view>

namespace aniseline {

// The identity and records from which a controller starts.
struct RecoveredState {
  ControllerId identity;
  std::vector<WriteAheadRecord> records;  // oldest first; empty for a new identity
};

// Owns the data folder. `write` is called on the disk thread; all other functions are called on the
// event loop's thread, `recover` and `beginAsNewIdentity` while no other thread writes.
class ControllerStorage {
 public:
  // An empty path means that the controller has no disk, stores nothing and never votes.
  explicit ControllerStorage(const std::string& path) : path(path), folder(path) {}

  bool isPersistent() const { return !path.empty(); }

  // Opens the folder and reads its contents. A corrupt folder is quarantined and a new identity is
  // started, because corrupt state must never vote. Returns nothing after any other error, which
  // has been logged: the process has to end, and since the state may be intact, the next start
  // tries again.
  std::optional<RecoveredState> recover();
  // Quarantines the folder and starts a new identity in it. Returns nothing after an error, which
  // has been logged: the process has to end.
  std::optional<RecoveredState> beginAsNewIdentity();
  // Writes one record and returns once the record is durable.
  DiskResult<void> write(const WriteAheadRecord& record) { return folder.write(record); }

  // Returns the cluster that this machine belongs to; absent if none is known by its id.
  const ClusterId& cluster() const { return knownCluster; }
  // Reports whether this machine has ever belonged to a cluster or learnt of one, as far as its
  // disk tells.
  bool hasKnownCluster() const { return everKnewCluster; }
  // Remembers the cluster, on disk if there is one. After an error, which is logged, the next call
  // writes it again.
  void rememberCluster(const ClusterId& cluster);

 private:
  void recoverCluster(const RecoveredState& recovered);

  std::string path;
  DataFolder folder;
  ClusterId knownCluster;
  bool everKnewCluster = false;
  bool clusterIsDurable = false;
};

// Logs a disk or data folder error under the given event name, with code, file and message.
void logDiskError(std::string_view event, const DiskError& error);

}  // namespace aniseline

#endif  // ANISELINE_DAEMONS_CONTROLLER_STORAGE_HPP
