// Decides whether a blank controller may found the cluster by itself. The controller daemon makes
// one for each round of asking the seeds, on its own thread. docs/design.md 3.7.
#ifndef ANISELINE_RAFT_CLUSTER_BOOTSTRAP_HPP
#define ANISELINE_RAFT_CLUSTER_BOOTSTRAP_HPP
#include "base/types.hpp"

namespace aniseline {

class ClusterBootstrap {
 public:
  // \param self     this controller's address
  // \param hasDisk  this controller has a data folder; one without never founds
  // \param seeds    the addresses that were configured; this controller may be among them
  ClusterBootstrap(Address self, bool hasDisk, std::vector<Address> seeds)
      : self(std::move(self)), hasDisk(hasDisk), seeds(std::move(seeds)) {
    if (isSeed(this->self))
      addBlankSeed(this->self, true, Address{});
  }

  // A seed has answered that it is blank. Answers from others are ignored.
  // \param nominee  where the seed has no disk: the controller that it would have found the cluster
  void addBlankSeed(const Address& seed, bool seedHasDisk, const Address& nominee) {
    if (isSeed(seed))
      blankSeeds[seed] = {seedHasDisk, nominee};
  }

  // Every seed has to have answered and be blank, so that a cluster that exists is never founded
  // again. The lowest seed with a disk founds. Where none has a disk, the lowest seed nominates one
  // controller, once and for all.
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
  std::map<Address, BlankSeed> blankSeeds;  // by address, the lowest first
};

}  // namespace aniseline

#endif  // ANISELINE_RAFT_CLUSTER_BOOTSTRAP_HPP
