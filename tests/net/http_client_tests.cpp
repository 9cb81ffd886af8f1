// One kept connection to a worker, over real sockets of this machine: an answer belongs to the
// request that it was asked by, whatever else the other side sends. docs/design.md 9.4.
#include "net/http_client.hpp"
#include <CppUTest/TestHarness.h>
#include <boost/asio/read_until.hpp>
#include <boost/asio/write.hpp>
#include <thread>

using namespace aniseline;

namespace {

std::string answerOf(const std::string& text, const std::string& status = "200 OK") {
  return "HTTP/1.1 " + status + "\r\nContent-Length: " + std::to_string(text.size()) + "\r\n\r\n" +
         text;
}

// A server that sends, for each request that it reads, the next of its given texts; an empty one is
// silence until the connection ends.
class ScriptedServer {
 public:
  explicit ScriptedServer(std::vector<std::string> given)
      : texts(std::move(given)),
        acceptor(context, tcp::endpoint(asio::ip::make_address("127.0.0.1"), 0)),
        thread([this] { serve(); }) {}
  ~ScriptedServer() {
    stopping = true;
    IoError ignored;
    tcp::socket knock(context);
    knock.connect(acceptor.local_endpoint(), ignored);
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
    std::string held;
    while (!error) {
      const auto size = asio::read_until(socket, asio::dynamic_buffer(held), "\r\n\r\n", error);
      if (error)
        return;
      held.erase(0, size);  // the requests here have no body
      const std::size_t place = read++;
      if (place < texts.size() && !texts[place].empty())
        asio::write(socket, asio::buffer(texts[place]), error);
    }
  }
  std::vector<std::string> texts;
  asio::io_context context;
  tcp::acceptor acceptor;
  std::atomic<bool> stopping{false};
  std::thread thread;
};

// What a client gets for so many requests, one after the other.
std::vector<std::string> asked(const Address& address, std::size_t count) {
  std::vector<std::string> answers;
  std::thread([&] {
    // The thread's fiber scheduler needs its loop to the thread's very end, so loops are kept.
    static auto* const loops = new std::vector<EventLoop*>;
    EventLoop* const loop = new EventLoop;
    loops->push_back(loop);
    HttpClient client(*loop);
    for (std::size_t place = 0; place < count; ++place) {
      auto answer = client.send(address, {"POST", "/call", ""}, Duration{300});
      answers.push_back(answer ? std::to_string(answer.value().status) + " " + answer.value().body
                               : "none");
      sleepFor(Duration{20});  // what was sent beside an answer has arrived
    }
  }).join();
  return answers;
}

}  // namespace

TEST_GROUP(HttpClientTests){};

TEST(HttpClientTests, keepsItsConnection) {
  ScriptedServer server({answerOf("one"), answerOf("two")});
  const auto answers = asked(server.address(), 2);
  STRCMP_EQUAL("200 one", answers[0].c_str());
  STRCMP_EQUAL("200 two", answers[1].c_str());
  LONGS_EQUAL(1, server.accepted);
}

TEST(HttpClientTests, anAnswerThatComesTwiceIsNotTheNextRequests) {
  ScriptedServer server({answerOf("one") + answerOf("one"), answerOf("two")});
  const auto answers = asked(server.address(), 2);
  STRCMP_EQUAL("200 one", answers[0].c_str());
  STRCMP_EQUAL("200 two", answers[1].c_str());
}

// It is the very request's that the interim one was for.
TEST(HttpClientTests, anAnswerBehindAnInterimOneIsNotTheNextRequests) {
  ScriptedServer server(
      {"HTTP/1.1 100 Continue\r\n\r\n" + answerOf("one"), answerOf("two"), answerOf("three")});
  const auto answers = asked(server.address(), 2);
  STRCMP_EQUAL("200 one", answers[0].c_str());
  STRCMP_EQUAL("200 two", answers[1].c_str());
}

// What got no answer in time is not sent again by the client, and its late answer reaches nobody.
TEST(HttpClientTests, aRequestWithoutAnAnswerIsSentOnceOnly) {
  ScriptedServer server({"", answerOf("two")});
  const auto answers = asked(server.address(), 2);
  STRCMP_EQUAL("none", answers[0].c_str());
  STRCMP_EQUAL("200 two", answers[1].c_str());
  LONGS_EQUAL(2, server.read);
  LONGS_EQUAL(2, server.accepted);
}

TEST(HttpClientTests, halfAnAnswerIsNone) {
  ScriptedServer server({answerOf("one").substr(0, 40), answerOf("two")});
  const auto answers = asked(server.address(), 2);
  STRCMP_EQUAL("none", answers[0].c_str());
  STRCMP_EQUAL("200 two", answers[1].c_str());
}
