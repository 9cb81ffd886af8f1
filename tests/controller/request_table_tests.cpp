// Tests of the table of pending requests: order, memory accounting, and the polls that are visited.
#include "controller/request_table.hpp"
#include <CppUTest/TestHarness.h>

using namespace aniseline;

TEST_GROUP(RequestTableTests) {
  RequestTable table;

  RequestSequence addRequest(std::uint64_t number, const std::string& text = "") {
    ApiRequest request;
    request.kind = RequestKind::applyConfig;
    request.text = text;
    table.add(RequestNumber{number}, std::move(request), MonotonicTime{1000});
    return table.all().rbegin()->first;
  }
  RequestSequence addPoll(const std::string& worker) {
    ApiRequest request;
    request.kind = RequestKind::syncWorker;
    request.report.id = WorkerId{worker};
    table.add(RequestNumber{1}, std::move(request), MonotonicTime{1000});
    const RequestSequence sequence = table.all().rbegin()->first;
    table.startPoll(*table.find(sequence));
    return sequence;
  }
  std::vector<RequestSequence> visitedPolls(MonotonicTime deferTo) {
    std::vector<RequestSequence> visited;
    table.visitPollsToCheck([&](const PendingRequest& poll) {
      visited.push_back(poll.sequenceNumber);
      table.deferPoll(poll, deferTo);
    });
    return visited;
  }
};

TEST(RequestTableTests, queuedRequestsAreReturnedOnceInOrder) {
  const RequestSequence first = addRequest(7);
  const RequestSequence second = addRequest(3);
  CHECK((table.takeQueued() == std::vector<RequestSequence>{first, second}));
  CHECK(table.takeQueued().empty());
  LONGS_EQUAL(2, table.size());
}

TEST(RequestTableTests, aRequestStaysUnansweredUntilItIsRemoved) {
  const RequestSequence first = addRequest(1);
  addRequest(2);
  std::vector<RequestNumber> numbers;
  table.visitUnanswered([&](const PendingRequest& pending) {
    numbers.push_back(pending.number);
    if (pending.sequenceNumber == first)
      table.remove(first);
  });
  LONGS_EQUAL(2, numbers.size());
  numbers.clear();
  table.visitUnanswered([&](const PendingRequest& pending) { numbers.push_back(pending.number); });
  CHECK((numbers == std::vector<RequestNumber>{RequestNumber{2}}));
  POINTERS_EQUAL(nullptr, table.find(first));
}

TEST(RequestTableTests, textsAreCountedUntilReleasedOrRemoved) {
  const RequestSequence first = addRequest(1, std::string(1000, 'a'));
  const RequestSequence second = addRequest(2, std::string(500, 'b'));
  CHECK_COMPARE(table.retainedBytes(), >=, std::size_t(1500));
  table.releaseConfigText(*table.find(first));
  CHECK(table.find(first)->request.text.empty());
  CHECK_COMPARE(table.retainedBytes(), <, std::size_t(1000));
  table.remove(second);
  LONGS_EQUAL(0, table.retainedBytes());
}

TEST(RequestTableTests, deferredPollIsVisitedAtItsCheckTime) {
  const RequestSequence poll = addPoll("w");
  CHECK((visitedPolls(MonotonicTime{300}) == std::vector<RequestSequence>{poll}));
  CHECK(visitedPolls(MonotonicTime{300}).empty());
  table.markDuePolls(MonotonicTime{299});
  CHECK(visitedPolls(MonotonicTime{300}).empty());
  table.markDuePolls(MonotonicTime{300});
  CHECK((visitedPolls(MonotonicTime{2000}) == std::vector<RequestSequence>{poll}));
  table.markDuePolls(MonotonicTime{1000});  // the deadline of the poll
  CHECK((visitedPolls(MonotonicTime{2000}) == std::vector<RequestSequence>{poll}));
}

TEST(RequestTableTests, changeForWorkerMarksOnlyItsPolls) {
  const RequestSequence poll = addPoll("w");
  addPoll("other");
  visitedPolls(MonotonicTime{500});
  table.markPollsOf(WorkerId{"w"});
  CHECK((visitedPolls(MonotonicTime{500}) == std::vector<RequestSequence>{poll}));
  table.markAllPolls();
  LONGS_EQUAL(2, visitedPolls(MonotonicTime{500}).size());
}

TEST(RequestTableTests, aNewerSyncEndsThePollsOfItsWorker) {
  const RequestSequence poll = addPoll("w");
  table.find(poll)->pollUntil = MonotonicTime{900};
  visitedPolls(MonotonicTime{900});
  table.endPollsOf(WorkerId{"w"}, MonotonicTime{100});
  LONGS_EQUAL(100, table.find(poll)->pollUntil.milliseconds);
  CHECK((visitedPolls(MonotonicTime{900}) == std::vector<RequestSequence>{poll}));
}

TEST(RequestTableTests, removedPollIsNotVisited) {
  const RequestSequence poll = addPoll("w");
  visitedPolls(MonotonicTime{300});
  table.remove(poll);
  table.markDuePolls(MonotonicTime{300});
  table.markPollsOf(WorkerId{"w"});
  CHECK(visitedPolls(MonotonicTime{300}).empty());
}

TEST(RequestTableTests, clearForgetsEverything) {
  addRequest(1, "text");
  addPoll("w");
  table.clear();
  LONGS_EQUAL(0, table.size());
  LONGS_EQUAL(0, table.retainedBytes());
  CHECK(table.takeQueued().empty());
  table.markAllPolls();
  CHECK(visitedPolls(MonotonicTime{300}).empty());
}

// Every step visited each unconfirmed poll, which took a tenth of a busy leader's time.
TEST(RequestTableTests, anUnconfirmedPollIsVisitedAgainOnlyOnceItIsConfirmed) {
  const RequestSequence first = addPoll("w1");
  const RequestSequence second = addPoll("w2");
  std::vector<RequestSequence> visited;
  const auto visitAll = [&] {
    visited.clear();
    table.visitPollsToCheck([&](const PendingRequest& poll) {
      visited.push_back(poll.sequenceNumber);
      table.awaitConfirmation(poll);
    });
  };
  visitAll();
  CHECK((visited == std::vector<RequestSequence>{first, second}));
  table.markConfirmedPolls([](const PendingRequest&) { return false; });
  visitAll();
  CHECK(visited.empty());
  table.markConfirmedPolls(
      [&](const PendingRequest& poll) { return poll.sequenceNumber == first; });
  visitAll();
  CHECK((visited == std::vector<RequestSequence>{first}));
  table.remove(first);
  table.remove(second);
  table.markConfirmedPolls([](const PendingRequest&) { return true; });
  visitAll();
  CHECK(visited.empty());
}
