// Decides which controllers vote and which learn: replaces members that are
// lost or that an operator named, and keeps the voters spread over the zones.
// One change is proposed at a time. What a change has to fulfil is judged by
// raft/membership_change.hpp; here is which one is wanted. Works only while its
// controller serves as the leader. docs/design.md 3.5.
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

  // At the beginning of a leadership.
  void restart(MonotonicTime now);
  // Replacements ordered by operators that are done: the committed members are
  // without the one named. Closed any earlier, an order would be lost with a
  // change that is never committed.
  std::vector<ControllerId> completedReplacements(const ClusterState& state) const;
  // Proposes a change of the members where one is due. The members in force
  // must be committed.
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
  std::optional<Refused> lastRefused;  // reported already
};

}  // namespace aniseline

#endif  // ANISELINE_CONTROLLER_MEMBERSHIP_MANAGER_HPP
