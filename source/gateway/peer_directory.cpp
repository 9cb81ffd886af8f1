// Rotation over discovered gateways and seeds.
#include "gateway/peer_directory.hpp"

namespace aniseline {

namespace {
constexpr Duration preferredRetryDelay{10'000};
}

PeerDirectory::PeerDirectory(std::vector<Address> seedAddresses, std::uint64_t startOffset)
    : seeds(std::move(seedAddresses)), seedIndex(std::size_t(startOffset % seeds.size())) {}

void PeerDirectory::update(const std::vector<Address>& peers) {
  if (peers.empty() || peers == discovered)
    return;
  // Keeps the current gateway if it is still listed.
  const Address currentPeer =
      discoveredIndex < discovered.size() ? discovered[discoveredIndex] : Address{};
  discovered = peers;
  const auto found = std::find(discovered.begin(), discovered.end(), currentPeer);
  discoveredIndex = found == discovered.end() ? 0 : std::size_t(found - discovered.begin());
}

const Address& PeerDirectory::current(MonotonicTime now) {
  if (discoveredIndex > 0 && !discovered.empty() && now - failedAt > preferredRetryDelay)
    discoveredIndex = 0;
  return discoveredIndex < discovered.size() ? discovered[discoveredIndex] : seeds[seedIndex];
}

void PeerDirectory::markFailed(MonotonicTime now) {
  failedAt = now;
  if (discoveredIndex < discovered.size()) {
    ++discoveredIndex;
    return;
  }
  seedIndex = (seedIndex + 1) % seeds.size();
  discoveredIndex = 0;
}

}  // namespace aniseline
