// Tests the free, guaranteed and expected resources of a worker as attempts are allocated and
// suspended.
#include "scheduling/worker_view.hpp"
#include <CppUTest/TestHarness.h>

using namespace aniseline;
using namespace aniseline::scheduling;

namespace {

struct WorkerFixture {
  Worker worker;
  PoolView pool;
  Attempt attempt;

  WorkerFixture() {
    worker.capacity.cores = 8000;
    worker.capacity.memory = 1000;
    worker.capacity.accelerators = 2;
    attempt.number = AttemptNumber{7};
  }
  WorkerView view() { return WorkerView(worker, pool, {}); }
  Allocation allocation(std::int64_t end) {
    return {&attempt, Resources{3000, 400, 1}, ClusterTime{end}, false, false};
  }
};

}  // namespace

TEST_GROUP(WorkerView){};

TEST(WorkerView, anAllocationTakesResourcesUntilItsExpectedEnd) {
  WorkerFixture fixture;
  WorkerView view = fixture.view();
  view.allocate(fixture.allocation(100));
  LONGS_EQUAL(5000, view.freeCores());
  LONGS_EQUAL(600, view.freeResources().memory);
  LONGS_EQUAL(1, view.freeResources().accelerators);
  LONGS_EQUAL(5000, view.expectedFreeAt(ClusterTime{99}).cores);
  LONGS_EQUAL(8000, view.expectedFreeAt(ClusterTime{100}).cores);
  view.releaseLast();
  LONGS_EQUAL(8000, view.freeCores());
  LONGS_EQUAL(2, view.freeResources().accelerators);
}

// A suspended attempt frees its cores for a trial, but they are not guaranteed to stay free,
// because the attempt resumes.
TEST(WorkerView, aSuspendedAttemptKeepsItsMemoryAndCoreGuarantee) {
  WorkerFixture fixture;
  WorkerView view = fixture.view();
  view.allocate(fixture.allocation(100));
  view.suspendForTrial(fixture.attempt, Duration{50});
  LONGS_EQUAL(8000, view.freeCores());
  LONGS_EQUAL(5000, view.guaranteedFreeCores());
  LONGS_EQUAL(600, view.freeResources().memory);
  LONGS_EQUAL(5000, view.expectedFreeAt(ClusterTime{149}).cores);
  LONGS_EQUAL(8000, view.expectedFreeAt(ClusterTime{150}).cores);
}

// docs/paper.md 5: some memory is reserved for trials, unless the request could never be met
// without it.
TEST(WorkerView, memoryIsReservedForTrialsUnlessARequestNeedsIt) {
  WorkerFixture fixture;
  const WorkerView view = fixture.view();
  CHECK(view.memorySuffices(1000, 800, 200));
  CHECK(!view.memorySuffices(900, 800, 200));
  CHECK(view.memorySuffices(900, 850, 200));
  CHECK(!view.memorySuffices(800, 850, 200));
}

TEST_GROUP(FailedRequests){};

TEST(FailedRequests, aFailureCoversRequestsThatAreAtLeastAsLarge) {
  FailedRequests failed;
  failed.add({2000, 100, Duration{10}});
  CHECK(failed.covers({2000, 100, Duration{10}}));
  CHECK(failed.covers({3000, 100, Duration{20}}));
  CHECK(!failed.covers({1000, 100, Duration{10}}));
  CHECK(!failed.covers({2000, 99, Duration{10}}));
  CHECK(!failed.covers({2000, 100, Duration{9}}));
  failed.add({1000, 50, Duration{5}});
  CHECK(failed.covers({1000, 100, Duration{10}}));
}
