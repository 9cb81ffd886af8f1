// Fuzzes the decoding of frames between aniseline's processes: any bytes are a message or an error,
// and a decoded message is always encoded to the same bytes.
#include "net/wire.hpp"
#include "fuzz.hpp"

using namespace aniseline;

FUZZ_TARGET(bytes) {
  (void)decode(bytes);
  // The checksum would reject nearly all inputs, so the body is decoded without it.
  auto message = unpack<WireMessage>(bytes);
  if (!message)
    return;
  const std::string encoded = encode(message.value());
  auto decodedAgain = decode(encoded);
  require(decodedAgain.has_value() && encode(decodedAgain.value()) == encoded);
}
