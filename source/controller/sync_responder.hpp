// Answers the long polls of workers: the orders that a worker has not got yet,
// which of its results are final, and its lease. Works on the committed state
// only. Remembers which orders were sent to each agent lately, so that two of
// its syncs which wait at the same time do not get the same ones.
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
  // The response of a poll, or when to look at the poll again if nothing
  // changes before.
  struct Outcome {
    std::optional<ApiResponse> response;
    MonotonicTime checkAt;
  };

  SyncResponder(const ControllerOptions& options, const GatewayRegistry& gateways)
      : options(options), gateways(gateways) {}

  void clear() { sentOrders.clear(); }
  // `poll` is confirmed by a majority, and `committed` holds all that it rests
  // on.
  Outcome respond(const PendingRequest& poll, const ClusterState& committed, Term term,
                  MonotonicTime now);

 private:
  struct SentOrders {
    OrderNumber lastOrder;
    MonotonicTime sentAt;
  };
  struct KnownOrders {
    OrderNumber lastOrder;   // the worker has got the orders up to this one, or soon will
    MonotonicTime resendAt;  // when one sent already is taken for lost
  };
  KnownOrders knownOrders(const SyncReport& report, MonotonicTime deadline,
                          MonotonicTime now) const;
  ApiResponse agentResponse(const SyncReport& report, SyncResponse response,
                            const ClusterState& committed, OrderNumber known, MonotonicTime now);
  ApiResponse workerResponse(const SyncReport& report, SyncResponse response,
                             MonotonicTime now) const;

  const ControllerOptions& options;
  const GatewayRegistry& gateways;
  std::map<WorkerId, SentOrders> sentOrders;  // to agents only
};

// The response to a process whose incarnation another one has replaced.
ApiResponse replacedIncarnationResponse();

}  // namespace aniseline

#endif  // ANISELINE_CONTROLLER_SYNC_RESPONDER_HPP
