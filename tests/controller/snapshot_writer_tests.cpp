// Tests of the snapshot writer.
#include "controller/snapshot_writer.hpp"

#include <CppUTest/TestHarness.h>
using namespace aniseline;

TEST_GROUP(SnapshotWriterTests){};

// A snapshot contains exactly the records that were handed over, and a restart discards the
// previous state.
TEST(SnapshotWriterTests, packsWhatItWasGivenAndBeginsAnew) {
  auto allowed = [](const char* id) {
    JobSubmission job;
    job.id = JobId{id};
    job.queue = QueueName{"q"};
    job.steps = {{"s", {}, false, {TaskRequest{}}}};
    return pack(LogRecord{ClusterTime{5}, JobAccepted{job}});
  };
  SnapshotWriter keeper;
  CHECK(!keeper.process({std::nullopt, {allowed("a")}, std::nullopt}));
  const auto first = keeper.process({std::nullopt, {allowed("b")}, LogIndex{2}});
  LONGS_EQUAL(2, first->index.value);
  LONGS_EQUAL(2, unpack<ClusterState>(first->state).value().jobs().size());
  const auto second = keeper.process({pack(ClusterState{}), {allowed("c")}, LogIndex{9}});
  LONGS_EQUAL(1, unpack<ClusterState>(second->state).value().jobs().count(JobId{"c"}));
  LONGS_EQUAL(1, unpack<ClusterState>(second->state).value().jobs().size());
}
