// Tests of a worker that syncs with the leader directly. docs/design.md 5.3 to 5.7.
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
SyncResponse responseOf(std::uint64_t term, std::vector<Order> orders,
                        std::vector<AttemptNumber> confirmed = {}) {
  SyncResponse response;
  response.term = Term{term};
  response.orders = std::move(orders);
  response.confirmedAttempts = std::move(confirmed);
  return response;
}
std::string commandsOf(WorkerSession& session) {
  static const char* const names[] = {"start", "suspend", "resume", "stop"};
  std::string text;
  for (const auto& command : session.takeCommands())
    text += std::string(text.empty() ? "" : ", ") + names[int(command.kind)] + " " +
            std::to_string(command.attempt.value);
  return text;
}
std::string resultsOf(WorkerSession& session, std::int64_t now) {
  std::string text;
  for (const auto& result : session.makeSyncReport(MonotonicTime{now}).results)
    text += std::string(text.empty() ? "" : ", ") + name(result.outcome) + " " +
            std::to_string(result.attempt.value);
  return text;
}
}  // namespace

TEST_GROUP(WorkerSessionTests) {
  const Incarnation first{1};
  WorkerSession session{[] {
                          WorkerSession::Options options;
                          options.id = WorkerId{"m"};
                          options.capacity.honoursLeases = true;
                          return options;
                        }(),
                        first};
};

// Responses from a superseded leader, or past their lease, are ignored. docs/design.md 5.3.
TEST(WorkerSessionTests, staleResponsesAreIgnored) {
  CHECK(session.onSyncResponse(first, responseOf(5, {orderOf(1, OrderKind::start, 1)}),
                               MonotonicTime{0}, MonotonicTime{10}));
  STRCMP_EQUAL("start 1", commandsOf(session).c_str());
  CHECK(!session.onSyncResponse(first, responseOf(4, {orderOf(2, OrderKind::start, 2)}),
                                MonotonicTime{20}, MonotonicTime{30}));
  CHECK(!session.onSyncResponse(first, responseOf(6, {orderOf(2, OrderKind::start, 3)}),
                                MonotonicTime{40}, MonotonicTime{3040}));
  CHECK(session.takeCommands().empty() || commandsOf(session).find("start") == std::string::npos);
  LONGS_EQUAL(1, session.makeSyncReport(MonotonicTime{3050}).lastAppliedOrder.value);
}

// The lease counts from the time at which the sync was sent. When it expires, all tasks are
// suspended, and they resume with the next lease unless an order stops them. docs/design.md 5.4.
TEST(WorkerSessionTests, expiredLeaseSuspendsTasksUntilTheNextOne) {
  session.onSyncResponse(
      first, responseOf(1, {orderOf(1, OrderKind::start, 1), orderOf(2, OrderKind::start, 2)}),
      MonotonicTime{0}, MonotonicTime{500});
  commandsOf(session);
  session.tick(MonotonicTime{2999});
  STRCMP_EQUAL("", commandsOf(session).c_str());
  session.tick(MonotonicTime{3000});
  STRCMP_EQUAL("suspend 1, suspend 2", commandsOf(session).c_str());
  session.onSyncResponse(first, responseOf(1, {orderOf(3, OrderKind::stop, 1)}),
                         MonotonicTime{9000}, MonotonicTime{9010});
  STRCMP_EQUAL("stop 1, resume 2", commandsOf(session).c_str());
}

// Orders may arrive repeatedly.
TEST(WorkerSessionTests, ordersApplyOnceInOrderAndResultsAreReportedUntilConfirmed) {
  for (int again = 0; again < 2; ++again)
    session.onSyncResponse(first, responseOf(1, {orderOf(1, OrderKind::start, 1)}),
                           MonotonicTime{0}, MonotonicTime{1});
  STRCMP_EQUAL("start 1", commandsOf(session).c_str());
  session.onSyncResponse(first, responseOf(1, {orderOf(3, OrderKind::start, 3)}), MonotonicTime{0},
                         MonotonicTime{2});  // order 2 is missing
  STRCMP_EQUAL("", commandsOf(session).c_str());
  session.onTaskEnded(AttemptNumber{1}, true, MonotonicTime{5});
  STRCMP_EQUAL("finished 1", resultsOf(session, 6).c_str());
  STRCMP_EQUAL("finished 1", resultsOf(session, 7).c_str());
  session.onSyncResponse(first, responseOf(1, {}, {AttemptNumber{1}}), MonotonicTime{7},
                         MonotonicTime{8});
  STRCMP_EQUAL("", resultsOf(session, 9).c_str());
  LONGS_EQUAL(1, session.takeConfirmedResults().size());
}

// A trial ends after its quantum, which does not include the time for which it is suspended.
TEST(WorkerSessionTests, trialEndsByItselfAndADrainingWorkerStartsNothing) {
  session.onSyncResponse(first, responseOf(1, {orderOf(1, OrderKind::start, 1, 1000)}),
                         MonotonicTime{0}, MonotonicTime{0});
  session.onSyncResponse(first, responseOf(1, {orderOf(2, OrderKind::suspend, 1)}),
                         MonotonicTime{400}, MonotonicTime{400});
  session.onSyncResponse(first, responseOf(1, {orderOf(3, OrderKind::resume, 1)}),
                         MonotonicTime{2000}, MonotonicTime{2000});
  session.tick(MonotonicTime{2599});
  STRCMP_EQUAL("start 1, suspend 1, resume 1", commandsOf(session).c_str());
  session.tick(MonotonicTime{2600});
  STRCMP_EQUAL("stop 1", commandsOf(session).c_str());
  STRCMP_EQUAL("ran_out 1", resultsOf(session, 2601).c_str());
  session.startDraining(Duration{1000});
  session.onSyncResponse(
      first, responseOf(1, {orderOf(4, OrderKind::start, 4), orderOf(5, OrderKind::stop, 5)}),
      MonotonicTime{2700}, MonotonicTime{2700});
  STRCMP_EQUAL("", commandsOf(session).c_str());
  STRCMP_EQUAL("ran_out 1, unstarted 4, unstarted 5", resultsOf(session, 2701).c_str());
}

// Two syncs may be in flight: the response to a sync that an incarnation sent before it was
// replaced carries no orders, lease or confirmations for the next one. docs/design.md 5.3.
TEST(WorkerSessionTests, responseToAReplacedIncarnationIsIgnored) {
  const Incarnation next{2};
  session.onSyncResponse(first, responseOf(1, {orderOf(1, OrderKind::start, 1)}), MonotonicTime{0},
                         MonotonicTime{1});
  session.onReplaced(next);
  STRCMP_EQUAL("start 1, stop 1", commandsOf(session).c_str());
  CHECK(!session.onSyncResponse(first, responseOf(1, {orderOf(1, OrderKind::start, 1)}),
                                MonotonicTime{2}, MonotonicTime{3}));
  STRCMP_EQUAL("", commandsOf(session).c_str());
  LONGS_EQUAL(0, session.makeSyncReport(MonotonicTime{4}).lastAppliedOrder.value);
  CHECK(session.onSyncResponse(next, responseOf(1, {orderOf(1, OrderKind::start, 2)}),
                               MonotonicTime{5}, MonotonicTime{6}));
  STRCMP_EQUAL("start 2", commandsOf(session).c_str());
}
