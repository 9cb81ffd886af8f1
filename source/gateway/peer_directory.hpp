// Selects the gateway that a client contacts next: from the configured seeds, or from the active
// gateways discovered since. docs/design.md 9.5.
//
// It performs no I/O. It belongs to one client and its thread.
#ifndef ANISELINE_GATEWAY_PEER_DIRECTORY_HPP
#define ANISELINE_GATEWAY_PEER_DIRECTORY_HPP
#include "base/types.hpp"

namespace aniseline {

class PeerDirectory {
 public:
  // Requires at least one seed. `startOffset` selects the first seed to contact, so that many
  // clients do not all start with the same one.
  PeerDirectory(std::vector<Address> seeds, std::uint64_t startOffset);
  // Replaces the discovered gateways, which are ordered by preference. Ignores an empty list. Seeds
  // remain the last resort: by then they may all be gone, or they may be the only ones left.
  void update(const std::vector<Address>& peers);
  // Returns the gateway to contact now. The preferred gateway is retried some time after it failed.
  const Address& current(MonotonicTime now);
  // Records that the current gateway did not respond or could not serve the request.
  void markFailed(MonotonicTime now);
  std::size_t seedCount() const { return seeds.size(); }
  bool hasDiscoveredPeers() const { return !discovered.empty(); }

 private:
  std::vector<Address> seeds;
  std::vector<Address> discovered;
  std::size_t discoveredIndex = 0;  // past the end if a seed is current
  std::size_t seedIndex;
  MonotonicTime failedAt;
};

}  // namespace aniseline

#endif  // ANISELINE_GATEWAY_PEER_DIRECTORY_HPP
