// The route view that a gateway's threads read without waiting: read-copy-update by liburcu.
// docs/design.md 9.2.
#ifndef ANISELINE_GATEWAY_LEADER_DIRECTORY_HPP
#define ANISELINE_GATEWAY_LEADER_DIRECTORY_HPP
#include "state/api_request.hpp"

namespace aniseline {

class LeaderDirectory {
 public:
  LeaderDirectory();
  ~LeaderDirectory();
  // For any thread that holds a RouteReader.
  template <class Use>
  auto read(Use&& use) const {
    lockRead();
    const LeaderRoute* view = current.load(std::memory_order_acquire);
    auto result = use(*view);
    unlockRead();
    return result;
  }
  // Takes the view if it is not older than the one that stands; by one thread at a time.
  bool publish(const LeaderRoute& view);

 private:
  static void lockRead();
  static void unlockRead();
  std::atomic<const LeaderRoute*> current;
};

// Each reading thread holds one for as long as it reads.
struct RcuReaderRegistration {
  RcuReaderRegistration();
  ~RcuReaderRegistration();
};

}  // namespace aniseline

#endif  // ANISELINE_GATEWAY_LEADER_DIRECTORY_HPP
