// Measures a change of the configuration: parsing, serializing, applying and compiling it.
#include "benchmarks/benchmarks.hpp"

namespace aniseline::benchmarks {

Metrics measureConfig(const Sizes& sizes, std::uint64_t) {
  Metrics values;
  const std::string text = configText(sizes.queues, 1);
  values["text_bytes"] = double(text.size());
  ClusterConfig config;
  values["parse_us"] = measureCpuMicros([&] { config = ClusterConfig::parse(text).value(); });
  config.version = ConfigVersion{2};
  std::string packed;
  values["pack_us"] = measureCpuMicros([&] {
    packed = pack(LogRecord{ClusterTime{0}, ConfigCommitted{config}});
  });
  values["record_bytes"] = double(packed.size());
  values["read_us"] = measureCpuMicros([&] { unpack<LogRecord>(packed).value(); });
  ClusterState clusterState =
      presetClusterState(Sizes{11, 0, 0, 0, sizes.queues, 7, 0, 10}, Random(1));
  Planner planner;
  const auto contactAges = zeroContactAges(Sizes{11});
  planner.makePlan(clusterState, ClusterTime{2000}, contactAges);
  values["fold_us"] = measureCpuMicros([&] {
    clusterState.apply(LogRecord{ClusterTime{2000}, ConfigCommitted{config}});
  });
  values["compile_us"] =
      measureCpuMicros([&] { planner.makePlan(clusterState, ClusterTime{2000}, contactAges); });
  values["entrance_us"] = measureCpuMicros([&] {
                            for (int round = 0; round < 100; ++round)
                              config.findIngressRoute("jobs.example", "/team-3/job-1");
                          }) /
                          100;
  return values;
}

}  // namespace aniseline::benchmarks
