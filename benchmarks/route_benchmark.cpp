// Measures how a controller sends the route to the leader, and how a gateway reads it.
#include "benchmarks/benchmarks.hpp"
#include "controller/controller.hpp"
#include "net/wire.hpp"

namespace aniseline::benchmarks {

Metrics measureRoute(const Sizes& sizes, std::uint64_t seed) {
  Metrics values;
  WriteAheadRecord record;
  record.version = DiskVersion{1};
  record.holdsSnapshot = true;
  record.term = Term{1};
  const Member self{ControllerId{"r0"}, Address{"r0:1"}, ZoneName{"zone0"}, true};
  record.snapshot =
      Snapshot{LogIndex{1},
               Term{1},
               {self},
               pack(presetClusterState(Sizes{11, 0, 0, 0, sizes.queues, 0, 0, 10}, Random(seed)))};
  record.firstIndex = LogIndex{2};
  Controller controller(self, {}, seed, {record}, MonotonicTime{0});
  for (std::size_t gateway = 0; gateway < sizes.gateways; ++gateway)
    controller.recordGateway({Address{"10.0." + std::to_string(gateway / 250) + "." +
                                      std::to_string(gateway % 250) + ":8080"},
                              ZoneName{"zone" + std::to_string(gateway % 3)}},
                             MonotonicTime{0});
  std::string bytes;
  constexpr int rounds = 200;
  values["tell_us"] = measureCpuMicros([&] {
                        for (int round = 0; round < rounds; ++round) {
                          RouteReply reply;
                          reply.view = controller.route(MonotonicTime{100});
                          bytes = encode(WireMessage{1, reply});
                        }
                      }) /
                      rounds;
  values["tell_bytes"] = double(bytes.size());
  LeaderRoute route;
  values["take_us"] = measureCpuMicros([&] {
                        for (int round = 0; round < rounds; ++round) {
                          auto message = unpack<WireMessage>(bytes.substr(16)).value();
                          route.mergeNewer(std::move(boost::get<RouteReply>(message.body).view));
                        }
                      }) /
                      rounds;
  return values;
}

}  // namespace aniseline::benchmarks
