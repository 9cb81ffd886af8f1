// What a server owes to connections that it ends itself, over real sockets of this machine: a
// request on a connection that it has promised to keep is answered, and an answer that was written
// arrives whole. docs/design.md 9.4, docs/incidents/lost-around-planned-stops.md.
#include "net/http_server.hpp"
#include <CppUTest/TestHarness.h>
#include <boost/asio/write.hpp>
#include <cstring>
#include <future>
#include <sys/socket.h>
#include <thread>
#include <unistd.h>

using namespace aniseline;

namespace {

constexpr std::size_t largeBodyBytes = 8 * 1024 * 1024;
constexpr std::size_t bodyLimitBytes = 64 * 1024;
constexpr Duration slowHandlerTime{150};

Address freeAddress() {
  asio::io_context context;
  tcp::acceptor acceptor(context, tcp::endpoint(asio::ip::address_v4::loopback(), 0));
  return Address{"127.0.0.1:" + std::to_string(acceptor.local_endpoint().port())};
}

// A server on a thread of its own; what the test wants done there is done between two of its
// fibers.
class RunningServer {
 public:
  RunningServer() : thread([this] { run(); }) {
    while (port == 0)
      std::this_thread::yield();
  }
  ~RunningServer() {
    ended = true;
    thread.join();
  }
  // Has work done on the server's thread, and waits for its end.
  void carryOut(std::function<void(HttpServer&)> given) {
    done = false;
    work = std::move(given);
    pending = true;
    while (!done)
      std::this_thread::yield();
  }
  void stop() {
    carryOut([](HttpServer& server) { server.stop(); });
  }
  std::atomic<unsigned short> port{0};
  std::atomic<int> requests{0};
  static constexpr std::size_t maxConnections = 3;

 private:
  void run() {
    // Loops are kept: the thread's fiber scheduler needs its loop to the thread's very end.
    static auto* const loops = new std::vector<EventLoop*>;
    EventLoop* const loop = new EventLoop;
    loops->push_back(loop);
    HttpLimits limits;
    limits.maxBodyBytes = bodyLimitBytes;
    limits.maxConnections = maxConnections;
    HttpServer server(*loop, limits,
                      [this](const HttpRequest& request) { return answer(request); });
    const Address address = freeAddress();
    if (server.listen(address))
      return;
    port = parseEndpoint(address).value().port();
    while (!ended) {
      sleepFor(Duration{1});
      if (pending.exchange(false)) {
        work(server);
        done = true;
      }
    }
    server.stop();
    for (int turn = 0; turn < 2000 && server.connectionCount() > 0; ++turn)
      sleepFor(Duration{5});
  }
  ApiResponse answer(const HttpRequest& request) {
    ++requests;
    if (request.target == "/slow")
      sleepFor(slowHandlerTime);
    ApiResponse response;
    response.body = request.target == "/large" ? std::string(largeBodyBytes, 'x') : request.target;
    return response;
  }

  std::function<void(HttpServer&)> work;
  std::atomic<bool> pending{false}, done{false}, ended{false};
  std::thread thread;
};

// What its fibers would read of it afterwards tells them to go on.
void destroyServerAndItsMemory() {
  static auto* const loop = new EventLoop;
  alignas(HttpServer) static std::array<std::byte, sizeof(HttpServer)> memory;
  auto* const server =
      std::construct_at(reinterpret_cast<HttpServer*>(memory.data()), *loop, HttpLimits{},
                        [](const HttpRequest&) { return ApiResponse::of(200, {}); });
  CHECK_FALSE(server->listen(freeAddress()).has_value());
  sleepFor(Duration{2});
  server->stop();
  std::destroy_at(server);
  memory.fill(std::byte{0});
}

// A client's plain blocking connection.
class ClientConnection {
 public:
  struct Answer {
    int status = 0;  // 0: the connection ended without a whole answer
    bool closes = false;
    std::size_t bodyBytes = 0;
  };
  explicit ClientConnection(const RunningServer& server) : socket(context) {
    socket.connect(tcp::endpoint(asio::ip::address_v4::loopback(), server.port));
    const timeval timeout{5, 0};
    ::setsockopt(socket.native_handle(), SOL_SOCKET, SO_RCVTIMEO, &timeout, sizeof timeout);
  }
  // False: the server has ended the connection.
  bool send(const std::string& target, const std::string& body = {}) {
    return sendBytes("POST " + target + " HTTP/1.1\r\nHost: x\r\nContent-Length: " +
                     std::to_string(body.size()) + "\r\n\r\n" + body);
  }
  bool sendBytes(const std::string& bytes) {
    for (std::size_t sent = 0; sent < bytes.size();) {
      const ssize_t count =
          ::send(socket.native_handle(), bytes.data() + sent, bytes.size() - sent, MSG_NOSIGNAL);
      if (count <= 0)
        return false;
      sent += std::size_t(count);
    }
    return true;
  }
  Answer readAnswer() {
    while (received.find("\r\n\r\n") == std::string::npos) {
      if (!readSome())
        return {};
    }
    const std::size_t headBytes = received.find("\r\n\r\n") + 4;
    const std::string head = received.substr(0, headBytes);
    Answer answer;
    answer.bodyBytes = std::strtoull(valueOf(head, "Content-Length: ").c_str(), nullptr, 10);
    answer.closes = valueOf(head, "Connection: ") == "close";
    while (received.size() < headBytes + answer.bodyBytes) {
      if (!readSome())
        return {};
    }
    answer.status = std::atoi(head.c_str() + std::strlen("HTTP/1.1 "));
    received.erase(0, headBytes + answer.bodyBytes);
    return answer;
  }

 private:
  bool readSome() {
    char bytes[65536];
    const ssize_t count = ::recv(socket.native_handle(), bytes, sizeof bytes, 0);
    if (count > 0)
      received.append(bytes, std::size_t(count));
    return count > 0;
  }
  static std::string valueOf(const std::string& head, const std::string& field) {
    const auto begin = head.find(field);
    if (begin == std::string::npos)
      return "";
    return head.substr(begin + field.size(), head.find("\r\n", begin) - begin - field.size());
  }
  asio::io_context context;
  tcp::socket socket;
  std::string received;
};

void waitFor(Duration span) {
  std::this_thread::sleep_for(std::chrono::milliseconds(span.milliseconds));
}

}  // namespace

TEST_GROUP(HttpServerTests){};

TEST(HttpServerTests, keepsItsConnection) {
  RunningServer server;
  ClientConnection client(server);
  for (int request = 0; request < 3; ++request) {
    client.send("/");
    const auto answer = client.readAnswer();
    LONGS_EQUAL(200, answer.status);
    CHECK_FALSE(answer.closes);
  }
}

TEST(HttpServerTests, aRequestOnAKeptConnectionIsAnsweredAfterAStopAndToldOfTheClose) {
  RunningServer server;
  ClientConnection client(server);
  client.send("/");
  LONGS_EQUAL(200, client.readAnswer().status);
  server.stop();
  client.send("/");
  const auto answer = client.readAnswer();
  LONGS_EQUAL(200, answer.status);
  CHECK_TRUE(answer.closes);
}

// The head of the first answer has left with the promise to keep the connection when the stop
// comes.
TEST(HttpServerTests, aStopWhileAnAnswerIsWrittenDoesNotBreakItsPromiseToKeepTheConnection) {
  RunningServer server;
  ClientConnection client(server);
  client.send("/large");
  while (server.requests == 0)
    std::this_thread::yield();
  waitFor(Duration{50});
  server.stop();
  CHECK_TRUE(client.send("/"));
  const auto large = client.readAnswer();
  LONGS_EQUAL(200, large.status);
  CHECK_FALSE(large.closes);
  const auto next = client.readAnswer();
  LONGS_EQUAL(200, next.status);
  CHECK_TRUE(next.closes);
}

// The kernel has accepted the connection and taken its request before the server stops to listen.
TEST(HttpServerTests, aRequestOfTheListenersBacklogIsAnswered) {
  RunningServer server;
  std::unique_ptr<ClientConnection> client;
  server.carryOut([&](HttpServer& stopped) {
    client = std::make_unique<ClientConnection>(server);
    client->send("/");
    stopped.stop();
  });
  const auto answer = client->readAnswer();
  LONGS_EQUAL(200, answer.status);
  CHECK_TRUE(answer.closes);
}

// A socket that is closed with unread bytes resets the connection, and what the client had not
// received yet is thrown away.
TEST(HttpServerTests, anAnswerArrivesWholeThoughTheClientSendsOn) {
  RunningServer server;
  ClientConnection client(server);
  client.send("/");
  client.readAnswer();
  server.stop();
  client.send("/large");
  while (server.requests < 2)
    std::this_thread::yield();
  waitFor(Duration{50});
  client.send("/");
  waitFor(Duration{50});
  const auto large = client.readAnswer();
  LONGS_EQUAL(200, large.status);
  LONGS_EQUAL(largeBodyBytes, large.bodyBytes);
}

// Both have come before the first is answered: neither may be passed over in silence.
TEST(HttpServerTests, pipelinedRequestsThatHaveComeAreAnsweredBeforeTheClose) {
  RunningServer server;
  ClientConnection client(server);
  client.send("/");
  client.readAnswer();
  server.stop();
  const std::string request = "POST /slow HTTP/1.1\r\nHost: x\r\nContent-Length: 0\r\n\r\n";
  client.sendBytes(request + request);
  LONGS_EQUAL(200, client.readAnswer().status);
  const auto second = client.readAnswer();
  LONGS_EQUAL(200, second.status);
  CHECK_TRUE(second.closes);
}

// The whole body is sent before the answer is read, as most clients do.
TEST(HttpServerTests, theAnswerToABodyOverTheLimitReachesItsClient) {
  RunningServer server;
  ClientConnection client(server);
  client.send("/", std::string(64 * bodyLimitBytes, 'x'));
  const auto answer = client.readAnswer();
  LONGS_EQUAL(413, answer.status);
  CHECK_TRUE(answer.closes);
}

TEST(HttpServerTests, aServerThatDrainsTakesNewConnectionsAndAnnouncesTheirClose) {
  RunningServer server;
  server.carryOut([](HttpServer& drained) { drained.drain(); });
  ClientConnection client(server);
  client.send("/");
  const auto answer = client.readAnswer();
  LONGS_EQUAL(200, answer.status);
  CHECK_TRUE(answer.closes);
}

// The thread ends only when all its fibers have; one that finds its server gone may turn for ever.
TEST(HttpServerTests, noFiberOfAServerOutlivesIt) {
  constexpr std::chrono::seconds timeout{5};
  auto threadEnded = std::make_shared<std::promise<void>>();
  auto hasEnded = threadEnded->get_future();
  std::thread thread([threadEnded] {
    threadEnded->set_value_at_thread_exit();
    destroyServerAndItsMemory();
  });
  const bool ended = hasEnded.wait_for(timeout) == std::future_status::ready;
  if (ended)
    thread.join();
  else
    thread.detach();
  CHECK_TRUE(ended);
}

TEST(HttpServerTests, anIdleConnectionIsClosedOnlyWhenItHasBeenIdleLongEnough) {
  RunningServer server;
  ClientConnection client(server);
  client.send("/");
  client.readAnswer();
  server.carryOut([](HttpServer& closed) { closed.closeIdleConnections(Duration{60'000}); });
  waitFor(Duration{50});
  client.send("/");
  const auto answer = client.readAnswer();
  LONGS_EQUAL(200, answer.status);
  CHECK_TRUE(answer.closes);
  ClientConnection::Answer none = client.readAnswer();
  LONGS_EQUAL(0, none.status);
}

// Its bytes are in the socket when the server looks for idle connections.
TEST(HttpServerTests, aRequestThatHasJustComeIsAnsweredThoughItsConnectionWasIdle) {
  RunningServer server;
  ClientConnection client(server);
  client.send("/");
  client.readAnswer();
  server.carryOut([&](HttpServer& closed) {
    client.send("/");
    closed.closeIdleConnections(Duration{0});
  });
  const auto answer = client.readAnswer();
  LONGS_EQUAL(200, answer.status);
  CHECK_TRUE(answer.closes);
}

TEST(HttpServerTests, idleConnectionsEndWhenTheyAreClosed) {
  RunningServer server;
  ClientConnection client(server);
  client.send("/");
  client.readAnswer();
  server.carryOut([](HttpServer& closed) { closed.closeIdleConnections(Duration{0}); });
  LONGS_EQUAL(0, client.readAnswer().status);
}

TEST(HttpServerTests, aConnectionBeyondTheLimitIsToldSo) {
  RunningServer server;
  std::vector<std::unique_ptr<ClientConnection>> clients;
  for (std::size_t count = 0; count < RunningServer::maxConnections; ++count) {
    clients.push_back(std::make_unique<ClientConnection>(server));
    clients.back()->send("/");
    LONGS_EQUAL(200, clients.back()->readAnswer().status);
  }
  ClientConnection beyond(server);
  beyond.send("/");
  const auto answer = beyond.readAnswer();
  LONGS_EQUAL(503, answer.status);
  CHECK_TRUE(answer.closes);
}
