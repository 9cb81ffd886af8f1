// Tests calls over HTTP and the wire protocol with a connection fault at every byte of a request
// and of an answer: a call is executed at most once, returns its own answer or an unknown outcome,
// and does not affect later calls.
#include "byte_fault_proxy.hpp"
#include "net/gateway_client.hpp"
#include "net/http_server.hpp"
#include "net/rpc_client.hpp"
#include <thread>

#include <CppUTest/TestHarness.h>
using namespace aniseline;

namespace {

using Kind = ByteFault::Kind;
using Direction = ByteFault::Direction;
constexpr Duration longTimeout{5000};  // expires only if an answer is missing
constexpr Duration shortTimeout{3};    // for a stalled call
constexpr std::size_t nameDigits = 6;
const char* const correctAnswer = "own";
const char* const unknownAnswer = "unknown";

// Runs `work` on a thread with an event loop, and fails the test if it returns failures.
void runOnEventLoop(const std::function<std::string(EventLoop&)>& work) {
  // Must outlive the thread, whose fiber scheduler uses it until the thread ends.
  std::unique_ptr<EventLoop> loop;
  std::string failures;
  std::thread thread([&] {
    loop = std::make_unique<EventLoop>();
    failures = work(*loop);
  });
  thread.join();
  STRCMP_EQUAL("", failures.c_str());
}

bool isCallName(const std::string& text) {
  const std::string front = "call-";
  return text.starts_with(front) && text.size() == front.size() + nameDigits &&
         text.find_first_not_of("0123456789", front.size()) == std::string::npos;
}

// The number of executions by call name.
using ExecutionCounts = std::map<std::string, int>;

// An HTTP server that counts how often it executes each call.
struct CountingHttpServer {
  explicit CountingHttpServer(EventLoop& loop)
      : address(freeAddress()), server(loop, HttpLimits{}, [this](const HttpRequest& request) {
          if (!isCallName(request.body))
            return ApiResponse::error(400, "invalid", "no call");
          ++executions[request.body];
          return ApiResponse::of(200, {{"call", json(request.body)}});
        }) {
    if (server.listen(address))
      throw std::runtime_error("no address is free");
  }
  ~CountingHttpServer() {
    server.stop();
    while (server.connectionCount() > 0)
      sleepFor(Duration{1});
    sleepFor(Duration{2});  // its listening fiber ends
  }
  Address address;
  ExecutionCounts executions;
  HttpServer server;
};

// A wire server that counts how often it executes each call, and serves connections as a controller
// does for its peers.
struct CountingWireServer {
  explicit CountingWireServer(EventLoop& loop)
      : acceptor(std::make_shared<tcp::acceptor>(
            loop.context, tcp::endpoint(asio::ip::address_v4::loopback(), 0))),
        address("127.0.0.1:" + std::to_string(acceptor->local_endpoint().port())) {
    spawn([this, &loop, acceptor = acceptor] {
      for (;;) {
        auto socket = std::make_shared<tcp::socket>(loop.context);
        if (await([&](auto done) { acceptor->async_accept(*socket, done); }).error)
          return;
        spawn([this, socket] {
          ++connections;
          serve(socket);
          --connections;
        });
      }
    });
  }
  ~CountingWireServer() {
    acceptor->close();
    while (connections > 0)
      sleepFor(Duration{1});
    sleepFor(Duration{2});  // its listening fiber ends
  }
  void serve(const std::shared_ptr<tcp::socket>& socket) {
    auto writer = std::make_shared<WireWriter>(socket);
    spawn([writer] { writer->run(); });
    WireReader reader(socket);
    while (auto message = reader.readNext()) {
      auto* request = boost::get<ApiRequest>(&message.value().body);
      if (!request)
        continue;
      ++executions[request->targetId];
      writer->send(encode(WireMessage{message.value().correlationId,
                                      ApiResponse::of(200, {{"call", json(request->targetId)}})}));
    }
    writer->close();
  }
  std::shared_ptr<tcp::acceptor> acceptor;
  Address address;
  ExecutionCounts executions;
  int connections = 0;
};

std::string readAnswer(int status, const std::string& body, const std::string& call) {
  picojson::value root;
  if (status != 200)
    return "status " + std::to_string(status);
  if (!picojson::parse(root, body).empty() || !root.is<picojson::object>())
    return unknownAnswer;  // aniseline's clients treat an unreadable answer as an unknown outcome
  return root.get("call").to_str() == call ? correctAnswer : "the answer to " + root.serialize();
}

struct HttpHop {
  using Server = CountingHttpServer;
  struct Client {
    Client(EventLoop& loop, Address address) : client(loop), address(std::move(address)) {}
    std::string call(const std::string& name, Duration timeout) {
      auto answer = client.send(address, {"POST", "/call", name}, timeout);
      return answer ? readAnswer(answer.value().status, answer.value().body, name) : unknownAnswer;
    }
    HttpClient client;
    Address address;
  };
};

struct WireHop {
  using Server = CountingWireServer;
  struct Client {
    Client(EventLoop& loop, const Address& address) : caller(loop, address) {}
    std::string call(const std::string& name, Duration timeout) {
      ApiRequest request;
      request.kind = RequestKind::drainWorker;
      request.targetId = name;
      auto message = caller.call(request, timeout);
      auto* answer = message ? boost::get<ApiResponse>(&message.value().body) : nullptr;
      return answer ? readAnswer(answer->status, answer->body, name) : unknownAnswer;
    }
    RpcClient caller;
  };
};

// Returns a call name. All names have the same length, so that all calls have the same size.
std::string callName(int number) {
  const std::string digits = std::to_string(number);
  return "call-" + std::string(nameDigits - digits.size(), '0') + digits;
}

// Injects every kind of fault at every byte of a call, on fresh and on reused connections.
template <class Hop>
class FaultSweep {
 public:
  explicit FaultSweep(EventLoop& loop) : loop(loop), server(loop), proxy(loop, server.address) {}

  std::string run() {
    for (Direction direction : {Direction::request, Direction::answer})
      for (Kind kind : {Kind::cut, Kind::reset, Kind::stall, Kind::replay})
        for (bool reused : {false, true}) {
          if (kind == Kind::stall && !reused)
            continue;  // stalls are tested on reused connections only, where more can go wrong
          const std::size_t size = measure(direction);
          for (std::size_t offset = 0; offset <= size && failures.size() < 2000; ++offset)
            injectFault({kind, direction, offset}, reused);
        }
    if (injected < 100)
      failures += "too few faults were injected: " + std::to_string(injected) + "\n";
    proxy.close();
    sleepFor(Duration{20});  // lets the fibers of closed connections end
    return failures;
  }

 private:
  // Returns the size in bytes of a call in this direction on a fresh connection.
  std::size_t measure(Direction direction) {
    typename Hop::Client client(loop, proxy.address());
    proxy.arm({});
    client.call(callName(++callCount), longTimeout);
    return proxy.bytesForwarded(direction);
  }
  void injectFault(const ByteFault& fault, bool reused) {
    typename Hop::Client client(loop, proxy.address());
    const std::string description =
        "kind " + std::to_string(int(fault.kind)) +
        (fault.direction == Direction::request ? " request" : " answer") + " byte " +
        std::to_string(fault.offset) + (reused ? " reused: " : " fresh: ");
    if (reused)
      expect(description + "call before", client.call(callName(++callCount), longTimeout), false);
    proxy.arm(fault);
    const std::string name = callName(++callCount);
    const std::string result =
        client.call(name, fault.kind == Kind::stall ? shortTimeout : longTimeout);
    injected += proxy.injected();
    proxy.release();
    // Replayed bytes inside a request may turn it into an invalid request, which is rejected.
    const bool garbled = fault.kind == Kind::replay && fault.direction == Direction::request;
    if (!(garbled && result == "status 400" && server.executions[name] == 0))
      expect(description + "faulty call", result, true);
    for (int waited = 0; !proxy.clientSawEnd() && waited < 5000; ++waited)
      sleepFor(Duration{1});
    sleepFor(Duration{1});  // lets the client read the bytes that have arrived
    // Leftover bytes of a garbled request may end the connection during the next call.
    expect(description + "next call", client.call(callName(++callCount), longTimeout), garbled);
    expect(description + "second next call", client.call(callName(++callCount), longTimeout),
           false);
    if (server.executions[name] > 1)
      failures += description + "executed " + std::to_string(server.executions[name]) + " times\n";
    if (result == correctAnswer && server.executions[name] != 1)
      failures += description + "answered, but not executed once\n";
  }
  void expect(const std::string& description, const std::string& result, bool mayBeUnknown) {
    if (result != correctAnswer && !(mayBeUnknown && result == unknownAnswer))
      failures += description + " got " + result + "\n";
  }

  EventLoop& loop;
  typename Hop::Server server;
  ByteFaultProxy proxy;
  std::string failures;
  int callCount = 0;
  std::size_t injected = 0;
};

}  // namespace

TEST_GROUP(ConnectionFaultTests){};

TEST(ConnectionFaultTests, aFaultAtAnyByteOfAnHttpCall) {
  runOnEventLoop([](EventLoop& loop) { return FaultSweep<HttpHop>(loop).run(); });
}

TEST(ConnectionFaultTests, aFaultAtAnyByteOfAWireCall) {
  runOnEventLoop([](EventLoop& loop) { return FaultSweep<WireHop>(loop).run(); });
}

// Guards against calls on a connection whose remote host has disappeared without closing it: TCP
// would retransmit for minutes, so the next call has to use a new connection.
TEST(ConnectionFaultTests, anUnresponsiveWireConnectionTakesNoNewCalls) {
  runOnEventLoop([](EventLoop& loop) {
    std::string failures;
    CountingWireServer server(loop);
    ByteFaultProxy proxy(loop, server.address);
    for (Direction direction : {Direction::request, Direction::answer}) {
      RpcClient caller(loop, proxy.address(), Duration{20});
      proxy.arm({Kind::blackhole, direction, 3});
      auto call = [&](Duration timeout) {
        ApiRequest request;
        request.kind = RequestKind::drainWorker;
        return caller.call(request, timeout);
      };
      auto silent = call(Duration{30});
      if (silent || silent.error().kind != WireError::Kind::timedOut)
        failures += "the call without a response was answered\n";
      auto next = call(longTimeout);
      if (!next)
        failures += "the next call got " + next.error().text + "\n";
    }
    proxy.close();
    sleepFor(Duration{20});
    return failures;
  });
}

namespace {

// Answers the n-th request with the n-th response, regardless of the request.
struct ScriptedServer {
  ScriptedServer(EventLoop& loop, std::vector<std::string> given)
      : acceptor(std::make_shared<tcp::acceptor>(
            loop.context, tcp::endpoint(asio::ip::address_v4::loopback(), 0))),
        address("127.0.0.1:" + std::to_string(acceptor->local_endpoint().port())),
        responses(std::make_shared<std::deque<std::string>>(given.begin(), given.end())) {
    spawn([&loop, acceptor = acceptor, responses = responses] {
      for (;;) {
        auto socket = std::make_shared<tcp::socket>(loop.context);
        if (await([&](auto done) { acceptor->async_accept(*socket, done); }).error)
          return;
        spawn([socket, responses] { serve(*socket, *responses); });
      }
    });
  }
  ~ScriptedServer() { acceptor->close(); }
  static void serve(tcp::socket& socket, std::deque<std::string>& responses) {
    std::vector<char> bytes(4096);
    while (!responses.empty() &&
           !await([&](auto done) { socket.async_read_some(asio::buffer(bytes), done); }).error) {
      const std::string text = responses.front();
      responses.pop_front();
      await([&](auto done) { asio::async_write(socket, asio::buffer(text), done); });
    }
  }
  std::shared_ptr<tcp::acceptor> acceptor;
  Address address;
  std::shared_ptr<std::deque<std::string>> responses;
};

std::string httpResponse(const std::string& body) {
  return "HTTP/1.1 200 OK\r\nContent-Length: " + std::to_string(body.size()) + "\r\n\r\n" + body;
}

// Returns the results of a client's consecutive calls to a server with these responses.
std::string resultsOf(EventLoop& loop, const std::vector<std::string>& responses) {
  ScriptedServer server(loop, responses);
  HttpClient client(loop);
  std::string result;
  for (std::size_t call = 0; call < responses.size(); ++call) {
    auto answer = client.send(server.address, {"POST", "/call", ""}, longTimeout);
    result += answer ? std::to_string(answer.value().status) + answer.value().body + " " : "lost ";
    sleepFor(Duration{2});  // lets additional bytes from the server arrive
  }
  return result;
}

}  // namespace

// The HTTP server of a worker may be a foreign one that does not echo request numbers. Additional
// bytes before or after its answer must not be taken for the answer to the next call.
TEST(ConnectionFaultTests, unexpectedServerBytesAreNotTakenForAnAnswer) {
  runOnEventLoop([](EventLoop& loop) {
    std::string failures;
    auto expect = [&](const std::string& wanted, const std::vector<std::string>& responses) {
      if (const std::string result = resultsOf(loop, responses); result != wanted)
        failures += "wanted " + wanted + "got " + result + "\n";
    };
    const std::string a = httpResponse("a"), b = httpResponse("b");
    expect("200a 200b ", {a, b});
    expect("200a 200b ", {a + a, b});
    expect("200a 200b ", {"HTTP/1.1 100 Continue\r\n\r\n" + a, b});
    expect("200a 200b ", {a + "HTTP/1.1 408 Request Timeout\r\nContent-Length: 0\r\n\r\n", b});
    sleepFor(Duration{20});
    return failures;
  });
}

// Once the first byte of a request may have been sent, a request that is not idempotent must not be
// sent again.
TEST(ConnectionFaultTests, aGatewayClientRepeatsOnlyIdempotentRequests) {
  runOnEventLoop([](EventLoop& loop) {
    std::string failures;
    CountingHttpServer server(loop);
    ByteFaultProxy proxy(loop, server.address);
    struct Case {
      const char* target;
      Kind kind;
      int executions;  // expected number when the first gateway's answer is lost
    };
    int callCount = 0;
    for (const Case& given :
         {Case{"/v1/jobs", Kind::cut, 2}, Case{"/v1/workers/w/gone", Kind::cut, 1},
          Case{"/v1/workers/w/drain", Kind::reset, 1},
          Case{"/v1/controllers/c/replace", Kind::blackhole, 1}}) {
      GatewayClient caller(loop, {proxy.address(), server.address});
      proxy.arm({given.kind, Direction::answer, 0});
      const std::string name = callName(++callCount);
      const bool repeated = given.executions > 1;
      auto answer =
          caller.send({"POST", given.target, name}, repeated ? longTimeout : Duration{300});
      if (server.executions[name] != given.executions)
        failures += std::string(given.target) + " executed " +
                    std::to_string(server.executions[name]) + " times\n";
      if (answer.has_value() != repeated ||
          (!answer && answer.error().kind != ClientError::Kind::unknown))
        failures += std::string(given.target) + " got an unexpected result\n";
    }
    // If nothing was sent, every request is sent to the next gateway.
    GatewayClient caller(loop, {freeAddress(), server.address});
    if (!caller.send({"POST", "/v1/workers/w/gone", callName(++callCount)}, longTimeout))
      failures += "an unreachable gateway ended the call\n";
    proxy.close();
    sleepFor(Duration{20});
    return failures;
  });
}
