// Forwards requests from a process that is not the leader: finds the leader, sends it the request,
// and follows changes of leadership. docs/design.md 9.2.
//
// Used by fibers of one thread.
#ifndef ANISELINE_NET_LEADER_FORWARDER_HPP
#define ANISELINE_NET_LEADER_FORWARDER_HPP
#include "net/http_server.hpp"
#include "net/rpc_client.hpp"

namespace aniseline {

// Has a request answered by the current leader.
using ForwardRequest = std::function<ApiResponse(const ApiRequest&)>;

// Returns the current seed addresses, for deployments in which they change while a process runs.
using SeedSource = std::function<std::vector<Address>()>;
// Replaces the seeds with those of the source. Returns false and changes nothing if there is no
// source or it returns no addresses.
bool refreshSeeds(const SeedSource& source, std::vector<Address>& seeds);

// An HTTP interface that an adapter adds to a daemon's own interfaces. docs/design.md 9.6.
struct ExternalInterface {
  Address address;
  HttpLimits limits;
  std::function<ApiResponse(const HttpRequest&, const ForwardRequest&)> handle;  // empty if unused
};

class LeaderForwarder {
 public:
  // `route` is called for the newest known route at every step. `shuttingDown` reports that this
  // process is ending; requests in progress are then answered at once.
  LeaderForwarder(EventLoop& loop, std::function<LeaderRoute()> route, std::vector<Address> seeds,
                  std::function<bool()> shuttingDown)
      : clients(loop),
        route(std::move(route)),
        seeds(std::move(seeds)),
        shuttingDown(std::move(shuttingDown)) {}

  // Waits for the leader's response, up to the timeout of the request. The response "not applied"
  // means that the request certainly was not applied; "unknown" means that it may have been.
  ApiResponse forward(const ApiRequest& apiRequest);
  void setSeeds(std::vector<Address> given) { seeds = std::move(given); }

 private:
  Result<WireMessage, WireError> callTarget(const Address& target, const ApiRequest& request,
                                            Duration timeout);

  RpcClientPool clients;
  std::function<LeaderRoute()> route;
  std::vector<Address> seeds;
  std::function<bool()> shuttingDown;
};

}  // namespace aniseline

#endif  // ANISELINE_NET_LEADER_FORWARDER_HPP
