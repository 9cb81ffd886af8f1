// Gateways heard from lately.
#include "controller/gateway_registry.hpp"

namespace aniseline {

namespace {
// A gateway asks for the route five times a second; one unheard for this long
// is gone.
constexpr Duration gatewayTimeout{10'000};
}  // namespace

std::vector<GatewayEndpoint> GatewayRegistry::live(MonotonicTime now) const {
  std::vector<GatewayEndpoint> contacts;
  for (const auto& [address, gateway] : gateways)
    if (now - gateway.lastContact < gatewayTimeout)
      contacts.push_back({address, gateway.zone});
  return contacts;
}

void GatewayRegistry::removeStale(MonotonicTime now) {
  std::erase_if(gateways,
                [&](const auto& entry) { return now - entry.second.lastContact > gatewayTimeout; });
}

}  // namespace aniseline
