// What a worker or its agent reports to the leader in a sync. docs/api.md 3.
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
  Duration longPollTimeout{0};    // how long the response may be delayed while there is no news
  OrderNumber lastReceivedOrder;  // of an agent, which may not have applied it yet
  // Of an agent: its worker does not answer. No lease is wanted, since it could
  // not be passed on.
  bool unresponsive = false;
  // Of an unresponsive worker: its tasks stop no later than this from now on.
  Duration remainingLease{0};
  MonotonicTime reportedAt;  // by the agent's own clock, since reports may
                             // overtake each other
  // Of an agent: the response's body is a packed SyncResponse, and results and
  // checkpoints are identified by TaskRunId.
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
