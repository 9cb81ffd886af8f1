// Encodes and decodes frames.
#include "net/wire.hpp"

namespace aniseline {

namespace {

constexpr std::uint32_t frameMagic = 0x534e4130;  // "0ANS"
// The largest accepted body, in bytes. Snapshots are sent in chunks that are far smaller.
constexpr std::uint32_t maxBodyBytes = 256 * 1024 * 1024;

WireError malformed(std::string text) {
  return WireError{WireError::Kind::malformed, std::move(text)};
}

}  // namespace

const char* name(WireError::Kind kind) {
  switch (kind) {
    case WireError::Kind::unreachable:
      return "unreachable";
    case WireError::Kind::connectionLost:
      return "connection_lost";
    case WireError::Kind::timedOut:
      return "timed_out";
    case WireError::Kind::malformed:
      return "malformed";
  }
  return "unreachable";
}

std::string encode(const WireMessage& message) {
  const std::string body = pack(message);
  const FrameHeader header{frameMagic, wireFormat, std::uint32_t(body.size()), checksum(body)};
  return std::string(reinterpret_cast<const char*>(&header), sizeof header) + body;
}

std::optional<WireError> checkHeader(const FrameHeader& header) {
  if (header.magic != frameMagic)
    return malformed("the peer does not speak our protocol");
  if (header.format != wireFormat)
    return malformed("the peer speaks format " + std::to_string(header.format) +
                     ", this process speaks " + std::to_string(wireFormat));
  if (header.bodyBytes > maxBodyBytes)
    return malformed("a message of " + std::to_string(header.bodyBytes) + " bytes is too large");
  return std::nullopt;
}

Result<WireMessage, WireError> decodeBody(const FrameHeader& header, const std::string& body) {
  if (checksum(body) != header.bodyChecksum)
    return malformed("a message's checksum does not match");
  auto message = unpack<WireMessage>(body);
  if (!message)
    return malformed(message.error().text());
  return std::move(message.value());
}

Result<WireMessage, WireError> decode(const std::string& bytes) {
  FrameHeader header;
  if (bytes.size() < sizeof header)
    return malformed("the header is incomplete");
  std::memcpy(&header, bytes.data(), sizeof header);
  if (auto error = checkHeader(header))
    return *error;
  if (bytes.size() - sizeof header != header.bodyBytes)
    return malformed("the message is not as long as its header says");
  return decodeBody(header, bytes.substr(sizeof header));
}

}  // namespace aniseline
