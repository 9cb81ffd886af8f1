// Address ordering, merging of routes, and request admission.
#include "state/leader_route.hpp"
#include "state/api_request.hpp"

namespace aniseline {

std::vector<Address> orderedByZonePreference(const std::vector<GatewayEndpoint>& endpoints,
                                             const ZoneName& zone, std::uint64_t rotation) {
  std::vector<Address> sameZone;
  std::vector<Address> otherZones;
  for (const auto& endpoint : endpoints)
    (endpoint.zone == zone ? sameZone : otherZones).push_back(endpoint.address);
  for (auto* addresses : {&sameZone, &otherZones}) {
    if (!addresses->empty())
      std::rotate(addresses->begin(),
                  addresses->begin() + std::ptrdiff_t(rotation % addresses->size()),
                  addresses->end());
  }
  sameZone.insert(sameZone.end(), otherZones.begin(), otherZones.end());
  return sameZone;
}

void LeaderRoute::omitQueuesOf(ConfigVersion known) {
  if (known == config)
    priorityQueues.clear();
}

bool LeaderRoute::mergeNewer(LeaderRoute other) {
  // The terms of two clusters say nothing about each other.
  if (areDifferentClusters(cluster, other.cluster) || other.term < term)
    return false;
  if (isAbsent(other.cluster))
    other.cluster = cluster;
  if (other.config <= config) {
    other.config = config;
    other.priorityQueues = std::move(priorityQueues);
  }
  if (other.leader.value.empty() && other.term == term)
    other.leader = leader;
  *this = std::move(other);
  return true;
}

bool LeaderRoute::admits(const ApiRequest& request, std::size_t inFlight, std::size_t limit) const {
  const bool ordinarySubmission =
      request.kind == RequestKind::submitJob &&
      !std::count(priorityQueues.begin(), priorityQueues.end(), request.job.queue);
  return admitsRequest(request.kind, ordinarySubmission, inFlight, limit);
}

bool admitsRequest(RequestKind kind, bool ordinarySubmission, std::size_t inFlight,
                   std::size_t limit) {
  // Syncs are always admitted: their number is bounded by that of the workers, and no task
  // completes without them.
  if (kind == RequestKind::syncWorker)
    return true;
  return inFlight < (ordinarySubmission ? limit - limit / 5 : limit);
}

}  // namespace aniseline
