#include "checker/history.hpp"
#include <picojson.h>

#include <CppUTest/TestHarness.h>
using namespace aniseline;

TEST_GROUP(HistoryTests){};

TEST(HistoryTests, aLineSurvivesItsWriting) {
  HistoryEvent given;
  given.kind = HistoryEvent::Kind::started;
  given.at = 20;
  given.job = "a";
  given.worker = "m";
  given.cores = 3;
  given.trial = given.late = true;
  given.payload = "run=5";
  given.labels = {"a", "rack1"};
  given.since = 19;
  given.base = 4;
  given.digest = "77";
  STRCMP_EQUAL(given.line().c_str(), HistoryEvent::parse(given.line())->line().c_str());
  CHECK(!HistoryEvent::parse("{\"at\":1,\"kind\":\"sung\"}"));
}

TEST(HistoryTests, whatIsNoWholeHistoryIsAnErrorByLine) {
  auto at = [](std::int64_t time, HistoryEvent::Kind kind) {
    HistoryEvent given;
    given.at = time;
    given.kind = kind;
    return given.line() + "\n";
  };
  using K = HistoryEvent::Kind;
  auto fault = [](const std::string& text) {
    auto read = readHistory("f", text);
    return read ? std::string("good") : read.error().message();
  };
  STRCMP_EQUAL("f: holds no history", fault("").c_str());
  STRCMP_EQUAL("f:1: is cut off: the writer's closing line is missing",
               fault(at(1, K::submitted)).c_str());
  STRCMP_EQUAL("f:2: is no witness' line",
               fault(at(1, K::submitted) + "{\"at\":\n" + at(2, K::closed)).c_str());
  STRCMP_EQUAL("f:2: stands after a later line: the history is out of order",
               fault(at(5000, K::submitted) + at(1, K::closed)).c_str());
  STRCMP_EQUAL(
      "good",
      fault(at(1, K::started) + "{\"at\":\n" + at(2, K::vanished) + at(3, K::closed)).c_str());
}
