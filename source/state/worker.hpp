// A worker in the replicated state: its capacity, its state and the orders it has not yet applied.
// docs/design.md 5.
#ifndef ANISELINE_STATE_WORKER_HPP
#define ANISELINE_STATE_WORKER_HPP
#include "state/attempt.hpp"
#include "state/capacity.hpp"

namespace aniseline {

/// `draining`: the worker is shutting down by its own decision. `drained`: an operator has disabled
/// new starts on it.
enum class WorkerState : std::uint8_t { available, draining, drained, unreachable, removed };
const char* name(WorkerState state);

struct Worker {
  WorkerId id;
  Incarnation incarnation;
  std::vector<Incarnation> retiredIncarnations;  // the most recent ones, oldest first
  Capacity capacity;
  WorkerState state = WorkerState::available;
  ClusterTime lastSeenAt;
  ClusterTime drainDeadline;         // 0: none
  bool drainDeadlinePassed = false;  // its tasks have been stopped
  OrderNumber lastIssuedOrder;
  OrderNumber lastAppliedOrder;  // as reported by the worker
  std::deque<Order> unappliedOrders;
  // Increases when attempts fail and decreases when they succeed; valid at `failureScoredAt`.
  // docs/design.md 5.6.
  std::int64_t failureScore = 0;
  ClusterTime failureScoredAt;

  bool isSchedulable() const { return state == WorkerState::available; }
  /// Returns the failure score decayed to `now`: it halves every 30 seconds, so that a worker that
  /// has recovered gets work again.
  std::int64_t failureScoreAt(ClusterTime now) const {
    constexpr std::int64_t halfLife = 30'000;  // milliseconds
    // more halvings than the maximum score needs to reach 0
    constexpr std::int64_t maxHalvings = 20;
    const auto halvings =
        std::max<std::int64_t>(0, (now - failureScoredAt).milliseconds / halfLife);
    return halvings > maxHalvings ? 0 : failureScore >> halvings;
  }
  /// Appends an order about the attempt and returns it; the caller fills in the payload and the
  /// checkpoint.
  Order& issueOrder(OrderKind kind, const Attempt& attempt);
  template <class Archive>
  void serialize(Archive& archive, unsigned) {
    archive& id& incarnation& retiredIncarnations& capacity& state& lastSeenAt& drainDeadline&
        drainDeadlinePassed& lastIssuedOrder& lastAppliedOrder& unappliedOrders& failureScore&
            failureScoredAt;
  }
};

}  // namespace aniseline

#endif  // ANISELINE_STATE_WORKER_HPP
