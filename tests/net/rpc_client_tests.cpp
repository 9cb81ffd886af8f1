// A leader's machine that is dark takes no connection: whoever calls it goes on once another leads,
// and nothing was sent.
#include "net/rpc_client.hpp"
#include <CppUTest/TestHarness.h>
#include <arpa/inet.h>
#include <fcntl.h>
#include <sys/socket.h>
#include <thread>
#include <unistd.h>

using namespace aniseline;

namespace {

// Listens and never accepts; its queue is full, so that the first packet of any other connection is
// dropped, as by a machine without power.
class DarkListener {
 public:
  DarkListener() {
    sockaddr_in place{};
    place.sin_family = AF_INET;
    place.sin_addr.s_addr = htonl(INADDR_LOOPBACK);
    socklen_t length = sizeof place;
    const int listener = open();
    ::bind(listener, reinterpret_cast<sockaddr*>(&place), length);
    ::listen(listener, 0);
    ::getsockname(listener, reinterpret_cast<sockaddr*>(&place), &length);
    port = ntohs(place.sin_port);
    for (int count = 0; count < 4; ++count)
      [[maybe_unused]] const int begun =
          ::connect(open(), reinterpret_cast<sockaddr*>(&place), length);
  }
  ~DarkListener() {
    for (const int descriptor : opened)
      ::close(descriptor);
  }
  Address address() const { return Address{"127.0.0.1:" + std::to_string(port)}; }

 private:
  int open() {
    opened.push_back(::socket(AF_INET, SOCK_STREAM | SOCK_NONBLOCK, 0));
    return opened.back();
  }
  std::vector<int> opened;
  std::uint16_t port = 0;
};

}  // namespace

TEST_GROUP(RpcClientTests){};

TEST(RpcClientTests, aConnectionIsGivenUpWhenItsCallIsAbandoned) {
  DarkListener dark;
  std::unique_ptr<EventLoop> loop;
  std::optional<WireError::Kind> kind;
  Duration took;
  std::thread([&] {
    loop = std::make_unique<EventLoop>();
    RpcClient caller(*loop, dark.address());
    const MonotonicTime begun = monotonicNow();
    const auto answered = caller.call(RouteQuery{}, Duration{2500},
                                      [&] { return monotonicNow() - begun >= Duration{100}; });
    took = monotonicNow() - begun;
    if (!answered)
      kind = answered.error().kind;
  }).join();
  CHECK(kind == WireError::Kind::unreachable);
  CHECK(took >= Duration{100});
  CHECK(took < Duration{700});  // not the whole second that a connection may take
}
