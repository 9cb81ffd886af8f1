// The preconditions of a membership change. A leader checks them before it proposes a change. The
// functions keep no state. docs/design.md 3.5.
#ifndef ANISELINE_RAFT_MEMBERSHIP_CHANGE_HPP
#define ANISELINE_RAFT_MEMBERSHIP_CHANGE_HPP
#include "raft/node.hpp"

namespace aniseline {

// Reasons for which a leader refuses to propose a membership change.
enum class MembershipChangeRefusal : std::uint8_t {
  // The leader has not committed an entry of its own term, or is transferring its leadership.
  notServing,
  // The membership in force is not committed yet. Only one change is made at a time.
  changeInProgress,
  // An identity occurs twice in the proposed membership.
  duplicateMember,
  // The leader itself would no longer be a voter.
  leaderRemoved,
  // More than one voter differs, so the old and new majorities might not overlap.
  multipleVotersChanged,
  // The new voter does not hold the log yet, or is not in contact.
  newVoterBehind,
  // The remaining voters that hold the log are not a majority of the current voters.
  oldMajorityMissing,
  // The voters that hold the log are not a majority of the proposed voters.
  newMajorityMissing,
};
// Returns the reason as text for people; it is part of log events.
const char* name(MembershipChangeRefusal refusal);

// The input to the check of a membership change.
struct MembershipChange {
  const Membership& current;
  const Membership& proposed;
  const ControllerId& leader;
  bool canServe = false;          // the leader has committed an entry of its own term
  bool currentCommitted = false;  // the membership in force is committed
  // Reports whether the member was recently in contact and holds the log.
  std::function<bool(const ControllerId&)> isCaughtUp{};
  // Reports whether the member's disk no longer holds entries that it acknowledged.
  std::function<bool(const ControllerId&)> hasLostState{};
};

// Returns the reason why a leader must not make this change, or nullopt if it may.
std::optional<MembershipChangeRefusal> checkMembershipChange(const MembershipChange& change);

}  // namespace aniseline

#endif  // ANISELINE_RAFT_MEMBERSHIP_CHANGE_HPP
