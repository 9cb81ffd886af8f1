// Checks proposed membership changes against the quorum rules. docs/design.md 3.5.
#include "raft/membership_change.hpp"

namespace aniseline {

namespace {

using VoterIds = std::set<ControllerId>;

VoterIds votersOf(const Membership& membership) {
  VoterIds voters;
  for (const auto& member : membership) {
    if (member.voter)
      voters.insert(member.id);
  }
  return voters;
}

VoterIds difference(const VoterIds& left, const VoterIds& right) {
  VoterIds only;
  std::set_difference(left.begin(), left.end(), right.begin(), right.end(),
                      std::inserter(only, only.end()));
  return only;
}

bool hasDuplicates(const Membership& membership) {
  std::set<ControllerId> ids;
  for (const auto& member : membership) {
    if (!ids.insert(member.id).second)
      return true;
  }
  return false;
}

// Checks a change of the voters. The remaining voters must form a majority of the current voters by
// themselves, so that the copy of a removed voter is not needed. The proposed voters must have a
// majority without waiting for any member to catch up.
std::optional<MembershipChangeRefusal> checkVoterChange(const MembershipChange& change,
                                                        const VoterIds& current,
                                                        const VoterIds& proposed) {
  for (const auto& id : difference(proposed, current)) {
    if (!change.isCaughtUp(id))
      return MembershipChangeRefusal::newVoterBehind;
  }
  const auto caughtUp = [&](const VoterIds& voters) {
    return std::size_t(std::count_if(voters.begin(), voters.end(), change.isCaughtUp));
  };
  // A voter that lost its state is neither counted as a replica nor included in the size of the
  // majority.
  const auto lost = std::count_if(current.begin(), current.end(), change.hasLostState);
  const VoterIds staying = difference(current, difference(current, proposed));
  if (caughtUp(staying) < majorityOf(current.size() - std::size_t(lost)))
    return MembershipChangeRefusal::oldMajorityMissing;
  if (caughtUp(proposed) < majorityOf(proposed.size()))
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
  if (hasDuplicates(change.proposed))
    return MembershipChangeRefusal::duplicateMember;
  const VoterIds current = votersOf(change.current);
  const VoterIds proposed = votersOf(change.proposed);
  if (!proposed.count(change.leader))
    return MembershipChangeRefusal::leaderRemoved;
  const std::size_t changed =
      difference(current, proposed).size() + difference(proposed, current).size();
  if (changed > 1)
    return MembershipChangeRefusal::multipleVotersChanged;
  // Learners and addresses do not affect any majority.
  if (changed == 0)
    return std::nullopt;
  return checkVoterChange(change, current, proposed);
}

}  // namespace aniseline
