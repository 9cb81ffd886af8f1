// May this blank controller found the cluster? Judged anew in each round of asking the seeds.
// docs/design.md 3.7.
#pragma once
#include "base/types.hpp"

namespace aniseline {

class ClusterBootstrap {
 public:
  ClusterBootstrap(Address self, bool stores, std::vector<Address> seeds)
      : self(std::move(self)), stores(stores), seeds(std::move(seeds)) {
    if (std::count(this->seeds.begin(), this->seeds.end(), this->self))
      hear(this->self, true, Address{});
  }
  // A seed is there and blank. `named`: the controller that it would have found, where it has no
  // disk itself.
  void hear(const Address& seed, bool seedStores, const Address& named) {
    if (!std::count(seeds.begin(), seeds.end(), seed))
      return;
    blank[seed] = {seedStores, named};
  }
  // Every seed must be there and blank, so that a cluster that exists is never doubled. The lowest
  // seed with a disk founds; where none has a disk, whoever the lowest of them named, once and for
  // all.
  bool may() const {
    if (!stores || blank.empty() ||
        blank.size() != std::set<Address>(seeds.begin(), seeds.end()).size())
      return false;
    for (const auto& [seed, heard] : blank)
      if (heard.stores)
        return seed == self;
    return blank.begin()->second.named == self;
  }

 private:
  struct Heard {
    bool stores;
    Address named;
  };
  Address self;
  bool stores;
  std::vector<Address> seeds;
  std::map<Address, Heard> blank;
};

}  // namespace aniseline
