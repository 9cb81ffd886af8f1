// Decides whether a blank controller may bootstrap the cluster. The controller daemon creates one
// instance for each round of queries to the seeds and uses it on its own thread.
// docs/design.md 3.7.
#ifndef ANISELINE_RAFT_CLUSTER_BOOTSTRAP_HPP
#define ANISELINE_RAFT_CLUSTER_BOOTSTRAP_HPP
#include "base/types.hpp"

namespace aniseline {

class ClusterBootstrap {
 public:
  // \param self     this controller's address
  // \param hasDisk  whether this controller has a data folder; one without never bootstraps
  // \param seeds    the configured seed addresses, which may include this controller
  ClusterBootstrap(Address self, bool hasDisk, std::vector<Address> seeds)
      : self(std::move(self)), hasDisk(hasDisk), seeds(std::move(seeds)) {
    if (isSeed(this->self))
      addBlankSeed(this->self, true, Address{});
  }

  // Records that a seed has reported to be blank. Reports of other controllers are ignored.
  // \param nominee  if the seed has no disk, the controller that it nominates to bootstrap
  void addBlankSeed(const Address& seed, bool seedHasDisk, const Address& nominee) {
    if (isSeed(seed))
      blankSeeds[seed] = {seedHasDisk, nominee};
  }

  // Reports whether this controller may bootstrap. Every seed must have answered and be blank, so
  // that an existing cluster is never bootstrapped again. The seed with the lowest address among
  // those with a disk bootstraps. If no seed has a disk, the lowest seed nominates one controller
  // and never changes its nomination.
  bool mayBootstrap() const {
    const std::set<Address> distinctSeeds(seeds.begin(), seeds.end());
    if (!hasDisk || blankSeeds.empty() || blankSeeds.size() != distinctSeeds.size())
      return false;
    for (const auto& [address, seed] : blankSeeds) {
      if (seed.hasDisk)
        return address == self;
    }
    return blankSeeds.begin()->second.nominee == self;
  }

 private:
  struct BlankSeed {
    bool hasDisk;
    Address nominee;
  };
  bool isSeed(const Address& address) const {
    return std::count(seeds.begin(), seeds.end(), address) > 0;
  }
  Address self;
  bool hasDisk;
  std::vector<Address> seeds;
  std::map<Address, BlankSeed> blankSeeds;  // ordered by address, the lowest first
};

}  // namespace aniseline

#endif  // ANISELINE_RAFT_CLUSTER_BOOTSTRAP_HPP
