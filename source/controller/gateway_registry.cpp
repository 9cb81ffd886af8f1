// Expiry of gateway contacts.
#include "controller/gateway_registry.hpp"

namespace aniseline {

namespace {
// A gateway requests the route five times a second, so one that was not heard from for this long is
// gone.
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
