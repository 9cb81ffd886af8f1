// The preconditions of a membership change, all in one place. A leader checks them before it
// proposes one; they hold no state. docs/design.md 3.5.
#ifndef ANISELINE_RAFT_MEMBERSHIP_CHANGE_HPP
#define ANISELINE_RAFT_MEMBERSHIP_CHANGE_HPP
#include "raft/node.hpp"

namespace aniseline {

// Why a leader does not propose a membership change.
enum class MembershipChangeRefusal : std::uint8_t {
  // The leader has no committed entry of its own term, or is handing leadership over.
  notServing,
  // The membership in force is not committed yet: one change is made at a time.
  changeInProgress,
  // One identity stands twice in the proposed membership.
  duplicateMember,
  // The leader itself would not vote any more.
  leaderRemoved,
  // More than one voter differs, so that majorities before and after need not overlap.
  multipleVotersChanged,
  // The new voter does not hold the log yet, or is not heard from.
  newVoterBehind,
  // Those who stay and hold the log are no majority of the present voters.
  oldMajorityMissing,
  // Those who hold the log are no majority of the proposed voters.
  newMajorityMissing,
};
// The reason in words, for people: part of log events.
const char* name(MembershipChangeRefusal refusal);

// What a change is judged by.
struct MembershipChange {
  const Membership& current;
  const Membership& proposed;
  const ControllerId& leader;
  bool canServe = false;          // the leader has a committed entry of its own term
  bool currentCommitted = false;  // the membership in force is committed
  // The member was heard from lately and holds the log.
  std::function<bool(const ControllerId&)> isCaughtUp{};
  // The member's disk does not hold what it once acknowledged.
  std::function<bool(const ControllerId&)> hasLostState{};
};

// Why a leader may not make this change; nothing where it may.
std::optional<MembershipChangeRefusal> checkMembershipChange(const MembershipChange& change);

}  // namespace aniseline

#endif  // ANISELINE_RAFT_MEMBERSHIP_CHANGE_HPP
