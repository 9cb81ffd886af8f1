// Tests of the snapshot writer.
#include "controller/snapshot_writer.hpp"

#include <CppUTest/TestHarness.h>
using namespace aniseline;

TEST_GROUP(SnapshotWriterTests){};

// A snapshot contains exactly the records that were handed over, and a restart discards the
// previous state.
TEST(SnapshotWriterTests, packsGivenRecordsAndRestarts) {
  auto acceptedJobRecord = [](const char* id) {
    JobSubmission job;
    job.id = JobId{id};
    job.queue = QueueName{"q"};
    job.steps = {{"s", {}, false, {TaskRequest{}}}};
    return pack(LogRecord{ClusterTime{5}, JobAccepted{job}});
  };
  SnapshotWriter writer;
  CHECK(!writer.process({std::nullopt, {acceptedJobRecord("a")}, std::nullopt}));
  const auto first = writer.process({std::nullopt, {acceptedJobRecord("b")}, LogIndex{2}});
  LONGS_EQUAL(2, first->index.value);
  LONGS_EQUAL(2, unpack<ClusterState>(first->state).value().jobs().size());
  const auto second = writer.process({pack(ClusterState{}), {acceptedJobRecord("c")}, LogIndex{9}});
  LONGS_EQUAL(1, unpack<ClusterState>(second->state).value().jobs().count(JobId{"c"}));
  LONGS_EQUAL(1, unpack<ClusterState>(second->state).value().jobs().size());
}
