// Which controllers vote and learn: repair after a loss. docs/design.md 3.5.
#include "controller/controller.hpp"
#include "raft/membership_change.hpp"

namespace aniseline {

// What an operator ordered to be replaced is done when the committed members are without it; said
// earlier, a change that is never committed would take the order with it.
void Controller::completeReplacements() {
  std::vector<ControllerId> done;
  for (const auto& id : speculative().controllersToReplace()) {
    const bool there = std::any_of(raft.membership().begin(), raft.membership().end(),
                                   [&](const Member& member) { return member.id == id; });
    if (!there)
      done.push_back(id);
  }
  for (const auto& id : done)
    append(ControllerReplacementRequested{id, true});
}

bool Controller::changeMembers(const Membership& members, const char* what, const Member& member) {
  const auto refusal = raft.membershipChangeRefusal(members, now);
  picojson::object fields{
      {"change", json(what)}, {"member", json(member.id.value)}, {"zone", json(member.zone.value)}};
  if (!refusal && raft.proposeMembership(members, now)) {
    lastRefusedChange.clear();
    emitLogEvent("members change", std::move(fields));
    return true;
  }
  const std::string why = refusal ? name(*refusal) : "";
  const std::string told = member.id.value + " " + what + " " + why;
  if (lastRefusedChange != told) {
    fields["why"] = json(why);
    emitLogEvent("members change refused", std::move(fields));
  }
  lastRefusedChange = told;
  return false;
}

// One change at a time, each logged; a learner is promoted when it has caught up. What may be
// changed is judged by raft/membership_change.hpp, what should be here. docs/design.md 3.5.
void Controller::reviewMembership() {
  if (!raft.membershipCommitted())
    return;
  completeReplacements();
  Membership members = raft.membership();
  auto isDead = [&](const Member& member) {
    if (member.id == raft.self().id)
      return false;
    if (speculative().controllersToReplace().count(member.id))
      return true;
    const Duration unheard = now - std::max(leaderSince, raft.lastHeardFrom(member.id));
    // A new identity that answers at its very address is proof that its disk is gone: no need to
    // wait for more.
    const bool supplanted = std::any_of(members.begin(), members.end(), [&](const Member& other) {
      return other.id != member.id && other.address == member.address &&
             now - raft.lastHeardFrom(other.id) < Duration{1000};
    });
    return unheard > options.deadMemberTimeout || (supplanted && unheard > Duration{2000});
  };
  std::size_t voters = 0, dead = 0;
  for (const auto& member : members) {
    voters += member.voter;
    dead += member.voter && isDead(member);
  }
  // One learner stands ready for the next voter that is lost, and one for each place that is open
  // now.
  raft.setMaxLearners(1 + options.voterCount - std::min(options.voterCount, voters - dead));
  auto votersIn = [&](const ZoneName& zone) {
    return std::count_if(members.begin(), members.end(),
                         [&](const Member& other) { return other.voter && other.zone == zone; });
  };
  // One voter more than wanted may make a majority larger, so that stage is left at once: the one
  // unheard for longest goes, or, where the old one came back meanwhile, one that an operator named
  // or else the latest of the zone that has the most.
  ControllerId surplus;
  if (voters > options.voterCount) {
    Duration longest{2000};
    for (const auto& member : members) {
      const Duration unheard = now - std::max(leaderSince, raft.lastHeardFrom(member.id));
      if (!member.voter || member.id == raft.self().id || unheard <= longest)
        continue;
      longest = unheard;
      surplus = member.id;
    }
    std::ptrdiff_t most = 0;
    for (const auto& member : members) {
      if (longest > Duration{2000} || now - leaderSince <= Duration{4000} || !member.voter ||
          member.id == raft.self().id)
        continue;
      const bool named = speculative().controllersToReplace().count(member.id);
      const auto together = named ? std::ptrdiff_t(members.size()) + 1 : votersIn(member.zone);
      if (together < most)
        continue;
      most = together;
      surplus = member.id;
    }
  }
  for (std::size_t place = 0; place < members.size(); ++place) {
    const Member member = members[place];
    const bool lostState = raft.hasLostState(member.id);
    const bool superfluous = member.voter && member.id == surplus;
    const bool deadLearner = !member.voter && isDead(member);
    if (!(lostState && (!member.voter || voters > 1)) && !superfluous && !deadLearner)
      continue;
    Membership fewer = members;
    fewer.erase(fewer.begin() + std::ptrdiff_t(place));
    if (changeMembers(fewer, lostState ? "lost state" : "removed", member))
      return;
  }
  if (voters > options.voterCount)
    return;
  // The learner that has caught up and whose zone has the fewest voters that live.
  Member* best = nullptr;
  std::ptrdiff_t fewest = 0;
  for (auto& member : members) {
    if (member.voter || now - raft.lastHeardFrom(member.id) > Duration{1000})
      continue;
    if (!raft.isCaughtUp(member.id))
      continue;
    const auto inZone = std::count_if(members.begin(), members.end(), [&](const Member& other) {
      return other.voter && other.zone == member.zone && !isDead(other);
    });
    if (best && inZone >= fewest)
      continue;
    best = &member;
    fewest = inZone;
  }
  if (!best)
    return;
  // Nobody is missing: only a zone's surplus goes, and only while all are heard, since who is not
  // would go in its place.
  if (voters == options.voterCount && dead == 0) {
    const bool allHeard = std::all_of(members.begin(), members.end(), [&](const Member& member) {
      return !member.voter || now - raft.lastHeardFrom(member.id) <= Duration{1000};
    });
    const bool better = std::any_of(members.begin(), members.end(), [&](const Member& member) {
      return member.voter && votersIn(member.zone) >= fewest + 2;
    });
    if (!better || !allHeard || now - leaderSince <= Duration{4000})
      return;
  }
  best->voter = true;
  changeMembers(members, "voter", *best);
}

}  // namespace aniseline
