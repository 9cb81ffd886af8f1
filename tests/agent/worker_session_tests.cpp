#include "agent/worker_session.hpp"

#include <CppUTest/TestHarness.h>
using namespace aniseline;

namespace {
Order orderOf(std::uint64_t number, OrderKind kind, std::uint64_t attempt,
              std::int64_t quantum = 0) {
  Order order;
  order.number = OrderNumber{number};
  order.kind = kind;
  order.attempt = AttemptNumber{attempt};
  order.quantum = Duration{quantum};
  return order;
}
SyncResponse answerOf(std::uint64_t term, std::vector<Order> orders,
                      std::vector<AttemptNumber> confirmed = {}) {
  SyncResponse answer;
  answer.term = Term{term};
  answer.orders = std::move(orders);
  answer.confirmedAttempts = std::move(confirmed);
  return answer;
}
std::string effectsOf(WorkerSession& hand) {
  static const char* const names[] = {"start", "hold", "resume", "stop"};
  std::string text;
  for (const auto& effect : hand.takeCommands())
    text += std::string(text.empty() ? "" : ", ") + names[int(effect.kind)] + " " +
            std::to_string(effect.attempt.value);
  return text;
}
std::string endingsOf(WorkerSession& hand, std::int64_t now) {
  std::string text;
  for (const auto& ending : hand.makeSyncReport(MonotonicTime{now}).results)
    text += std::string(text.empty() ? "" : ", ") + name(ending.outcome) + " " +
            std::to_string(ending.attempt.value);
  return text;
}
}  // namespace

TEST_GROUP(WorkerHandTests) {
  const Incarnation first{1};
  WorkerSession hand{[] {
                       WorkerSession::Options options;
                       options.id = WorkerId{"m"};
                       options.capacity.honoursLeases = true;
                       return options;
                     }(),
                     first};
};

// docs/design.md 5.3: neither a superseded leader nor an answer past its lease moves a worker.
TEST(WorkerHandTests, staleAnswersAreNotFollowed) {
  CHECK(hand.onSyncResponse(first, answerOf(5, {orderOf(1, OrderKind::start, 1)}), MonotonicTime{0},
                            MonotonicTime{10}));
  STRCMP_EQUAL("start 1", effectsOf(hand).c_str());
  CHECK(!hand.onSyncResponse(first, answerOf(4, {orderOf(2, OrderKind::start, 2)}),
                             MonotonicTime{20}, MonotonicTime{30}));
  CHECK(!hand.onSyncResponse(first, answerOf(6, {orderOf(2, OrderKind::start, 3)}),
                             MonotonicTime{40}, MonotonicTime{3040}));
  CHECK(hand.takeCommands().empty() || effectsOf(hand).find("start") == std::string::npos);
  LONGS_EQUAL(1, hand.makeSyncReport(MonotonicTime{3050}).lastAppliedOrder.value);
}

// docs/design.md 5.4: the lease counts from the send; when it lapses all holds in place, and goes
// on only when told nothing else.
TEST(WorkerHandTests, aLapsedLeaseHoldsAndATermAnewResumesOrStops) {
  hand.onSyncResponse(
      first, answerOf(1, {orderOf(1, OrderKind::start, 1), orderOf(2, OrderKind::start, 2)}),
      MonotonicTime{0}, MonotonicTime{500});
  effectsOf(hand);
  hand.tick(MonotonicTime{2999});
  STRCMP_EQUAL("", effectsOf(hand).c_str());
  hand.tick(MonotonicTime{3000});
  STRCMP_EQUAL("hold 1, hold 2", effectsOf(hand).c_str());
  hand.onSyncResponse(first, answerOf(1, {orderOf(3, OrderKind::stop, 1)}), MonotonicTime{9000},
                      MonotonicTime{9010});
  STRCMP_EQUAL("stop 1, resume 2", effectsOf(hand).c_str());
}

// Orders apply once each and in order, however often they come; endings are told until confirmed.
TEST(WorkerHandTests, ordersApplyOnceAndEndingsAreToldUntilConfirmed) {
  for (int again = 0; again < 2; ++again)
    hand.onSyncResponse(first, answerOf(1, {orderOf(1, OrderKind::start, 1)}), MonotonicTime{0},
                        MonotonicTime{1});
  STRCMP_EQUAL("start 1", effectsOf(hand).c_str());
  hand.onSyncResponse(first, answerOf(1, {orderOf(3, OrderKind::start, 3)}), MonotonicTime{0},
                      MonotonicTime{2});  // 2 is missing
  STRCMP_EQUAL("", effectsOf(hand).c_str());
  hand.onTaskEnded(AttemptNumber{1}, true, MonotonicTime{5});
  STRCMP_EQUAL("finished 1", endingsOf(hand, 6).c_str());
  STRCMP_EQUAL("finished 1", endingsOf(hand, 7).c_str());
  hand.onSyncResponse(first, answerOf(1, {}, {AttemptNumber{1}}), MonotonicTime{7},
                      MonotonicTime{8});
  STRCMP_EQUAL("", endingsOf(hand, 9).c_str());
  LONGS_EQUAL(1, hand.takeConfirmedResults().size());
}

// A trial ends itself after its run time, which a hold does not use up; nothing starts once it is
// leaving.
TEST(WorkerHandTests, trialsEndThemselvesAndLeavingStartsNothing) {
  hand.onSyncResponse(first, answerOf(1, {orderOf(1, OrderKind::start, 1, 1000)}), MonotonicTime{0},
                      MonotonicTime{0});
  hand.onSyncResponse(first, answerOf(1, {orderOf(2, OrderKind::suspend, 1)}), MonotonicTime{400},
                      MonotonicTime{400});
  hand.onSyncResponse(first, answerOf(1, {orderOf(3, OrderKind::resume, 1)}), MonotonicTime{2000},
                      MonotonicTime{2000});
  hand.tick(MonotonicTime{2599});
  STRCMP_EQUAL("start 1, hold 1, resume 1", effectsOf(hand).c_str());
  hand.tick(MonotonicTime{2600});
  STRCMP_EQUAL("stop 1", effectsOf(hand).c_str());
  STRCMP_EQUAL("ran_out 1", endingsOf(hand, 2601).c_str());
  hand.startDraining(Duration{1000});
  hand.onSyncResponse(
      first, answerOf(1, {orderOf(4, OrderKind::start, 4), orderOf(5, OrderKind::stop, 5)}),
      MonotonicTime{2700}, MonotonicTime{2700});
  STRCMP_EQUAL("", effectsOf(hand).c_str());
  STRCMP_EQUAL("ran_out 1, unstarted 4, unstarted 5", endingsOf(hand, 2701).c_str());
}

// Two syncs may be under way: the answer to one that an incarnation sent before it was replaced
// brings neither its orders, its lease nor its confirmations to the next. docs/design.md 5.3.
TEST(WorkerHandTests, anAnswerToAReplacedIncarnationIsNotFollowed) {
  const Incarnation next{2};
  hand.onSyncResponse(first, answerOf(1, {orderOf(1, OrderKind::start, 1)}), MonotonicTime{0},
                      MonotonicTime{1});
  hand.onReplaced(next);
  STRCMP_EQUAL("start 1, stop 1", effectsOf(hand).c_str());
  CHECK(!hand.onSyncResponse(first, answerOf(1, {orderOf(1, OrderKind::start, 1)}),
                             MonotonicTime{2}, MonotonicTime{3}));
  STRCMP_EQUAL("", effectsOf(hand).c_str());
  LONGS_EQUAL(0, hand.makeSyncReport(MonotonicTime{4}).lastAppliedOrder.value);
  CHECK(hand.onSyncResponse(next, answerOf(1, {orderOf(1, OrderKind::start, 2)}), MonotonicTime{5},
                            MonotonicTime{6}));
  STRCMP_EQUAL("start 2", effectsOf(hand).c_str());
}
