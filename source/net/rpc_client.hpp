// Calls to another process of ours: requests and their answers on one connection, matched by
// correlation id. docs/design.md 9.2, 9.3.
//
// For the fibers of one thread.
#ifndef ANISELINE_NET_RPC_CLIENT_HPP
#define ANISELINE_NET_RPC_CLIENT_HPP
#include "net/wire_connection.hpp"

namespace aniseline {

// Connects when it is first used, and again after a loss.
class RpcClient {
 public:
  // A connection on which calls went unanswered this long carries no new ones: its far end may be
  // gone without a word, and TCP would go on trying for minutes.
  static constexpr Duration defaultUnresponsiveAfter{2000};
  RpcClient(EventLoop& loop, Address address, Duration unresponsiveAfter = defaultUnresponsiveAfter)
      : loop(loop), address(std::move(address)), unresponsiveAfter(unresponsiveAfter) {}
  ~RpcClient();
  RpcClient(const RpcClient&) = delete;
  RpcClient& operator=(const RpcClient&) = delete;

  // Sends a message and waits for its answer. An error of kind `unreachable` means that nothing was
  // sent. `abandoned` is polled during the wait; true ends it as timed out, or as unreachable while
  // there is no connection yet.
  Result<WireMessage, WireError> call(WireBody body, Duration timeout,
                                      const std::function<bool()>& abandoned = {});
  // Sends a message that gets no answer; false, or a loss on the way, when it can't be sent.
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
    bool retired = false;  // takes no new calls; closes once no call waits on it
    std::optional<MonotonicTime> unansweredSince;  // a call left and nothing was received since
    void closeIfDrained();
    void complete(WireMessage message);
    void failAll(const WireError& error);
  };
  std::shared_ptr<Connection> connection(Duration timeout, const std::function<bool()>& abandoned);
  std::shared_ptr<Connection> connect(MonotonicTime deadline,
                                      const std::function<bool()>& abandoned);
  static void startFibers(const std::shared_ptr<Connection>& made);
  void retireIfUnresponsive(const std::shared_ptr<Connection>& link);

  EventLoop& loop;
  Address address;
  Duration unresponsiveAfter;
  std::shared_ptr<Connection> current;
  bool connecting = false;
  MonotonicTime reconnectNotBefore{0};
  std::uint64_t nextCorrelationId = 1;
};

// One client for each address, made when it is first asked for and kept.
class RpcClientPool {
 public:
  explicit RpcClientPool(EventLoop& loop) : loop(loop) {}
  std::shared_ptr<RpcClient> clientFor(const Address& address);

 private:
  EventLoop& loop;
  std::map<Address, std::shared_ptr<RpcClient>> clients;
};

// A controller's answer to a route query; nothing if it does not answer so in time.
std::optional<RouteReply> queryRoute(RpcClient& client, const RouteQuery& query, Duration timeout);

}  // namespace aniseline

#endif  // ANISELINE_NET_RPC_CLIENT_HPP
