// Lets a controller find its cluster. A blank controller, which holds no state, queries the seeds
// and the controllers that they name, and joins the cluster that it finds. It bootstraps a new one
// only if its machine has never known a cluster. A member introduces itself to seeds that are not
// members. docs/design.md 3.5, 3.7, 3.8, 9.5, 9.7.
#ifndef ANISELINE_DAEMONS_CLUSTER_DISCOVERY_HPP
#define ANISELINE_DAEMONS_CLUSTER_DISCOVERY_HPP
#include "controller/controller.hpp"
#include "net/foreign_route_log.hpp"
#include "net/rpc_client.hpp"

namespace aniseline {

// All methods are called on the event loop's thread. `start` runs two fibers on that thread, which
// end with the process.
class ClusterDiscovery {
 public:
  // Describes this controller to other processes.
  struct LocalController {
    Address advertisedAddress;
    ZoneName zone;
    bool hasDisk = false;       // a controller without a disk neither joins nor bootstraps
    bool mayBootstrap = false;  // the operator allows this controller to bootstrap a cluster
  };
  struct Hooks {
    // Returns the core of the current identity. The core is replaced when this process takes a new
    // identity.
    std::function<Controller&()> controller;
    std::function<void()> refreshSeeds;  // re-reads the seeds from their source
    std::function<void()> wakeUp;        // makes the event loop step the core
    // Records that this machine belongs to this cluster, which another process has named.
    std::function<void(const ClusterId&)> onClusterLearnt;
  };
  ClusterDiscovery(EventLoop& loop, LocalController local, std::vector<Address> seeds, Hooks hooks)
      : loop(loop), local(std::move(local)), seeds(std::move(seeds)), hooks(std::move(hooks)) {}

  void start();
  // Ends the permission to bootstrap for good: this machine has known a cluster.
  void withdrawBootstrap() { local.mayBootstrap = false; }
  // Called when the cluster has removed this machine's identity. The new identity searches for the
  // cluster by the route that the old one knew.
  void resumeSearch(LeaderRoute lastRoute) { discoveredRoute = std::move(lastRoute); }
  void setSeeds(std::vector<Address> newSeeds) { seeds = std::move(newSeeds); }

  // Returns the route by which this process forwards requests. A blank controller uses the route
  // that it discovered.
  LeaderRoute route() const;
  // Returns the reply to another process' route query.
  RouteReply routeReply(const ControllerId& identity, const RouteQuery& query) const;
  // Records the sender of a route query; called before the reply is made.
  void onRouteQuery(const RouteQuery& query);

 private:
  void searchForCluster();
  void searchRound();
  std::vector<Address> searchTargets() const;
  bool acceptRoute(const RouteReply& reply);
  void onClusterFound(const RouteReply& reply);
  void introduceToSeeds();
  void followDiscoveredCluster();
  void refreshRouteFrom(const Address& address);
  void joinThrough(const Address& controller);
  bool isBlank() const { return hooks.controller().raftNode().isBlank(); }

  EventLoop& loop;
  LocalController local;
  std::vector<Address> seeds;
  Hooks hooks;
  RpcClientPool searchClients{loop};
  RpcClientPool routeClients{loop};
  ForeignRouteLog foreignRoutes;
  LeaderRoute discoveredRoute;  // while blank: the newest route that another process reported
  std::set<Address> queryingControllers;  // while blank: controllers that queried this one
  std::set<Address> routeQueriesSent;     // controllers with a route query in flight
  // The controller that this one nominated to bootstrap the cluster. Set only on a controller
  // without a disk, and never changed once set.
  Address bootstrapCandidate;
};

}  // namespace aniseline

#endif  // ANISELINE_DAEMONS_CLUSTER_DISCOVERY_HPP
