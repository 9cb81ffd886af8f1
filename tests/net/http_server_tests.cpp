// Tests how a server closes connections, over real local sockets: a request on a connection that
// was left open is answered, and a response that was written arrives completely.
// docs/design.md 9.4, docs/incidents/lost-around-planned-stops.md.
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

// Runs a server on its own thread. A test can run functions on that thread.
class RunningServer {
 public:
  explicit RunningServer(bool rejectAbandonedChanges = false)
      : rejectAbandonedChanges(rejectAbandonedChanges), thread([this] { run(); }) {
    while (port == 0)
      std::this_thread::yield();
  }
  ~RunningServer() {
    ended = true;
    thread.join();
  }
  // Runs a function on the server's thread and waits until it returns.
  void runOnServerThread(std::function<void(HttpServer&)> given) {
    done = false;
    work = std::move(given);
    pending = true;
    while (!done)
      std::this_thread::yield();
  }
  void stop() {
    runOnServerThread([](HttpServer& server) { server.stop(); });
  }
  std::atomic<unsigned short> port{0};
  std::atomic<int> requests{0};
  static constexpr std::size_t maxConnections = 3;

 private:
  void run() {
    // Loops are never deleted, because the thread's fiber scheduler uses its loop until the thread
    // ends.
    static auto* const loops = new std::vector<EventLoop*>;
    EventLoop* const loop = new EventLoop;
    loops->push_back(loop);
    HttpLimits limits;
    limits.maxBodyBytes = bodyLimitBytes;
    limits.maxConnections = maxConnections;
    limits.rejectAbandonedChanges = rejectAbandonedChanges;
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
    for (int attempt = 0; attempt < 2000 && server.connectionCount() > 0; ++attempt)
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

  const bool rejectAbandonedChanges;
  std::function<void(HttpServer&)> work;
  std::atomic<bool> pending{false}, done{false}, ended{false};
  std::thread thread;
};

// Destroys a server and zeroes its memory. In the zeroed state the server appears to be serving, so
// a fiber that outlives the server would run forever.
void destroyServerAndClearItsMemory() {
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

// A client connection with blocking I/O.
class ClientConnection {
 public:
  struct Answer {
    int status = 0;  // 0 if the connection ended before a complete answer
    bool closes = false;
    std::size_t bodyBytes = 0;
  };
  explicit ClientConnection(const RunningServer& server) : socket(context) {
    socket.connect(tcp::endpoint(asio::ip::address_v4::loopback(), server.port));
    const timeval timeout{5, 0};
    ::setsockopt(socket.native_handle(), SOL_SOCKET, SO_RCVTIMEO, &timeout, sizeof timeout);
  }
  // Returns false if the server has ended the connection.
  bool send(const std::string& target, const std::string& body = {}) {
    return sendRequest("POST", target, body);
  }
  bool sendRequest(const std::string& method, const std::string& target, const std::string& body) {
    return sendBytes(method + " " + target + " HTTP/1.1\r\nHost: x\r\nContent-Length: " +
                     std::to_string(body.size()) + "\r\n\r\n" + body);
  }
  // Ends the client's side of the connection. It can still read.
  void finishSending() { ::shutdown(socket.native_handle(), SHUT_WR); }
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

TEST(HttpServerTests, keepsConnectionsOpen) {
  RunningServer server;
  ClientConnection client(server);
  for (int request = 0; request < 3; ++request) {
    client.send("/");
    const auto answer = client.readAnswer();
    LONGS_EQUAL(200, answer.status);
    CHECK_FALSE(answer.closes);
  }
}

TEST(HttpServerTests, aRequestOnAnOpenConnectionIsAnsweredAfterAStopWithConnectionClose) {
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

// The server stops after it has sent the header of the first response, which leaves the connection
// open.
TEST(HttpServerTests, aStopDuringAKeepAliveResponseLeavesTheConnectionOpen) {
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

// The kernel has established the connection and received its request before the server stops
// listening.
TEST(HttpServerTests, aRequestInTheListenBacklogIsAnswered) {
  RunningServer server;
  std::unique_ptr<ClientConnection> client;
  server.runOnServerThread([&](HttpServer& stopped) {
    client = std::make_unique<ClientConnection>(server);
    client->send("/");
    stopped.stop();
  });
  const auto answer = client->readAnswer();
  LONGS_EQUAL(200, answer.status);
  CHECK_TRUE(answer.closes);
}

// Closing a socket with unread bytes would reset the connection and discard the part of the
// response that the client has not received yet.
TEST(HttpServerTests, aResponseArrivesCompleteWhileTheClientSendsMore) {
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

// Both requests arrive before the first is answered, so both have to be answered.
TEST(HttpServerTests, pipelinedRequestsAreAnsweredBeforeTheClose) {
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

// Like most clients, this one sends the whole body before it reads the response.
TEST(HttpServerTests, theErrorForATooLargeBodyReachesTheClient) {
  RunningServer server;
  ClientConnection client(server);
  client.send("/", std::string(64 * bodyLimitBytes, 'x'));
  const auto answer = client.readAnswer();
  LONGS_EQUAL(413, answer.status);
  CHECK_TRUE(answer.closes);
}

TEST(HttpServerTests, aDrainingServerAcceptsConnectionsAndAnnouncesTheirClose) {
  RunningServer server;
  server.runOnServerThread([](HttpServer& drained) { drained.drain(); });
  ClientConnection client(server);
  client.send("/");
  const auto answer = client.readAnswer();
  LONGS_EQUAL(200, answer.status);
  CHECK_TRUE(answer.closes);
}

// A thread ends only after all its fibers. Guards against an accepting fiber that runs forever
// after its server was destroyed.
TEST(HttpServerTests, noFiberOfAServerOutlivesIt) {
  constexpr std::chrono::seconds timeout{5};
  auto threadEnded = std::make_shared<std::promise<void>>();
  auto hasEnded = threadEnded->get_future();
  std::thread thread([threadEnded] {
    threadEnded->set_value_at_thread_exit();
    destroyServerAndClearItsMemory();
  });
  const bool ended = hasEnded.wait_for(timeout) == std::future_status::ready;
  if (ended)
    thread.join();
  else
    thread.detach();
  CHECK_TRUE(ended);
}

// A suspended gateway finds requests in its sockets when it resumes. It forwarded submissions whose
// clients had given up and had cancelled the job through another gateway.
TEST(HttpServerTests, aChangeWhoseClientHasLeftIsNotHandled) {
  constexpr bool rejectAbandonedChanges = true;
  RunningServer server(rejectAbandonedChanges);
  for (const char* method : {"POST", "PUT", "PATCH"}) {
    std::unique_ptr<ClientConnection> client;
    server.runOnServerThread([&](HttpServer&) {
      client = std::make_unique<ClientConnection>(server);
      client->sendRequest(method, "/", "body");
      client->finishSending();
    });
    LONGS_EQUAL(503, client->readAnswer().status);
  }
  LONGS_EQUAL(0, server.requests);
}

// Reads have no effect, and a cancellation has the same effect when it comes late.
TEST(HttpServerTests, aReadOrCancelWhoseClientHasLeftIsHandled) {
  constexpr bool rejectAbandonedChanges = true;
  RunningServer server(rejectAbandonedChanges);
  for (const char* method : {"GET", "DELETE"}) {
    std::unique_ptr<ClientConnection> client;
    server.runOnServerThread([&](HttpServer&) {
      client = std::make_unique<ClientConnection>(server);
      client->sendRequest(method, "/", "");
      client->finishSending();
    });
    LONGS_EQUAL(200, client->readAnswer().status);
  }
  LONGS_EQUAL(2, server.requests);
}

TEST(HttpServerTests, pipelinedChangesOfAClientThatHasNotLeftAreHandled) {
  constexpr bool rejectAbandonedChanges = true;
  RunningServer server(rejectAbandonedChanges);
  ClientConnection client(server);
  client.send("/", "first");
  client.send("/", "second");
  LONGS_EQUAL(200, client.readAnswer().status);
  LONGS_EQUAL(200, client.readAnswer().status);
}

TEST(HttpServerTests, anIdleConnectionIsClosedOnlyWhenItHasBeenIdleLongEnough) {
  RunningServer server;
  ClientConnection client(server);
  client.send("/");
  client.readAnswer();
  server.runOnServerThread(
      [](HttpServer& closed) { closed.closeIdleConnections(Duration{60'000}); });
  waitFor(Duration{50});
  client.send("/");
  const auto answer = client.readAnswer();
  LONGS_EQUAL(200, answer.status);
  CHECK_TRUE(answer.closes);
  ClientConnection::Answer afterClose = client.readAnswer();
  LONGS_EQUAL(0, afterClose.status);
}

// The bytes of the request are in the socket when the server closes its idle connections.
TEST(HttpServerTests, aRequestThatArrivesWhileIdleConnectionsAreClosedIsAnswered) {
  RunningServer server;
  ClientConnection client(server);
  client.send("/");
  client.readAnswer();
  server.runOnServerThread([&](HttpServer& closed) {
    client.send("/");
    closed.closeIdleConnections(Duration{0});
  });
  const auto answer = client.readAnswer();
  LONGS_EQUAL(200, answer.status);
  CHECK_TRUE(answer.closes);
}

TEST(HttpServerTests, idleConnectionsAreClosed) {
  RunningServer server;
  ClientConnection client(server);
  client.send("/");
  client.readAnswer();
  server.runOnServerThread([](HttpServer& closed) { closed.closeIdleConnections(Duration{0}); });
  LONGS_EQUAL(0, client.readAnswer().status);
}

TEST(HttpServerTests, aConnectionBeyondTheLimitGetsStatus503) {
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
