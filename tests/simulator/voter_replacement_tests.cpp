// Tests losses of voters right after a replacement of voters and during one. docs/design.md 3.5.
#include "support/scenario.hpp"

using namespace aniseline;

namespace {

struct Site {
  std::size_t voters, controllers;
  std::int64_t replaceAfter;  // as platform/main.cpp derives it from the bound
  std::int64_t replacedWithin;
};
// Clusters of three and five voters, with spare controllers for a second loss of as many voters as
// may be lost at once.
constexpr Site small{3, 6, 2500, 4000};
constexpr Site grown{5, 10, 3750, 6000};
constexpr std::uint64_t seeds = 40;

SimulatedClusterOptions optionsOf(const Site& site, std::uint64_t seed) {
  SimulatedClusterOptions options;
  options.seed = seed;
  options.controllers = site.controllers;
  options.controller.voterCount = site.voters;
  options.controller.raft.heartbeatInterval = Duration{75};
  options.controller.raft.electionTimeoutMin = Duration{300};
  options.controller.raft.electionTimeoutMax = Duration{600};
  return options;
}

struct Replacement : Scenario {
  Site site;
  std::size_t submitted = 0;
  bool submitting = true;
  std::set<std::size_t> lost;

  Replacement(const Site& site, std::uint64_t seed)
      : Scenario(optionsOf(site, seed), site.replaceAfter), site(site) {
    advance(8000);  // until the voters are spread over the zones
    waitForVoters(site.voters, 10'000);
    keepSubmitting();
  }
  ~Replacement() { cluster->onLogEvent = nullptr; }
  void keepSubmitting() {
    if (!submitting)
      return;
    cluster->submit(parseJob(jobJson("j" + std::to_string(submitted++), 200)));
    cluster->scheduleAfter(150, [this] { keepSubmitting(); });
  }
  std::set<std::size_t> voters() const {
    std::set<std::size_t> found;
    for (std::size_t index = 0; index < cluster->controllerCount(); ++index)
      if (cluster->isVoter(index) && !lost.count(index))
        found.insert(index);
    return found;
  }
  std::set<std::size_t> learners() const {
    const RaftNode& leader = cluster->controller(*cluster->leader())->raftNode();
    std::set<std::size_t> found;
    for (std::size_t index = 0; index < cluster->controllerCount(); ++index)
      for (const auto& member : leader.membership())
        if (!member.voter && cluster->controller(index)->raftNode().self().id == member.id)
          found.insert(index);
    return found;
  }
  void lose(std::size_t index) {
    lost.insert(index);
    cluster->loseDisk(index);
  }
  // Chooses by `draw` the leader, one of `preferred`, or any other voter.
  std::size_t victim(std::uint64_t draw, const std::set<std::size_t>& preferred) const {
    const auto leader = cluster->leader();
    if (draw % 3 == 0 && leader)
      return *leader;
    for (const auto index : draw % 3 == 1 ? preferred : voters())
      if (!lost.count(index) && (!leader || index != *leader))
        return index;
    return *voters().begin();
  }
  std::int64_t untilReplaced(std::int64_t within) {
    const std::int64_t begun = cluster->now;
    CHECK(cluster->runUntilTrue([&] { return replaced(); }, within));
    return cluster->now - begun;
  }
  // Reports whether the leader's committed membership has the wanted number of voters and every one
  // of them is running.
  bool replaced() const { return vote(site.voters); }
  bool vote(std::size_t wanted) const {
    if (!cluster->leader())
      return false;
    const RaftNode& leader = cluster->controller(*cluster->leader())->raftNode();
    if (!leader.canServe() || !leader.membershipCommitted())
      return false;
    std::size_t voting = 0, there = 0;
    for (const auto& member : leader.membership()) {
      voting += member.voter;
      there += member.voter && isThere(member.id);
    }
    return voting == wanted && there == voting;
  }
  bool isThere(const ControllerId& id) const {
    for (std::size_t index = 0; index < cluster->controllerCount(); ++index)
      if (const auto* controller = cluster->controller(index))
        if (controller->raftNode().self().id == id)
          return true;
    return false;
  }
  void bringBack() {
    for (const auto index : std::exchange(lost, {}))
      cluster->restartController(index);
  }
  void end() {
    submitting = false;
    cluster->submit(parseJob(jobJson("last", 200)));
    waitForFinished("last", 6000);
    bringBack();
    CHECK(cluster->runUntilTrue(
        [&] { return cluster->allJobsEnded() && cluster->allReplicasIntact(); }, 20'000));
    cluster->recordFault("losses", true);
    advance(3000);
    for (std::size_t count = 0; count < submitted; ++count)
      LONGS_EQUAL(1, cluster->countStartsOf("j" + std::to_string(count)));
    for (const auto& promise : cluster->checkHistory().violations)
      FAIL(promise.description.c_str());
  }
};

// Loses as many voters as may be lost at once for good, and 0 to 40 ms after they are replaced
// loses as many again.
void loseAgainRightAfterARepair(const Site& site, std::uint64_t seed) {
  Replacement run(site, seed);
  const std::size_t bearable = run.cluster->tolerableLosses();
  const auto before = run.voters();
  run.cluster->recordFault("losses", false);
  for (std::size_t count = 0; count < bearable; ++count)
    run.lose(run.victim(seed + count, before));
  const std::int64_t took = run.untilReplaced(10'000);
  CHECK(took <= site.replacedWithin);
  std::set<std::size_t> successors;
  for (const auto index : run.voters())
    if (!before.count(index))
      successors.insert(index);
  run.advance(std::int64_t(seed % 41));
  for (std::size_t count = 0; count < bearable; ++count)
    run.lose(run.victim(seed / 3 + count, successors));
  CHECK(run.untilReplaced(10'000) <= site.replacedWithin);
  run.end();
}

// Kills one more voter 0 to 14 ms after a membership change and restarts it with its disk later.
// Nothing may be lost, even if it has been replaced by then.
void killWhileMembersChange(const Site& site, std::uint64_t seed) {
  Replacement run(site, seed);
  const auto before = run.voters();
  bool struck = false;
  std::optional<std::size_t> away;
  run.cluster->onLogEvent = [&](std::size_t, const LogEvent& note) {
    if (struck || render(note).name != "members change")
      return;
    struck = true;
    run.cluster->scheduleAfter(std::int64_t(seed % 15), [&] {
      away = run.victim(seed, before);
      run.cluster->killController(*away, true);
    });
  };
  run.cluster->recordFault("losses", false);
  run.lose(run.victim(seed + 1, before));
  CHECK(run.cluster->runUntilTrue([&] { return away.has_value(); }, 10'000));
  run.advance(1000);
  run.cluster->restartController(*away);
  run.untilReplaced(12'000);
  run.end();
}

// Loses the learner together with a voter, so that a blank controller has to catch up before it can
// replace the voter. Returns the time in ms until the replacement.
std::int64_t loseTheReadyOneToo(const Site& site, std::uint64_t seed) {
  Replacement run(site, seed);
  const auto before = run.voters();
  std::set<std::size_t> victims = run.learners();
  LONGS_EQUAL(1, victims.size());
  victims.insert(run.victim(seed, before));
  run.cluster->recordFault("losses", false);
  for (const auto index : victims)
    run.lose(index);
  const std::int64_t took = run.untilReplaced(10'000);
  run.end();
  return took;
}

}  // namespace

TEST_GROUP(Replacements){};

TEST(Replacements, aVoterIsReplacedInTimeThoughTheReadyOneIsLostToo) {
  for (std::uint64_t seed = 1; seed <= seeds; ++seed) {
    CHECK(loseTheReadyOneToo(small, seed) <= small.replacedWithin);
    CHECK(loseTheReadyOneToo(grown, seed) <= grown.replacedWithin);
  }
}

TEST(Replacements, aSecondLossRightAfterARepairOfThreeLosesNothing) {
  for (std::uint64_t seed = 1; seed <= seeds; ++seed)
    loseAgainRightAfterARepair(small, seed);
}

TEST(Replacements, aSecondLossRightAfterARepairOfFiveLosesNothing) {
  for (std::uint64_t seed = 1; seed <= seeds; ++seed)
    loseAgainRightAfterARepair(grown, seed);
}

TEST(Replacements, aLossWhileThreeChangeLosesNothing) {
  for (std::uint64_t seed = 1; seed <= seeds; ++seed)
    killWhileMembersChange(small, seed);
}

TEST(Replacements, aLossWhileFiveChangeLosesNothing) {
  for (std::uint64_t seed = 1; seed <= seeds; ++seed)
    killWhileMembersChange(grown, seed);
}

// A replacement order is completed only after the removal is committed. If it were completed
// earlier, the order would be lost when the removal does not get committed.
TEST(Replacements, anOrderIsDoneOnlyAfterTheRemoval) {
  Replacement run(small, 1);
  const std::size_t named = run.victim(2, {});
  const ControllerId id = run.cluster->controller(named)->raftNode().self().id;
  run.requestWithoutTranscript("POST", "/v1/controllers/" + id.value + "/replace", "", [](int) {});
  LogIndex removed, done;
  const auto seen = [&] {
    const RaftNode& raft = run.cluster->controller(*run.cluster->leader())->raftNode();
    bool wasThere = false;
    for (LogIndex at = raft.logBaseIndex().next(); at <= raft.commitIndex(); at = at.next()) {
      const LogEntry& entry = raft.entry(at);
      if (entry.isMembership) {
        const Membership members = unpack<Membership>(entry.payload).value();
        const bool there = std::any_of(members.begin(), members.end(),
                                       [&](const Member& member) { return member.id == id; });
        if (wasThere && !there)
          removed = at;
        wasThere = there;
        continue;
      }
      const LogRecord record = unpack<LogRecord>(entry.payload).value();
      const auto* order = boost::get<ControllerReplacementRequested>(&record.event);
      if (order && order->controller == id && order->completed)
        done = at;
    }
    return removed.value > 0 && done.value > 0;
  };
  CHECK(run.cluster->runUntilTrue(seen, 15'000));
  CHECK(done > removed);
  run.end();
}

// The configured number of voters differs between controllers while they are restarted one by one,
// and the leader changes meanwhile. The number of voters follows the leader's setting, and nothing
// is lost.
TEST(Replacements, theVotersGoFromThreeToFiveAndBackWhileSettingsDiffer) {
  const Site site{3, 7, 2500, 4000};
  for (std::uint64_t seed = 1; seed <= 10; ++seed) {
    Replacement run(site, seed);
    run.cluster->recordFault("losses", false);
    for (const std::size_t wanted : {5, 3}) {
      for (std::size_t index = 0; index < site.controllers; ++index) {
        run.cluster->killController(index, true);
        run.cluster->setVoters(index, wanted);
        run.advance(300);
        run.cluster->restartController(index);
        run.advance(1500);
        const RaftNode& raft = run.cluster->controller(index)->raftNode();
        const auto voting = std::count_if(raft.membership().begin(), raft.membership().end(),
                                          [](const Member& member) { return member.voter; });
        CHECK(raft.isBlank() || (voting >= 3 && voting <= 6));
      }
      CHECK(run.cluster->runUntilTrue([&] { return run.vote(wanted); }, 15'000));
      run.advance(5000);
      CHECK(run.vote(wanted));
    }
    run.end();
  }
}

// The disk of the learner stalls while voters are lost. If the learner were promoted, every
// majority would need it, and nothing would be acknowledged until its disk writes again.
TEST(Replacements, aSuccessorThatIsBehindStopsNothing) {
  for (const Site& site : {small, grown})
    for (std::uint64_t seed = 1; seed <= 10; ++seed) {
      Replacement run(site, seed);
      const auto ready = run.learners();
      LONGS_EQUAL(1, ready.size());
      run.cluster->recordFault("losses", false);
      for (std::size_t count = 0; count < run.cluster->tolerableLosses(); ++count)
        run.lose(run.victim(2, {}));
      run.advance(500);
      run.cluster->stallDisk(*ready.begin(), 9000);
      for (int count = 0; count < 12; ++count) {
        const std::string id = "p" + std::to_string(count);
        run.cluster->submit(parseJob(jobJson(id, 100)));
        run.waitForFinished(id, 1500);
      }
      CHECK(run.cluster->runUntilTrue([&] { return run.replaced(); }, 10'000));
      run.end();
    }
}
