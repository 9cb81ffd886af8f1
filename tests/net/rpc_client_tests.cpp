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

}  // namespace

TEST_GROUP(RpcClientTests){};

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
