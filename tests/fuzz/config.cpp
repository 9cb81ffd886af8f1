// Configurations as operators write them.
#include "state/cluster_config.hpp"
#include "fuzz.hpp"

using namespace aniseline;

FUZZ_TARGET(bytes) {
  auto config = ClusterConfig::parse(bytes);
  if (!config)
    return require(!config.error().details.empty());
  require(unpack<ClusterConfig>(pack(config.value())).has_value());
}
