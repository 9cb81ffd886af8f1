// Fuzzes the parsing of configurations and of configuration patches. Input: the JSON text.
#include "state/config_patch.hpp"
#include "state/cluster_config.hpp"
#include "fuzz.hpp"

using namespace aniseline;

FUZZ_TARGET(bytes) {
  if (const auto patch = ConfigPatch::parse(bytes))
    (void)patch.value().applyTo(R"({"queues":{"proofs":{}},"entrances":[{"name":"a"}]})");
  auto config = ClusterConfig::parse(bytes);
  if (!config)
    return require(!config.error().details.empty());
  require(unpack<ClusterConfig>(pack(config.value())).has_value());
}
