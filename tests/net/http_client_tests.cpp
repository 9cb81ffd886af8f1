// Tests one reused connection to a worker over real local sockets: a response is only returned for
// its own request, even if the server sends additional bytes. docs/design.md 9.4.
#include "net/http_client.hpp"
#include <CppUTest/TestHarness.h>
#include <boost/asio/read_until.hpp>
#include <boost/asio/write.hpp>
#include <thread>

using namespace aniseline;

namespace {

std::string httpResponse(const std::string& text, const std::string& status = "200 OK") {
  return "HTTP/1.1 " + status + "\r\nContent-Length: " + std::to_string(text.size()) + "\r\n\r\n" +
         text;
}

// A server that sends the next of the given texts for each request. For an empty text it sends
// nothing until the connection ends.
class ScriptedServer {
 public:
  explicit ScriptedServer(std::vector<std::string> given)
      : texts(std::move(given)),
        acceptor(context, tcp::endpoint(asio::ip::make_address("127.0.0.1"), 0)),
        thread([this] { serve(); }) {}
  ~ScriptedServer() {
    stopping = true;
    IoError ignored;
    tcp::socket wakeUp(context);
    wakeUp.connect(acceptor.local_endpoint(), ignored);
    thread.join();
  }
  Address address() const {
    return Address{"127.0.0.1:" + std::to_string(acceptor.local_endpoint().port())};
  }
  std::atomic<std::size_t> accepted{0}, read{0};

 private:
  void serve() {
    while (!stopping) {
      tcp::socket socket(context);
      IoError error;
      acceptor.accept(socket, error);
      if (error || stopping)
        return;
      ++accepted;
      serveConnection(socket);
    }
  }
  void serveConnection(tcp::socket& socket) {
    IoError error;
    std::string receivedBytes;
    while (!error) {
      const auto size =
          asio::read_until(socket, asio::dynamic_buffer(receivedBytes), "\r\n\r\n", error);
      if (error)
        return;
      receivedBytes.erase(0, size);  // the requests here have no body
      const std::size_t index = read++;
      if (index < texts.size() && !texts[index].empty())
        asio::write(socket, asio::buffer(texts[index]), error);
    }
  }
  std::vector<std::string> texts;
  asio::io_context context;
  tcp::acceptor acceptor;
  std::atomic<bool> stopping{false};
  std::thread thread;
};

// Longer than a busy machine keeps a thread waiting: only a response that never comes times out.
constexpr Duration requestTimeout{3000};

// Sends `count` requests one after another with one client and returns the results.
std::vector<std::string> sendRequests(const Address& address, std::size_t count) {
  std::vector<std::string> answers;
  std::thread([&] {
    // The thread's fiber scheduler uses the loop until the thread ends, so loops are never deleted.
    static auto* const loops = new std::vector<EventLoop*>;
    EventLoop* const loop = new EventLoop;
    loops->push_back(loop);
    HttpClient client(*loop);
    for (std::size_t index = 0; index < count; ++index) {
      auto answer = client.send(address, {"POST", "/call", ""}, requestTimeout);
      answers.push_back(answer ? std::to_string(answer.value().status) + " " + answer.value().body
                               : "none");
      sleepFor(Duration{20});  // lets additional bytes arrive
    }
  }).join();
  return answers;
}

}  // namespace

TEST_GROUP(HttpClientTests){};

TEST(HttpClientTests, reusesItsConnection) {
  ScriptedServer server({httpResponse("one"), httpResponse("two")});
  const auto answers = sendRequests(server.address(), 2);
  STRCMP_EQUAL("200 one", answers[0].c_str());
  STRCMP_EQUAL("200 two", answers[1].c_str());
  LONGS_EQUAL(1, server.accepted);
}

TEST(HttpClientTests, aDuplicateResponseIsNotTakenForTheNextOne) {
  ScriptedServer server({httpResponse("one") + httpResponse("one"), httpResponse("two")});
  const auto answers = sendRequests(server.address(), 2);
  STRCMP_EQUAL("200 one", answers[0].c_str());
  STRCMP_EQUAL("200 two", answers[1].c_str());
}

// The final response belongs to the request that got the interim response.
TEST(HttpClientTests, aResponseAfterAnInterimOneBelongsToTheSameRequest) {
  ScriptedServer server({"HTTP/1.1 100 Continue\r\n\r\n" + httpResponse("one"), httpResponse("two"),
                         httpResponse("three")});
  const auto answers = sendRequests(server.address(), 2);
  STRCMP_EQUAL("200 one", answers[0].c_str());
  STRCMP_EQUAL("200 two", answers[1].c_str());
}

// After a timeout, the client must not send the request again, and must not reuse a connection on
// which the response may still arrive.
TEST(HttpClientTests, aRequestThatTimesOutIsNotSentAgain) {
  ScriptedServer server({"", httpResponse("two")});
  const auto answers = sendRequests(server.address(), 2);
  STRCMP_EQUAL("none", answers[0].c_str());
  STRCMP_EQUAL("200 two", answers[1].c_str());
  LONGS_EQUAL(2, server.read);
  LONGS_EQUAL(2, server.accepted);
}

TEST(HttpClientTests, anIncompleteResponseIsAnError) {
  ScriptedServer server({httpResponse("one").substr(0, 40), httpResponse("two")});
  const auto answers = sendRequests(server.address(), 2);
  STRCMP_EQUAL("none", answers[0].c_str());
  STRCMP_EQUAL("200 two", answers[1].c_str());
}
