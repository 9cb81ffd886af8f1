// Fuzzes the decoding of files in a controller's data folder: any bytes are a record or an error.
#include "net/data_folder.hpp"
#include "state/cluster_state.hpp"
#include "fuzz.hpp"

using namespace aniseline;

FUZZ_TARGET(bytes) {
  (void)DataFolder::unframe("file", bytes);
  auto framed = DataFolder::unframe("file", DataFolder::frame(bytes));
  require(framed.has_value() && framed.value() == bytes);
  auto record = unpack<WriteAheadRecord>(bytes);
  if (!record)
    return;
  (void)unpack<ClusterState>(record.value().snapshot.state);
  for (const auto& entry : record.value().entries)
    (void)unpack<LogRecord>(entry.payload);
  const std::string encoded = pack(record.value());
  auto decodedAgain = unpack<WriteAheadRecord>(encoded);
  require(decodedAgain.has_value() && pack(decodedAgain.value()) == encoded);
}
