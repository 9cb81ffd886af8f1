// Makes calls to other aniseline processes. Requests and replies share one connection and are
// matched by correlation id. docs/design.md 9.2, 9.3.
//
// Used by fibers of one thread.
#ifndef ANISELINE_NET_RPC_CLIENT_HPP
#define ANISELINE_NET_RPC_CLIENT_HPP
#include "net/wire_connection.hpp"

namespace aniseline {

// Calls one address. Connects on first use, and again after a lost connection.
class RpcClient {
 public:
  // A connection on which calls have gone unanswered for this long takes no new calls: the remote
  // host may have disappeared without closing it, and TCP would retransmit for minutes.
  static constexpr Duration defaultUnresponsiveAfter{2000};
  RpcClient(EventLoop& loop, Address address, Duration unresponsiveAfter = defaultUnresponsiveAfter)
      : loop(loop), address(std::move(address)), unresponsiveAfter(unresponsiveAfter) {}
  // Closes connections on which sent data stays unacknowledged by the remote host for this long.
  // One-way messages have no reply by which a connection could be found to be unresponsive.
  void setStallTimeout(Duration timeout) { stallTimeout = timeout; }
  ~RpcClient();
  RpcClient(const RpcClient&) = delete;
  RpcClient& operator=(const RpcClient&) = delete;

  // Sends a message and waits for its reply. An error of kind `unreachable` means that nothing was
  // sent. `abandoned` is polled during the wait; when it returns true the call ends with
  // `timedOut`, or with `unreachable` if there is no connection yet.
  Result<WireMessage, WireError> call(WireBody body, Duration timeout,
                                      const std::function<bool()>& abandoned = {});
  // Sends a message that has no reply. Returns false if it could not be queued; a queued message
  // may still be lost.
  bool sendOneWay(const WireMessage& message);

 private:
  struct PendingCall {
    boost::fibers::promise<Result<WireMessage, WireError>> promise;
  };
  struct Connection {
    std::shared_ptr<tcp::socket> socket;
    std::shared_ptr<WireWriter> writer;
    std::map<std::uint64_t, std::shared_ptr<PendingCall>> pendingCalls;  // by correlation id
    bool open = true;
    bool retired = false;  // takes no new calls; closes once no call is pending
    // When a call was sent, if nothing has been received since.
    std::optional<MonotonicTime> unansweredSince;
    void retire();
    void closeIfDrained();
    void complete(WireMessage message);
    void failAll(const WireError& error);
  };
  std::shared_ptr<Connection> connection(Duration timeout, const std::function<bool()>& abandoned);
  std::shared_ptr<Connection> connect(MonotonicTime deadline,
                                      const std::function<bool()>& abandoned);
  void configureSocket(tcp::socket& socket) const;
  static void startFibers(const std::shared_ptr<Connection>& newConnection);
  void retireIfUnresponsive(const std::shared_ptr<Connection>& activeConnection);

  EventLoop& loop;
  Address address;
  Duration unresponsiveAfter;
  std::optional<Duration> stallTimeout;
  std::shared_ptr<Connection> current;
  bool connecting = false;
  MonotonicTime reconnectNotBefore{0};
  std::uint64_t nextCorrelationId = 1;
};

// Keeps one client per address, created on first use.
class RpcClientPool {
 public:
  explicit RpcClientPool(EventLoop& loop) : loop(loop) {}
  std::shared_ptr<RpcClient> clientFor(const Address& address);

 private:
  EventLoop& loop;
  std::map<Address, std::shared_ptr<RpcClient>> clients;
};

// Sends a route query and returns the reply, or nothing on an error, a timeout or another kind of
// reply.
std::optional<RouteReply> queryRoute(RpcClient& client, const RouteQuery& query, Duration timeout);

}  // namespace aniseline

#endif  // ANISELINE_NET_RPC_CLIENT_HPP
