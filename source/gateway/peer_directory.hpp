// Which gateway a client asks next: the seeds given for first contact, and the gateways in force
// that were learned since. docs/design.md 9.5.
//
// It does no I/O itself. For one client and its thread.
#ifndef ANISELINE_GATEWAY_PEER_DIRECTORY_HPP
#define ANISELINE_GATEWAY_PEER_DIRECTORY_HPP
#include "base/types.hpp"

namespace aniseline {

class PeerDirectory {
 public:
  // At least one seed. `spread` chooses the seed to start with, so that many clients do not begin
  // with the same one.
  PeerDirectory(std::vector<Address> seeds, std::uint64_t startOffset);
  // Learns those in force, the preferred first; nothing changes where there are none. Seeds stay a
  // last resort: they may all be gone by then, or all that is left.
  void update(const std::vector<Address>& peers);
  // Whom to ask now. A preferred one that had failed is tried again after a while.
  const Address& current(MonotonicTime now);
  // The current one was silent or not able.
  void markFailed(MonotonicTime now);
  std::size_t seedCount() const { return seeds.size(); }
  bool hasDiscoveredPeers() const { return !discovered.empty(); }

 private:
  std::vector<Address> seeds;
  std::vector<Address> discovered;
  std::size_t discoveredIndex = 0;  // of the current one; past the end: it is a seed
  std::size_t seedIndex;
  MonotonicTime failedAt;
};

}  // namespace aniseline

#endif  // ANISELINE_GATEWAY_PEER_DIRECTORY_HPP
