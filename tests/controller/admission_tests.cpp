// Jobs that would start too late to be useful are rejected at once, with a retry delay; other jobs
// are accepted. docs/design.md 10.
#include "controller/controller.hpp"
#include <CppUTest/TestHarness.h>

using namespace aniseline;

TEST_GROUP(AdmissionTests) {
  std::int64_t now = 1000;
  std::uint64_t requests = 0;
  Controller controller{Member{ControllerId{"r"}, Address{"r:1"}, ZoneName{"x"}, false},
                        {},
                        1,
                        {},
                        MonotonicTime{now}};
  std::map<RequestNumber, ApiResponse> responses;

  void setup() override {
    controller.bootstrap(MonotonicTime{now});
    run(2000);
    ApiRequest request;
    request.kind = RequestKind::applyConfig;
    request.text =
        R"({"planner":{"trials":false,"urgency_first":true},"queues":{"proofs":{"urgency":2,"tries":3,"extend":1.5,"target_ms":500},
            "plates":{"urgency":0,"tries":3,"extend":3,"target_ms":3000},"plain":{"tries":3}}})";
    LONGS_EQUAL(200, sendAndWait(request).status);
    request = ApiRequest{};
    request.kind = RequestKind::syncWorker;
    request.targetId = "m";
    request.report.id = WorkerId{"m"};
    request.report.incarnation = Incarnation{1};
    request.report.capacity.cores = 4000;
    request.report.capacity.memory = 100'000;
    LONGS_EQUAL(200, sendAndWait(request).status);
  }
  void run(std::int64_t span) {
    for (const std::int64_t end = now + span; now < end; now += 10) {
      controller.step(MonotonicTime{now}, WallTime{now});
      while (auto record = controller.takeWrite())
        controller.onRecordSynced(record->version, MonotonicTime{now});
      controller.takeMessages();
      for (auto& [number, response] : controller.takeResponses())
        responses[number] = response;
    }
  }
  ApiResponse sendAndWait(const ApiRequest& request) {
    const RequestNumber number{++requests};
    controller.submitRequest(number, request, MonotonicTime{now});
    run(50);
    CHECK(responses.count(number));
    return responses[number];
  }
  ApiResponse submit(const std::string& queue, std::int64_t runtime, std::size_t tasks) {
    ApiRequest request;
    request.kind = RequestKind::submitJob;
    request.job.id = JobId{"job" + std::to_string(requests)};
    request.job.queue = QueueName{queue};
    request.job.steps = {
        {"s",
         {},
         false,
         std::vector<TaskRequest>(tasks, TaskRequest{2000, 100, Duration{runtime}, ""})}};
    return sendAndWait(request);
  }
};

// There are four cores. A job of 40 tasks of 200 ms on two cores each takes all of them for four
// seconds. Its latency target is 0.8 s, and one and a half times that is 1.2 s.
TEST(AdmissionTests, jobThatWouldStartTooLateIsRejectedWithRetryDelay) {
  LONGS_EQUAL(202, submit("proofs", 200, 40).status);
  run(300);
  const ApiResponse rejected = submit("proofs", 200, 40);
  LONGS_EQUAL(429, rejected.status);
  STRCMP_EQUAL("overloaded", rejected.errorKind.c_str());
  CHECK(rejected.retryAfter >= Duration{500} && rejected.retryAfter <= Duration{3000});
  // A queue without a latency target is limited only by its maximum number of open jobs.
  LONGS_EQUAL(202, submit("plain", 200, 1).status);
}

// A smaller job is planned before the large one, so it does not wait for it. Jobs of the same size
// do delay each other: seven jobs of 6 tasks also take four seconds.
TEST(AdmissionTests, largerJobDoesNotDelaySmallerJob) {
  LONGS_EQUAL(202, submit("proofs", 200, 40).status);
  run(300);
  LONGS_EQUAL(202, submit("proofs", 200, 1).status);
}
TEST(AdmissionTests, jobsOfSameSizeDelayEachOther) {
  int accepted = 0;
  while (submit("proofs", 200, 6).status == 202)
    ++accepted;
  CHECK(accepted >= 2 && accepted <= 4);
  LONGS_EQUAL(202, submit("proofs", 200, 1).status);
}

// Work that is planned after a job does not delay it, and a job with a distant latency target can
// wait for the work before it.
TEST(AdmissionTests, lowPriorityWorkDoesNotBlockUrgentJobs) {
  LONGS_EQUAL(202, submit("plates", 60'000, 40).status);
  run(300);
  LONGS_EQUAL(202, submit("proofs", 200, 40).status);
  run(300);
  LONGS_EQUAL(202, submit("plates", 600'000, 1).status);
}

// If no worker is known, or all have been removed, the wait can't be estimated.
TEST(AdmissionTests, withoutWorkersNoJobIsRejected) {
  ApiRequest removal;
  removal.kind = RequestKind::removeWorker;
  removal.targetId = "m";
  LONGS_EQUAL(200, sendAndWait(removal).status);
  run(300);
  LONGS_EQUAL(202, submit("proofs", 200, 40).status);
  run(300);
  LONGS_EQUAL(202, submit("proofs", 200, 40).status);
}

// A report that a worker is unresponsive has no effect if a later report has arrived first.
// docs/design.md 5.8.
TEST(AdmissionTests, outOfOrderUnresponsiveReportIsIgnored) {
  ApiRequest syncRequest;
  syncRequest.kind = RequestKind::syncWorker;
  syncRequest.targetId = "p";
  syncRequest.report.id = WorkerId{"p"};
  syncRequest.report.incarnation = Incarnation{1};
  syncRequest.report.capacity.cores = 4000;
  syncRequest.report.capacity.memory = 100'000;
  syncRequest.report.capacity.honoursLeases = syncRequest.report.capacity.killsOnLeaseExpiry = true;
  syncRequest.report.wantsPackedResponse = true;
  syncRequest.report.reportedAt = MonotonicTime{200};
  LONGS_EQUAL(200, sendAndWait(syncRequest).status);
  syncRequest.report.unresponsive = true;
  syncRequest.report.reportedAt = MonotonicTime{100};
  LONGS_EQUAL(200, sendAndWait(syncRequest).status);
  run(1000);
  CHECK(controller.committed().workers().at(WorkerId{"p"}).state == WorkerState::available);
  syncRequest.report.reportedAt = MonotonicTime{300};
  LONGS_EQUAL(200, sendAndWait(syncRequest).status);
  run(1000);
  CHECK(controller.committed().workers().at(WorkerId{"p"}).state == WorkerState::unreachable);
}
