#include "gateway/peer_directory.hpp"

namespace aniseline {

namespace {
constexpr Duration preferredRetryAfter{10'000};
}

PeerDirectory::PeerDirectory(std::vector<Address> given, std::uint64_t spread)
    : seeds(std::move(given)), seedIndex(std::size_t(spread % seeds.size())) {}

void PeerDirectory::update(const std::vector<Address>& inForce) {
  if (inForce.empty() || inForce == learned)
    return;
  // One that is being asked goes on being asked where it is still in force.
  const Address asked = learnedIndex < learned.size() ? learned[learnedIndex] : Address{};
  learned = inForce;
  const auto found = std::find(learned.begin(), learned.end(), asked);
  learnedIndex = found == learned.end() ? 0 : std::size_t(found - learned.begin());
}

const Address& PeerDirectory::current(MonotonicTime now) {
  if (learnedIndex > 0 && !learned.empty() && now - failedAt > preferredRetryAfter)
    learnedIndex = 0;
  return learnedIndex < learned.size() ? learned[learnedIndex] : seeds[seedIndex];
}

void PeerDirectory::markFailed(MonotonicTime now) {
  failedAt = now;
  if (learnedIndex < learned.size()) {
    ++learnedIndex;
    return;
  }
  seedIndex = (seedIndex + 1) % seeds.size();
  learnedIndex = 0;
}

}  // namespace aniseline
