// Measures the memory of a cluster state and the cost of serializing, copying and searching it.
#include "benchmarks/benchmarks.hpp"
#include "controller/controller.hpp"

namespace aniseline::benchmarks {

Metrics measureState(const Sizes& sizes, std::uint64_t seed) {
  Metrics values;
  const double baselineHeap = heapBytes();
  const ClusterState clusterState = presetClusterState(sizes, Random(seed));
  const double heapWithOneState = heapBytes();
  std::optional<ClusterState> copy;
  values["copy_ms"] = measureCpuMicros([&] { copy = clusterState; }) / 1000;
  values["cluster_state_bytes"] = heapBytes() - heapWithOneState;
  values["heap_bytes_after_folding"] = heapWithOneState - baselineHeap;
  copy.reset();
  std::string packed;
  values["view_pack_ms"] = measureCpuMicros([&] { packed = pack(clusterState); }) / 1000;
  values["view_bytes"] = double(packed.size());
  values["view_read_ms"] =
      measureCpuMicros([&] { copy = unpack<ClusterState>(packed).value(); }) / 1000;
  copy.reset();
  {
    WriteAheadRecord record;
    record.version = DiskVersion{1};
    record.holdsSnapshot = true;
    record.term = Term{1};
    const Member self{ControllerId{"r0"}, Address{"r0:1"}, ZoneName{"zone0"}, true};
    record.snapshot = Snapshot{LogIndex{1}, Term{1}, {self}, packed};
    record.firstIndex = LogIndex{2};
    const double before = heapBytes();
    Controller controller(self, {}, seed, {record}, MonotonicTime{0});
    controller.takeSnapshotWork();
    values["follower_heap_bytes"] =
        heapBytes() - before;  // one cluster state and the snapshot it was read from; a leader has
                               // a second cluster state
  }
  {
    ClusterState changed = clusterState;
    const LogRecord registration{
        changed.now(),
        WorkerRegistered{WorkerId{"another"}, Incarnation{1}, capacityOf(sizes, sizes.workers)}};
    values["fold_seen_us"] = measureCpuMicros([&] { changed.apply(registration); });
  }
  // A result that is already final is searched among all attempts, and so are the attempts of a job
  // that ends.
  const TaskRunId finishedRun{JobId{"running-0"}, 0, 0, 0, 99};
  values["closed_ending_us"] = measureCpuMicros([&] {
                                 for (int round = 0; round < 20; ++round)
                                   clusterState.findAttempt(workerIdOf(0), finishedRun);
                               }) /
                               20;
  values["attempts_of_job_us"] =
      measureCpuMicros([&] {
        for (int round = 0; round < 20; ++round)
          clusterState.attemptsOf(JobId{"running-0"}, AttemptScope::withoutAbandoned);
      }) /
      20;
  return values;
}

}  // namespace aniseline::benchmarks
