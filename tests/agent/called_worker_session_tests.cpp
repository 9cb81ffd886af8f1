// Tests of called workers: the encoding of their messages as JSON over HTTP, and their session.
// docs/api.md 5.
#include "agent/called_worker_session.hpp"
#include "net/json_worker_protocol.hpp"
#include <CppUTest/TestHarness.h>

using namespace aniseline;

namespace {

TaskRunId runIdOf(const std::string& job, std::uint32_t runNumber = 1) {
  return TaskRunId{JobId{job}, 0, 0, 0, runNumber};
}

WorkerCall startCall(const std::string& job, std::uint32_t runNumber = 1,
                     std::int64_t deadline = 3000) {
  WorkerCall call;
  call.kind = WorkerCall::Kind::start;
  call.workerInstance = WorkerId{"m.1"};
  call.fencingTerm = Term{2};
  call.runId = runIdOf(job, runNumber);
  call.leaseDeadline = WorkerTime{deadline};
  call.order.job = JobId{job};
  call.order.attempt = AttemptNumber{runNumber * 100 + job.size()};
  call.order.cores = 500;
  call.order.memory = 100;
  call.order.runtime = Duration{1000};
  call.order.runNumber = runNumber;
  call.order.payload = call.payload = "run=250";
  return call;
}
WorkerCall stopCall(const std::string& job, std::uint32_t runNumber = 1) {
  WorkerCall call = startCall(job, runNumber);
  call.kind = WorkerCall::Kind::stop;
  return call;
}
WorkerCall pollCall(std::uint64_t confirmedUpTo = 0, std::int64_t deadline = 0) {
  WorkerCall call;
  call.workerInstance = WorkerId{"m.1"};
  call.fencingTerm = Term{2};
  call.confirmedUpTo = confirmedUpTo;
  if (deadline)
    call.leaseDeadline = WorkerTime{deadline};
  return call;
}
CalledWorkerSession sessionWithCores(std::uint32_t cores = 1000) {
  CalledWorkerSession::Options options;
  options.capacity.cores = cores;
  options.capacity.memory = 1000;
  options.capacity.enforcesCapacity = true;
  return CalledWorkerSession(options, WorkerId{"m.1"});
}
int statusOf(const WorkerReply& reply) {
  return int(reply.status);
}
using Status = WorkerReply::Status;

}  // namespace

TEST_GROUP(CalledWorkerSessionTests){};

TEST(CalledWorkerSessionTests, callsAndRepliesAreTheSameAfterEncodingAndDecoding) {
  const auto protocol = jsonWorkerProtocol();
  auto call = startCall("job@0", 7);
  call.order.taskIndex = 3;
  call.order.quantum = Duration{50};
  call.checkpoint = call.order.checkpoint = "place";
  auto read = decodeWorkerCall(protocol.encodeCall(call));
  CHECK(read.has_value());
  CHECK(read.value().runId == call.runId && read.value().leaseDeadline == call.leaseDeadline &&
        read.value().fencingTerm == call.fencingTerm &&
        read.value().workerInstance == call.workerInstance);
  STRCMP_EQUAL("job@0", read.value().order.job.value.c_str());
  LONGS_EQUAL(705, long(read.value().order.attempt.value));
  CHECK(read.value().order.cores == 500 && read.value().order.taskIndex == 3 &&
        read.value().order.quantum == Duration{50} && read.value().order.checkpoint == "place");
  auto poll = pollCall(9, 4000);
  poll.longPollTimeout = Duration{600};
  read = decodeWorkerCall(protocol.encodeCall(poll));
  CHECK(read.has_value() && read.value().kind == WorkerCall::Kind::poll &&
        read.value().confirmedUpTo == 9 && read.value().longPollTimeout == Duration{600});

  WorkerReply reply;
  reply.status = Status::ok;
  reply.clockReading = WorkerTime{77};
  reply.runningTasks.push_back({runIdOf("a"), "here"});
  reply.results.push_back({12, runIdOf("b", 2), AttemptOutcome::quantumExpired, ""});
  reply.complete = false;
  auto encodeAndDecode = [&](const WorkerCall& sentCall, const WorkerReply& sentReply) {
    const ApiResponse httpResponse = encodeWorkerReply(sentCall, sentReply);
    return protocol.decodeReply(sentCall,
                                HttpResponse{httpResponse.status, httpResponse.body, Duration{0}});
  };
  const auto decoded = encodeAndDecode(poll, reply);
  CHECK(decoded.status == Status::ok && decoded.clockReading == WorkerTime{77} &&
        !decoded.complete && decoded.runningTasks.size() == 1 && decoded.results.size() == 1);
  CHECK(decoded.runningTasks[0].runId == runIdOf("a") &&
        decoded.runningTasks[0].checkpoint == "here");
  CHECK(decoded.results[0].sequenceNumber == 12 && decoded.results[0].runId == runIdOf("b", 2) &&
        decoded.results[0].outcome == AttemptOutcome::quantumExpired);
  for (auto kind :
       {Status::fenced, Status::staleRun, Status::deadlineExceeded, Status::insufficientCapacity,
        Status::unavailable, Status::invalidRequest, Status::instanceMismatch}) {
    WorkerReply rejectedReply;
    rejectedReply.status = kind;
    rejectedReply.clockReading = WorkerTime{5};
    LONGS_EQUAL(int(kind), statusOf(encodeAndDecode(call, rejectedReply)));
  }
  LONGS_EQUAL(int(Status::noResponse),
              statusOf(protocol.decodeReply(poll, HttpError{HttpError::Kind::timedOut, "late"})));
}

TEST(CalledWorkerSessionTests,
     registrationsAreTheSameAfterEncodingAndDecodingAndOtherRequestsAreRejected) {
  const auto protocol = jsonWorkerProtocol();
  WorkerRegistration registrationSent{WorkerId{"m.1"}, {}, true, Duration{2000}, WorkerTime{55}};
  registrationSent.capacity.cores = 1500;
  registrationSent.capacity.memory = 64;
  registrationSent.capacity.zone = ZoneName{"zone1"};
  registrationSent.capacity.rack = "rack1";
  registrationSent.capacity.labels = {"fast"};
  const auto notice = protocol.decodeNotice(encodeRegistration(registrationSent));
  CHECK(notice && !notice->shuttingDown &&
        notice->registration.workerInstance == registrationSent.workerInstance &&
        notice->registration.draining && notice->registration.drainTimeout == Duration{2000} &&
        notice->registration.clockReading == registrationSent.clockReading);
  CHECK(notice->registration.capacity.cores == 1500 &&
        notice->registration.capacity.labels == registrationSent.capacity.labels &&
        notice->registration.capacity.rack == "rack1");
  CHECK(notice->registration.capacity.killsOnLeaseExpiry &&
        notice->registration.capacity.honoursLeases &&
        !notice->registration.capacity.supportsSuspend &&
        !notice->registration.capacity.selfAssemblingGangs);
  const auto shutdownNotice = protocol.decodeNotice(encodeShutdownNotice(WorkerId{"m.1"}));
  CHECK(shutdownNotice && shutdownNotice->shuttingDown &&
        shutdownNotice->registration.workerInstance == WorkerId{"m.1"});
  for (const HttpRequest& other :
       {HttpRequest{"GET", "/v1/account", "{}"}, HttpRequest{"POST", "/v1/account", "{}"},
        HttpRequest{"POST", "/v1/account", "no"}, HttpRequest{"POST", "/v1/leave", "{}"},
        HttpRequest{"POST", "/v1/jobs", "{\"life\":\"m\"}"}})
    CHECK(!protocol.decodeNotice(other));
}

TEST(CalledWorkerSessionTests,
     invalidCallsAreRejectedWithTheirPathAndUnreadablePollRepliesCountAsNoResponse) {
  const auto protocol = jsonWorkerProtocol();
  struct Case {
    const char *target, *body, *path;
  };
  for (
      const auto& invalidCase :
      {Case{"/v1/run/start", "no", ""}, Case{"/v1/run/look", R"({"fence":"1"})", "/life"},
       Case{"/v1/run/look", R"({"life":"m","fence":1})", "/fence"},
       Case{"/v1/run/stop", R"({"life":"m","fence":"1"})", "/name/job"},
       Case{"/v1/run/look", R"({"life":"m","fence":"1","deadline_ms":-1})", "/deadline_ms"},
       Case{
           "/v1/run/start",
           R"({"life":"m","fence":"1","name":{"job":"a","step":0,"within":0,"run":1},"job":"a","attempt":"x"})",
           "/attempt"}}) {
    auto read = decodeWorkerCall({"POST", invalidCase.target, invalidCase.body});
    CHECK_TEXT(!read.has_value(), invalidCase.body);
    STRCMP_EQUAL(invalidCase.path, read.error().details.at(0).path.c_str());
  }
  CHECK(decodeWorkerCall({"POST", "/v1/paint", "{}"}).error().kind == CoreError::Kind::notFound);
  for (
      const char* body :
      {"no", "{}", R"({"now_ms":1e999,"active":[],"ended":[]})",
       R"({"active":[],"ended":[{"number":1}]})", R"({"active":[7],"ended":[]})",
       R"({"active":[],"ended":[{"number":1,"kind":"sung","name":{"job":"a","step":0,"within":0,"run":1}}]})"})
    LONGS_EQUAL_TEXT(
        int(Status::noResponse),
        statusOf(protocol.decodeReply(pollCall(), HttpResponse{200, body, Duration{0}})), body);
}

TEST(CalledWorkerSessionTests, startIsCarriedOutOnceAndRejectedWithItsReason) {
  auto session = sessionWithCores();
  LONGS_EQUAL(int(Status::deadlineExceeded),
              statusOf(session.onCall(startCall("a", 1, 10), WorkerTime{10})));
  LONGS_EQUAL(int(Status::ok), statusOf(session.onCall(startCall("a"), WorkerTime{10})));
  LONGS_EQUAL(int(Status::staleRun), statusOf(session.onCall(startCall("a"), WorkerTime{11})));
  LONGS_EQUAL(int(Status::ok), statusOf(session.onCall(startCall("bb"), WorkerTime{12})));
  LONGS_EQUAL(int(Status::insufficientCapacity),
              statusOf(session.onCall(startCall("ccc"), WorkerTime{13})));
  auto older = startCall("ccc");
  older.fencingTerm = Term{1};
  LONGS_EQUAL(int(Status::fenced), statusOf(session.onCall(older, WorkerTime{14})));
  older.workerInstance = WorkerId{"m.0"};
  LONGS_EQUAL(int(Status::instanceMismatch), statusOf(session.onCall(older, WorkerTime{14})));
  LONGS_EQUAL(2, long(session.takeCommands().size()));
  // After a stop that overtakes its start, the start is rejected, and a later run is accepted.
  LONGS_EQUAL(int(Status::ok), statusOf(session.onCall(stopCall("a"), WorkerTime{15})));
  LONGS_EQUAL(int(Status::ok), statusOf(session.onCall(stopCall("dddd", 2), WorkerTime{16})));
  LONGS_EQUAL(int(Status::staleRun),
              statusOf(session.onCall(startCall("dddd", 2), WorkerTime{17})));
  LONGS_EQUAL(int(Status::ok), statusOf(session.onCall(startCall("dddd", 3), WorkerTime{18})));
  session.startDraining();
  LONGS_EQUAL(int(Status::insufficientCapacity),
              statusOf(session.onCall(startCall("a", 9), WorkerTime{19})));
}

TEST(CalledWorkerSessionTests, resultsAreNumberedAndListedUntilAPollConfirmsThem) {
  auto session = sessionWithCores();
  session.onCall(startCall("a"), WorkerTime{10});
  session.onCall(startCall("bb"), WorkerTime{10});
  session.onTaskEnded(AttemptNumber{101}, true, WorkerTime{20});
  session.onTaskEnded(AttemptNumber{102}, false, WorkerTime{30});
  for (int twice = 0; twice < 2; ++twice) {
    const auto reply = session.onCall(pollCall(), WorkerTime{40});
    LONGS_EQUAL(2, long(reply.results.size()));
    CHECK(reply.results[0].sequenceNumber == 1 &&
          reply.results[0].outcome == AttemptOutcome::succeeded &&
          reply.results[1].sequenceNumber == 2 &&
          reply.results[1].outcome == AttemptOutcome::failed);
  }
  CHECK(session.takeConfirmedResults().empty());
  LONGS_EQUAL(1, long(session.onCall(pollCall(1), WorkerTime{50}).results.size()));
  const auto confirmed = session.takeConfirmedResults();
  CHECK(confirmed.size() == 1 && confirmed[0].outcome == AttemptOutcome::succeeded);
}

TEST(CalledWorkerSessionTests, expiredLeaseStopsAllTasksAndVoidsUnconfirmedSuccesses) {
  auto session = sessionWithCores();
  session.onCall(startCall("a", 1, 3000), WorkerTime{10});
  session.onCall(startCall("bb", 1, 3000), WorkerTime{10});
  session.onTaskEnded(AttemptNumber{101}, true, WorkerTime{20});
  session.onCall(pollCall(0, 4000), WorkerTime{100});
  session.takeCommands();
  session.tick(WorkerTime{3999});
  CHECK(session.takeCommands().empty());
  session.tick(WorkerTime{4000});
  const auto commands = session.takeCommands();
  CHECK(commands.size() == 1 && commands[0].kind == TaskCommand::Kind::stop &&
        commands[0].attempt == AttemptNumber{102});
  const auto reply = session.onCall(pollCall(), WorkerTime{4001});
  CHECK(reply.results.size() == 2 && reply.results[0].outcome == AttemptOutcome::stopped &&
        reply.results[1].outcome == AttemptOutcome::stopped);
  // A task that ends after the lease has expired does not count as succeeded.
  session.onCall(startCall("ccc", 1, 5000), WorkerTime{4500});
  session.onTaskEnded(AttemptNumber{103}, true, WorkerTime{5000});
  CHECK(session.onCall(pollCall(2), WorkerTime{5001}).results.at(0).outcome ==
        AttemptOutcome::stopped);
  // The worker limits each deadline to its own maximum lease.
  session.onCall(startCall("dddd", 1, 900'000), WorkerTime{6000});
  session.tick(WorkerTime{12'000});
  CHECK(session.idle());
}

TEST(CalledWorkerSessionTests, trialEndsByItself) {
  auto session = sessionWithCores();
  auto call = startCall("a");
  call.order.quantum = Duration{100};
  session.onCall(call, WorkerTime{10});
  session.tick(WorkerTime{109});
  CHECK(!session.idle());
  session.tick(WorkerTime{110});
  CHECK(session.onCall(pollCall(), WorkerTime{111}).results.at(0).outcome ==
        AttemptOutcome::quantumExpired);
}

TEST(CalledWorkerSessionTests, newInstanceStartsWithoutState) {
  auto session = sessionWithCores();
  session.onCall(startCall("a"), WorkerTime{10});
  session.takeCommands();
  session.onReplaced(WorkerId{"m.2"});
  CHECK(session.empty());
  const auto commands = session.takeCommands();
  CHECK(commands.size() == 1 && commands[0].kind == TaskCommand::Kind::stop);
  auto call = startCall("a");
  LONGS_EQUAL(int(Status::instanceMismatch), statusOf(session.onCall(call, WorkerTime{11})));
  call.workerInstance = WorkerId{"m.2"};
  LONGS_EQUAL(int(Status::ok), statusOf(session.onCall(call, WorkerTime{12})));
}
