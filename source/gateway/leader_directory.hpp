// The route to the leader, which a gateway's threads read without waiting: read-copy-update by
// liburcu. docs/design.md 9.2.
#ifndef ANISELINE_GATEWAY_LEADER_DIRECTORY_HPP
#define ANISELINE_GATEWAY_LEADER_DIRECTORY_HPP
#include "state/api_request.hpp"

namespace aniseline {

// Owns the current route. Read by any number of threads, published by one at a time.
class LeaderDirectory {
 public:
  LeaderDirectory();
  ~LeaderDirectory();
  LeaderDirectory(const LeaderDirectory&) = delete;
  LeaderDirectory& operator=(const LeaderDirectory&) = delete;

  // Hands the route to `use` and returns what that returns. The calling thread holds an
  // RcuReaderRegistration; `use` must not wait for anything, nor keep a reference.
  template <class Reader>
  auto read(Reader&& reader) const {
    const ReadLock lock;
    return reader(*current.load(std::memory_order_acquire));
  }
  // Merges the route into the current one unless it is older; whether it did. Waits until no thread
  // reads the one before.
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

// Each reading thread holds one for as long as it reads.
struct RcuReaderRegistration {
  RcuReaderRegistration();
  ~RcuReaderRegistration();
  RcuReaderRegistration(const RcuReaderRegistration&) = delete;
  RcuReaderRegistration& operator=(const RcuReaderRegistration&) = delete;
};

}  // namespace aniseline

#endif  // ANISELINE_GATEWAY_LEADER_DIRECTORY_HPP
