// Tests of the retry and redirect rules for calls from a gateway to the leader.
#include "gateway/leader_call.hpp"

#include <CppUTest/TestHarness.h>
using namespace aniseline;

TEST_GROUP(LeaderCallTests) {
  std::vector<Address> seeds{Address{"s:1"}, Address{"s:2"}};
  LeaderRoute route;
  LeaderCall makeCall(RequestKind kind) {
    ApiRequest request;
    request.kind = kind;
    return LeaderCall(
        request, [this] { return route; }, seeds, MonotonicTime{0});
  }
};

// A submission that may have been applied is neither sent again nor reported as rejected.
TEST(LeaderCallTests, lostSubmissionHasUnknownOutcome) {
  route.leader = Address{"r:1"};
  auto submit = makeCall(RequestKind::submitJob);
  STRCMP_EQUAL("r:1", submit.begin(MonotonicTime{0}).target.value.c_str());
  auto step = submit.onFailure(LeaderCall::Failure::connectionLost, MonotonicTime{5});
  CHECK(step.kind == LeaderCall::Step::Kind::complete);
  LONGS_EQUAL(503, step.response.status);
  auto read = makeCall(RequestKind::showJob);
  read.begin(MonotonicTime{0});
  CHECK(read.onFailure(LeaderCall::Failure::connectionLost, MonotonicTime{5}).kind ==
        LeaderCall::Step::Kind::backOff);
  // A target that did not serve is skipped. If the route names a leader in the meantime, that
  // leader is contacted next.
  route.controllers = {Address{"r:1"}, Address{"r:2"}};
  STRCMP_EQUAL("r:2", read.onBackoffElapsed(MonotonicTime{30}).target.value.c_str());
  route.leader = Address{"r:3"};
  read.onFailure(LeaderCall::Failure::timedOut, MonotonicTime{40});
  STRCMP_EQUAL("r:3", read.onBackoffElapsed(MonotonicTime{50}).target.value.c_str());
}

TEST(LeaderCallTests, followsLeaderHintsUntilTheDeadline) {
  auto submit = makeCall(RequestKind::submitJob);
  STRCMP_EQUAL("s:1", submit.begin(MonotonicTime{0}).target.value.c_str());
  ApiResponse notLeader;
  notLeader.notLeader = true;
  notLeader.leader = Address{"r:2"};
  STRCMP_EQUAL("r:2", submit.onResponse(notLeader, MonotonicTime{1}).target.value.c_str());
  CHECK(submit.onFailure(LeaderCall::Failure::unreachable, MonotonicTime{2}).kind ==
        LeaderCall::Step::Kind::backOff);
  CHECK(submit.onFailure(LeaderCall::Failure::unreachable, MonotonicTime{2000}).kind ==
        LeaderCall::Step::Kind::complete);
}

// The outcome of a config change is unknown after a lost connection or a timeout. The change is
// sent to another controller only if it was not sent at all or the receiver was not the leader.
TEST(LeaderCallTests, configChangeIsResentOnlyIfNotApplied) {
  route.leader = Address{"r:1"};
  for (const auto loss : {LeaderCall::Failure::connectionLost, LeaderCall::Failure::timedOut}) {
    auto config = makeCall(RequestKind::applyConfig);
    config.begin(MonotonicTime{0});
    const auto step = config.onFailure(loss, MonotonicTime{5});
    CHECK(step.kind == LeaderCall::Step::Kind::complete);
    LONGS_EQUAL(503, step.response.status);
    STRCMP_EQUAL("unknown", step.response.errorKind.c_str());
  }
  auto config = makeCall(RequestKind::applyConfig);
  config.begin(MonotonicTime{0});
  CHECK(config.onFailure(LeaderCall::Failure::unreachable, MonotonicTime{5}).kind ==
        LeaderCall::Step::Kind::backOff);
  route.leader = Address{"r:2"};
  STRCMP_EQUAL("r:2", config.onBackoffElapsed(MonotonicTime{25}).target.value.c_str());
  ApiResponse notLeader;
  notLeader.notLeader = true;
  notLeader.leader = Address{"r:3"};
  STRCMP_EQUAL("r:3", config.onResponse(notLeader, MonotonicTime{30}).target.value.c_str());
}
