#include "net/wire.hpp"
#include <boost/asio/read.hpp>
#include <boost/asio/write.hpp>

namespace aniseline {

namespace {
constexpr std::uint32_t wireMark = 0x534e4130;  // "0ANS"
constexpr std::uint32_t largest = 256 * 1024 * 1024;
constexpr std::size_t mostQueued = 20'000;  // messages on one connection, however small
struct Head {
  std::uint32_t mark, format, size, sum;
};
}  // namespace

std::string encode(const WireMessage& message) {
  const std::string body = pack(message);
  const Head head{wireMark, wireFormat, std::uint32_t(body.size()), checksum(body)};
  return std::string(reinterpret_cast<const char*>(&head), sizeof head) + body;
}

namespace {

WireError garbled(std::string text) {
  return WireError{WireError::Kind::malformed, std::move(text)};
}

// Why a head can't be followed by a message of ours.
std::optional<WireError> faultOf(const Head& head) {
  if (head.mark != wireMark)
    return garbled("the peer does not speak our protocol");
  if (head.format != wireFormat)
    return garbled("the peer speaks format " + std::to_string(head.format) + ", we speak " +
                   std::to_string(wireFormat));
  if (head.size > largest)
    return garbled("a message of " + std::to_string(head.size) + " bytes is too large");
  return std::nullopt;
}

Result<WireMessage, WireError> decodeBody(const Head& head, const std::string& body) {
  if (checksum(body) != head.sum)
    return garbled("a message's checksum does not match");
  auto message = unpack<WireMessage>(body);
  if (!message)
    return garbled(message.error().text());
  return std::move(message.value());
}

}  // namespace

Result<WireMessage, WireError> decode(const std::string& bytes) {
  Head head;
  if (bytes.size() < sizeof head)
    return garbled("the head is not whole");
  std::memcpy(&head, bytes.data(), sizeof head);
  if (auto fault = faultOf(head))
    return *fault;
  if (bytes.size() - sizeof head != head.size)
    return garbled("the message is not whole");
  return decodeBody(head, bytes.substr(sizeof head));
}

Result<WireMessage, WireError> readMessage(tcp::socket& socket) {
  Head head;
  auto read =
      await([&](auto done) { asio::async_read(socket, asio::buffer(&head, sizeof head), done); });
  if (read.error)
    return WireError{WireError::Kind::connectionLost, read.error.message()};
  if (auto fault = faultOf(head))
    return *fault;
  std::string body;
  // The buffer grows with what really comes, so a false size costs the peer, not us.
  while (body.size() < head.size) {
    const std::size_t before = body.size(),
                      step = std::min<std::size_t>(head.size - before, 1024 * 1024);
    body.resize(before + step);
    read = await([&](auto done) {
      asio::async_read(socket, asio::buffer(body.data() + before, step), done);
    });
    if (read.error)
      return WireError{WireError::Kind::connectionLost, read.error.message()};
  }
  return decodeBody(head, body);
}

Result<WireMessage, WireError> WireReader::readNext() {
  for (;;) {
    auto message = readMessage(*socket);
    if (!message || message.value().correlationId == 0)
      return message;
    if (message.value().correlationId > lastCorrelationId) {
      lastCorrelationId = message.value().correlationId;
      return message;
    }
  }
}

bool WireWriter::send(std::string bytes) {
  std::unique_lock lock(mutex);
  const bool full = !queue.empty() && queuedBytes + bytes.size() > maxQueuedBytes;
  if (closed || full || queue.size() >= mostQueued)
    return false;
  queuedBytes += bytes.size();
  queue.push_back(std::move(bytes));
  queueChanged.notify_one();
  return true;
}

void WireWriter::run() {
  for (;;) {
    std::string bytes;
    {
      std::unique_lock lock(mutex);
      queueChanged.wait(lock, [&] { return closed || !queue.empty(); });
      if (closed)
        return;
      while (!queue.empty() && bytes.size() < 256 * 1024) {
        bytes += queue.front();
        queuedBytes -= queue.front().size();
        queue.pop_front();
      }
    }
    if (await([&](auto done) { asio::async_write(*socket, asio::buffer(bytes), done); }).error)
      return close();
  }
}

void WireWriter::close() {
  std::unique_lock lock(mutex);
  closed = true;
  queueChanged.notify_all();
  IoError ignored;
  socket->close(ignored);
}

namespace {

// How often a connection that is being made is looked at: a small part of an election, after which
// another leads and this one is not waited for.
constexpr Duration connectLook{25};
// A connection takes a round trip, or a second and more when its first packet is lost.
constexpr Duration longestConnect{1000};

// Closes a socket that connects once its time is over or whoever waits for it does so no longer.
class ConnectWatch : public std::enable_shared_from_this<ConnectWatch> {
 public:
  ConnectWatch(EventLoop& loop, std::shared_ptr<tcp::socket> socket, MonotonicTime until,
               const std::function<bool()>& abandoned)
      : timer(loop.context), socket(std::move(socket)), until(until), abandoned(abandoned) {}
  void begin() {
    timer.expires_after(std::chrono::milliseconds(connectLook.milliseconds));
    timer.async_wait([self = shared_from_this()](IoError) {
      if (!self->over)
        self->look();
    });
  }
  void end() {
    over = true;
    timer.cancel();
  }

 private:
  void look() {
    if (monotonicNow() < until && !(abandoned && abandoned()))
      return begin();
    IoError ignored;
    socket->close(ignored);
  }
  asio::steady_timer timer;
  std::shared_ptr<tcp::socket> socket;
  MonotonicTime until;
  std::function<bool()> abandoned;
  bool over = false;
};

}  // namespace

RpcClient::~RpcClient() {
  if (current)
    current->writer->close();
}

void RpcClient::Connection::closeIfDrained() {
  if (retired && pendingCalls.empty())
    writer->close();
}

void RpcClient::retireIfUnresponsive(const std::shared_ptr<Connection>& link) {
  if (link->unansweredSince && monotonicNow() - *link->unansweredSince >= unresponsiveAfter) {
    link->retired = true;
    if (current == link)
      current.reset();
  }
  link->closeIfDrained();
}

std::shared_ptr<RpcClient::Connection> RpcClient::connection(
    Duration within, const std::function<bool()>& abandoned) {
  if (current && current->open)
    return current;
  const MonotonicTime until = monotonicNow() + std::min(within, longestConnect);
  while (connecting) {
    if (monotonicNow() >= until || (abandoned && abandoned()))
      return nullptr;
    sleepFor(Duration{5});
  }
  if (current && current->open)
    return current;
  if (monotonicNow() < reconnectNotBefore)
    return nullptr;
  auto endpoint = parseEndpoint(address);
  if (!endpoint)
    return nullptr;
  connecting = true;
  auto made = std::make_shared<Connection>();
  made->socket = std::make_shared<tcp::socket>(loop.context);
  IoResult connected{loop.openSocket(*made->socket, endpoint.value()), 0};
  auto watch = std::make_shared<ConnectWatch>(loop, made->socket, until, abandoned);
  if (!connected.error) {
    watch->begin();
    connected = await([&](auto done) { made->socket->async_connect(endpoint.value(), done); });
  }
  watch->end();
  connecting = false;
  if (connected.error) {
    reconnectNotBefore = monotonicNow() + Duration{50};
    return nullptr;
  }
  IoError ignored;
  made->socket->set_option(tcp::no_delay(true), ignored);
  made->writer = std::make_shared<WireWriter>(made->socket);
  spawn([writer = made->writer] { writer->run(); });
  spawn([made] {
    for (;;) {
      auto message = readMessage(*made->socket);
      if (!message) {
        made->open = false;
        made->writer->close();
        for (auto& [correlation, waiting] : made->pendingCalls)
          waiting->promise.set_value(message.error());
        made->pendingCalls.clear();
        return;
      }
      made->unansweredSince.reset();
      auto found = made->pendingCalls.find(message.value().correlationId);
      if (found == made->pendingCalls.end())
        continue;
      auto waiting = found->second;
      made->pendingCalls.erase(found);
      waiting->promise.set_value(std::move(message.value()));
      made->closeIfDrained();
    }
  });
  current = made;
  return made;
}

Result<WireMessage, WireError> RpcClient::call(WireBody body, Duration within,
                                               const std::function<bool()>& abandoned) {
  auto link = connection(within, abandoned);
  if (!link)
    return WireError{WireError::Kind::unreachable, address.value + " can't be reached"};
  const std::uint64_t correlation = nextCorrelationId++;
  auto waiting = std::make_shared<PendingCall>();
  auto future = waiting->promise.get_future();
  link->pendingCalls[correlation] = waiting;
  if (!link->writer->send(encode(WireMessage{correlation, std::move(body)}))) {
    link->pendingCalls.erase(correlation);
    return WireError{WireError::Kind::unreachable, "the link to " + address.value + " is full"};
  }
  const MonotonicTime sentAt = monotonicNow(), until = sentAt + within;
  if (!link->unansweredSince)
    link->unansweredSince = sentAt;
  while (monotonicNow() < until && !(abandoned && abandoned())) {
    const Duration slice = std::min(abandoned ? Duration{50} : within, until - monotonicNow());
    if (future.wait_for(std::chrono::milliseconds(slice.milliseconds)) ==
        boost::fibers::future_status::ready)
      return future.get();
  }
  link->pendingCalls.erase(correlation);
  retireIfUnresponsive(link);
  return WireError{WireError::Kind::timedOut, address.value + " did not answer in time"};
}

bool RpcClient::sendOneWay(WireMessage message) {
  auto link = connection(Duration{500});
  return link && link->writer->send(encode(message));
}

}  // namespace aniseline
