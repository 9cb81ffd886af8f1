// Workers that are called: their words over HTTP, their core, and gangs staged in the agent.
// docs/api.md 5.
#include "agent/called_worker_session.hpp"
#include "net/worker_protocol.hpp"
#include <CppUTest/TestHarness.h>

using namespace aniseline;

namespace {

RunName runOf(const std::string& job, std::uint32_t run = 1, std::uint32_t within = 0) {
  return RunName{JobId{job}, 0, 0, within, run};
}

WorkerCall startCall(const std::string& job, std::uint32_t run = 1, std::int64_t deadline = 3000) {
  WorkerCall call;
  call.kind = WorkerCall::Kind::start;
  call.life = WorkerId{"m.1"};
  call.fence = Term{2};
  call.name = runOf(job, run);
  call.deadline = WorkerTime{deadline};
  call.order.job = JobId{job};
  call.order.attempt = AttemptNumber{run * 100 + job.size()};
  call.order.cores = 500;
  call.order.memory = 100;
  call.order.runtime = Duration{1000};
  call.order.run = run;
  call.order.payload = call.payload = "run=250";
  return call;
}
WorkerCall stopCall(const std::string& job, std::uint32_t run = 1) {
  WorkerCall call = startCall(job, run);
  call.kind = WorkerCall::Kind::stop;
  return call;
}
WorkerCall lookCall(std::uint64_t lastSeen = 0, std::int64_t deadline = 0) {
  WorkerCall call;
  call.life = WorkerId{"m.1"};
  call.fence = Term{2};
  call.lastSeen = lastSeen;
  if (deadline)
    call.deadline = WorkerTime{deadline};
  return call;
}
CalledWorkerSession handOf(std::uint32_t cores = 1000) {
  CalledWorkerSession::Options options;
  options.capacity.cores = cores;
  options.capacity.memory = 1000;
  options.capacity.guardsRoom = true;
  return CalledWorkerSession(options, WorkerId{"m.1"});
}
int kindOf(const WorkerReply& reply) {
  return int(reply.kind);
}
using K = WorkerReply::Kind;

}  // namespace

TEST_GROUP(CalledWorkerSessionTests){};

TEST(CalledWorkerSessionTests, CallsAndRepliesSurviveTheWords) {
  const auto words = workerProtocol();
  auto call = startCall("job@0", 7);
  call.order.task = 3;
  call.order.quantum = Duration{50};
  call.saved = call.order.saved = "place";
  auto read = readWorkerCall(words.render(call));
  CHECK(read.has_value());
  CHECK(read.value().name == call.name && read.value().deadline == call.deadline &&
        read.value().fence == call.fence && read.value().life == call.life);
  STRCMP_EQUAL("job@0", read.value().order.job.value.c_str());
  LONGS_EQUAL(705, long(read.value().order.attempt.value));
  CHECK(read.value().order.cores == 500 && read.value().order.task == 3 &&
        read.value().order.quantum == Duration{50} && read.value().order.saved == "place");
  auto look = lookCall(9, 4000);
  look.wait = Duration{600};
  read = readWorkerCall(words.render(look));
  CHECK(read.has_value() && read.value().kind == WorkerCall::Kind::look &&
        read.value().lastSeen == 9 && read.value().wait == Duration{600});

  WorkerReply reply;
  reply.kind = K::done;
  reply.clock = WorkerTime{77};
  reply.active.push_back({runOf("a"), "here"});
  reply.ended.push_back({12, runOf("b", 2), EndingKind::ranOut, ""});
  reply.whole = false;
  auto answered = [&](const WorkerCall& asked, const WorkerReply& given) {
    const ApiResponse answer = writeWorkerReply(asked, given);
    return words.read(asked, HttpResponse{answer.status, answer.body, Duration{0}});
  };
  const auto back = answered(look, reply);
  CHECK(back.kind == K::done && back.clock == WorkerTime{77} && !back.whole &&
        back.active.size() == 1 && back.ended.size() == 1);
  CHECK(back.active[0].name == runOf("a") && back.active[0].saved == "here");
  CHECK(back.ended[0].number == 12 && back.ended[0].name == runOf("b", 2) &&
        back.ended[0].kind == EndingKind::ranOut);
  for (auto kind : {K::fenced, K::old, K::late, K::room, K::sick, K::invalid, K::otherLife}) {
    WorkerReply refused;
    refused.kind = kind;
    refused.clock = WorkerTime{5};
    LONGS_EQUAL(int(kind), kindOf(answered(call, refused)));
  }
  LONGS_EQUAL(int(K::lost), kindOf(words.read(look, HttpError{HttpError::Kind::late, "late"})));
}

TEST(CalledWorkerSessionTests, AnAccountSurvivesTheWordsAndOthersAreNotHeard) {
  const auto words = workerProtocol();
  WorkerAccount account{WorkerId{"m.1"}, {}, true, Duration{2000}, WorkerTime{55}};
  account.capacity.cores = 1500;
  account.capacity.memory = 64;
  account.capacity.zone = ZoneName{"zone1"};
  account.capacity.rack = "rack1";
  account.capacity.labels = {"fast"};
  const auto word = words.hear(writeAccount(account));
  CHECK(word && !word->left && word->account.life == account.life && word->account.leaving &&
        word->account.leaveWithin == Duration{2000} && word->account.clock == account.clock);
  CHECK(word->account.capacity.cores == 1500 &&
        word->account.capacity.labels == account.capacity.labels &&
        word->account.capacity.rack == "rack1");
  CHECK(word->account.capacity.lapses && word->account.capacity.honoursLeases &&
        !word->account.capacity.pauses && !word->account.capacity.assembles);
  const auto leave = words.hear(writeLeave(WorkerId{"m.1"}));
  CHECK(leave && leave->left && leave->account.life == WorkerId{"m.1"});
  for (const HttpRequest& other :
       {HttpRequest{"GET", "/v1/account", "{}"}, HttpRequest{"POST", "/v1/account", "{}"},
        HttpRequest{"POST", "/v1/account", "no"}, HttpRequest{"POST", "/v1/leave", "{}"},
        HttpRequest{"POST", "/v1/jobs", "{\"life\":\"m\"}"}})
    CHECK(!words.hear(other));
}

TEST(CalledWorkerSessionTests, WrongCallsAreNamedByPathAndUnreadableLooksTellNothing) {
  const auto words = workerProtocol();
  struct Case {
    const char *target, *body, *path;
  };
  for (
      const auto& wrong :
      {Case{"/v1/run/start", "no", ""}, Case{"/v1/run/look", R"({"fence":"1"})", "/life"},
       Case{"/v1/run/look", R"({"life":"m","fence":1})", "/fence"},
       Case{"/v1/run/stop", R"({"life":"m","fence":"1"})", "/name/job"},
       Case{"/v1/run/look", R"({"life":"m","fence":"1","deadline_ms":-1})", "/deadline_ms"},
       Case{
           "/v1/run/start",
           R"({"life":"m","fence":"1","name":{"job":"a","step":0,"within":0,"run":1},"job":"a","attempt":"x"})",
           "/attempt"}}) {
    auto read = readWorkerCall({"POST", wrong.target, wrong.body});
    CHECK_TEXT(!read.has_value(), wrong.body);
    STRCMP_EQUAL(wrong.path, read.error().details.at(0).path.c_str());
  }
  CHECK(readWorkerCall({"POST", "/v1/paint", "{}"}).error().kind == CoreError::Kind::missing);
  for (
      const char* body :
      {"no", "{}", R"({"now_ms":1e999,"active":[],"ended":[]})",
       R"({"active":[],"ended":[{"number":1}]})", R"({"active":[7],"ended":[]})",
       R"({"active":[],"ended":[{"number":1,"kind":"sung","name":{"job":"a","step":0,"within":0,"run":1}}]})"})
    LONGS_EQUAL_TEXT(int(K::lost),
                     kindOf(words.read(lookCall(), HttpResponse{200, body, Duration{0}})), body);
}

TEST(CalledWorkerSessionTests, AStartIsCarriedOutOnceAndRefusedWithItsReason) {
  auto hand = handOf();
  LONGS_EQUAL(int(K::late), kindOf(hand.take(startCall("a", 1, 10), WorkerTime{10})));
  LONGS_EQUAL(int(K::done), kindOf(hand.take(startCall("a"), WorkerTime{10})));
  LONGS_EQUAL(int(K::old), kindOf(hand.take(startCall("a"), WorkerTime{11})));
  LONGS_EQUAL(int(K::done), kindOf(hand.take(startCall("bb"), WorkerTime{12})));
  LONGS_EQUAL(int(K::room), kindOf(hand.take(startCall("ccc"), WorkerTime{13})));
  auto older = startCall("ccc");
  older.fence = Term{1};
  LONGS_EQUAL(int(K::fenced), kindOf(hand.take(older, WorkerTime{14})));
  older.life = WorkerId{"m.0"};
  LONGS_EQUAL(int(K::otherLife), kindOf(hand.take(older, WorkerTime{14})));
  LONGS_EQUAL(2, long(hand.takeEffects().size()));
  // A stop that overtakes its start turns the start away, and a later run is let in.
  LONGS_EQUAL(int(K::done), kindOf(hand.take(stopCall("a"), WorkerTime{15})));
  LONGS_EQUAL(int(K::done), kindOf(hand.take(stopCall("dddd", 2), WorkerTime{16})));
  LONGS_EQUAL(int(K::old), kindOf(hand.take(startCall("dddd", 2), WorkerTime{17})));
  LONGS_EQUAL(int(K::done), kindOf(hand.take(startCall("dddd", 3), WorkerTime{18})));
  hand.leave();
  LONGS_EQUAL(int(K::room), kindOf(hand.take(startCall("a", 9), WorkerTime{19})));
}

TEST(CalledWorkerSessionTests, EndingsAreNumberedToldAgainAndFinalWhenSeen) {
  auto hand = handOf();
  hand.take(startCall("a"), WorkerTime{10});
  hand.take(startCall("bb"), WorkerTime{10});
  hand.ended(AttemptNumber{101}, true, WorkerTime{20});
  hand.ended(AttemptNumber{102}, false, WorkerTime{30});
  for (int twice = 0; twice < 2; ++twice) {
    const auto reply = hand.take(lookCall(), WorkerTime{40});
    LONGS_EQUAL(2, long(reply.ended.size()));
    CHECK(reply.ended[0].number == 1 && reply.ended[0].kind == EndingKind::finished &&
          reply.ended[1].number == 2 && reply.ended[1].kind == EndingKind::failed);
  }
  CHECK(hand.takeConfirmed().empty());
  LONGS_EQUAL(1, long(hand.take(lookCall(1), WorkerTime{50}).ended.size()));
  const auto confirmed = hand.takeConfirmed();
  CHECK(confirmed.size() == 1 && confirmed[0].second == EndingKind::finished);
}

TEST(CalledWorkerSessionTests, WhenTheHoldIsOverAllIsKilledAndUnconfirmedEndsAreVoid) {
  auto hand = handOf();
  hand.take(startCall("a", 1, 3000), WorkerTime{10});
  hand.take(startCall("bb", 1, 3000), WorkerTime{10});
  hand.ended(AttemptNumber{101}, true, WorkerTime{20});
  hand.take(lookCall(0, 4000), WorkerTime{100});
  hand.takeEffects();
  hand.tick(WorkerTime{3999});
  CHECK(hand.takeEffects().empty());
  hand.tick(WorkerTime{4000});
  const auto effects = hand.takeEffects();
  CHECK(effects.size() == 1 && effects[0].kind == HandEffect::Kind::stop &&
        effects[0].attempt == AttemptNumber{102});
  const auto reply = hand.take(lookCall(), WorkerTime{4001});
  CHECK(reply.ended.size() == 2 && reply.ended[0].kind == EndingKind::stopped &&
        reply.ended[1].kind == EndingKind::stopped);
  // A task whose timer rings after the hold was over did not end well.
  hand.take(startCall("ccc", 1, 5000), WorkerTime{4500});
  hand.ended(AttemptNumber{103}, true, WorkerTime{5000});
  CHECK(hand.take(lookCall(2), WorkerTime{5001}).ended.at(0).kind == EndingKind::stopped);
  // However long a deadline, the worker grants no more than its own longest.
  hand.take(startCall("dddd", 1, 900'000), WorkerTime{6000});
  hand.tick(WorkerTime{12'000});
  CHECK(hand.idle());
}

TEST(CalledWorkerSessionTests, ATrialEndsByItself) {
  auto hand = handOf();
  auto call = startCall("a");
  call.order.quantum = Duration{100};
  hand.take(call, WorkerTime{10});
  hand.tick(WorkerTime{109});
  CHECK(!hand.idle());
  hand.tick(WorkerTime{110});
  CHECK(hand.take(lookCall(), WorkerTime{111}).ended.at(0).kind == EndingKind::ranOut);
}

TEST(CalledWorkerSessionTests, AnotherLifeBeginsWithNothing) {
  auto hand = handOf();
  hand.take(startCall("a"), WorkerTime{10});
  hand.takeEffects();
  hand.replaced(WorkerId{"m.2"});
  CHECK(hand.empty());
  const auto effects = hand.takeEffects();
  CHECK(effects.size() == 1 && effects[0].kind == HandEffect::Kind::stop);
  auto call = startCall("a");
  LONGS_EQUAL(int(K::otherLife), kindOf(hand.take(call, WorkerTime{11})));
  call.life = WorkerId{"m.2"};
  LONGS_EQUAL(int(K::done), kindOf(hand.take(call, WorkerTime{12})));
}

TEST(CalledWorkerSessionTests, AGangsPartIsStagedInTheAgentAndStartedWhenToldToGo) {
  NodeAgent agent{NodeAgentOptions{}};
  WorkerAccount account{WorkerId{"m.1"}, {}, false, Duration{0}, WorkerTime{1000}};
  CHECK(agent.known(account, MonotonicTime{0}));
  auto tell = [&](std::uint64_t number, OrderKind kind, const std::string& job, MonotonicTime now) {
    SyncResponse answer;
    answer.term = Term{2};
    Order order;
    order.number = OrderNumber{number};
    order.kind = kind;
    order.job = JobId{job};
    order.run = 1;
    answer.orders.push_back(order);
    agent.answered(agent.report(now), answer, now, now);
  };
  auto starts = [&](MonotonicTime now) {
    std::size_t count = 0;
    for (const auto& call : agent.takeCalls(now)) {
      count += call.kind == WorkerCall::Kind::start;
      WorkerReply reply;
      reply.kind = K::done;
      reply.clock = WorkerTime{1000 + now.milliseconds};
      agent.replied(call, reply, now);
    }
    return long(count);
  };
  tell(1, OrderKind::stage, "gang", MonotonicTime{10});
  LONGS_EQUAL(0, starts(MonotonicTime{20}));
  LONGS_EQUAL(1, long(agent.report(MonotonicTime{21}).lastOrder.value));
  tell(2, OrderKind::go, "gang", MonotonicTime{30});
  LONGS_EQUAL(1, long(agent.report(MonotonicTime{31}).lastOrder.value));
  LONGS_EQUAL(1, starts(MonotonicTime{40}));
  LONGS_EQUAL(2, long(agent.report(MonotonicTime{41}).lastOrder.value));
  // Taken back before it was told to go, and told to go by what an earlier process staged: never
  // begun.
  tell(3, OrderKind::stage, "taken", MonotonicTime{50});
  tell(4, OrderKind::stop, "taken", MonotonicTime{60});
  tell(5, OrderKind::go, "unknown", MonotonicTime{70});
  LONGS_EQUAL(0, starts(MonotonicTime{80}));
  const auto endings = agent.report(MonotonicTime{90}).namedEndings;
  LONGS_EQUAL(2, long(endings.size()));
  for (const auto& ending : endings)
    CHECK(ending.kind == EndingKind::unstarted);
}
