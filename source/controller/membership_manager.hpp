// Decides which controllers are voters and which are learners: replaces members that have failed or
// that an operator has named, and keeps the voters spread over the zones. Proposes one change at a
// time. raft/membership_change.hpp checks whether a change is permitted; this class decides which
// change to make. Active only while its controller is the serving leader. docs/design.md 3.5.
#ifndef ANISELINE_CONTROLLER_MEMBERSHIP_MANAGER_HPP
#define ANISELINE_CONTROLLER_MEMBERSHIP_MANAGER_HPP
#include "controller/log_event.hpp"
#include "controller/options.hpp"
#include "state/cluster_state.hpp"

namespace aniseline {

class MembershipManager {
 public:
  MembershipManager(RaftNode& raft, const ControllerOptions& options, const LogEventSignal& events)
      : raft(raft), options(options), events(events) {}

  // Resets the state at the start of a leadership.
  void restart(MonotonicTime now);
  // Returns the replacements ordered by operators that are complete, which means that the committed
  // membership no longer contains the named controller. If orders were closed earlier, an order
  // would be lost when its change is never committed.
  std::vector<ControllerId> completedReplacements(const ClusterState& state) const;
  // Proposes a membership change if one is due. The current membership must be committed.
  void review(const ClusterState& state, MonotonicTime now);

 private:
  struct Refused {
    ControllerId member;
    MembershipChangeCause cause;
    std::optional<MembershipChangeRefusal> refusal;
    bool operator==(const Refused&) const = default;
  };
  bool propose(const Membership& members, MembershipChangeCause cause, const Member& member,
               MonotonicTime now);

  RaftNode& raft;
  const ControllerOptions& options;
  const LogEventSignal& events;
  MonotonicTime leaderSince;
  std::optional<Refused> lastRefused;  // the last refusal that was reported
};

}  // namespace aniseline

#endif  // ANISELINE_CONTROLLER_MEMBERSHIP_MANAGER_HPP
