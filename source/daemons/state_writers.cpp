// Implements the writers' jobs; results are posted back to the event loop.
#include "daemons/state_writers.hpp"

namespace aniseline {

template <class Callback>
void StateWriters::postToLoop(std::weak_ptr<LifetimeToken> token, Callback callback) {
  asio::post(loop.context, [token = std::move(token), callback = std::move(callback)]() mutable {
    if (token.lock())
      callback();
  });
}

void StateWriters::write(WriteAheadRecord record) {
  submitWrite(std::make_shared<const WriteAheadRecord>(std::move(record)));
}

void StateWriters::submitWrite(std::shared_ptr<const WriteAheadRecord> record) {
  diskThread.submit([this, record = std::move(record), token = std::weak_ptr(lifetimeToken)] {
    auto result = storage.write(*record);
    postToLoop(token, [this, result = std::move(result), record] {
      if (result)
        callbacks.onRecordWritten(record->version);
      else
        onWriteFailed(result.error(), record);
    });
  });
}

// Nothing that the record holds has been acknowledged, so writing it whole once more is safe, also
// after a failed sync.
void StateWriters::onWriteFailed(const DiskError& error,
                                 std::shared_ptr<const WriteAheadRecord> record) {
  callbacks.onWriteFailed(error);
  runAfter(writeRetryInterval,
           [this, record = std::move(record), token = std::weak_ptr(lifetimeToken)] {
             if (token.lock())
               submitWrite(record);
           });
}

void StateWriters::packSnapshot(SnapshotWork work) {
  auto shared = std::make_shared<const SnapshotWork>(std::move(work));
  snapshotThread.submit([this, shared, token = std::weak_ptr(lifetimeToken)] {
    postToLoop(token, [this, snapshot = aniseline::packSnapshot(*shared)]() mutable {
      callbacks.onSnapshotPacked(std::move(snapshot));
    });
  });
}

}  // namespace aniseline
