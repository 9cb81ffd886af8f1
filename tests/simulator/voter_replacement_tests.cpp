// Tests losses of voters right after a replacement of voters and during one. docs/design.md 3.5.
#include "support/scenario.hpp"

using namespace aniseline;

namespace {

struct ClusterSize {
  std::size_t voters, controllers;
  std::int64_t replaceAfter;    // ms, as platform/main.cpp derives it from the bound
  std::int64_t replacedWithin;  // ms
};
// Clusters of three and five voters, with spare controllers for a second loss of as many voters as
// may be lost at once.
constexpr ClusterSize threeVoters{3, 6, 2500, 4000};
constexpr ClusterSize fiveVoters{5, 10, 3750, 6000};
constexpr std::uint64_t seedCount = 40;

SimulatedClusterOptions clusterOptions(const ClusterSize& size, std::uint64_t seed) {
  SimulatedClusterOptions options;
  options.seed = seed;
  options.controllers = size.controllers;
  options.controller.voterCount = size.voters;
  options.controller.raft.heartbeatInterval = Duration{75};
  options.controller.raft.electionTimeoutMin = Duration{300};
  options.controller.raft.electionTimeoutMax = Duration{600};
  return options;
}

struct ReplacementScenario : Scenario {
  ClusterSize size;
  std::size_t submitted = 0;
  bool submitting = true;
  std::set<std::size_t> lost;

  ReplacementScenario(const ClusterSize& size, std::uint64_t seed)
      : Scenario(clusterOptions(size, seed), size.replaceAfter), size(size) {
    advance(8000);  // until the voters are spread over the zones
    waitForVoters(size.voters, 10'000);
    keepSubmitting();
  }
  ~ReplacementScenario() { cluster->onLogEvent = nullptr; }
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
  std::size_t chooseVictim(std::uint64_t draw, const std::set<std::size_t>& preferred) const {
    const auto leader = cluster->leader();
    if (draw % 3 == 0 && leader)
      return *leader;
    for (const auto index : draw % 3 == 1 ? preferred : voters())
      if (!lost.count(index) && (!leader || index != *leader))
        return index;
    return *voters().begin();
  }
  std::int64_t waitUntilReplaced(std::int64_t within) {
    const std::int64_t waitStartedAt = cluster->now;
    CHECK(cluster->runUntilTrue([&] { return replaced(); }, within));
    return cluster->now - waitStartedAt;
  }
  // Reports whether the leader's committed membership has the wanted number of voters and every one
  // of them is running.
  bool replaced() const { return hasVoters(size.voters); }
  bool hasVoters(std::size_t wantedVoters) const {
    if (!cluster->leader())
      return false;
    const RaftNode& leader = cluster->controller(*cluster->leader())->raftNode();
    if (!leader.canServe() || !leader.membershipCommitted())
      return false;
    std::size_t voting = 0, present = 0;
    for (const auto& member : leader.membership()) {
      voting += member.voter;
      present += member.voter && isRunning(member.id);
    }
    return voting == wantedVoters && present == voting;
  }
  bool isRunning(const ControllerId& id) const {
    for (std::size_t index = 0; index < cluster->controllerCount(); ++index)
      if (const auto* controller = cluster->controller(index))
        if (controller->raftNode().self().id == id)
          return true;
    return false;
  }
  void restartLost() {
    for (const auto index : std::exchange(lost, {}))
      cluster->restartController(index);
  }
  void finishAndCheck() {
    submitting = false;
    cluster->submit(parseJob(jobJson("last", 200)));
    waitForFinished("last", 6000);
    restartLost();
    CHECK(cluster->runUntilTrue(
        [&] { return cluster->allJobsEnded() && cluster->allReplicasIntact(); }, 20'000));
    cluster->recordFault("losses", true);
    advance(3000);
    for (std::size_t count = 0; count < submitted; ++count)
      LONGS_EQUAL(1, cluster->countStartsOf("j" + std::to_string(count)));
    for (const auto& violation : cluster->checkHistory().violations)
      FAIL(violation.description.c_str());
  }
};

// Loses as many voters as may be lost at once for good, and 0 to 40 ms after they are replaced
// loses as many again.
void loseAgainRightAfterReplacement(const ClusterSize& size, std::uint64_t seed) {
  ReplacementScenario run(size, seed);
  const std::size_t tolerable = run.cluster->tolerableLosses();
  const auto votersBefore = run.voters();
  run.cluster->recordFault("losses", false);
  for (std::size_t count = 0; count < tolerable; ++count)
    run.lose(run.chooseVictim(seed + count, votersBefore));
  const std::int64_t duration = run.waitUntilReplaced(10'000);
  CHECK(duration <= size.replacedWithin);
  std::set<std::size_t> newVoters;
  for (const auto index : run.voters())
    if (!votersBefore.count(index))
      newVoters.insert(index);
  run.advance(std::int64_t(seed % 41));
  for (std::size_t count = 0; count < tolerable; ++count)
    run.lose(run.chooseVictim(seed / 3 + count, newVoters));
  CHECK(run.waitUntilReplaced(10'000) <= size.replacedWithin);
  run.finishAndCheck();
}

// Kills one more voter 0 to 14 ms after a membership change and restarts it with its disk later.
// Nothing may be lost, even if it has been replaced by then.
void killDuringMembershipChange(const ClusterSize& size, std::uint64_t seed) {
  ReplacementScenario run(size, seed);
  const auto votersBefore = run.voters();
  bool triggered = false;
  std::optional<std::size_t> killed;
  run.cluster->onLogEvent = [&](std::size_t, const LogEvent& event) {
    if (triggered || render(event).name != "members change")
      return;
    triggered = true;
    run.cluster->scheduleAfter(std::int64_t(seed % 15), [&] {
      killed = run.chooseVictim(seed, votersBefore);
      run.cluster->killController(*killed, true);
    });
  };
  run.cluster->recordFault("losses", false);
  run.lose(run.chooseVictim(seed + 1, votersBefore));
  CHECK(run.cluster->runUntilTrue([&] { return killed.has_value(); }, 10'000));
  run.advance(1000);
  run.cluster->restartController(*killed);
  run.waitUntilReplaced(12'000);
  run.finishAndCheck();
}

// Loses the learner together with a voter, so that a blank controller has to catch up before it can
// replace the voter. Returns the time in ms until the replacement.
std::int64_t loseVoterAndLearner(const ClusterSize& size, std::uint64_t seed) {
  ReplacementScenario run(size, seed);
  const auto votersBefore = run.voters();
  std::set<std::size_t> victims = run.learners();
  LONGS_EQUAL(1, victims.size());
  victims.insert(run.chooseVictim(seed, votersBefore));
  run.cluster->recordFault("losses", false);
  for (const auto index : victims)
    run.lose(index);
  const std::int64_t duration = run.waitUntilReplaced(10'000);
  run.finishAndCheck();
  return duration;
}

}  // namespace

TEST_GROUP(VoterReplacementTests){};

TEST(VoterReplacementTests, voterIsReplacedInTimeAlthoughTheLearnerIsLostToo) {
  for (std::uint64_t seed = 1; seed <= seedCount; ++seed) {
    CHECK(loseVoterAndLearner(threeVoters, seed) <= threeVoters.replacedWithin);
    CHECK(loseVoterAndLearner(fiveVoters, seed) <= fiveVoters.replacedWithin);
  }
}

TEST(VoterReplacementTests, secondLossRightAfterReplacementLosesNothingWithThreeVoters) {
  for (std::uint64_t seed = 1; seed <= seedCount; ++seed)
    loseAgainRightAfterReplacement(threeVoters, seed);
}

TEST(VoterReplacementTests, secondLossRightAfterReplacementLosesNothingWithFiveVoters) {
  for (std::uint64_t seed = 1; seed <= seedCount; ++seed)
    loseAgainRightAfterReplacement(fiveVoters, seed);
}

TEST(VoterReplacementTests, killDuringMembershipChangeLosesNothingWithThreeVoters) {
  for (std::uint64_t seed = 1; seed <= seedCount; ++seed)
    killDuringMembershipChange(threeVoters, seed);
}

TEST(VoterReplacementTests, killDuringMembershipChangeLosesNothingWithFiveVoters) {
  for (std::uint64_t seed = 1; seed <= seedCount; ++seed)
    killDuringMembershipChange(fiveVoters, seed);
}

// A replacement order is completed only after the removal is committed. If it were completed
// earlier, the order would be lost when the removal does not get committed.
TEST(VoterReplacementTests, replacementOrderIsCompletedOnlyAfterTheRemoval) {
  ReplacementScenario run(threeVoters, 1);
  const std::size_t target = run.chooseVictim(2, {});
  const ControllerId id = run.cluster->controller(target)->raftNode().self().id;
  run.requestWithoutTranscript("POST", "/v1/controllers/" + id.value + "/replace", "", [](int) {});
  LogIndex removed, completed;
  const auto bothCommitted = [&] {
    const RaftNode& raft = run.cluster->controller(*run.cluster->leader())->raftNode();
    bool wasPresent = false;
    for (LogIndex at = raft.logBaseIndex().next(); at <= raft.commitIndex(); at = at.next()) {
      const LogEntry& entry = raft.entry(at);
      if (entry.isMembership) {
        const Membership members = unpack<Membership>(entry.payload).value();
        const bool present = std::any_of(members.begin(), members.end(),
                                         [&](const Member& member) { return member.id == id; });
        if (wasPresent && !present)
          removed = at;
        wasPresent = present;
        continue;
      }
      const LogRecord record = unpack<LogRecord>(entry.payload).value();
      const auto* request = boost::get<ControllerReplacementRequested>(&record.event);
      if (request && request->controller == id && request->completed)
        completed = at;
    }
    return removed.value > 0 && completed.value > 0;
  };
  CHECK(run.cluster->runUntilTrue(bothCommitted, 15'000));
  CHECK(completed > removed);
  run.finishAndCheck();
}

// The configured number of voters differs between controllers while they are restarted one by one,
// and the leader changes meanwhile. The number of voters follows the leader's setting, and nothing
// is lost.
TEST(VoterReplacementTests, voterCountGoesFromThreeToFiveAndBackWhileSettingsDiffer) {
  const ClusterSize size{3, 7, 2500, 4000};
  for (std::uint64_t seed = 1; seed <= 10; ++seed) {
    ReplacementScenario run(size, seed);
    run.cluster->recordFault("losses", false);
    for (const std::size_t wantedVoters : {5, 3}) {
      for (std::size_t index = 0; index < size.controllers; ++index) {
        run.cluster->killController(index, true);
        run.cluster->setVoters(index, wantedVoters);
        run.advance(300);
        run.cluster->restartController(index);
        run.advance(1500);
        const RaftNode& raft = run.cluster->controller(index)->raftNode();
        const auto voting = std::count_if(raft.membership().begin(), raft.membership().end(),
                                          [](const Member& member) { return member.voter; });
        CHECK(raft.isBlank() || (voting >= 3 && voting <= 6));
      }
      CHECK(run.cluster->runUntilTrue([&] { return run.hasVoters(wantedVoters); }, 15'000));
      run.advance(5000);
      CHECK(run.hasVoters(wantedVoters));
    }
    run.finishAndCheck();
  }
}

// The disk of the learner stalls while voters are lost. If the learner were promoted, every
// majority would need it, and nothing would be acknowledged until its disk writes again.
TEST(VoterReplacementTests, learnerWithStalledDiskBlocksNothing) {
  for (const ClusterSize& size : {threeVoters, fiveVoters})
    for (std::uint64_t seed = 1; seed <= 10; ++seed) {
      ReplacementScenario run(size, seed);
      const auto learners = run.learners();
      LONGS_EQUAL(1, learners.size());
      run.cluster->recordFault("losses", false);
      for (std::size_t count = 0; count < run.cluster->tolerableLosses(); ++count)
        run.lose(run.chooseVictim(2, {}));
      run.advance(500);
      run.cluster->stallDisk(*learners.begin(), 9000);
      for (int count = 0; count < 12; ++count) {
        const std::string id = "p" + std::to_string(count);
        run.cluster->submit(parseJob(jobJson(id, 100)));
        run.waitForFinished(id, 1500);
      }
      CHECK(run.cluster->runUntilTrue([&] { return run.replaced(); }, 10'000));
      run.finishAndCheck();
    }
}
