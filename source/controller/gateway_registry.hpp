// The gateways that have requested the route from this controller, with the time of their last
// request. Every controller keeps its own registry in memory; workers and clients learn of gateways
// through it. docs/design.md 9.2.
#ifndef ANISELINE_CONTROLLER_GATEWAY_REGISTRY_HPP
#define ANISELINE_CONTROLLER_GATEWAY_REGISTRY_HPP
#include "state/api_request.hpp"

namespace aniseline {

class GatewayRegistry {
 public:
  struct Gateway {
    ZoneName zone;
    MonotonicTime lastContact;
  };

  void recordContact(const GatewayEndpoint& gateway, MonotonicTime now) {
    gateways[gateway.address] = {gateway.zone, now};
  }
  // Returns the gateways heard from recently, ordered by address.
  std::vector<GatewayEndpoint> live(MonotonicTime now) const;
  void removeStale(MonotonicTime now);
  const std::map<Address, Gateway>& all() const { return gateways; }

 private:
  std::map<Address, Gateway> gateways;
};

}  // namespace aniseline

#endif  // ANISELINE_CONTROLLER_GATEWAY_REGISTRY_HPP
