// Every hop under a fault at every byte of a request and of an answer: a call is carried out at
// most once, is told its own answer or that it is unknown, and leaves nothing behind for the next
// call.
#include "byte_fault_proxy.hpp"
#include "net/gateway_client.hpp"
#include "net/http_server.hpp"
#include "net/rpc_client.hpp"
#include <thread>

#include <CppUTest/TestHarness.h>
using namespace aniseline;

namespace {

using Kind = ByteFault::Kind;
using Way = ByteFault::Way;
constexpr Duration patient{5000};  // never reached unless an answer is missing
constexpr Duration impatient{3};   // of a call that is stalled
constexpr std::size_t nameDigits = 6;
const char* const ownAnswer = "own";
const char* const unknownAnswer = "unknown";

// Runs the work in a thread with fibers; what it returns are its faults.
void onLoop(const std::function<std::string(EventLoop&)>& work) {
  std::unique_ptr<EventLoop>
      loop;  // outlives the thread, whose scheduler waits in it up to its end
  std::string faults;
  std::thread thread([&] {
    loop = std::make_unique<EventLoop>();
    faults = work(*loop);
  });
  thread.join();
  STRCMP_EQUAL("", faults.c_str());
}

bool isCall(const std::string& text) {
  const std::string front = "call-";
  return text.starts_with(front) && text.size() == front.size() + nameDigits &&
         text.find_first_not_of("0123456789", front.size()) == std::string::npos;
}

// A server that counts what it carries out, by the call's name.
using Counts = std::map<std::string, int>;

struct CountingHttpServer {
  explicit CountingHttpServer(EventLoop& loop)
      : address(anyFreeAddress()), server(loop, HttpLimits{}, [this](const HttpRequest& request) {
          if (!isCall(request.body))
            return ApiResponse::error(400, "invalid", "no call");
          ++carriedOut[request.body];
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
  Counts carriedOut;
  HttpServer server;
};

// As a controller serves its peers.
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
      ++carriedOut[request->targetId];
      writer->send(encode(WireMessage{message.value().correlationId,
                                      ApiResponse::of(200, {{"call", json(request->targetId)}})}));
    }
    writer->close();
  }
  std::shared_ptr<tcp::acceptor> acceptor;
  Address address;
  Counts carriedOut;
  int connections = 0;
};

std::string readAnswer(int status, const std::string& body, const std::string& call) {
  picojson::value root;
  if (status != 200)
    return "status " + std::to_string(status);
  if (!picojson::parse(root, body).empty() || !root.is<picojson::object>())
    return unknownAnswer;  // as every caller of ours takes what it can't read
  return root.get("call").to_str() == call ? ownAnswer : "the answer to " + root.serialize();
}

struct HttpHop {
  using Server = CountingHttpServer;
  struct Client {
    Client(EventLoop& loop, Address address) : client(loop), address(std::move(address)) {}
    std::string call(const std::string& name, Duration within) {
      auto answer = client.send(address, {"POST", "/call", name}, within);
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
    std::string call(const std::string& name, Duration within) {
      ApiRequest request;
      request.kind = RequestKind::drainWorker;
      request.targetId = name;
      auto message = caller.call(request, within);
      auto* answer = message ? boost::get<ApiResponse>(&message.value().body) : nullptr;
      return answer ? readAnswer(answer->status, answer->body, name) : unknownAnswer;
    }
    RpcClient caller;
  };
};

// All of one length, so that every call takes as many bytes.
std::string nameOf(int number) {
  const std::string digits = std::to_string(number);
  return "call-" + std::string(nameDigits - digits.size(), '0') + digits;
}

template <class Hop>
class Sweep {
 public:
  explicit Sweep(EventLoop& loop) : loop(loop), server(loop), proxy(loop, server.address) {}

  std::string run() {
    for (Way way : {Way::request, Way::answer})
      for (Kind kind : {Kind::cut, Kind::reset, Kind::stall, Kind::replay})
        for (bool kept : {false, true}) {
          if (kind == Kind::stall && !kept)
            continue;  // as on a kept one, where more can go wrong
          const std::size_t size = measure(way);
          for (std::size_t at = 0; at <= size && faults.size() < 2000; ++at)
            strike({kind, way, at}, kept);
        }
    if (struck < 100)
      faults += "too few faults were brought about: " + std::to_string(struck) + "\n";
    proxy.close();
    sleepFor(Duration{20});  // the fibers of what was closed end
    return faults;
  }

 private:
  // How many bytes a call of this way takes on a fresh connection.
  std::size_t measure(Way way) {
    typename Hop::Client client(loop, proxy.address());
    proxy.arm({});
    client.call(nameOf(++calls), patient);
    return proxy.passed(way);
  }
  void strike(const ByteFault& fault, bool kept) {
    typename Hop::Client client(loop, proxy.address());
    const std::string where = "kind " + std::to_string(int(fault.kind)) +
                              (fault.way == Way::request ? " request" : " answer") + " byte " +
                              std::to_string(fault.at) + (kept ? " kept: " : " fresh: ");
    if (kept)
      expect(where + "before", client.call(nameOf(++calls), patient), false);
    proxy.arm(fault);
    const std::string name = nameOf(++calls);
    const std::string told = client.call(name, fault.kind == Kind::stall ? impatient : patient);
    struck += proxy.struck();
    proxy.release();
    // Bytes that come twice inside a request may make it another one, which is refused.
    const bool garbled = fault.kind == Kind::replay && fault.way == Way::request;
    if (!(garbled && told == "status 400" && server.carriedOut[name] == 0))
      expect(where + "struck", told, true);
    for (int waited = 0; !proxy.settled() && waited < 5000; ++waited)
      sleepFor(Duration{1});
    sleepFor(Duration{1});  // what has come is read
    // What is left of a request that was garbled may end the connection under the next.
    expect(where + "next", client.call(nameOf(++calls), patient), garbled);
    expect(where + "second next", client.call(nameOf(++calls), patient), false);
    if (server.carriedOut[name] > 1)
      faults += where + "carried out " + std::to_string(server.carriedOut[name]) + " times\n";
    if (told == ownAnswer && server.carriedOut[name] != 1)
      faults += where + "answered, yet not carried out\n";
  }
  void expect(const std::string& where, const std::string& told, bool mayBeUnknown) {
    if (told != ownAnswer && !(mayBeUnknown && told == unknownAnswer))
      faults += where + " got " + told + "\n";
  }

  EventLoop& loop;
  typename Hop::Server server;
  ByteFaultProxy proxy;
  std::string faults;
  int calls = 0;
  std::size_t struck = 0;
};

}  // namespace

TEST_GROUP(ConnectionFaultTests){};

TEST(ConnectionFaultTests, aFaultAtAnyByteOfAnHttpCall) {
  onLoop([](EventLoop& loop) { return Sweep<HttpHop>(loop).run(); });
}

TEST(ConnectionFaultTests, aFaultAtAnyByteOfAWireCall) {
  onLoop([](EventLoop& loop) { return Sweep<WireHop>(loop).run(); });
}

// A far end that is gone without a word: TCP would go on trying for minutes, the next call doesn't.
TEST(ConnectionFaultTests, aSilentWireConnectionCarriesNoNewCalls) {
  onLoop([](EventLoop& loop) {
    std::string faults;
    CountingWireServer server(loop);
    ByteFaultProxy proxy(loop, server.address);
    for (Way way : {Way::request, Way::answer}) {
      RpcClient caller(loop, proxy.address(), Duration{20});
      proxy.arm({Kind::halt, way, 3});
      auto call = [&](Duration within) {
        ApiRequest request;
        request.kind = RequestKind::drainWorker;
        return caller.call(request, within);
      };
      auto silent = call(Duration{30});
      if (silent || silent.error().kind != WireError::Kind::timedOut)
        faults += "the halted call was answered\n";
      auto next = call(patient);
      if (!next)
        faults += "the next call got " + next.error().text + "\n";
    }
    proxy.close();
    sleepFor(Duration{20});
    return faults;
  });
}

namespace {

// Answers the n-th request with the n-th text, whatever was asked.
struct ScriptedServer {
  ScriptedServer(EventLoop& loop, std::vector<std::string> given)
      : acceptor(std::make_shared<tcp::acceptor>(
            loop.context, tcp::endpoint(asio::ip::address_v4::loopback(), 0))),
        address("127.0.0.1:" + std::to_string(acceptor->local_endpoint().port())),
        texts(std::make_shared<std::deque<std::string>>(given.begin(), given.end())) {
    spawn([&loop, acceptor = acceptor, texts = texts] {
      for (;;) {
        auto socket = std::make_shared<tcp::socket>(loop.context);
        if (await([&](auto done) { acceptor->async_accept(*socket, done); }).error)
          return;
        spawn([socket, texts] { serve(*socket, *texts); });
      }
    });
  }
  ~ScriptedServer() { acceptor->close(); }
  static void serve(tcp::socket& socket, std::deque<std::string>& texts) {
    std::vector<char> bytes(4096);
    while (!texts.empty() &&
           !await([&](auto done) { socket.async_read_some(asio::buffer(bytes), done); }).error) {
      const std::string text = texts.front();
      texts.pop_front();
      await([&](auto done) { asio::async_write(socket, asio::buffer(text), done); });
    }
  }
  std::shared_ptr<tcp::acceptor> acceptor;
  Address address;
  std::shared_ptr<std::deque<std::string>> texts;
};

std::string plainAnswer(const std::string& body) {
  return "HTTP/1.1 200 OK\r\nContent-Length: " + std::to_string(body.size()) + "\r\n\r\n" + body;
}

// What a client is told by its calls, one after another.
std::string toldBy(EventLoop& loop, const std::vector<std::string>& texts) {
  ScriptedServer server(loop, texts);
  HttpClient client(loop);
  std::string told;
  for (std::size_t call = 0; call < texts.size(); ++call) {
    auto answer = client.send(server.address, {"POST", "/call", ""}, patient);
    told += answer ? std::to_string(answer.value().status) + answer.value().body + " " : "lost ";
    sleepFor(Duration{2});  // what the server sent beyond the answer has come
  }
  return told;
}

}  // namespace

// A worker's server is not ours and repeats no numbers: what it says beyond an answer, or before
// it, is never taken for the answer to the next call.
TEST(ConnectionFaultTests, whatAServerSaysBesideAnAnswerIsNobodysAnswer) {
  onLoop([](EventLoop& loop) {
    std::string faults;
    auto expect = [&](const std::string& wanted, const std::vector<std::string>& texts) {
      if (const std::string told = toldBy(loop, texts); told != wanted)
        faults += "wanted " + wanted + "got " + told + "\n";
    };
    const std::string a = plainAnswer("a"), b = plainAnswer("b");
    expect("200a 200b ", {a, b});
    expect("200a 200b ", {a + a, b});
    expect("200a 200b ", {"HTTP/1.1 100 Continue\r\n\r\n" + a, b});
    expect("200a 200b ", {a + "HTTP/1.1 408 Request Timeout\r\nContent-Length: 0\r\n\r\n", b});
    sleepFor(Duration{20});
    return faults;
  });
}

// The rule of every hop: once the first byte may have left, what can't be repeated is not sent
// again.
TEST(ConnectionFaultTests, aCallerRepeatsOnlyWhatHasItsOwnIdentity) {
  onLoop([](EventLoop& loop) {
    std::string faults;
    CountingHttpServer server(loop);
    ByteFaultProxy proxy(loop, server.address);
    struct Case {
      const char* target;
      Kind kind;
      int carriedOut;  // with its answer lost at the first gateway
    };
    int calls = 0;
    for (const Case& given :
         {Case{"/v1/jobs", Kind::cut, 2}, Case{"/v1/workers/w/gone", Kind::cut, 1},
          Case{"/v1/workers/w/drain", Kind::reset, 1},
          Case{"/v1/controllers/c/replace", Kind::halt, 1}}) {
      GatewayClient caller(loop, {proxy.address(), server.address});
      proxy.arm({given.kind, Way::answer, 0});
      const std::string name = nameOf(++calls);
      const bool repeated = given.carriedOut > 1;
      auto answer = caller.send({"POST", given.target, name}, repeated ? patient : Duration{300});
      if (server.carriedOut[name] != given.carriedOut)
        faults += std::string(given.target) + " carried out " +
                  std::to_string(server.carriedOut[name]) + " times\n";
      if (answer.has_value() != repeated ||
          (!answer && answer.error().kind != ClientError::Kind::unknown))
        faults += std::string(given.target) + " was told something else\n";
    }
    // Nothing left: the next gateway is asked, whatever it is.
    GatewayClient caller(loop, {anyFreeAddress(), server.address});
    if (!caller.send({"POST", "/v1/workers/w/gone", nameOf(++calls)}, patient))
      faults += "an unreachable gateway ended the call\n";
    proxy.close();
    sleepFor(Duration{20});
    return faults;
  });
}
