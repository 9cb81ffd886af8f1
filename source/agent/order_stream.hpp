// Tracks the leader's numbered orders as they reach one node agent: which have arrived, which are
// known to be missing, and up to which one the leader has been told that they are applied. Sync
// responses may overtake each other, so orders may arrive with gaps. Owned and called by NodeAgent.
// docs/design.md 5.3, 5.8.
#ifndef ANISELINE_AGENT_ORDER_STREAM_HPP
#define ANISELINE_AGENT_ORDER_STREAM_HPP
#include "state/api_request.hpp"

namespace aniseline {

class OrderStream {
 public:
  // The orders of one response that had not arrived before, in ascending order.
  struct Received {
    // Pointers into the response.
    std::vector<const Order*> orders;
    // True for the first response that this process receives: an earlier process of the agent may
    // have started to carry out its orders.
    bool firstResponse = false;
  };

  Received receive(const SyncResponse& response);

  // Records that the leader has issued orders up to this one.
  void noteIssuedUpTo(OrderNumber number) { lastIssued = std::max(lastIssued, number); }
  // Reports whether orders that the leader has issued are missing; one of them may be a stop.
  bool hasGap() const { return lastIssued > lastReceived; }
  // Returns the order up to which all have arrived.
  OrderNumber received() const { return lastReceived; }
  // Returns the order up to which all have been carried out; `oldestOpen` is the first that has
  // not, if any.
  OrderNumber applied(std::optional<OrderNumber> oldestOpen) const;

  // Records that a report to the leader states that orders up to this one are applied.
  void noteReported(OrderNumber applied, MonotonicTime now);
  bool isReported(OrderNumber applied) const { return applied == reportedApplied; }
  // Returns the time from which newly applied orders are reported without waiting for the next
  // regular sync.
  MonotonicTime nextReportAt() const;

  // Starts again because the worker's incarnation is replaced and its orders are renumbered.
  void reset();

 private:
  bool isReceived(OrderNumber number) const;
  void addRange(OrderNumber after, OrderNumber upTo);

  OrderNumber lastReceived;
  OrderNumber lastIssued;
  // Ranges of orders that arrived beyond a gap. The key is the number before the first order of the
  // range; the value is the last.
  std::map<OrderNumber, OrderNumber> rangesBeyondGap;
  bool syncedOnce = false;
  OrderNumber reportedApplied;
  MonotonicTime reportedAppliedAt{0};
};

}  // namespace aniseline

#endif  // ANISELINE_AGENT_ORDER_STREAM_HPP
