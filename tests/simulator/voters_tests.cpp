// Tests clusters of seven controllers with five voters, any two of which may be lost at once.
// docs/design.md 3.5.
#include "support/scenario.hpp"

using namespace aniseline;

namespace {

SimulatedClusterOptions five() {
  SimulatedClusterOptions options;
  options.controllers = 7;
  options.controller.voterCount = 5;
  return options;
}

struct Centre : Scenario {
  std::vector<std::string> changes;  // membership changes, as logged by the leaders
  explicit Centre(std::int64_t replaceAfter = 5000) : Scenario(five(), replaceAfter) {
    advance(8000);  // until the voters are spread over the zones
    cluster->onLogEvent = [this](std::size_t, const LogEvent& note) {
      const RenderedLogEvent rendered = render(note);
      if (rendered.name == "members change")
        changes.push_back(rendered.fields.at("change").to_str() + " " +
                          rendered.fields.at("member").to_str());
    };
  }
  const RaftNode& raftNode() const { return cluster->controller(*cluster->leader())->raftNode(); }
  std::string identity(std::size_t index) const {
    return cluster->controller(index)->raftNode().self().id.value;
  }
  std::size_t membersThat(bool vote) const {
    if (!cluster->leader())
      return 0;
    return std::size_t(std::count_if(raftNode().membership().begin(), raftNode().membership().end(),
                                     [&](const Member& member) { return member.voter == vote; }));
  }
  std::size_t blanks() const {
    std::size_t count = 0;
    for (std::size_t index = 0; index < cluster->controllerCount(); ++index)
      count += cluster->controller(index) && cluster->controller(index)->raftNode().isBlank();
    return count;
  }
  std::size_t mostInAnZone() const {
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
  void serves(const std::string& id, std::int64_t within) {
    cluster->submit(parseJob(jobJson(id, 300)));
    waitForFinished(id, within);
  }
  // Reports whether there are five running voters and one learner. The seventh controller is not a
  // member; it is blank or keeps the state that it replicated earlier.
  bool whole() const {
    return cluster->allReplicasIntact() && cluster->voterCount() == 5 && membersThat(true) == 5 &&
           membersThat(false) == 1;
  }
  void untilWhole(std::int64_t within) {
    CHECK(cluster->runUntilTrue([&] { return whole(); }, within));
  }
  void nothingBroken() {
    for (const auto& promise : cluster->checkHistory().violations)
      FAIL(promise.description.c_str());
  }
};

}  // namespace

TEST_GROUP(Voters){};

TEST(Voters, fiveVoteOneStandsReadyTheOthersStayBlank) {
  Centre centre;
  CHECK(centre.whole());
  LONGS_EQUAL(1, centre.blanks());
  centre.advance(20'000);
  CHECK(centre.whole());
  LONGS_EQUAL(1, centre.blanks());
  LONGS_EQUAL(0, centre.changes.size());
  CHECK(centre.mostInAnZone() <= 2);
}

TEST(Voters, twoKilledAtOnceAreReplacedAndStandByWhenBack) {
  Centre centre;
  const auto voters = centre.voters();
  const std::vector<std::size_t> lost{voters[0], voters[1]};
  const std::vector<std::string> before{centre.identity(lost[0]), centre.identity(lost[1])};
  centre.cluster->recordFault("two lost", false);
  for (const auto index : lost)
    centre.cluster->killController(index, true);
  const std::int64_t begun = centre.cluster->now;
  centre.serves("a", 4000);
  // The new leader considers them dead 5 s after its election. Then the two other controllers are
  // promoted one by one.
  CHECK(centre.cluster->runUntilTrue(
      [&] { return centre.cluster->voterCount() == 5 && centre.membersThat(true) == 5; },
      begun + 10'000 - centre.cluster->now));
  centre.serves("b", 4000);
  for (const auto index : lost)
    centre.cluster->restartController(index);
  centre.untilWhole(8000);
  for (const auto index : {0, 1}) {
    CHECK(centre.identity(lost[std::size_t(index)]) != before[std::size_t(index)]);
    CHECK(!centre.cluster->isVoter(lost[std::size_t(index)]));
  }
  centre.cluster->recordFault("two lost", true);
  centre.advance(10'000);
  CHECK(centre.whole());
  centre.nothingBroken();
}

TEST(Voters, aJobAcknowledgedBeforeTwoDisksAreLostRunsOnce) {
  for (const std::int64_t delay : {0, 1, 3}) {
    Centre centre;
    bool struck = false;
    std::vector<std::size_t> lost;
    centre.cluster->onResponse = [&](std::size_t, const ApiRequest& request,
                                     const ApiResponse& answer) {
      if (struck || request.kind != RequestKind::submitJob || answer.status >= 300)
        return;
      struck = true;
      centre.cluster->recordFault("two disks lost", false);
      centre.cluster->scheduleAfter(delay, [&] {
        const auto voters = centre.voters();
        lost = {voters[0], voters[1]};
        for (const auto index : lost)
          centre.cluster->loseDisk(index);
      });
    };
    centre.cluster->submit(parseJob(jobJson("a", 300)));
    CHECK(centre.cluster->runUntilTrue([&] { return !lost.empty(); }, 2000));
    centre.advance(1500);
    for (const auto index : lost)
      centre.cluster->restartController(index);
    centre.waitForFinished("a");
    centre.untilWhole(12'000);
    centre.cluster->recordFault("two disks lost", true);
    centre.advance(3000);
    LONGS_EQUAL(1, centre.cluster->countStartsOf("a"));
    centre.nothingBroken();
  }
}

// Tries return times from before to after the time at which the voter is replaced.
TEST(Voters, oneThatComesBackInTimeStaysAndSixNeverStay) {
  for (std::int64_t away = 4600; away <= 5600; away += 50) {
    Centre centre;
    const auto victim = centre.voters()[2];
    const std::string before = centre.identity(victim);
    centre.cluster->killController(victim, true);
    centre.advance(away);
    centre.cluster->restartController(victim);
    centre.advance(200);  // until the leader has heard from it
    const bool replaced = !centre.changes.empty();
    if (away <= 4700)
      CHECK(!replaced);
    if (away >= 5300)
      CHECK(replaced);
    std::int64_t sixSince = 0;
    for (const std::int64_t until = centre.cluster->now + 10'000; centre.cluster->now < until;
         centre.advance(10)) {
      if (centre.membersThat(true) <= 5)
        sixSince = centre.cluster->now;
      CHECK(centre.cluster->now - sixSince < 1500);
    }
    CHECK(centre.whole());
    if (!replaced) {
      STRCMP_EQUAL(before.c_str(), centre.identity(victim).c_str());
      CHECK(centre.cluster->isVoter(victim));
      LONGS_EQUAL(0, centre.changes.size());
    }
  }
}

TEST(Voters, threeAwayForLessThanTheWaitLoseNothingAndStay) {
  Centre centre(30'000);
  const auto voters = centre.voters();
  std::vector<std::string> before;
  for (const auto index : voters)
    before.push_back(centre.identity(index));
  centre.cluster->submit(parseJob(jobJson("a", 8000, "plates")));
  CHECK(
      centre.cluster->runUntilTrue([&] { return centre.cluster->countStartsOf("a") == 1; }, 3000));
  centre.cluster->recordFault("three away", false);
  centre.cluster->isolateController(voters[0], true);
  centre.cluster->isolateController(voters[1], true);
  centre.cluster->freezeController(voters[2], true);
  centre.advance(2000);
  CHECK(!centre.cluster->leader());
  centre.cluster->submit(parseJob(jobJson("b", 300)));
  centre.advance(18'000);
  CHECK(!centre.cluster->leader());
  centre.cluster->isolateController(voters[0], false);
  centre.cluster->isolateController(voters[1], false);
  centre.cluster->freezeController(voters[2], false);
  centre.cluster->recordFault("three away", true);
  centre.waitForFinished("a", 20'000);
  centre.waitForFinished("b");
  centre.advance(10'000);
  CHECK(centre.whole());
  LONGS_EQUAL(0, centre.changes.size());
  for (std::size_t index = 0; index < voters.size(); ++index) {
    CHECK(centre.cluster->isVoter(voters[index]));
    STRCMP_EQUAL(before[index].c_str(), centre.identity(voters[index]).c_str());
  }
  centre.nothingBroken();
}

TEST(Voters, allPowerLostAndTwoDisksWiped) {
  for (const bool leaderToo : {false, true}) {
    Centre centre;
    const auto voters = centre.voters();
    for (int count = 0; count < 20; ++count)
      centre.cluster->submit(parseJob(jobJson("j" + std::to_string(count), 1500)));
    CHECK(centre.cluster->runUntilTrue([&] { return centre.cluster->countStartsOf("j19") == 1; },
                                       5000));
    centre.cluster->recordFault("all power lost", false);
    for (std::size_t index = 0; index < centre.cluster->controllerCount(); ++index)
      centre.cluster->killController(index, true);
    centre.cluster->loseDisk(voters[leaderToo ? 0 : 1]);
    centre.cluster->loseDisk(voters[2]);
    centre.advance(1000);
    for (std::size_t index = 0; index < centre.cluster->controllerCount(); ++index)
      centre.cluster->restartController(index);
    for (int count = 0; count < 20; ++count)
      centre.waitForFinished("j" + std::to_string(count), 15'000);
    centre.untilWhole(15'000);
    centre.cluster->recordFault("all power lost", true);
    centre.advance(3000);
    centre.nothingBroken();
  }
}

// The voters lost with a zone are replaced by controllers of the other zones. When the zone is
// back, no zone keeps so many voters that its loss would stop the cluster.
TEST(Voters, votersSpreadAgainWhenAnZoneIsBack) {
  for (std::size_t zone = 0; zone < 3; ++zone) {
    Centre centre;
    for (std::size_t index = zone; index < centre.cluster->controllerCount(); index += 3)
      centre.cluster->killController(index, true);
    CHECK(centre.cluster->runUntilTrue(
        [&] { return centre.membersThat(true) == 5 && !centre.changes.empty(); }, 12'000));
    centre.advance(8000);
    for (std::size_t index = zone; index < centre.cluster->controllerCount(); index += 3)
      centre.cluster->restartController(index);
    centre.advance(15'000);
    CHECK(centre.whole());
    CHECK(centre.mostInAnZone() <= 2);
    const auto changes = centre.changes.size();
    centre.advance(20'000);
    LONGS_EQUAL(changes, centre.changes.size());
  }
}

// An operator requests the replacement of a running voter. That voter is removed, and not the
// controller that replaces it.
TEST(Voters, aLivingVoterThatIsNamedIsReplacedOnce) {
  Centre centre;
  const auto victim = centre.voters()[2];
  const std::string named = centre.identity(victim);
  int status = 0;
  centre.requestWithoutTranscript("POST", "/v1/controllers/" + named + "/replace", "",
                                  [&](int given) { status = given; });
  centre.advance(15'000);
  LONGS_EQUAL(202, status);
  LONGS_EQUAL(1, std::count(centre.changes.begin(), centre.changes.end(), "removed " + named));
  LONGS_EQUAL(2, centre.changes.size());
  CHECK(centre.whole());
  CHECK(centre.identity(victim) != named);
}
