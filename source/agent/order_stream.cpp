// Merges the order ranges of sync responses, which may overlap or leave gaps.
#include "agent/order_stream.hpp"

namespace aniseline {

namespace {

// Applied orders are reported in a separate sync after this delay. Until then the regular syncs,
// about one per second, carry most of them.
constexpr Duration appliedReportDelay{400};

}  // namespace

OrderStream::Received OrderStream::receive(const SyncResponse& response) {
  Received received;
  received.firstResponse = !std::exchange(syncedOnce, true);
  if (response.orders.empty())
    return received;
  const OrderNumber before{response.orders.front().number.value - 1};
  // A new process starts at the first order that the leader sends.
  if (lastReceived == OrderNumber{}) {
    if (response.ordersAfter > lastReceived)
      return received;  // earlier orders were in a lost response; the leader sends all of them
                        // again
    lastReceived = before;
  }
  for (const auto& order : response.orders) {
    if (!isReceived(order.number))
      received.orders.push_back(&order);
  }
  addRange(before, response.orders.back().number);
  return received;
}

bool OrderStream::isReceived(OrderNumber number) const {
  return number <= lastReceived ||
         std::any_of(rangesBeyondGap.begin(), rangesBeyondGap.end(), [&](const auto& span) {
           return number > span.first && number <= span.second;
         });
}

void OrderStream::addRange(OrderNumber after, OrderNumber upTo) {
  auto& end = rangesBeyondGap[after];
  end = std::max(end, upTo);
  while (!rangesBeyondGap.empty() && rangesBeyondGap.begin()->first <= lastReceived) {
    lastReceived = std::max(lastReceived, rangesBeyondGap.begin()->second);
    rangesBeyondGap.erase(rangesBeyondGap.begin());
  }
}

OrderNumber OrderStream::applied(std::optional<OrderNumber> oldestOpen) const {
  return oldestOpen ? std::min(lastReceived, OrderNumber{oldestOpen->value - 1}) : lastReceived;
}

void OrderStream::noteReported(OrderNumber applied, MonotonicTime now) {
  reportedApplied = applied;
  reportedAppliedAt = now;
}

MonotonicTime OrderStream::nextReportAt() const {
  return reportedAppliedAt + appliedReportDelay + Duration{1};
}

void OrderStream::reset() {
  rangesBeyondGap.clear();
  lastReceived = reportedApplied = lastIssued = OrderNumber{};
}

}  // namespace aniseline
