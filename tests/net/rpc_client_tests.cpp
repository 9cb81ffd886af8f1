// Tests calls to a machine that does not respond, such as that of a failed leader: a caller that
// abandons the call stops connecting, and nothing was sent.
#include "net/rpc_client.hpp"
#include <CppUTest/TestHarness.h>
#include <arpa/inet.h>
#include <fcntl.h>
#include <sys/socket.h>
#include <thread>
#include <unistd.h>

using namespace aniseline;

namespace {

// Listens with a full backlog and never accepts, so that the kernel drops the SYN of further
// connections, as if the machine had no power.
class UnresponsiveListener {
 public:
  UnresponsiveListener() {
    sockaddr_in endpoint{};
    endpoint.sin_family = AF_INET;
    endpoint.sin_addr.s_addr = htonl(INADDR_LOOPBACK);
    socklen_t length = sizeof endpoint;
    const int listener = open();
    ::bind(listener, reinterpret_cast<sockaddr*>(&endpoint), length);
    ::listen(listener, 0);
    ::getsockname(listener, reinterpret_cast<sockaddr*>(&endpoint), &length);
    port = ntohs(endpoint.sin_port);
    for (int count = 0; count < 4; ++count)
      [[maybe_unused]] const int begun =
          ::connect(open(), reinterpret_cast<sockaddr*>(&endpoint), length);
  }
  ~UnresponsiveListener() {
    for (const int descriptor : sockets)
      ::close(descriptor);
  }
  Address address() const { return Address{"127.0.0.1:" + std::to_string(port)}; }

 private:
  int open() {
    sockets.push_back(::socket(AF_INET, SOCK_STREAM | SOCK_NONBLOCK, 0));
    return sockets.back();
  }
  std::vector<int> sockets;
  std::uint16_t port = 0;
};

// Accepts connections into its backlog and never reads, so that a connection stalls once its
// buffers are full, without an error or a reset.
class StallingListener {
 public:
  StallingListener() {
    sockaddr_in endpoint{};
    endpoint.sin_family = AF_INET;
    endpoint.sin_addr.s_addr = htonl(INADDR_LOOPBACK);
    socklen_t length = sizeof endpoint;
    listener = ::socket(AF_INET, SOCK_STREAM | SOCK_NONBLOCK, 0);
    const int receiveBufferBytes = 4096;
    ::setsockopt(listener, SOL_SOCKET, SO_RCVBUF, &receiveBufferBytes, sizeof receiveBufferBytes);
    ::bind(listener, reinterpret_cast<sockaddr*>(&endpoint), length);
    ::listen(listener, 16);
    ::getsockname(listener, reinterpret_cast<sockaddr*>(&endpoint), &length);
    port = ntohs(endpoint.sin_port);
  }
  ~StallingListener() {
    for (const int descriptor : accepted)
      ::close(descriptor);
    ::close(listener);
  }
  Address address() const { return Address{"127.0.0.1:" + std::to_string(port)}; }
  // Returns the number of connections made so far. Accepted ones stay open and unread.
  std::size_t connections() {
    for (int descriptor = 0; (descriptor = ::accept(listener, nullptr, nullptr)) >= 0;)
      accepted.push_back(descriptor);
    return accepted.size();
  }
  // Reads the oldest connection to its end. Returns the number of bytes that were delivered.
  std::size_t readAll() {
    connections();
    std::size_t total = 0;
    char bytes[4096];
    for (;;) {
      const ssize_t count = ::recv(accepted.at(0), bytes, sizeof bytes, 0);
      if (count > 0)
        total += std::size_t(count);
      else
        return total;
    }
  }

 private:
  int listener = -1;
  std::vector<int> accepted;
  std::uint16_t port = 0;
};

}  // namespace

TEST_GROUP(RpcClientTests){};

// Votes waited for 12 s behind bytes that had been sent into a network partition, after it had
// healed, because the connection had no limit for data that is not acknowledged.
TEST(RpcClientTests, aStalledConnectionForOneWayMessagesIsReplaced) {
  StallingListener stalling;
  std::unique_ptr<EventLoop> loop;
  std::size_t connections = 0;
  std::thread([&] {
    loop = std::make_unique<EventLoop>();
    RpcClient sender(*loop, stalling.address());
    sender.setStallTimeout(Duration{300});
    PeerMessage message;
    InstallSnapshot chunk;
    chunk.data = std::string(256 * 1024, 'x');
    message.body = chunk;
    const MonotonicTime giveUpAt = monotonicNow() + Duration{20'000};
    while (connections < 2 && monotonicNow() < giveUpAt) {
      sender.sendOneWay(WireMessage{0, message});
      sleepFor(Duration{20});
      connections = stalling.connections();
    }
  }).join();
  CHECK(connections >= 2);
}

// The bytes of a call that has timed out stay in the client's socket while the network does not
// deliver them. They were delivered once it did, seconds after the caller was told that the outcome
// is unknown.
TEST(RpcClientTests, aCallThatTimedOutIsNotDeliveredLater) {
  StallingListener stalling;
  std::unique_ptr<EventLoop> loop;
  constexpr std::size_t payloadBytes = 200'000;  // more than the listener's buffer, less than ours
  std::optional<WireError::Kind> kind;
  std::thread([&] {
    constexpr Duration unresponsiveAfter{100};
    loop = std::make_unique<EventLoop>();
    RpcClient caller(*loop, stalling.address(), unresponsiveAfter);
    ApiRequest request;
    request.text = std::string(payloadBytes, 'x');
    const auto reply = caller.call(request, Duration{300});
    if (!reply)
      kind = reply.error().kind;
    sleepFor(Duration{50});
  }).join();
  CHECK(kind == WireError::Kind::timedOut);
  CHECK(stalling.readAll() < payloadBytes);
}

TEST(RpcClientTests, aConnectionAttemptEndsWhenItsCallIsAbandoned) {
  UnresponsiveListener unresponsive;
  std::unique_ptr<EventLoop> loop;
  std::optional<WireError::Kind> kind;
  Duration elapsed;
  std::thread([&] {
    loop = std::make_unique<EventLoop>();
    RpcClient caller(*loop, unresponsive.address());
    const MonotonicTime begun = monotonicNow();
    const auto reply = caller.call(RouteQuery{}, Duration{2500},
                                   [&] { return monotonicNow() - begun >= Duration{100}; });
    elapsed = monotonicNow() - begun;
    if (!reply)
      kind = reply.error().kind;
  }).join();
  CHECK(kind == WireError::Kind::unreachable);
  CHECK(elapsed >= Duration{100});
  CHECK(elapsed < Duration{700});  // less than the timeout of one second for a connection attempt
}
