// The two background threads of one controller identity: one makes log records durable, the other
// packs snapshots. docs/design.md 3.4, 9.1.
#ifndef ANISELINE_DAEMONS_STATE_WRITERS_HPP
#define ANISELINE_DAEMONS_STATE_WRITERS_HPP
#include "controller/snapshot_writer.hpp"
#include "daemons/controller_storage.hpp"
#include "daemons/serial_worker.hpp"
#include "net/event_loop.hpp"

namespace aniseline {

// Belongs to one identity: the daemon destroys it, which joins both threads, before it begins as
// another. What is still reported by then is dropped. All methods are called, and all callbacks
// run, on the event loop's thread.
class StateWriters {
 public:
  struct Callbacks {
    std::function<void(const DiskResult<void>&, DiskVersion)> onRecordWritten;
    std::function<void(PackedSnapshot)> onSnapshotPacked;
  };
  StateWriters(EventLoop& loop, ControllerStorage& storage, Callbacks callbacks)
      : loop(loop), storage(storage), callbacks(std::move(callbacks)) {}

  // Records become durable in the order in which they are handed over.
  void write(WriteAheadRecord record);
  // Applies the work to the writer's own copy of the state, and packs a snapshot where one is
  // asked for.
  void updateSnapshot(SnapshotWork work);

 private:
  struct Alive {};
  // Runs a callback on the loop's thread, unless this object is gone by then.
  template <class Callback>
  void postToLoop(std::weak_ptr<Alive> alive, Callback callback);

  EventLoop& loop;
  ControllerStorage& storage;
  Callbacks callbacks;
  SnapshotWriter snapshotWriter;  // of the snapshot thread
  std::shared_ptr<Alive> alive = std::make_shared<Alive>();
  // The last members: their destructors join the threads, which use all the others.
  SerialWorker diskThread;
  SerialWorker snapshotThread;
};

}  // namespace aniseline

#endif  // ANISELINE_DAEMONS_STATE_WRITERS_HPP
