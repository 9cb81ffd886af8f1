// Defines the messages that aniseline processes exchange, and their framing on TCP: a header with a
// checksum, followed by a body in Boost.Serialization. docs/design.md 9.3.
//
// The order of the serialized fields and of the alternatives of WireBody defines the wire format;
// any change to it requires a new `wireFormat`.
#ifndef ANISELINE_NET_WIRE_HPP
#define ANISELINE_NET_WIRE_HPP
#include "raft/node.hpp"
#include "state/api_request.hpp"

namespace aniseline {

// Reports whether there is nothing to serialize: the sender knows no configuration.
inline bool isAbsent(const ConfigVersion& version) {
  return version == ConfigVersion{};
}

// Asks a process for the route to the leader and identifies the sender.
struct RouteQuery {
  GatewayEndpoint gateway;  // the sender, if it is a gateway; else empty
  Address controller;       // the sender, if it is a controller; else empty
  // The sender is a controller without state and may bootstrap a cluster. docs/design.md 3.7
  bool canBootstrap = false;
  // The configuration whose priority queues the sender knows; the reply leaves them out if it is
  // still in force. Absent if the sender knows none.
  ConfigVersion knownConfig{};
  template <class Archive>
  void serialize(Archive& archive, unsigned) {
    archive& gateway& controller& canBootstrap;
    serializeTrailingSection(archive, knownConfig);
  }
};

// A controller's reply to a RouteQuery.
struct RouteReply {
  LeaderRoute view;
  ControllerId id;
  Address peer;
  ZoneName zone;
  bool uninitialized = false;  // the controller belongs to no cluster yet
  bool isLeader = false;
  bool hasDisk = true;         // the controller has a disk, so it may bootstrap and vote
  Address bootstrapCandidate;  // the controller that a diskless controller chose to bootstrap
  template <class Archive>
  void serialize(Archive& archive, unsigned) {
    archive& view& id& peer& zone& uninitialized& isLeader& hasDisk& bootstrapCandidate;
    serializeTrailingSection(archive, view.cluster);
  }
};

// An operator's request to a controller without state to bootstrap a new cluster.
struct BootstrapRequest {
  template <class Archive>
  void serialize(Archive&, unsigned) {}
};

using WireBody =
    boost::variant<PeerMessage, ApiRequest, ApiResponse, RouteQuery, RouteReply, BootstrapRequest>;

struct WireMessage {
  // The reply carries the id of its request; 0 on a message without a reply. The ids that one side
  // sends increase on a connection.
  std::uint64_t correlationId = 0;
  WireBody body;
  template <class Archive>
  void serialize(Archive& archive, unsigned) {
    archive& correlationId& body;
  }
};

struct WireError {
  enum class Kind {
    unreachable,     // nothing was sent
    connectionLost,  // the message was sent at least in part; no reply will arrive
    timedOut,        // no reply arrived in time
    malformed        // the received bytes are not a valid message of this format
  } kind = Kind::unreachable;
  std::string text;
};
// Returns the error's code for logs, in snake_case.
const char* name(WireError::Kind kind);

constexpr std::uint32_t wireFormat = 7;

// The header before each message; sent as its raw bytes.
struct FrameHeader {
  std::uint32_t magic = 0;
  std::uint32_t format = 0;
  std::uint32_t bodyBytes = 0;
  std::uint32_t bodyChecksum = 0;
};

// Returns the frame of a message: header and body.
std::string encode(const WireMessage& message);
// Decodes one complete frame.
Result<WireMessage, WireError> decode(const std::string& bytes);
// The two steps of `decode`, for a reader that receives a frame in pieces: `checkHeader` returns
// why a header is not acceptable, `decodeBody` returns the message in a body.
std::optional<WireError> checkHeader(const FrameHeader& header);
Result<WireMessage, WireError> decodeBody(const FrameHeader& header, const std::string& body);

}  // namespace aniseline

#endif  // ANISELINE_NET_WIRE_HPP
