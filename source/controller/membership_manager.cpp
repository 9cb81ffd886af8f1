// Selection of membership changes. docs/design.md 3.5.
#include "controller/membership_manager.hpp"

namespace aniseline {

namespace {

// A learner is promoted only if it was heard from within this time.
constexpr Duration recentContactWindow{1000};
// A voter that was not heard from for this long is removed if there is a surplus voter, or if a new
// identity responds at its address.
constexpr Duration suspectTimeout{2000};
// By this time a new leader has heard from every live member.
constexpr Duration leaderSettlingTime{4000};
// A zone has too many voters if it has at least this many more than the zone of a learner.
constexpr std::ptrdiff_t zoneSurplus = 2;

bool contains(const Membership& members, const ControllerId& id) {
  return std::any_of(members.begin(), members.end(),
                     [&](const Member& member) { return member.id == id; });
}

struct WantedChange {
  Membership members;
  MembershipChangeCause cause;
  Member member;
};

// A snapshot of the membership that determines the dead members, the members to remove, and the
// learner to promote.
class MembershipReview {
 public:
  MembershipReview(const RaftNode& raft, const ControllerOptions& options,
                   const ClusterState& state, MonotonicTime leaderSince, MonotonicTime now)
      : raft(raft),
        options(options),
        state(state),
        leaderSince(leaderSince),
        now(now),
        members(raft.membership()) {
    for (const auto& member : members) {
      voterCount += member.voter;
      deadVoterCount += member.voter && isDead(member);
    }
  }

  // Returns the number of learners to keep: one in reserve for the next voter that fails, and one
  // for each voter that is missing now.
  std::size_t learnersWanted() const {
    return 1 + options.voterCount - std::min(options.voterCount, voterCount - deadVoterCount);
  }
  std::vector<WantedChange> removals() const;
  std::optional<WantedChange> promotion() const;

 private:
  bool isSelf(const Member& member) const { return member.id == raft.self().id; }
  bool isNamedForReplacement(const Member& member) const {
    return state.controllersToReplace().count(member.id) > 0;
  }
  bool heardRecently(const Member& member) const {
    return now - raft.lastContactWith(member.id) <= recentContactWindow;
  }
  Duration timeSinceContact(const Member& member) const {
    return now - std::max(leaderSince, raft.lastContactWith(member.id));
  }
  bool leaderIsSettled() const { return now - leaderSince > leaderSettlingTime; }
  bool isReplacedAtAddress(const Member& member) const;
  bool isDead(const Member& member) const;
  std::ptrdiff_t votersIn(const ZoneName& zone) const;
  std::ptrdiff_t liveVotersIn(const ZoneName& zone) const;
  ControllerId longestUnheardVoter() const;
  ControllerId mostRedundantVoter() const;
  ControllerId surplusVoter() const;
  const Member* bestLearner() const;
  bool improvesSpread(const Member& learner) const;

  const RaftNode& raft;
  const ControllerOptions& options;
  const ClusterState& state;
  MonotonicTime leaderSince;
  MonotonicTime now;
  const Membership members;
  std::size_t voterCount = 0;
  std::size_t deadVoterCount = 0;
};

// A new identity that responds at exactly the address of a member proves that the disk of that
// member is gone, so no longer wait is needed.
bool MembershipReview::isReplacedAtAddress(const Member& member) const {
  return std::any_of(members.begin(), members.end(), [&](const Member& other) {
    return other.id != member.id && other.address == member.address &&
           now - raft.lastContactWith(other.id) < recentContactWindow;
  });
}

bool MembershipReview::isDead(const Member& member) const {
  if (isSelf(member))
    return false;
  if (isNamedForReplacement(member))
    return true;
  return timeSinceContact(member) > options.deadMemberTimeout ||
         (isReplacedAtAddress(member) && timeSinceContact(member) > suspectTimeout);
}

std::ptrdiff_t MembershipReview::votersIn(const ZoneName& zone) const {
  return std::count_if(members.begin(), members.end(),
                       [&](const Member& member) { return member.voter && member.zone == zone; });
}

std::ptrdiff_t MembershipReview::liveVotersIn(const ZoneName& zone) const {
  return std::count_if(members.begin(), members.end(), [&](const Member& member) {
    return member.voter && member.zone == zone && !isDead(member);
  });
}

// Returns an empty identity if every voter was heard from recently.
ControllerId MembershipReview::longestUnheardVoter() const {
  ControllerId chosen;
  Duration longest = suspectTimeout;
  for (const auto& member : members) {
    if (!member.voter || isSelf(member) || timeSinceContact(member) <= longest)
      continue;
    longest = timeSinceContact(member);
    chosen = member.id;
  }
  return chosen;
}

// Returns a voter that an operator has named for replacement, or otherwise the last voter of the
// zone with the most voters.
ControllerId MembershipReview::mostRedundantVoter() const {
  ControllerId chosen;
  std::ptrdiff_t most = 0;
  for (const auto& member : members) {
    if (!member.voter || isSelf(member))
      continue;
    const auto redundancy =
        isNamedForReplacement(member) ? std::ptrdiff_t(members.size()) + 1 : votersIn(member.zone);
    if (redundancy < most)
      continue;
    most = redundancy;
    chosen = member.id;
  }
  return chosen;
}

// An extra voter can make a majority larger, so this state is left as soon as possible. The voter
// with the longest time since contact is removed or, if the old voter has come back in the
// meantime, the most redundant one.
ControllerId MembershipReview::surplusVoter() const {
  if (voterCount <= options.voterCount)
    return {};
  ControllerId unheardVoter = longestUnheardVoter();
  if (!unheardVoter.value.empty() || !leaderIsSettled())
    return unheardVoter;
  return mostRedundantVoter();
}

std::vector<WantedChange> MembershipReview::removals() const {
  std::vector<WantedChange> wanted;
  const ControllerId surplus = surplusVoter();
  for (std::size_t index = 0; index < members.size(); ++index) {
    const Member& member = members[index];
    const bool lostState = raft.hasLostState(member.id);
    const bool lostAndReplaceable = lostState && (!member.voter || voterCount > 1);
    const bool isSurplus = member.voter && member.id == surplus;
    const bool isDeadLearner = !member.voter && isDead(member);
    if (!lostAndReplaceable && !isSurplus && !isDeadLearner)
      continue;
    Membership remaining = members;
    remaining.erase(remaining.begin() + std::ptrdiff_t(index));
    const auto cause =
        lostState ? MembershipChangeCause::lostState : MembershipChangeCause::removed;
    wanted.push_back({std::move(remaining), cause, member});
  }
  return wanted;
}

// Returns the learner that has caught up and whose zone has the fewest live voters.
const Member* MembershipReview::bestLearner() const {
  const Member* best = nullptr;
  std::ptrdiff_t fewest = 0;
  for (const auto& member : members) {
    if (member.voter || !heardRecently(member) || !raft.isCaughtUp(member.id))
      continue;
    const auto liveVoters = liveVotersIn(member.zone);
    if (best && liveVoters >= fewest)
      continue;
    best = &member;
    fewest = liveVoters;
  }
  return best;
}

// If no voter is missing, a learner only replaces a voter of a zone that has too many, and only
// while all voters are heard from. Otherwise the voter that is not heard from would be removed
// instead.
bool MembershipReview::improvesSpread(const Member& learner) const {
  if (!leaderIsSettled())
    return false;
  const auto inZone = liveVotersIn(learner.zone);
  const bool allVotersHeard =
      std::all_of(members.begin(), members.end(),
                  [&](const Member& member) { return !member.voter || heardRecently(member); });
  const bool zoneHasTooMany =
      std::any_of(members.begin(), members.end(), [&](const Member& member) {
        return member.voter && votersIn(member.zone) >= inZone + zoneSurplus;
      });
  return zoneHasTooMany && allVotersHeard;
}

std::optional<WantedChange> MembershipReview::promotion() const {
  if (voterCount > options.voterCount)
    return std::nullopt;
  const Member* learner = bestLearner();
  if (!learner)
    return std::nullopt;
  const bool hasAllVoters = voterCount == options.voterCount && deadVoterCount == 0;
  if (hasAllVoters && !improvesSpread(*learner))
    return std::nullopt;
  Membership promoted = members;
  Member& voter = promoted[std::size_t(learner - members.data())];
  voter.voter = true;
  const Member promotedVoter = voter;
  return WantedChange{std::move(promoted), MembershipChangeCause::promotedToVoter, promotedVoter};
}

}  // namespace

void MembershipManager::restart(MonotonicTime now) {
  leaderSince = now;
  lastRefused.reset();
}

std::vector<ControllerId> MembershipManager::completedReplacements(
    const ClusterState& state) const {
  std::vector<ControllerId> completed;
  for (const auto& id : state.controllersToReplace())
    if (!contains(raft.membership(), id))
      completed.push_back(id);
  return completed;
}

bool MembershipManager::propose(const Membership& members, MembershipChangeCause cause,
                                const Member& member, MonotonicTime now) {
  const auto refusal = raft.membershipChangeRefusal(members, now);
  if (!refusal && raft.proposeMembership(members, now)) {
    lastRefused.reset();
    events(log_events::MembershipChanged{cause, member});
    return true;
  }
  const Refused refused{member.id, cause, refusal};
  if (lastRefused != refused)
    events(log_events::MembershipChangeRefused{cause, member, refusal});
  lastRefused = refused;
  return false;
}

void MembershipManager::review(const ClusterState& state, MonotonicTime now) {
  const MembershipReview review(raft, options, state, leaderSince, now);
  raft.setMaxLearners(review.learnersWanted());
  for (const auto& removal : review.removals())
    if (propose(removal.members, removal.cause, removal.member, now))
      return;
  if (const auto promotion = review.promotion())
    propose(promotion->members, promotion->cause, promotion->member, now);
}

}  // namespace aniseline
