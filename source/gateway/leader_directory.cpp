#include "gateway/leader_directory.hpp"
#include <urcu.h>

#if defined(__SANITIZE_THREAD__)
// liburcu's grace periods are not visible to the thread sanitizer; this says what they order.
extern "C" void __tsan_acquire(void* address);
extern "C" void __tsan_release(void* address);
static char graceMark;
#define ANISELINE_GRACE_RELEASE() __tsan_release(&graceMark)
#define ANISELINE_GRACE_ACQUIRE() __tsan_acquire(&graceMark)
#else
#define ANISELINE_GRACE_RELEASE() (void)0
#define ANISELINE_GRACE_ACQUIRE() (void)0
#endif

namespace aniseline {

LeaderDirectory::LeaderDirectory() : current(new LeaderRoute) {}
LeaderDirectory::~LeaderDirectory() {
  delete current.load();
}
RcuReaderRegistration::RcuReaderRegistration() {
  rcu_register_thread();
}
RcuReaderRegistration::~RcuReaderRegistration() {
  rcu_unregister_thread();
}
void LeaderDirectory::lockRead() {
  rcu_read_lock();
}
void LeaderDirectory::unlockRead() {
  ANISELINE_GRACE_RELEASE();
  rcu_read_unlock();
}

bool LeaderDirectory::publish(const LeaderRoute& view) {
  const LeaderRoute* before = current.load(std::memory_order_acquire);
  auto next = std::make_unique<LeaderRoute>(*before);
  if (!next->mergeNewer(view))
    return false;
  current.store(next.release(), std::memory_order_release);
  synchronize_rcu();
  ANISELINE_GRACE_ACQUIRE();
  delete before;
  return true;
}

}  // namespace aniseline
