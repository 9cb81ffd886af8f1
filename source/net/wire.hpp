// What our own processes say to each other: the messages, and the frames in which they travel over
// TCP (Boost.Serialization behind a header with a checksum). docs/design.md 9.3.
//
// The order of the serialized fields and of the alternatives of WireBody is the wire format; any
// change to it needs another `wireFormat`.
#ifndef ANISELINE_NET_WIRE_HPP
#define ANISELINE_NET_WIRE_HPP
#include "raft/node.hpp"
#include "state/api_request.hpp"

namespace aniseline {

// Asks a process for the route to the leader, and introduces whoever asks.
struct RouteQuery {
  GatewayEndpoint gateway;    // of a gateway that asks, else empty
  Address controller;         // of a controller that asks, else empty
  bool canBootstrap = false;  // the asking controller is blank and may bootstrap a cluster.
                              // docs/design.md 3.7
  template <class Archive>
  void serialize(Archive& archive, unsigned) {
    archive& gateway& controller& canBootstrap;
  }
};

// The answer of a controller to a RouteQuery.
struct RouteReply {
  LeaderRoute view;
  ControllerId id;
  Address peer;
  ZoneName zone;
  bool uninitialized = false;  // it knows of no cluster
  bool isLeader = false;
  bool hasDisk = true;         // so it may bootstrap and vote
  Address bootstrapCandidate;  // of one without a disk: the controller that it named to bootstrap
  template <class Archive>
  void serialize(Archive& archive, unsigned) {
    archive& view& id& peer& zone& uninitialized& isLeader& hasDisk& bootstrapCandidate;
  }
};

// An operator asks a blank controller to bootstrap a new cluster.
struct BootstrapRequest {
  template <class Archive>
  void serialize(Archive&, unsigned) {}
};

using WireBody =
    boost::variant<PeerMessage, ApiRequest, ApiResponse, RouteQuery, RouteReply, BootstrapRequest>;

struct WireMessage {
  // Repeated by the answer; 0 on a message that gets none. One side's only rise on a connection.
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
    connectionLost,  // it was sent, or a part of it; no answer will come
    timedOut,        // no answer in time
    malformed        // what came is no message of this format
  } kind = Kind::unreachable;
  std::string text;
};
// The error's code in logs, in snake_case.
const char* name(WireError::Kind kind);

constexpr std::uint32_t wireFormat = 7;

// What stands before each message; sent as its bytes.
struct FrameHeader {
  std::uint32_t magic = 0;
  std::uint32_t format = 0;
  std::uint32_t bodyBytes = 0;
  std::uint32_t bodyChecksum = 0;
};

std::string encode(const WireMessage& message);
// One whole frame, as `encode` makes it.
Result<WireMessage, WireError> decode(const std::string& bytes);
// The two halves of `decode`, for a reader that gets a frame piece by piece: why a header can't be
// followed by a message of ours, and the message in a body.
std::optional<WireError> checkHeader(const FrameHeader& header);
Result<WireMessage, WireError> decodeBody(const FrameHeader& header, const std::string& body);

}  // namespace aniseline

#endif  // ANISELINE_NET_WIRE_HPP
