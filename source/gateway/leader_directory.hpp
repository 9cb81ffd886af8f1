// The route to the leader. A gateway's threads read it without blocking, through read-copy-update
// with liburcu. docs/design.md 9.2.
#ifndef ANISELINE_GATEWAY_LEADER_DIRECTORY_HPP
#define ANISELINE_GATEWAY_LEADER_DIRECTORY_HPP
#include "state/api_request.hpp"

namespace aniseline {

// Owns the current route. Any number of threads may read it, and one thread at a time may publish.
class LeaderDirectory {
 public:
  LeaderDirectory();
  ~LeaderDirectory();
  LeaderDirectory(const LeaderDirectory&) = delete;
  LeaderDirectory& operator=(const LeaderDirectory&) = delete;

  // Calls `reader` with the current route and returns its result. The calling thread must hold an
  // RcuReaderRegistration. `reader` must not block or keep a reference to the route.
  template <class Reader>
  auto read(Reader&& reader) const {
    const ReadLock lock;
    return reader(*current.load(std::memory_order_acquire));
  }
  // Merges a route into the current one unless it is older, and returns whether it was merged.
  // Waits until no thread reads the previous route.
  bool publish(const LeaderRoute& route);

 private:
  struct ReadLock {
    ReadLock();
    ~ReadLock();
    ReadLock(const ReadLock&) = delete;
    ReadLock& operator=(const ReadLock&) = delete;
  };
  std::atomic<const LeaderRoute*> current;
};

// Every reading thread must keep one of these alive as long as it reads.
struct RcuReaderRegistration {
  RcuReaderRegistration();
  ~RcuReaderRegistration();
  RcuReaderRegistration(const RcuReaderRegistration&) = delete;
  RcuReaderRegistration& operator=(const RcuReaderRegistration&) = delete;
};

}  // namespace aniseline

#endif  // ANISELINE_GATEWAY_LEADER_DIRECTORY_HPP
