// How a controller finds its cluster: a blank one (it belongs to no cluster) asks the seeds and
// whom they name, joins the cluster it finds or bootstraps one; a member introduces itself to
// seeds that are not members. docs/design.md 3.5, 3.7, 9.5, 9.7.
#ifndef ANISELINE_DAEMONS_CLUSTER_DISCOVERY_HPP
#define ANISELINE_DAEMONS_CLUSTER_DISCOVERY_HPP
#include "controller/controller.hpp"
#include "net/rpc_client.hpp"

namespace aniseline {

// Belongs to the event loop's thread and runs two fibers there, which end with the process.
class ClusterDiscovery {
 public:
  // This controller, as others see it.
  struct Self {
    Address advertisedAddress;
    ZoneName zone;
    bool hasDisk = false;       // without one it neither joins nor bootstraps a cluster
    bool mayBootstrap = false;  // the operator allows it to bootstrap
  };
  struct Hooks {
    // The core of the identity in force; another one after this process began as a new identity.
    std::function<Controller&()> controller;
    std::function<void()> refreshSeeds;  // reads the seeds' source again
    std::function<void()> wakeUp;        // the core has something to do
  };
  ClusterDiscovery(EventLoop& loop, Self self, std::vector<Address> seeds, Hooks hooks)
      : loop(loop), self(std::move(self)), seeds(std::move(seeds)), hooks(std::move(hooks)) {}

  // Starts the fibers.
  void start();
  void setSeeds(std::vector<Address> given) { seeds = std::move(given); }

  // The route that this process serves callers by: a blank controller's is the one it discovered.
  LeaderRoute route() const;
  // The answer to another process that asks for the route.
  RouteReply routeReply(const ControllerId& identity) const;
  // Remembers who asks, before the reply is made.
  void onRouteQuery(const RouteQuery& query);

 private:
  void searchForCluster();
  void searchRound();
  std::vector<Address> searchTargets() const;
  void onClusterFound(const LeaderRoute& view);
  void introduceToSeeds();
  void followDiscoveredCluster();
  void refreshRouteFrom(const Address& address);
  void joinThrough(const Address& controller);
  bool isBlank() const { return hooks.controller().raftNode().isBlank(); }

  EventLoop& loop;
  Self self;
  std::vector<Address> seeds;
  Hooks hooks;
  RpcClientPool searchClients{loop};
  RpcClientPool routeClients{loop};
  LeaderRoute discovered;              // while blank: the newest route that others told
  std::set<Address> visitors;          // while blank: controllers that asked this one
  std::set<Address> routeQueriesSent;  // whose answer is awaited
  // Without a disk: the controller that this one named to bootstrap, once and for all.
  Address bootstrapCandidate;
};

}  // namespace aniseline

#endif  // ANISELINE_DAEMONS_CLUSTER_DISCOVERY_HPP
