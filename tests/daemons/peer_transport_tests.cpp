// Tests accepting peer connections on a thread that is busy with other work.
#include "daemons/peer_transport.hpp"
#include "support/stepping_loop.hpp"
#include <boost/asio/write.hpp>

#include <CppUTest/TestHarness.h>
using namespace aniseline;

namespace {

constexpr int connectionCount = 200;  // fits the backlog

Address freeLoopbackAddress(EventLoop& loop) {
  const tcp::acceptor probe(loop.context, tcp::endpoint(asio::ip::address_v4::loopback(), 0));
  return Address{"127.0.0.1:" + std::to_string(probe.local_endpoint().port())};
}

// Returns the number of steps until a server has received a message on each of the connections that
// were waiting to be accepted.
int stepsToServeAll(SteppingLoop& loop) {
  int received = 0;
  int closed = 0;
  PeerServer server(loop.events(), {[&](const WireMessage&, const PeerServer::Connection&) {
                                      ++received;
                                      loop.wakeUp();
                                    },
                                    [&](const PeerServer::Connection&) {
                                      ++closed;
                                    }});
  const Address address = freeLoopbackAddress(loop.events());
  if (server.listen(address))
    return -1;
  std::vector<tcp::socket> callers;
  for (int index = 0; index < connectionCount; ++index) {
    callers.emplace_back(loop.events().context).connect(parseEndpoint(address).value());
    asio::write(callers.back(), asio::buffer(encode(WireMessage{0, RouteQuery{}})));
  }
  const int steps = loop.stepUntil([&] { return received == connectionCount; });
  server.stop();
  callers.clear();
  while (closed < connectionCount)
    sleepFor(Duration{1});
  sleepFor(Duration{2 * acceptRetryDelay.milliseconds});  // its listening fiber ends
  return steps;
}

}  // namespace

TEST_GROUP(PeerTransportTests){};

// A new leader accepted one of its agents in a step, so that the last of hundreds waited for as
// many steps after a change of leader.
TEST(PeerTransportTests, aBusyLoopAcceptsAllWaitingConnectionsInAFewSteps) {
  int steps = 0;
  SteppingLoop::run([&](SteppingLoop& loop) { steps = stepsToServeAll(loop); });
  CHECK(steps > 0);
  CHECK_TEXT(steps * 10 <= connectionCount, (std::to_string(steps) + " steps for " +
                                             std::to_string(connectionCount) + " connections")
                                                .c_str());
}
