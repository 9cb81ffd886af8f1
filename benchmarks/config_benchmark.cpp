// A change of configuration: read, packed, applied and compiled.
#include "benchmarks/benchmarks.hpp"

namespace aniseline::benchmarks {

Values measureConfig(const Sizes& sizes, std::uint64_t) {
  Values values;
  const std::string text = configText(sizes.queues, 1);
  values["text_bytes"] = double(text.size());
  ClusterConfig config;
  values["parse_us"] = timed([&] { config = ClusterConfig::parse(text).value(); });
  config.version = ConfigVersion{2};
  std::string packed;
  values["pack_us"] = timed([&] {
    packed = pack(LogRecord{ClusterTime{0}, ConfigCommitted{config}});
  });
  values["record_bytes"] = double(packed.size());
  values["read_us"] = timed([&] { unpack<LogRecord>(packed).value(); });
  ClusterState clusterState =
      presetClusterState(Sizes{11, 0, 0, 0, sizes.queues, 7, 0, 10}, Random(1));
  Planner planner;
  const auto heard = noSilence(Sizes{11});
  planner.makePlan(clusterState, ClusterTime{2000}, heard);
  values["fold_us"] = timed([&] {
    clusterState.apply(LogRecord{ClusterTime{2000}, ConfigCommitted{config}});
  });
  values["compile_us"] = timed([&] { planner.makePlan(clusterState, ClusterTime{2000}, heard); });
  values["entrance_us"] = timed([&] {
                            for (int round = 0; round < 100; ++round)
                              config.findIngressRoute("jobs.example", "/team-3/job-1");
                          }) /
                          100;
  return values;
}

}  // namespace aniseline::benchmarks
