// The report that a worker or its agent sends to the leader in a sync. docs/api.md 3.
#ifndef ANISELINE_STATE_SYNC_REPORT_HPP
#define ANISELINE_STATE_SYNC_REPORT_HPP
#include "state/attempt_result.hpp"
#include "state/capacity.hpp"

namespace aniseline {

struct SyncReport {
  WorkerId id;
  Incarnation incarnation;
  Capacity capacity;
  OrderNumber lastAppliedOrder;
  std::vector<AttemptResult> results;
  bool draining = false;
  Duration drainTimeout{0};
  Duration longPollTimeout{0};    // how long the response may be delayed if there is nothing new
  OrderNumber lastReceivedOrder;  // from an agent, which may not have applied it yet
  // From an agent: its worker does not respond. The agent wants no lease, since it could not pass
  // it on.
  bool unresponsive = false;
  // For an unresponsive worker: its tasks stop within this time.
  Duration remainingLease{0};
  MonotonicTime reportedAt;  // by the agent's own clock; orders reports that overtake each other
  // From an agent: the response body must be a packed SyncResponse, and results and checkpoints are
  // identified by TaskRunId.
  bool wantsPackedResponse = false;
  std::vector<TaskRunResult> runResults;
  std::vector<TaskCheckpoint> checkpoints;
  template <class Archive>
  void serialize(Archive& archive, unsigned) {
    archive& id& incarnation& capacity& lastAppliedOrder& results& draining& drainTimeout&
        longPollTimeout& lastReceivedOrder& unresponsive& remainingLease& reportedAt&
            wantsPackedResponse& runResults& checkpoints;
  }
};

}  // namespace aniseline

#endif  // ANISELINE_STATE_SYNC_REPORT_HPP
