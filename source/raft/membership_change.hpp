// The preconditions of a change of members, all in one place. docs/design.md 3.5.
#pragma once
#include "raft/node.hpp"

namespace aniseline {

// Why a leader does not propose a change of members.
enum class MembershipChangeRefusal : std::uint8_t {
  notServing,       // it has no committed entry of its own term, or is handing leadership over
  changeUnderWay,   // the members in force are not committed yet: one change at a time
  listedTwice,      // one identity stands twice in the new list
  leaderLeaves,     // the leader would not vote any more
  severalVoters,    // majorities of the old and the new voters need not overlap
  successorBehind,  // who is to vote does not hold the log yet, or is not heard
  oldMajority,      // those who stay hold the log in less than a majority of the old voters
  newMajority,      // and in less than a majority of the new ones
};
const char* name(MembershipChangeRefusal refusal);

// What a change is judged by.
struct MembershipChange {
  const Members& from;  // in force
  const Members& to;
  const ControllerId& leader;
  bool serves = false;   // the leader has a committed entry of its own term
  bool settled = false;  // `from` is committed
  std::function<bool(const ControllerId&)> holdsLog;   // heard lately, and caught up
  std::function<bool(const ControllerId&)> lostState;  // what it once acknowledged is gone
};
std::optional<MembershipChangeRefusal> refusalOf(const MembershipChange& change);

}  // namespace aniseline
