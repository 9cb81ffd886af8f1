// Implements cluster discovery: one fiber searches for a cluster, one follows its leader.
#include "daemons/cluster_discovery.hpp"
#include "net/contacts.hpp"
#include "net/log.hpp"
#include "raft/cluster_bootstrap.hpp"

namespace aniseline {

namespace {

constexpr Duration searchInterval{200};   // while no cluster is known
constexpr Duration joinInterval{400};     // while a cluster is known but has not admitted this one
constexpr Duration memberInterval{1000};  // added to the search interval while this is a member
constexpr Duration searchTimeout{500};
constexpr Duration introductionTimeout{300};
constexpr Duration routeInterval{200};  // shorter than an election
constexpr Duration routeTimeout{500};
constexpr std::size_t maxQueryingControllers = 32;  // a cluster has far fewer controllers

bool contains(const std::vector<Address>& addresses, const Address& address) {
  return std::find(addresses.begin(), addresses.end(), address) != addresses.end();
}

}  // namespace

void ClusterDiscovery::start() {
  spawn([this] { searchForCluster(); });
  spawn([this] { followDiscoveredCluster(); });
}

LeaderRoute ClusterDiscovery::route() const {
  return isBlank() ? discoveredRoute : hooks.controller().route(monotonicNow());
}

RouteReply ClusterDiscovery::routeReply(const ControllerId& identity,
                                        const RouteQuery& query) const {
  RouteReply reply;
  reply.view = route();
  reply.view.omitQueuesOf(query.knownConfig);
  reply.id = identity;
  reply.peer = local.advertisedAddress;
  reply.zone = local.zone;
  reply.uninitialized = isBlank() && discoveredRoute.controllers.empty();
  reply.isLeader = hooks.controller().raftNode().isLeader();
  reply.hasDisk = local.hasDisk;
  reply.bootstrapCandidate = bootstrapCandidate;
  return reply;
}

void ClusterDiscovery::onRouteQuery(const RouteQuery& query) {
  if (!query.gateway.address.value.empty())
    hooks.controller().recordGateway(query.gateway, monotonicNow());
  // If no seed has a disk, one of them nominates the controller that bootstraps the cluster, and
  // never changes its choice. docs/design.md 3.7.
  if (!local.hasDisk && bootstrapCandidate.value.empty() && query.canBootstrap)
    bootstrapCandidate = query.controller;
  if (isBlank() && !query.controller.value.empty() &&
      queryingControllers.size() < maxQueryingControllers)
    queryingControllers.insert(query.controller);
}

void ClusterDiscovery::searchForCluster() {
  for (;; sleepFor(discoveredRoute.controllers.empty() ? searchInterval : joinInterval)) {
    if (route().leader.value.empty())
      hooks.refreshSeeds();
    if (isBlank()) {
      searchRound();
      continue;
    }
    withdrawBootstrap();
    discoveredRoute = LeaderRoute{};
    queryingControllers.clear();
    introduceToSeeds();
    sleepFor(memberInterval);
  }
}

std::vector<Address> ClusterDiscovery::searchTargets() const {
  std::vector<Address> targets = seeds;
  for (const auto& address : discoveredRoute.controllers) {
    if (!contains(targets, address))
      targets.push_back(address);
  }
  for (const auto& address : queryingControllers) {
    if (!contains(targets, address))
      targets.push_back(address);
  }
  return targets;
}

// Queries every known process once, then joins the cluster that was found, or bootstraps one if no
// process belongs to a cluster.
void ClusterDiscovery::searchRound() {
  ClusterBootstrap bootstrap(local.advertisedAddress, local.hasDisk, seeds);
  const RouteQuery query{{}, local.advertisedAddress, local.mayBootstrap && local.hasDisk};
  for (const auto& address : searchTargets()) {
    if (address == local.advertisedAddress)
      continue;
    const auto reply = queryRoute(*searchClients.clientFor(address), query, searchTimeout);
    if (!reply) {
      // A seed may be a gateway, which names the controllers. docs/design.md 9.5.
      for (const auto& controller : fetchControllers(loop, address)) {
        withdrawBootstrap();
        joinThrough(controller);
      }
    } else if (reply->uninitialized)
      bootstrap.addBlankSeed(address, reply->hasDisk, reply->bootstrapCandidate);
    else
      onClusterFound(*reply);
  }
  if (!discoveredRoute.leader.value.empty())
    joinThrough(discoveredRoute.leader);
  if (local.mayBootstrap && isBlank() && discoveredRoute.controllers.empty() &&
      bootstrap.mayBootstrap()) {
    log(LogLevel::info, log_events::clusterBootstrapped);
    withdrawBootstrap();
    hooks.controller().bootstrap(monotonicNow());
    hooks.wakeUp();
  }
}

// Reports whether a route may be followed. That of another cluster than this machine's is refused.
bool ClusterDiscovery::acceptRoute(const RouteReply& reply) {
  const ClusterId& own = hooks.controller().raftNode().cluster();
  if (areDifferentClusters(own, reply.view.cluster)) {
    foreignRoutes.onRefused(own, reply);
    return false;
  }
  withdrawBootstrap();
  if (isAbsent(own))
    hooks.onClusterLearnt(reply.view.cluster);
  return true;
}

void ClusterDiscovery::onClusterFound(const RouteReply& reply) {
  if (!acceptRoute(reply))
    return;
  const LeaderRoute& view = reply.view;
  discoveredRoute.mergeNewer(view);
  if (!view.leader.value.empty())
    joinThrough(view.leader);
  else if (!view.controllers.empty())
    joinThrough(view.controllers.front());
}

// Queries all seeds that are not members, so that they learn of this member. A seed may belong to
// no cluster and have no disk, yet other processes use it for their first contact, so it must learn
// of a member again after each restart. docs/design.md 9.7, docs/incidents.md 8.
void ClusterDiscovery::introduceToSeeds() {
  const auto members = hooks.controller().raftNode().membership();
  // Iterates over a copy because the seeds may be replaced while a reply is awaited.
  for (const auto& seed : std::vector<Address>(seeds)) {
    const bool isMember = std::any_of(members.begin(), members.end(),
                                      [&](const Member& member) { return member.address == seed; });
    if (!isMember)
      queryRoute(*searchClients.clientFor(seed), RouteQuery{{}, local.advertisedAddress, false},
                 introductionTimeout);
  }
}

// Refreshes the discovered route. A blank controller forwards requests by that route, so it must
// learn of a new leader as soon as gateways do, even if some controllers do not answer.
void ClusterDiscovery::followDiscoveredCluster() {
  for (;; sleepFor(routeInterval)) {
    if (!isBlank())
      continue;
    for (const auto& address : discoveredRoute.controllers) {
      if (address != local.advertisedAddress && routeQueriesSent.insert(address).second)
        spawn([this, address] { refreshRouteFrom(address); });
    }
  }
}

void ClusterDiscovery::refreshRouteFrom(const Address& address) {
  const auto client = routeClients.clientFor(address);
  const RouteQuery query{{}, local.advertisedAddress, false, discoveredRoute.config};
  const auto reply = queryRoute(*client, query, routeTimeout);
  routeQueriesSent.erase(address);
  if (reply && !reply->uninitialized && isBlank() && acceptRoute(*reply))
    discoveredRoute.mergeNewer(reply->view);
}

void ClusterDiscovery::joinThrough(const Address& controller) {
  if (local.hasDisk)
    hooks.controller().join(controller);
}

}  // namespace aniseline
