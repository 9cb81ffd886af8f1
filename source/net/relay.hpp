// A gateway's way from a typed request to the leader and back. docs/design.md 9.2.
#pragma once
#include "net/http.hpp"
#include "gateway/leader_directory.hpp"
#include "net/wire.hpp"

namespace aniseline {

// Has a request served by the leader, wherever that is.
using Serve = std::function<ApiResponse(const ApiRequest&)>;

// The addresses for first contact as they stand now, where they can change while a process runs.
using SeedSource = std::function<std::vector<Address>()>;
// Takes what the source tells, unless there is none or it tells of none. Whether it did.
bool renewSeeds(const SeedSource& source, std::vector<Address>& seeds);

// An interface that an adapter gives a daemon beside the product's own. docs/design.md 9.6.
struct OuterInterface {
  Address address;
  HttpLimits limits;
  std::function<ApiResponse(const HttpRequest&, const Serve&)> handle;
};

class Relay {
 public:
  // givingUp: this process ends, and what is under way gets its last answer now.
  Relay(Loop& loop, std::function<RouteView()> route, std::vector<Address> seeds,
        std::function<bool()> givingUp)
      : loop(loop),
        route(std::move(route)),
        seeds(std::move(seeds)),
        givingUp(std::move(givingUp)) {}
  ApiResponse relay(const ApiRequest& apiRequest);
  void useSeeds(std::vector<Address> given) { seeds = std::move(given); }
  // Whoever served last; empty before anyone did.
  const Address& served() const { return lastServed; }

 private:
  WireCaller& callerTo(const Address& address);
  Loop& loop;
  std::function<RouteView()> route;
  std::vector<Address> seeds;
  std::function<bool()> givingUp;
  Address lastServed;
  std::map<Address, std::unique_ptr<WireCaller>> callers;
};

}  // namespace aniseline
