// The leader's numbered orders as they reach one node agent: which have come, which are known to be
// missing, and how far the leader has heard that they are applied. Sync responses may overtake each
// other, so orders may come with gaps. Owned and called by NodeAgent. docs/design.md 5.3, 5.8.
#ifndef ANISELINE_AGENT_ORDER_STREAM_HPP
#define ANISELINE_AGENT_ORDER_STREAM_HPP
#include "state/api_request.hpp"

namespace aniseline {

class OrderStream {
 public:
  // The orders of one response that had not come before, in their order.
  struct Received {
    // They point into the response.
    std::vector<const Order*> orders;
    // The response is the first of this process: an earlier process of the agent may have begun to
    // carry these orders out.
    bool firstResponse = false;
  };

  Received receive(const SyncResponse& response);

  // A response says that there are orders up to this one.
  void noteIssuedUpTo(OrderNumber number) { lastIssued = std::max(lastIssued, number); }
  // Orders are missing that the leader has issued. A stop may be among them.
  bool hasGap() const { return lastIssued > lastReceived; }
  // Every order up to this one has come.
  OrderNumber received() const { return lastReceived; }
  // Every order up to this one has been carried out; `oldestOpen` is the first that is not, if any.
  OrderNumber applied(std::optional<OrderNumber> oldestOpen) const;

  // A report to the leader says that orders are applied up to this one.
  void noteReported(OrderNumber applied, MonotonicTime now);
  bool isReported(OrderNumber applied) const { return applied == reportedApplied; }
  // From then on a newer state is to be reported without waiting for the next ordinary sync.
  MonotonicTime nextReportAt() const;

  // The worker's incarnation is replaced: orders are numbered anew.
  void reset();

 private:
  bool isReceived(OrderNumber number) const;
  void addRange(OrderNumber after, OrderNumber upTo);

  OrderNumber lastReceived;
  OrderNumber lastIssued;
  // Spans of orders beyond a gap that have come too. The key is the number before the first.
  std::map<OrderNumber, OrderNumber> rangesBeyondGap;
  bool syncedOnce = false;
  OrderNumber reportedApplied;
  MonotonicTime reportedAppliedAt{0};
};

}  // namespace aniseline

#endif  // ANISELINE_AGENT_ORDER_STREAM_HPP
