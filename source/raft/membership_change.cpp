#include "raft/membership_change.hpp"

namespace aniseline {

namespace {

using Voters = std::set<ControllerId>;

Voters votersOf(const Membership& members) {
  Voters voters;
  for (const auto& member : members)
    if (member.voter)
      voters.insert(member.id);
  return voters;
}

Voters onlyIn(const Voters& left, const Voters& right) {
  Voters only;
  std::set_difference(left.begin(), left.end(), right.begin(), right.end(),
                      std::inserter(only, only.end()));
  return only;
}

std::size_t majorityOf(std::size_t voters) {
  return voters / 2 + 1;
}

bool listsTwice(const Membership& members) {
  std::set<ControllerId> ids;
  for (const auto& member : members)
    if (!ids.insert(member.id).second)
      return true;
  return false;
}

// Who votes changes: the members that stay must by themselves be a majority of the old voters, so
// that the copy of a removed one is missed by nobody, and the new voters must have a majority
// without waiting for anyone to catch up.
std::optional<MembershipChangeRefusal> refusalOfVoters(const MembershipChange& change,
                                                       const Voters& from, const Voters& to) {
  for (const auto& id : onlyIn(to, from))
    if (!change.isCaughtUp(id))
      return MembershipChangeRefusal::newVoterBehind;
  const auto holders = [&](const Voters& voters) {
    return std::size_t(std::count_if(voters.begin(), voters.end(), change.isCaughtUp));
  };
  // Of one that lost its state nothing is counted on: neither its copy nor its place.
  const auto gone = std::count_if(from.begin(), from.end(), change.hasLostState);
  const Voters staying = onlyIn(from, onlyIn(from, to));
  if (holders(staying) < majorityOf(from.size() - std::size_t(gone)))
    return MembershipChangeRefusal::oldMajorityMissing;
  if (holders(to) < majorityOf(to.size()))
    return MembershipChangeRefusal::newMajorityMissing;
  return std::nullopt;
}

}  // namespace

const char* name(MembershipChangeRefusal refusal) {
  static const char* const names[] = {"not serving",
                                      "a change is under way",
                                      "listed twice",
                                      "the leader would leave",
                                      "several voters",
                                      "the successor is behind",
                                      "too few of the old voters hold the log",
                                      "too few of the new voters hold the log"};
  return names[std::size_t(refusal)];
}

std::optional<MembershipChangeRefusal> checkMembershipChange(const MembershipChange& change) {
  if (!change.canServe)
    return MembershipChangeRefusal::notServing;
  if (!change.currentCommitted)
    return MembershipChangeRefusal::changeInProgress;
  if (listsTwice(change.proposed))
    return MembershipChangeRefusal::duplicateMember;
  const Voters from = votersOf(change.current);
  const Voters to = votersOf(change.proposed);
  if (!to.count(change.leader))
    return MembershipChangeRefusal::leaderRemoved;
  const std::size_t changed = onlyIn(from, to).size() + onlyIn(to, from).size();
  if (changed > 1)
    return MembershipChangeRefusal::multipleVotersChanged;
  // Learners and addresses are in no majority.
  if (changed == 0)
    return std::nullopt;
  return refusalOfVoters(change, from, to);
}

}  // namespace aniseline
