// Frames between our processes: any bytes are a message or an error, and a message that was read is
// written as the same bytes again.
#include "net/wire.hpp"
#include "fuzz.hpp"

using namespace aniseline;

FUZZ_TARGET(bytes) {
  (void)decode(bytes);
  // The checksum would turn away nearly all: the body is read as if it had been right.
  auto message = unpack<WireMessage>(bytes);
  if (!message)
    return;
  const std::string written = encode(message.value());
  auto again = decode(written);
  require(again.has_value() && encode(again.value()) == written);
}
