// Read-copy-update of the route to the leader with liburcu.
#include "gateway/leader_directory.hpp"
#include <urcu.h>

#if defined(__SANITIZE_THREAD__)
// ThreadSanitizer does not see the synchronization by liburcu's grace periods, so it is annotated.
extern "C" void __tsan_acquire(void* address);
extern "C" void __tsan_release(void* address);
static char gracePeriod;
#define ANISELINE_GRACE_RELEASE() __tsan_release(&gracePeriod)
#define ANISELINE_GRACE_ACQUIRE() __tsan_acquire(&gracePeriod)
#else
#define ANISELINE_GRACE_RELEASE() (void)0
#define ANISELINE_GRACE_ACQUIRE() (void)0
#endif

namespace aniseline {

RcuReaderRegistration::RcuReaderRegistration() {
  rcu_register_thread();
}
RcuReaderRegistration::~RcuReaderRegistration() {
  rcu_unregister_thread();
}

LeaderDirectory::ReadLock::ReadLock() {
  rcu_read_lock();
}
LeaderDirectory::ReadLock::~ReadLock() {
  ANISELINE_GRACE_RELEASE();
  rcu_read_unlock();
}

LeaderDirectory::LeaderDirectory() : current(std::make_unique<LeaderRoute>().release()) {}
LeaderDirectory::~LeaderDirectory() {
  const std::unique_ptr<const LeaderRoute> last(current.load());
}

bool LeaderDirectory::publish(const LeaderRoute& route) {
  const LeaderRoute* previous = current.load(std::memory_order_acquire);
  auto next = std::make_unique<LeaderRoute>(*previous);
  if (!next->mergeNewer(route))
    return false;
  current.store(next.release(), std::memory_order_release);
  synchronize_rcu();
  ANISELINE_GRACE_ACQUIRE();
  const std::unique_ptr<const LeaderRoute> retired(previous);  // no thread reads it any more
  return true;
}

}  // namespace aniseline
