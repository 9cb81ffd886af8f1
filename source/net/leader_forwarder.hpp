// How a process that is not the leader has a request served by it: finds the leader, forwards, and
// follows it when it changes. docs/design.md 9.2.
//
// For the fibers of one thread.
#ifndef ANISELINE_NET_LEADER_FORWARDER_HPP
#define ANISELINE_NET_LEADER_FORWARDER_HPP
#include "net/http_server.hpp"
#include "net/rpc_client.hpp"

namespace aniseline {

// Has a request served by the leader, wherever that is.
using ForwardRequest = std::function<ApiResponse(const ApiRequest&)>;

// The addresses for first contact as they stand now, where they can change while a process runs.
using SeedSource = std::function<std::vector<Address>()>;
// Replaces the seeds by what the source gives. False, and no change, where there is no source or it
// gives none.
bool refreshSeeds(const SeedSource& source, std::vector<Address>& seeds);

// An interface that an adapter gives a daemon beside the product's own. docs/design.md 9.6.
struct ExternalInterface {
  Address address;
  HttpLimits limits;
  std::function<ApiResponse(const HttpRequest&, const ForwardRequest&)> handle;  // empty: none
};

class LeaderForwarder {
 public:
  // `route` is asked for the newest known route at every step. `shuttingDown`: this process ends,
  // and what is under way gets its last answer now.
  LeaderForwarder(EventLoop& loop, std::function<LeaderRoute()> route, std::vector<Address> seeds,
                  std::function<bool()> shuttingDown)
      : clients(loop),
        route(std::move(route)),
        seeds(std::move(seeds)),
        shuttingDown(std::move(shuttingDown)) {}

  // Waits for the leader's answer, for as long as the request gives. An answer "not applied" means
  // that the request surely was not; "unknown" that it may have been.
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
