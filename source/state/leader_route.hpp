// The routing data of gateways: the current leader, the other controllers and gateways, and the
// rule for admitting requests under load. docs/design.md 9.2, 10.
#ifndef ANISELINE_STATE_LEADER_ROUTE_HPP
#define ANISELINE_STATE_LEADER_ROUTE_HPP
#include "base/types.hpp"

namespace aniseline {

enum class RequestKind : std::uint8_t;
struct ApiRequest;

/// The address and zone of a gateway.
struct GatewayEndpoint {
  Address address;
  ZoneName zone;
  template <class Archive>
  void serialize(Archive& archive, unsigned) {
    archive& address& zone;
  }
};
/// Returns the addresses in the order in which a process in `zone` should try them: those of its
/// own zone first. Each group is rotated by `rotation`, so that clients start with different
/// addresses.
std::vector<Address> orderedByZonePreference(const std::vector<GatewayEndpoint>& endpoints,
                                             const ZoneName& zone, std::uint64_t rotation);

struct LeaderRoute {
  Term term;
  Address leader;
  std::vector<Address> controllers;
  std::vector<GatewayEndpoint> gateways;  // for workers and clients
  ConfigVersion config;
  std::vector<QueueName> priorityQueues;  // queues whose submissions are the last to be rejected
  ClusterId cluster{};  // absent if unknown; RouteReply transmits it beside the route
  /// Leaves out the priority queues, which grow with the configuration, for a process that knows
  /// those of this configuration.
  void omitQueuesOf(ConfigVersion known);
  /// Adopts the route known to another process, unless it is older or leads to another cluster; the
  /// configuration version never decreases, and its priority queues are replaced only by those of a
  /// newer one. Reports whether the route was adopted. docs/design.md
  /// 3.8, 6.5.
  bool mergeNewer(LeaderRoute other);
  /// Reports whether another request is admitted while `inFlight` requests of at most `limit` are
  /// in progress. One fifth of the limit is reserved for submissions to priority queues and for
  /// requests other than submissions. docs/design.md 10.
  bool admits(const ApiRequest& request, std::size_t inFlight, std::size_t limit) const;
  template <class Archive>
  void serialize(Archive& archive, unsigned) {
    archive& term& leader& controllers& gateways& config& priorityQueues;
  }
};

/// Applies the same rule to a request of a known kind; `ordinarySubmission` is a submission to a
/// queue that is not a priority queue.
bool admitsRequest(RequestKind kind, bool ordinarySubmission, std::size_t inFlight,
                   std::size_t limit);

}  // namespace aniseline

#endif  // ANISELINE_STATE_LEADER_ROUTE_HPP
