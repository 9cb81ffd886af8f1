// Answers the long polls of workers with the orders that a worker has not received yet, the results
// that are final, and its lease. Uses the committed state only. Remembers the orders recently sent
// to each agent, so that two concurrent syncs of an agent don't receive the same orders.
// docs/design.md 5.2, 5.3.
#ifndef ANISELINE_CONTROLLER_SYNC_RESPONDER_HPP
#define ANISELINE_CONTROLLER_SYNC_RESPONDER_HPP
#include "controller/gateway_registry.hpp"
#include "controller/options.hpp"
#include "controller/request_table.hpp"
#include "state/cluster_state.hpp"

namespace aniseline {

class SyncResponder {
 public:
  // The response to a poll, or the time at which to check the poll again if nothing changes
  // earlier.
  struct Outcome {
    std::optional<ApiResponse> response;
    MonotonicTime checkAt;
  };

  SyncResponder(const ControllerOptions& options, const GatewayRegistry& gateways)
      : options(options), gateways(gateways) {}

  void clear() { sentOrders.clear(); }
  // Requires that `poll` is confirmed by a majority and that `committed` includes all state on
  // which the poll depends.
  Outcome respond(const PendingRequest& poll, const ClusterState& committed, Term term,
                  MonotonicTime now);

 private:
  struct SentOrders {
    OrderNumber lastOrder;
    MonotonicTime sentAt;
  };
  struct KnownOrders {
    // The worker has received, or soon will receive, the orders up to this one.
    OrderNumber lastOrder;
    MonotonicTime resendAt;  // when a response already sent is considered lost
  };
  KnownOrders knownOrders(const SyncReport& report, MonotonicTime deadline,
                          MonotonicTime now) const;
  ApiResponse agentResponse(const SyncReport& report, SyncResponse response,
                            const ClusterState& committed, OrderNumber known, MonotonicTime now);
  ApiResponse workerResponse(const SyncReport& report, SyncResponse response,
                             MonotonicTime now) const;

  const ControllerOptions& options;
  const GatewayRegistry& gateways;
  std::map<WorkerId, SentOrders> sentOrders;  // agents only
};

// Returns the response to a process whose incarnation has been replaced by another one.
ApiResponse replacedIncarnationResponse();

}  // namespace aniseline

#endif  // ANISELINE_CONTROLLER_SYNC_RESPONDER_HPP
