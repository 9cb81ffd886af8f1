#include "gateway/leader_call.hpp"

#include <CppUTest/TestHarness.h>
using namespace aniseline;

TEST_GROUP(LeaderCallTests) {
  std::vector<Address> seeds{Address{"s:1"}, Address{"s:2"}};
  RouteView view;
  LeaderCall course(RequestKind kind) {
    ApiRequest request;
    request.kind = kind;
    return LeaderCall(
        request, [this] { return view; }, seeds, MonotonicTime{0});
  }
};

// What may have been taken is neither sent again nor called rejected.
TEST(LeaderCallTests, aSubmissionLostOnTheWayIsUnknown) {
  view.leader = Address{"r:1"};
  auto submit = course(RequestKind::submitJob);
  STRCMP_EQUAL("r:1", submit.begin(MonotonicTime{0}).target.value.c_str());
  auto step = submit.failed(LeaderCall::Loss::lost, MonotonicTime{5});
  CHECK(step.kind == LeaderCall::Step::Kind::answer);
  LONGS_EQUAL(503, step.answer.status);
  auto read = course(RequestKind::showJob);
  read.begin(MonotonicTime{0});
  CHECK(read.failed(LeaderCall::Loss::lost, MonotonicTime{5}).kind == LeaderCall::Step::Kind::wait);
  // One that did not serve is passed over; a leader that the route names meanwhile is asked at
  // once.
  view.controllers = {Address{"r:1"}, Address{"r:2"}};
  STRCMP_EQUAL("r:2", read.waited(MonotonicTime{30}).target.value.c_str());
  view.leader = Address{"r:3"};
  read.failed(LeaderCall::Loss::late, MonotonicTime{40});
  STRCMP_EQUAL("r:3", read.waited(MonotonicTime{50}).target.value.c_str());
}

TEST(LeaderCallTests, followsTheHintAndGivesUpInTime) {
  auto submit = course(RequestKind::submitJob);
  STRCMP_EQUAL("s:1", submit.begin(MonotonicTime{0}).target.value.c_str());
  ApiResponse notLeader;
  notLeader.notLeader = true;
  notLeader.leader = Address{"r:2"};
  STRCMP_EQUAL("r:2", submit.answered(notLeader, MonotonicTime{1}).target.value.c_str());
  CHECK(submit.failed(LeaderCall::Loss::unreachable, MonotonicTime{2}).kind ==
        LeaderCall::Step::Kind::wait);
  CHECK(submit.failed(LeaderCall::Loss::unreachable, MonotonicTime{2000}).kind ==
        LeaderCall::Step::Kind::answer);
}

// Nor is an operator's config: lost or late it is unknown; only where nothing was sent, or nothing
// was done, does it go on to another.
TEST(LeaderCallTests, aConfigIsSentOnceUnlessSurelyNotTaken) {
  view.leader = Address{"r:1"};
  for (const auto loss : {LeaderCall::Loss::lost, LeaderCall::Loss::late}) {
    auto config = course(RequestKind::applyConfig);
    config.begin(MonotonicTime{0});
    const auto step = config.failed(loss, MonotonicTime{5});
    CHECK(step.kind == LeaderCall::Step::Kind::answer);
    LONGS_EQUAL(503, step.answer.status);
    STRCMP_EQUAL("unknown", step.answer.kind.c_str());
  }
  auto config = course(RequestKind::applyConfig);
  config.begin(MonotonicTime{0});
  CHECK(config.failed(LeaderCall::Loss::unreachable, MonotonicTime{5}).kind ==
        LeaderCall::Step::Kind::wait);
  view.leader = Address{"r:2"};
  STRCMP_EQUAL("r:2", config.waited(MonotonicTime{25}).target.value.c_str());
  ApiResponse notLeader;
  notLeader.notLeader = true;
  notLeader.leader = Address{"r:3"};
  STRCMP_EQUAL("r:3", config.answered(notLeader, MonotonicTime{30}).target.value.c_str());
}
