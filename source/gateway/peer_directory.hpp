// Whom to ask next: the gateways given for first contact, and those learned since. Sans-IO.
// docs/design.md 9.5.
#ifndef ANISELINE_GATEWAY_PEER_DIRECTORY_HPP
#define ANISELINE_GATEWAY_PEER_DIRECTORY_HPP
#include "base/types.hpp"

namespace aniseline {

class PeerDirectory {
 public:
  // Starts anywhere among the seeds, so that many do not begin with the same one.
  PeerDirectory(std::vector<Address> seeds, std::uint64_t spread);
  // Those in force, the preferred first. Seeds stay a last resort: they may all be gone by then, or
  // all that is left.
  void update(const std::vector<Address>& inForce);
  const Address& current(MonotonicTime now);
  void markFailed(MonotonicTime now);  // the current one was silent or not able
  std::size_t seedCount() const { return seeds.size(); }
  bool hasLearned() const { return !learned.empty(); }

 private:
  std::vector<Address> seeds, learned;
  std::size_t learnedIndex = 0, seedIndex;
  MonotonicTime failedAt;
};

}  // namespace aniseline

#endif  // ANISELINE_GATEWAY_PEER_DIRECTORY_HPP
