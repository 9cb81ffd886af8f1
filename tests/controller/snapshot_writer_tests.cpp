// Tests of the snapshot writer.
#include "controller/snapshot_writer.hpp"

#include <CppUTest/TestHarness.h>
using namespace aniseline;

TEST_GROUP(SnapshotWriterTests){};

// A snapshot contains exactly the records up to its index, whatever is applied while it is packed.
TEST(SnapshotWriterTests, packsTheStateAsItWasWhenTheSnapshotWasDue) {
  auto acceptedJobRecord = [](const char* id) {
    JobSubmission job;
    job.id = JobId{id};
    job.queue = QueueName{"q"};
    job.steps = {{"s", {}, false, {TaskRequest{}}}};
    return LogRecord{ClusterTime{5}, JobAccepted{job}};
  };
  ClusterState committed;
  committed.apply(acceptedJobRecord("a"));
  committed.apply(acceptedJobRecord("b"));
  const SnapshotWork work{LogIndex{2}, committed};
  committed.apply(acceptedJobRecord("c"));
  const PackedSnapshot snapshot = packSnapshot(work);
  LONGS_EQUAL(2, snapshot.index.value);
  const auto state = unpack<ClusterState>(snapshot.state);
  LONGS_EQUAL(2, state.value().jobs().size());
  LONGS_EQUAL(0, state.value().jobs().count(JobId{"c"}));
}
