// What our own processes say to each other: framed, checksummed Boost.Serialization over TCP.
// docs/design.md 9.3.
#ifndef ANISELINE_NET_WIRE_HPP
#define ANISELINE_NET_WIRE_HPP
#include "net/event_loop.hpp"
#include "controller/controller.hpp"

namespace aniseline {

struct RouteQuery {
  GatewayEndpoint gateway;  // of a gateway that asks, else empty
  Address
      controller;  // of a controller that asks, so that whoever is asked learns of it; else empty
  bool canBootstrap = false;  // it is blank and may found a cluster. docs/design.md 3.7
  template <class Archive>
  void serialize(Archive& archive, unsigned) {
    archive& gateway& controller& canBootstrap;
  }
};
struct RouteReply {
  LeaderRoute view;
  ControllerId id;
  Address peer;
  ZoneName zone;
  bool uninitialized = false;  // it knows of no cluster
  bool isLeader = false;
  bool hasDisk = true;         // it has a disk, so it may found and vote
  Address bootstrapCandidate;  // of one that has none: the controller that it named to found
  template <class Archive>
  void serialize(Archive& archive, unsigned) {
    archive& view& id& peer& zone& uninitialized& isLeader& hasDisk& bootstrapCandidate;
  }
};
struct BootstrapRequest {  // an operator's word: found a new cluster here
  template <class Archive>
  void serialize(Archive&, unsigned) {}
};
using WireBody =
    boost::variant<PeerMessage, ApiRequest, ApiResponse, RouteQuery, RouteReply, BootstrapRequest>;
struct WireMessage {
  std::uint64_t correlationId = 0;
  WireBody body;
  template <class Archive>
  void serialize(Archive& archive, unsigned) {
    archive& correlationId& body;
  }
};

struct WireError {
  enum class Kind { unreachable, connectionLost, timedOut, malformed } kind = Kind::unreachable;
  std::string text;
};

constexpr std::uint32_t wireFormat = 5;
std::string encode(const WireMessage& message);
// One whole message, as encode gives it.
Result<WireMessage, WireError> decode(const std::string& bytes);
// Reads one message; a peer that speaks another format, or garbles, is an error and its connection
// ends.
Result<WireMessage, WireError> readMessage(tcp::socket& socket);
// Reads what one peer sends on one connection. A caller's correlations only rise there, so a
// request whose bytes come twice is handed out once; the second ends the connection.
class WireReader {
 public:
  explicit WireReader(std::shared_ptr<tcp::socket> socket) : socket(std::move(socket)) {}
  Result<WireMessage, WireError> readNext();

 private:
  std::shared_ptr<tcp::socket> socket;
  std::uint64_t lastCorrelationId = 0;
};
// What may wait on one connection, in bytes: room for the largest answers. What consensus queues
// to a peer is bounded more tightly by the peer's window. A single larger message still passes.
constexpr std::size_t maxQueuedBytes = 16 * 1024 * 1024;
// Writes queued bytes in order on one socket. Owned jointly by the fibers of its connection.
class WireWriter {
 public:
  explicit WireWriter(std::shared_ptr<tcp::socket> socket) : socket(std::move(socket)) {}
  bool send(std::string bytes);  // false: the queue is full or the connection is over
  void run();                    // the writing fiber
  void close();

 private:
  std::shared_ptr<tcp::socket> socket;
  std::deque<std::string> queue;
  std::size_t queuedBytes = 0;
  bool closed = false;
  boost::fibers::mutex mutex;
  boost::fibers::condition_variable queueChanged;
};

// A connection that asks and is answered; reconnects when used after a loss. For the fibers of one
// thread.
class RpcClient {
 public:
  // A connection on which calls went unanswered this long carries no new ones: its far end may be
  // gone without a word, and TCP would go on trying for minutes.
  static constexpr Duration defaultUnresponsiveAfter{2000};
  RpcClient(EventLoop& loop, Address address, Duration unresponsiveAfter = defaultUnresponsiveAfter)
      : loop(loop), address(std::move(address)), unresponsiveAfter(unresponsiveAfter) {}
  ~RpcClient();
  // An error of kind `unreachable` means that nothing was sent.
  // `abandoned` is asked now and then whether to wait on; true ends the wait as late, or as
  // unreachable while there is no connection yet.
  Result<WireMessage, WireError> call(WireBody body, Duration within,
                                      const std::function<bool()>& abandoned = {});
  bool sendOneWay(WireMessage message);  // without an answer; lost when it can't be sent

 private:
  struct PendingCall {
    boost::fibers::promise<Result<WireMessage, WireError>> promise;
  };
  struct Connection {
    std::shared_ptr<tcp::socket> socket;
    std::shared_ptr<WireWriter> writer;
    std::map<std::uint64_t, std::shared_ptr<PendingCall>> pendingCalls;
    bool open = true, retired = false;
    std::optional<MonotonicTime> unansweredSince;  // a call left and nothing was heard since
    void closeIfDrained();  // retired: as soon as nobody waits for an answer on it
  };
  void retireIfUnresponsive(const std::shared_ptr<Connection>& link);
  std::shared_ptr<Connection> connection(Duration within,
                                         const std::function<bool()>& abandoned = {});
  EventLoop& loop;
  Address address;
  Duration unresponsiveAfter;
  std::shared_ptr<Connection> current;
  bool connecting = false;
  MonotonicTime reconnectNotBefore{0};
  std::uint64_t nextCorrelationId = 1;
};

}  // namespace aniseline

#endif  // ANISELINE_NET_WIRE_HPP
