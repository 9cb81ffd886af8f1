// Tests the tables, arguments and exit codes of aniselinectl with canned answers.
// docs/operations.md 3.
#include "cli/command.hpp"
#include "cli/views.hpp"
#include <CppUTest/TestHarness.h>
#include <sstream>

using namespace aniseline;

namespace {

picojson::value parsed(const std::string& text) {
  picojson::value root;
  CHECK_EQUAL(std::string(), picojson::parse(root, text));
  return root;
}

// Runs commands in a session with canned answers, selected by method and target, and records the
// requests and the output.
struct CommandHarness {
  std::map<std::string, Result<HttpResponse, ClientError>> answers;
  std::vector<std::string> requests;
  std::ostringstream out, err;
  int sleeps = 0;
  Session session{{},
                  [this](const HttpRequest& request) { return answer(request); },
                  [](const Address&) -> Result<ApiResponse, ClientError> {
                    return ApiResponse::of(200, {{"founded", json(true)}});
                  },
                  [this](Duration) { ++sleeps; },
                  out,
                  err};
  Result<HttpResponse, ClientError> answer(const HttpRequest& request) {
    requests.push_back(request.method + " " + request.target +
                       (request.body.empty() ? "" : " " + request.body));
    auto found = answers.find(request.method + " " + request.target);
    if (found == answers.end())
      return ClientError{ClientError::Kind::notFound, 404,
                         R"({"error":"missing","text":"no such thing"})", Duration{0}};
    return found->second;
  }
  void addAnswer(const std::string& request, const std::string& body) {
    answers.emplace(request, HttpResponse{200, body, Duration{0}});
  }
  void addError(const std::string& request, ClientError::Kind kind, int status,
                const std::string& body) {
    answers.emplace(request, ClientError{kind, status, body, Duration{0}});
  }
  int run(const std::string& line, const std::vector<std::string>& givenOptions = {}) {
    std::istringstream stream(line);
    Arguments words;
    for (std::string word; stream >> word;)
      words.push_back(word);
    return int(runCommandLine(session, words, givenOptions));
  }
  bool errorContains(const std::string& part) const {
    return err.str().find(part) != std::string::npos;
  }
  bool outputContains(const std::string& part) const {
    return out.str().find(part) != std::string::npos;
  }
};

const char* const clusterAnswer =
    R"({"term":2,"commit":315,"last":316,"view":0,"config":1,"cluster_time_ms":1796182718211,"controllers":[
    {"id":"a2d0","address":"127.2.1.1:26001","zone":"zone1","voter":true,"leads":true,"match":316,"unheard_ms":0},
    {"id":"3869","address":"127.2.2.1:26002","zone":"zone2","voter":true,"leads":false,"match":310,"unheard_ms":2},
    {"id":"950c","address":"127.2.3.1:26003","zone":"zone3","voter":true,"leads":false,"match":12,"unheard_ms":12500},
    {"id":"77aa","address":"127.2.3.1:26004","zone":"zone3","voter":false,"leads":false,"match":0,"unheard_ms":40}],
    "gateways":[{"address":"127.2.1.1:26021","zone":"zone1","unheard_ms":132}]})";

}  // namespace

TEST_GROUP(CommandsTests){};

TEST(CommandsTests, ClusterViewShowsLagAndSilentMembers) {
  STRCMP_EQUAL(
      "term 2, committed 315 of 316, config 1, cluster time 2026-12-02T03:38:38.211Z\n"
      "attention: 2 of 3 voters heard within 2.0 s\n"
      "\n"
      "CONTROLLER  ADDRESS          ZONE   ROLE     BEHIND  UNHEARD\n"
      "a2d0        127.2.1.1:26001  zone1  leader        0     0 ms\n"
      "3869        127.2.2.1:26002  zone2  voter         6     2 ms\n"
      "950c        127.2.3.1:26003  zone3  voter       304   12.5 s\n"
      "77aa        127.2.3.1:26004  zone3  learner     316    40 ms\n"
      "\n"
      "GATEWAY          ZONE   UNHEARD\n"
      "127.2.1.1:26021  zone1   132 ms\n",
      clusterView(parsed(clusterAnswer)).c_str());
}

TEST(CommandsTests, WorkersViewShowsCapacityAndNotes) {
  STRCMP_EQUAL(
      "WORKER  STATE    ZONE   RACK   CORES          MEMORY  RUNS  HELD  ORDERS  BLAME  UNHEARD  "
      "NOTES\n"
      "m1      present  zone1  rack1   2/16  4.0 GB/32.0 GB     3     1       0      0   571 ms  "
      "room unguarded\n"
      "m2      gone     zone2  -      0/0.5     0 MB/512 MB     0     0       2    500        -  "
      "no leases\n"
      "\n"
      "2 workers; of those present 2 of 16 cores used\n",
      workersView(parsed(R"({"workers":[
        {"id":"m1","state":"present","zone":"zone1","rack":"rack1","cores":16,"cores_used":2,"memory_mb":32768,"memory_used_mb":4096,"attempts":4,"held":1,"honours_leases":true,"guards_room":false,"failureScore":0,"orders_pending":0,"unheard_ms":571},
        {"id":"m2","state":"gone","zone":"zone2","rack":"","cores":0.5,"cores_used":0,"memory_mb":512,"memory_used_mb":0,"attempts":0,"held":0,"honours_leases":false,"guards_room":true,"failureScore":500,"orders_pending":2,"unheard_ms":-1}]})"))
          .c_str());
}

TEST(CommandsTests, TenantsViewShowsUsageAndCaps) {
  STRCMP_EQUAL(
      "config 12\n"
      "\n"
      "TENANT   KEYS  WEIGHT  OPEN  RUNS  CORES           MEMORY  ACCELERATORS  NOTES\n"
      "north       2       3     4    11   11/8  1.5 GB/512.0 GB           0/-  above its cap\n"
      "removed     0       1     1     0    0/-           0 MB/-           0/2  no keys\n",
      tenantsView(parsed(R"({"version":12,"tenants":[
        {"name":"north","api_keys":2,"weight":3,"open":4,"attempts":11,"cores_used":11,"cores_cap":8,"memory_used_mb":1536,"memory_cap_mb":524288,"accelerators_used":0,"accelerators_cap":0},
        {"name":"removed","api_keys":0,"weight":1,"open":1,"attempts":0,"cores_used":0,"cores_cap":0,"memory_used_mb":0,"memory_cap_mb":0,"accelerators_used":0,"accelerators_cap":2}]})"))
          .c_str());
}

TEST(CommandsTests, JobViewShowsTasksAndCountsOmittedOnes) {
  STRCMP_EQUAL(
      "job first-job, queue plates, failed\n"
      "because: task 1 failed too often\n"
      "accepted 2026-12-02T03:38:38.267Z, ended 2026-12-02T03:38:39.267Z\n"
      "tasks: 300 blocked, 2 running\n"
      "\n"
      "TASK  STEP      STATE    WORKER  STARTS  NOTES\n"
      "   0  separate  running  m1           1  trial\n"
      "   1  separate  running  m11          2\n"
      "and 300 more\n",
      jobView(
          parsed(
              R"({"id":"first-job","queue":"plates","state":"failed","reason":"task 1 failed too often","allowed_at_ms":1796182718267,"ended_at_ms":1796182719267,
        "tasks_by_state":{"running":2,"blocked":300},"tasks":[{"task":0,"step":"separate","state":"running","worker":"m1","starts":1,"trial":true},{"task":1,"step":"separate","state":"running","worker":"m11","starts":2}]})"))
          .c_str());
  STRCMP_EQUAL(
      "JOB  QUEUE   STATE\n"
      "a    plates  open\n"
      "\n"
      "1 shown, 7 open, 9 kept\n",
      jobsView(parsed(R"({"jobs":[{"id":"a","queue":"plates","state":"open"}],"open":7,"kept":9})"))
          .c_str());
}

TEST(CommandsTests, PlanViewShowsReasonsAndReservation) {
  STRCMP_EQUAL(
      "plan 67, 3 units wait\n"
      "reserved: job wide, step 0, in 2.5 s on m11, m1, moved so far: 1\n"
      "\n"
      "JOB   STEP  PRIORITY  WHY IT WAITS\n"
      "wide     0      12.5  holds the reserved start\n"
      "late     1     0.001  no worker has room\n"
      "and 1 more\n",
      planView(
          parsed(
              R"({"plan":67,"waiting":3,"reasons":[{"job":"wide","step":0,"priority":12.5,"reason":"holds the reserved start"},{"job":"late","step":1,"priority":0.001,"reason":"no worker has room"}],
        "reservation":{"job":"wide","step":0,"in_ms":2500,"moved":1,"placements":[{"task":0,"worker":"m11"},{"task":1,"worker":"m1"},{"task":2,"worker":"m11"}]}})"))
          .c_str());
}

TEST(CommandsTests, QueuesShowOpenJobsAndRemovedQueuesAsClosed) {
  CommandHarness harness;
  harness.addAnswer(
      "GET /v1/config",
      R"({"version":4,"config":{"queues":{"plates":{"urgency":0,"retries":5,"open_limit":1000},"proofs":{"urgency":10,"retries":3,"open_limit":2000,"reserved":500,"trial":{"quantum_ms":5000,"memory_mb":512}}}}})");
  harness.addAnswer(
      "GET /v1/jobs?state=open&limit=1000",
      R"({"open":5,"kept":9,"jobs":[{"id":"a","queue":"proofs"},{"id":"b","queue":"old"},{"id":"c","queue":"proofs"}]})");
  LONGS_EQUAL(0, harness.run("queues"));
  STRCMP_EQUAL(
      "config 4\n"
      "\n"
      "QUEUE   URGENCY  OPEN   LIMIT  RESERVED  RETRIES   TRIAL  POLICY\n"
      "plates        0     0    1000         0        5  60.0 s  default\n"
      "proofs       10     2    2000       500        3   5.0 s  default\n"
      "old           -     1  closed         -        -       -  -\n"
      "only the first 1000 open jobs are counted; 2 more are open or timed\n",
      harness.out.str().c_str());
}

TEST(CommandsTests, TablesReplaceControlCharacters) {
  Table table({{"A"}, {"B", Table::Align::right}});
  table.add({"\x1b[2J\n", "\xc3\xa9"});
  table.add({"x", "longer"});
  STRCMP_EQUAL("A           B\n?[2J?       \xc3\xa9\nx      longer\n", table.render().c_str());
  STRCMP_EQUAL("-", formatDuration(-1).c_str());
  STRCMP_EQUAL("999 ms", formatDuration(999).c_str());
  STRCMP_EQUAL("2.0 min", formatDuration(120'000).c_str());
  STRCMP_EQUAL("48.0 h", formatDuration(172'800'000).c_str());
}

TEST(CommandsTests, ViewsAcceptAnswersOfUnexpectedShape) {
  for (
      const char* body :
      {"{}", "[]", "7",
       R"({"controllers":[7],"workers":{},"jobs":[{}],"reasons":[null],"tasks":"no","queues":[[]],"config":[]})"})
    for (auto view : {clusterView, countersView, workersView, jobsView, jobView, planView,
                      queuesView, configView, tenantsView})
      CHECK(!view(parsed(body)).empty());
}

TEST(CommandsTests, UsageErrorsAreReportedWithoutSendingRequests) {
  struct Case {
    const char *commandLine, *errorPart;
    std::vector<std::string> givenOptions{};
  };
  const std::vector<Case> cases = {
      {"", "the words make no command"},
      {"paint", "the words make no command"},
      {"config", "the words make no command"},
      {"config paint x", "the words make no command"},
      {"show", "show: it is: aniselinectl show JOB"},
      {"show a b", "show: it is: aniselinectl show JOB"},
      {"cluster now", "cluster: it is: aniselinectl cluster"},
      {"show a/b", "'a/b' can't be an id"},
      {"cancel a?b", "can't be an id"},
      {"cluster", "cluster: --state: is no option of this command", {"json", "state"}},
      {"watch", "watch: it is"},
      {"watch submit f", "must only look"},
      {"watch watch cluster", "must only look"},
      {"submit nothing/there", "nothing/there: can't be read"},
      {"found localhost", "found: 'localhost'"}};
  for (const auto& testCase : cases) {
    CommandHarness harness;
    LONGS_EQUAL_TEXT(2, harness.run(testCase.commandLine, testCase.givenOptions),
                     testCase.commandLine);
    CHECK_TEXT(harness.errorContains(testCase.errorPart),
               (testCase.commandLine + std::string(": ") + harness.err.str()).c_str());
    CHECK_TEXT(harness.requests.empty() && harness.out.str().empty(), testCase.commandLine);
  }
  CommandHarness harness;
  harness.session.options.state = "odd";
  LONGS_EQUAL(2, harness.run("jobs", {"state"}));
  harness.session.send = nullptr;
  LONGS_EQUAL(2, harness.run("cluster"));
  CHECK(harness.errorContains("--gateways: is missing"));
  LONGS_EQUAL(0, harness.run("found 127.0.0.1:1"));
}

TEST(CommandsTests, ExitCodesFollowStatusAndErrorKind) {
  struct Case {
    ClientError::Kind kind;
    int status, code;
    const char* body;
  };
  const std::vector<Case> cases = {
      {ClientError::Kind::rejected, 400, 3, R"({"error":"invalid","text":"t"})"},
      {ClientError::Kind::notFound, 404, 4, R"({"error":"missing","text":"t"})"},
      {ClientError::Kind::rejected, 409, 6, R"({"error":"conflict","text":"t"})"},
      {ClientError::Kind::rejected, 429, 7, R"({"error":"overloaded","text":"t"})"},
      {ClientError::Kind::rejected, 413, 3, "too large"},
      {ClientError::Kind::unknown, 503, 5, R"({"error":"unknown","text":"t"})"},
      {ClientError::Kind::unknown, 0, 5, "127.0.0.1:1: Connection refused"}};
  for (const auto& expected : cases) {
    CommandHarness harness;
    harness.addError("GET /v1/jobs/a", expected.kind, expected.status, expected.body);
    LONGS_EQUAL_TEXT(expected.code, harness.run("show a"), expected.body);
    CHECK_TEXT(!harness.err.str().empty() && harness.out.str().empty(), expected.body);
  }
  CommandHarness garbled;
  garbled.addAnswer("GET /v1/cluster", "<html>");
  LONGS_EQUAL(5, garbled.run("cluster"));
}

TEST(CommandsTests, ErrorDetailsArePrintedByPathOrAsJson) {
  const char* body =
      R"({"error":"invalid","text":"both","details":[{"path":"/id","text":"is missing"},{"path":"/steps","text":"is missing"}]})";
  CommandHarness people, programs;
  for (auto* harness : {&people, &programs})
    harness->addError("DELETE /v1/jobs/a", ClientError::Kind::rejected, 400, body);
  LONGS_EQUAL(3, people.run("cancel a"));
  STRCMP_EQUAL("aniselinectl: 400 invalid: \n  /id: is missing\n  /steps: is missing\n",
               people.err.str().c_str());
  programs.session.options.json = true;
  LONGS_EQUAL(3, programs.run("cancel a"));
  STRCMP_EQUAL("both", textField(parsed(programs.err.str()), "text").c_str());
}

TEST(CommandsTests, AliasesWorkAndJsonPrintsTheAnswerItself) {
  CommandHarness harness;
  harness.addAnswer("GET /v1/jobs?limit=100&state=open", R"({"jobs":[],"open":0,"kept":0})");
  harness.session.options.state = "open";
  LONGS_EQUAL(0, harness.run("list", {"state"}));
  harness.addAnswer("GET /v1/cluster", clusterAnswer);
  harness.session.options.json = true;
  harness.out.str("");
  LONGS_EQUAL(0, harness.run("cluster"));
  CHECK(parsed(harness.out.str()) == parsed(clusterAnswer));
  harness.addAnswer("POST /v1/workers/m1/drain?within_ms=5000",
                    R"({"worker":"m1","state":"draining"})");
  harness.session.options.drainPeriodMilliseconds = 5000;
  harness.session.options.json = false;
  LONGS_EQUAL(0, harness.run("drain m1", {"drain-within-ms"}));
  CHECK(harness.outputContains("worker m1: draining\n"));
}

TEST(CommandsTests, WatchRepeatsTheGivenNumberOfTimesDespiteFailures) {
  CommandHarness harness;
  harness.session.options.watchRepetitions = 3;
  harness.addAnswer("GET /v1/plan", R"({"plan":1,"waiting":0,"reasons":[]})");
  LONGS_EQUAL(0, harness.run("watch plan", {"times"}));
  LONGS_EQUAL(3, long(harness.requests.size()));
  LONGS_EQUAL(2, harness.sleeps);
  CHECK(harness.outputContains(", 3 of 3\nplan 1, 0 units wait\n"));
  LONGS_EQUAL(4, harness.run("watch show none"));
  LONGS_EQUAL(6, long(harness.requests.size()));
  harness.session.options.json = true;
  harness.out.str("");
  LONGS_EQUAL(0, harness.run("watch plan"));
  const std::string lines = harness.out.str();
  LONGS_EQUAL(3, std::count(lines.begin(), lines.end(), '\n'));
  harness.session.options.state = "odd";
  LONGS_EQUAL(2, harness.run("watch jobs", {"state", "every-ms"}));
}

TEST(CommandsTests, EveryCommandHasHelpAndIsFoundByName) {
  const std::string help = generalHelp("");
  for (const auto& command : allCommands()) {
    CHECK_TEXT(help.find("  " + command.name) != std::string::npos && !command.purpose.empty(),
               command.name.c_str());
    CHECK(commandHelp(command, "", "").starts_with("aniselinectl " + command.name));
    std::size_t nameLength = 0;
    std::istringstream stream(command.name);
    Arguments words;
    for (std::string word; stream >> word;)
      words.push_back(word);
    POINTERS_EQUAL(&command, findCommand(words, nameLength));
    LONGS_EQUAL(long(words.size()), long(nameLength));
  }
}
