// Tests reading and writing of history files.
#include "checker/history.hpp"
#include <picojson.h>

#include <CppUTest/TestHarness.h>
using namespace aniseline;

TEST_GROUP(HistoryTests){};

TEST(HistoryTests, eventsSurviveARoundTrip) {
  HistoryEvent given;
  given.kind = HistoryEvent::Kind::started;
  given.timestamp = 20;
  given.job = "a";
  given.worker = "m";
  given.cores = 3;
  given.trial = given.executedLate = true;
  given.payload = "run=5";
  given.labels = {"a", "rack1"};
  given.invokedAt = 19;
  given.baseVersion = 4;
  given.digest = "77";
  STRCMP_EQUAL(given.toJsonLine().c_str(),
               HistoryEvent::parseJsonLine(given.toJsonLine())->toJsonLine().c_str());
  CHECK(!HistoryEvent::parseJsonLine("{\"at\":1,\"kind\":\"sung\"}"));
}

TEST(HistoryTests, incompleteHistoriesAreReportedWithTheirLine) {
  auto makeLine = [](std::int64_t time, HistoryEvent::Kind kind) {
    HistoryEvent given;
    given.timestamp = time;
    given.kind = kind;
    return given.toJsonLine() + "\n";
  };
  using K = HistoryEvent::Kind;
  auto errorOf = [](const std::string& text) {
    auto read = readHistory("f", text);
    return read ? std::string("good") : read.error().message();
  };
  STRCMP_EQUAL("f: holds no history", errorOf("").c_str());
  STRCMP_EQUAL("f:1: is cut off: the writer's closing line is missing",
               errorOf(makeLine(1, K::submitted)).c_str());
  STRCMP_EQUAL("f:2: is no witness' line",
               errorOf(makeLine(1, K::submitted) + "{\"at\":\n" + makeLine(2, K::closed)).c_str());
  STRCMP_EQUAL("f:2: is older than the line before it: the history is out of order",
               errorOf(makeLine(5000, K::submitted) + makeLine(1, K::closed)).c_str());
  STRCMP_EQUAL("good", errorOf(makeLine(1, K::started) + "{\"at\":\n" + makeLine(2, K::workerLost) +
                               makeLine(3, K::closed))
                           .c_str());
}
