// Tests clusters of seven controllers with five voters, any two of which may be lost at once.
// docs/design.md 3.5.
#include "support/scenario.hpp"

using namespace aniseline;

namespace {

SimulatedClusterOptions fiveVoterOptions() {
  SimulatedClusterOptions options;
  options.controllers = 7;
  options.controller.voterCount = 5;
  return options;
}

struct FiveVoterScenario : Scenario {
  std::vector<std::string> changes;  // membership changes, as logged by the leaders
  explicit FiveVoterScenario(std::int64_t replaceAfter = 5000)
      : Scenario(fiveVoterOptions(), replaceAfter) {
    advance(8000);  // until the voters are spread over the zones
    cluster->onLogEvent = [this](std::size_t, const LogEvent& event) {
      const RenderedLogEvent rendered = render(event);
      if (rendered.name == "members change")
        changes.push_back(rendered.fields.at("change").to_str() + " " +
                          rendered.fields.at("member").to_str());
    };
  }
  const RaftNode& raftNode() const { return cluster->controller(*cluster->leader())->raftNode(); }
  std::string identity(std::size_t index) const {
    return cluster->controller(index)->raftNode().self().id.value;
  }
  std::size_t memberCount(bool voting) const {
    if (!cluster->leader())
      return 0;
    return std::size_t(std::count_if(raftNode().membership().begin(), raftNode().membership().end(),
                                     [&](const Member& member) { return member.voter == voting; }));
  }
  std::size_t blankControllerCount() const {
    std::size_t count = 0;
    for (std::size_t index = 0; index < cluster->controllerCount(); ++index)
      count += cluster->controller(index) && cluster->controller(index)->raftNode().isBlank();
    return count;
  }
  std::size_t maxVotersPerZone() const {
    std::map<ZoneName, std::size_t> zones;
    for (const auto& member : raftNode().membership())
      zones[member.zone] += member.voter;
    return std::max_element(
               zones.begin(), zones.end(),
               [](const auto& left, const auto& right) { return left.second < right.second; })
        ->second;
  }
  // Returns the voters, the leader first.
  std::vector<std::size_t> voters() const {
    std::vector<std::size_t> found{*cluster->leader()};
    for (std::size_t index = 0; index < cluster->controllerCount(); ++index)
      if (index != found[0] && cluster->isVoter(index))
        found.push_back(index);
    return found;
  }
  void checkJobFinishes(const std::string& id, std::int64_t within) {
    cluster->submit(parseJob(jobJson(id, 300)));
    waitForFinished(id, within);
  }
  // Reports whether there are five running voters and one learner. The seventh controller is not a
  // member; it is blank or keeps the state that it replicated earlier.
  bool isComplete() const {
    return cluster->allReplicasIntact() && cluster->voterCount() == 5 && memberCount(true) == 5 &&
           memberCount(false) == 1;
  }
  void waitUntilComplete(std::int64_t within) {
    CHECK(cluster->runUntilTrue([&] { return isComplete(); }, within));
  }
  void checkNoViolations() {
    for (const auto& violation : cluster->checkHistory().violations)
      FAIL(violation.description.c_str());
  }
};

}  // namespace

TEST_GROUP(VoterTests){};

TEST(VoterTests, fiveControllersVoteOneIsLearnerAndTheOthersStayBlank) {
  FiveVoterScenario scenario;
  CHECK(scenario.isComplete());
  LONGS_EQUAL(1, scenario.blankControllerCount());
  scenario.advance(20'000);
  CHECK(scenario.isComplete());
  LONGS_EQUAL(1, scenario.blankControllerCount());
  LONGS_EQUAL(0, scenario.changes.size());
  CHECK(scenario.maxVotersPerZone() <= 2);
}

TEST(VoterTests, twoVotersKilledAtOnceAreReplacedAndRejoinAsNonVoters) {
  FiveVoterScenario scenario;
  const auto voters = scenario.voters();
  const std::vector<std::size_t> lost{voters[0], voters[1]};
  const std::vector<std::string> before{scenario.identity(lost[0]), scenario.identity(lost[1])};
  scenario.cluster->recordFault("two lost", false);
  for (const auto index : lost)
    scenario.cluster->killController(index, true);
  const std::int64_t startedAt = scenario.cluster->now;
  scenario.checkJobFinishes("a", 4000);
  // The new leader considers them dead 5 s after its election. Then the two other controllers are
  // promoted one by one.
  CHECK(scenario.cluster->runUntilTrue(
      [&] { return scenario.cluster->voterCount() == 5 && scenario.memberCount(true) == 5; },
      startedAt + 10'000 - scenario.cluster->now));
  scenario.checkJobFinishes("b", 4000);
  for (const auto index : lost)
    scenario.cluster->restartController(index);
  scenario.waitUntilComplete(8000);
  for (const auto index : {0, 1}) {
    CHECK(scenario.identity(lost[std::size_t(index)]) != before[std::size_t(index)]);
    CHECK(!scenario.cluster->isVoter(lost[std::size_t(index)]));
  }
  scenario.cluster->recordFault("two lost", true);
  scenario.advance(10'000);
  CHECK(scenario.isComplete());
  scenario.checkNoViolations();
}

TEST(VoterTests, jobAcknowledgedBeforeTwoDisksAreLostRunsOnce) {
  for (const std::int64_t delay : {0, 1, 3}) {
    FiveVoterScenario scenario;
    bool triggered = false;
    std::vector<std::size_t> lost;
    scenario.cluster->onResponse = [&](std::size_t, const ApiRequest& request,
                                       const ApiResponse& answer) {
      if (triggered || request.kind != RequestKind::submitJob || answer.status >= 300)
        return;
      triggered = true;
      scenario.cluster->recordFault("two disks lost", false);
      scenario.cluster->scheduleAfter(delay, [&] {
        const auto voters = scenario.voters();
        lost = {voters[0], voters[1]};
        for (const auto index : lost)
          scenario.cluster->loseDisk(index);
      });
    };
    scenario.cluster->submit(parseJob(jobJson("a", 300)));
    CHECK(scenario.cluster->runUntilTrue([&] { return !lost.empty(); }, 2000));
    scenario.advance(1500);
    for (const auto index : lost)
      scenario.cluster->restartController(index);
    scenario.waitForFinished("a");
    scenario.waitUntilComplete(12'000);
    scenario.cluster->recordFault("two disks lost", true);
    scenario.advance(3000);
    LONGS_EQUAL(1, scenario.cluster->countStartsOf("a"));
    scenario.checkNoViolations();
  }
}

// Tries return times from before to after the time at which the voter is replaced.
TEST(VoterTests, voterThatReturnsInTimeStaysAndSixVotersNeverRemain) {
  for (std::int64_t downtime = 4600; downtime <= 5600; downtime += 50) {
    FiveVoterScenario scenario;
    const auto victim = scenario.voters()[2];
    const std::string before = scenario.identity(victim);
    scenario.cluster->killController(victim, true);
    scenario.advance(downtime);
    scenario.cluster->restartController(victim);
    scenario.advance(200);  // until the leader has heard from it
    const bool replaced = !scenario.changes.empty();
    if (downtime <= 4700)
      CHECK(!replaced);
    if (downtime >= 5300)
      CHECK(replaced);
    std::int64_t lastFiveVotersAt = 0;
    for (const std::int64_t until = scenario.cluster->now + 10'000; scenario.cluster->now < until;
         scenario.advance(10)) {
      if (scenario.memberCount(true) <= 5)
        lastFiveVotersAt = scenario.cluster->now;
      CHECK(scenario.cluster->now - lastFiveVotersAt < 1500);
    }
    CHECK(scenario.isComplete());
    if (!replaced) {
      STRCMP_EQUAL(before.c_str(), scenario.identity(victim).c_str());
      CHECK(scenario.cluster->isVoter(victim));
      LONGS_EQUAL(0, scenario.changes.size());
    }
  }
}

TEST(VoterTests, threeVotersAwayForLessThanTheWaitRemainVoters) {
  FiveVoterScenario scenario(30'000);
  const auto voters = scenario.voters();
  std::vector<std::string> before;
  for (const auto index : voters)
    before.push_back(scenario.identity(index));
  scenario.cluster->submit(parseJob(jobJson("a", 8000, "plates")));
  CHECK(scenario.cluster->runUntilTrue([&] { return scenario.cluster->countStartsOf("a") == 1; },
                                       3000));
  scenario.cluster->recordFault("three away", false);
  scenario.cluster->isolateController(voters[0], true);
  scenario.cluster->isolateController(voters[1], true);
  scenario.cluster->freezeController(voters[2], true);
  scenario.advance(2000);
  CHECK(!scenario.cluster->leader());
  scenario.cluster->submit(parseJob(jobJson("b", 300)));
  scenario.advance(18'000);
  CHECK(!scenario.cluster->leader());
  scenario.cluster->isolateController(voters[0], false);
  scenario.cluster->isolateController(voters[1], false);
  scenario.cluster->freezeController(voters[2], false);
  scenario.cluster->recordFault("three away", true);
  scenario.waitForFinished("a", 20'000);
  scenario.waitForFinished("b");
  scenario.advance(10'000);
  CHECK(scenario.isComplete());
  LONGS_EQUAL(0, scenario.changes.size());
  for (std::size_t index = 0; index < voters.size(); ++index) {
    CHECK(scenario.cluster->isVoter(voters[index]));
    STRCMP_EQUAL(before[index].c_str(), scenario.identity(voters[index]).c_str());
  }
  scenario.checkNoViolations();
}

TEST(VoterTests, powerLossOfAllWithTwoDisksLostLosesNothing) {
  for (const bool losesLeaderDisk : {false, true}) {
    FiveVoterScenario scenario;
    const auto voters = scenario.voters();
    for (int count = 0; count < 20; ++count)
      scenario.cluster->submit(parseJob(jobJson("j" + std::to_string(count), 1500)));
    CHECK(scenario.cluster->runUntilTrue(
        [&] { return scenario.cluster->countStartsOf("j19") == 1; }, 5000));
    scenario.cluster->recordFault("all power lost", false);
    for (std::size_t index = 0; index < scenario.cluster->controllerCount(); ++index)
      scenario.cluster->killController(index, true);
    scenario.cluster->loseDisk(voters[losesLeaderDisk ? 0 : 1]);
    scenario.cluster->loseDisk(voters[2]);
    scenario.advance(1000);
    for (std::size_t index = 0; index < scenario.cluster->controllerCount(); ++index)
      scenario.cluster->restartController(index);
    for (int count = 0; count < 20; ++count)
      scenario.waitForFinished("j" + std::to_string(count), 15'000);
    scenario.waitUntilComplete(15'000);
    scenario.cluster->recordFault("all power lost", true);
    scenario.advance(3000);
    scenario.checkNoViolations();
  }
}

// The voters lost with a zone are replaced by controllers of the other zones. When the zone is
// back, no zone keeps so many voters that its loss would stop the cluster.
TEST(VoterTests, votersSpreadAgainWhenAZoneIsBack) {
  for (std::size_t zone = 0; zone < 3; ++zone) {
    FiveVoterScenario scenario;
    for (std::size_t index = zone; index < scenario.cluster->controllerCount(); index += 3)
      scenario.cluster->killController(index, true);
    CHECK(scenario.cluster->runUntilTrue(
        [&] { return scenario.memberCount(true) == 5 && !scenario.changes.empty(); }, 12'000));
    scenario.advance(8000);
    for (std::size_t index = zone; index < scenario.cluster->controllerCount(); index += 3)
      scenario.cluster->restartController(index);
    scenario.advance(15'000);
    CHECK(scenario.isComplete());
    CHECK(scenario.maxVotersPerZone() <= 2);
    const auto changes = scenario.changes.size();
    scenario.advance(20'000);
    LONGS_EQUAL(changes, scenario.changes.size());
  }
}

// An operator requests the replacement of a running voter. That voter is removed, and not the
// controller that replaces it.
TEST(VoterTests, runningVoterNamedByOperatorIsReplacedOnce) {
  FiveVoterScenario scenario;
  const auto victim = scenario.voters()[2];
  const std::string target = scenario.identity(victim);
  int status = 0;
  scenario.requestWithoutTranscript("POST", "/v1/controllers/" + target + "/replace", "",
                                    [&](int answer) { status = answer; });
  scenario.advance(15'000);
  LONGS_EQUAL(202, status);
  LONGS_EQUAL(1, std::count(scenario.changes.begin(), scenario.changes.end(), "removed " + target));
  LONGS_EQUAL(2, scenario.changes.size());
  CHECK(scenario.isComplete());
  CHECK(scenario.identity(victim) != target);
}
