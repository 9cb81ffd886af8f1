// A gateway's way from a typed request to the leader and back. docs/design.md 9.2.
#ifndef ANISELINE_NET_LEADER_FORWARDER_HPP
#define ANISELINE_NET_LEADER_FORWARDER_HPP
#include "net/http.hpp"
#include "gateway/leader_directory.hpp"
#include "net/wire.hpp"

namespace aniseline {

// Has a request served by the leader, wherever that is.
using ForwardRequest = std::function<ApiResponse(const ApiRequest&)>;

// The addresses for first contact as they stand now, where they can change while a process runs.
using SeedSource = std::function<std::vector<Address>()>;
// Takes what the source tells, unless there is none or it tells of none. Whether it did.
bool refreshSeeds(const SeedSource& source, std::vector<Address>& seeds);

// An interface that an adapter gives a daemon beside the product's own. docs/design.md 9.6.
struct ExternalInterface {
  Address address;
  HttpLimits limits;
  std::function<ApiResponse(const HttpRequest&, const ForwardRequest&)> handle;
};

class LeaderForwarder {
 public:
  // givingUp: this process ends, and what is under way gets its last answer now.
  LeaderForwarder(EventLoop& loop, std::function<LeaderRoute()> route, std::vector<Address> seeds,
                  std::function<bool()> shuttingDown)
      : loop(loop),
        route(std::move(route)),
        seeds(std::move(seeds)),
        shuttingDown(std::move(shuttingDown)) {}
  ApiResponse forward(const ApiRequest& apiRequest);
  void setSeeds(std::vector<Address> given) { seeds = std::move(given); }
  // Whoever served last; empty before anyone did.
  const Address& served() const { return lastServed; }

 private:
  RpcClient& clientFor(const Address& address);
  EventLoop& loop;
  std::function<LeaderRoute()> route;
  std::vector<Address> seeds;
  std::function<bool()> shuttingDown;
  Address lastServed;
  std::map<Address, std::unique_ptr<RpcClient>> clients;
};

}  // namespace aniseline

#endif  // ANISELINE_NET_LEADER_FORWARDER_HPP
