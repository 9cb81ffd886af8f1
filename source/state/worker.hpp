// What the replicated state knows of a worker: its capacity, its state and the
// orders it has not yet applied. docs/design.md 5.
#ifndef ANISELINE_STATE_WORKER_HPP
#define ANISELINE_STATE_WORKER_HPP
#include "state/attempt.hpp"
#include "state/capacity.hpp"

namespace aniseline {

/// `draining`: it is shutting down by itself. `drained`: an operator keeps new
/// work away from it.
enum class WorkerState : std::uint8_t { available, draining, drained, unreachable, removed };
const char* name(WorkerState state);

struct Worker {
  WorkerId id;
  Incarnation incarnation;
  std::vector<Incarnation> retiredIncarnations;  // the latest few, the earliest first
  Capacity capacity;
  WorkerState state = WorkerState::available;
  ClusterTime lastSeenAt;
  ClusterTime drainDeadline;         // 0: none
  bool drainDeadlinePassed = false;  // its tasks were stopped then
  OrderNumber lastIssuedOrder;
  OrderNumber lastAppliedOrder;  // as reported by the worker
  std::deque<Order> unappliedOrders;
  // Rises with failed work and falls with successful work; valid at
  // `failureScoredAt`. docs/design.md 5.6.
  std::int64_t failureScore = 0;
  ClusterTime failureScoredAt;

  bool isSchedulable() const { return state == WorkerState::available; }
  /// The failure score at a time: it halves every half minute, so that a worker
  /// that has recovered gets work again.
  std::int64_t failureScoreAt(ClusterTime now) const {
    constexpr std::int64_t halfLife = 30'000;  // milliseconds
    constexpr std::int64_t maxHalvings = 20;   // more than the highest score takes to reach 0
    const auto halvings =
        std::max<std::int64_t>(0, (now - failureScoredAt).milliseconds / halfLife);
    return halvings > maxHalvings ? 0 : failureScore >> halvings;
  }
  /// Appends an order about the attempt and returns it, to be completed by the
  /// caller.
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
