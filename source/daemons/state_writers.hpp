// Runs the two background threads of a controller identity: one makes log records durable, the
// other packs snapshots. docs/design.md 3.4, 9.1.
#ifndef ANISELINE_DAEMONS_STATE_WRITERS_HPP
#define ANISELINE_DAEMONS_STATE_WRITERS_HPP
#include "controller/snapshot_writer.hpp"
#include "daemons/controller_storage.hpp"
#include "daemons/serial_worker.hpp"
#include "net/event_loop.hpp"

namespace aniseline {

// Belongs to one controller identity: the daemon destroys it, which joins both threads, before it
// takes a new identity. Callbacks that are still queued on the event loop at that time are dropped.
// All methods are called, and all callbacks run, on the event loop's thread.
class StateWriters {
 public:
  // The interval at which a record is written again if the disk has refused it.
  static constexpr Duration writeRetryInterval{500};
  struct Callbacks {
    std::function<void(DiskVersion)> onRecordWritten;
    std::function<void(const DiskError&)> onWriteFailed;  // called for each failed attempt
    std::function<void(PackedSnapshot)> onSnapshotPacked;
  };
  StateWriters(EventLoop& loop, ControllerStorage& storage, Callbacks callbacks)
      : loop(loop), storage(storage), callbacks(std::move(callbacks)) {}

  // Queues a record for writing. It is written again until the disk takes it. The next record may
  // be queued only after `onRecordWritten`.
  void write(WriteAheadRecord record);
  void packSnapshot(SnapshotWork work);

 private:
  struct LifetimeToken {};
  void onWriteFailed(const DiskError& error, std::shared_ptr<const WriteAheadRecord> record);
  void submitWrite(std::shared_ptr<const WriteAheadRecord> record);
  // Runs a callback on the event loop's thread, unless this object has been destroyed by then.
  template <class Callback>
  void postToLoop(std::weak_ptr<LifetimeToken> lifetimeToken, Callback callback);

  EventLoop& loop;
  ControllerStorage& storage;
  Callbacks callbacks;
  std::shared_ptr<LifetimeToken> lifetimeToken = std::make_shared<LifetimeToken>();
  // Declared last: their destructors join the threads, which use all other members.
  SerialWorker diskThread;
  SerialWorker snapshotThread;
};

}  // namespace aniseline

#endif  // ANISELINE_DAEMONS_STATE_WRITERS_HPP
