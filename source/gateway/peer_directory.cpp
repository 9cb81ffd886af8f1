#include "gateway/peer_directory.hpp"

namespace aniseline {

namespace {
constexpr Duration comeBackAfter{10'000};  // to a preferred one that had failed
}

PeerDirectory::PeerDirectory(std::vector<Address> given, std::uint64_t spread)
    : seeds(std::move(given)), seedTurn(std::size_t(spread % seeds.size())) {}

void PeerDirectory::learn(const std::vector<Address>& inForce) {
  if (inForce.empty() || inForce == learned)
    return;
  // One that is being asked goes on being asked where it is still in force.
  const Address asked = place < learned.size() ? learned[place] : Address{};
  learned = inForce;
  const auto found = std::find(learned.begin(), learned.end(), asked);
  place = found == learned.end() ? 0 : std::size_t(found - learned.begin());
}

const Address& PeerDirectory::current(MonotonicTime now) {
  if (place > 0 && !learned.empty() && now - failedAt > comeBackAfter)
    place = 0;
  return place < learned.size() ? learned[place] : seeds[seedTurn];
}

void PeerDirectory::failed(MonotonicTime now) {
  failedAt = now;
  if (place >= learned.size()) {
    seedTurn = (seedTurn + 1) % seeds.size();
    place = 0;
  } else
    ++place;
}

}  // namespace aniseline
