// May this blank controller found the cluster? Judged anew in each round of asking the seeds.
// docs/design.md 3.7.
#ifndef ANISELINE_RAFT_CLUSTER_BOOTSTRAP_HPP
#define ANISELINE_RAFT_CLUSTER_BOOTSTRAP_HPP
#include "base/types.hpp"

namespace aniseline {

class ClusterBootstrap {
 public:
  ClusterBootstrap(Address self, bool hasDisk, std::vector<Address> seeds)
      : self(std::move(self)), hasDisk(hasDisk), seeds(std::move(seeds)) {
    if (std::count(this->seeds.begin(), this->seeds.end(), this->self))
      addBlankSeed(this->self, true, Address{});
  }
  // A seed is there and blank. `named`: the controller that it would have found, where it has no
  // disk itself.
  void addBlankSeed(const Address& seed, bool seedStores, const Address& named) {
    if (!std::count(seeds.begin(), seeds.end(), seed))
      return;
    blankSeeds[seed] = {seedStores, named};
  }
  // Every seed must be there and blank, so that a cluster that exists is never doubled. The lowest
  // seed with a disk founds; where none has a disk, whoever the lowest of them named, once and for
  // all.
  bool mayBootstrap() const {
    if (!hasDisk || blankSeeds.empty() ||
        blankSeeds.size() != std::set<Address>(seeds.begin(), seeds.end()).size())
      return false;
    for (const auto& [seed, heard] : blankSeeds)
      if (heard.hasDisk)
        return seed == self;
    return blankSeeds.begin()->second.nominee == self;
  }

 private:
  struct BlankSeed {
    bool hasDisk;
    Address nominee;
  };
  Address self;
  bool hasDisk;
  std::vector<Address> seeds;
  std::map<Address, BlankSeed> blankSeeds;
};

}  // namespace aniseline

#endif  // ANISELINE_RAFT_CLUSTER_BOOTSTRAP_HPP
