// What gateways know of the cluster: the way to its leader, and which requests
// to admit under load. docs/design.md 9.2, 10.
#ifndef ANISELINE_STATE_LEADER_ROUTE_HPP
#define ANISELINE_STATE_LEADER_ROUTE_HPP
#include "base/types.hpp"

namespace aniseline {

enum class RequestKind : std::uint8_t;
struct ApiRequest;

/// A gateway as others reach it.
struct GatewayEndpoint {
  Address address;
  ZoneName zone;
  template <class Archive>
  void serialize(Archive& archive, unsigned) {
    archive& address& zone;
  }
};
/// Addresses in the order in which a process of a zone should try them: those
/// of its own zone first, rotated by `spread` so that clients begin at
/// different ones.
std::vector<Address> orderedByZonePreference(const std::vector<GatewayEndpoint>& endpoints,
                                             const ZoneName& zone, std::uint64_t rotation);

struct LeaderRoute {
  Term term;
  Address leader;
  std::vector<Address> controllers;
  std::vector<GatewayEndpoint> gateways;  // for workers and callers
  ConfigVersion config;
  std::vector<QueueName> priorityQueues;  // whose submissions are the last to be rejected
  /// Takes over what another process knows, unless that is older; the version
  /// of the configuration never goes back. Returns whether it was taken.
  /// docs/design.md 6.5.
  bool mergeNewer(LeaderRoute other);
  /// Whether another request is admitted while `inFlight` of `limit` are in
  /// flight. A fifth is kept for submissions to priority queues and for all
  /// that is no submission. docs/design.md 10.
  bool admits(const ApiRequest& request, std::size_t inFlight, std::size_t limit) const;
  template <class Archive>
  void serialize(Archive& archive, unsigned) {
    archive& term& leader& controllers& gateways& config& priorityQueues;
  }
};

/// The same rule for a request of known kind; `plain` is a submission to no
/// priority queue.
bool admitsRequest(RequestKind kind, bool ordinarySubmission, std::size_t inFlight,
                   std::size_t limit);

}  // namespace aniseline

#endif  // ANISELINE_STATE_LEADER_ROUTE_HPP
