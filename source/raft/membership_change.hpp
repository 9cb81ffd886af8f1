// The preconditions of a change of members, all in one place. docs/design.md 3.5.
#ifndef ANISELINE_RAFT_MEMBERSHIP_CHANGE_HPP
#define ANISELINE_RAFT_MEMBERSHIP_CHANGE_HPP
#include "raft/node.hpp"

namespace aniseline {

// Why a leader does not propose a change of members.
enum class MembershipChangeRefusal : std::uint8_t {
  notServing,        // it has no committed entry of its own term, or is handing leadership over
  changeInProgress,  // the members in force are not committed yet: one change at a time
  duplicateMember,   // one identity stands twice in the new list
  leaderRemoved,     // the leader would not vote any more
  multipleVotersChanged,  // majorities of the old and the new voters need not overlap
  newVoterBehind,         // who is to vote does not hold the log yet, or is not heard
  oldMajorityMissing,     // those who stay hold the log in less than a majority of the old voters
  newMajorityMissing,     // and in less than a majority of the new ones
};
const char* name(MembershipChangeRefusal refusal);

// What a change is judged by.
struct MembershipChange {
  const Membership& current;  // in force
  const Membership& proposed;
  const ControllerId& leader;
  bool canServe = false;          // the leader has a committed entry of its own term
  bool currentCommitted = false;  // `from` is committed
  std::function<bool(const ControllerId&)> isCaughtUp;    // heard lately, and caught up
  std::function<bool(const ControllerId&)> hasLostState;  // what it once acknowledged is gone
};
std::optional<MembershipChangeRefusal> checkMembershipChange(const MembershipChange& change);

}  // namespace aniseline

#endif  // ANISELINE_RAFT_MEMBERSHIP_CHANGE_HPP
