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

Result<WireMessage, WireError> readMessage(tcp::socket& socket) {
  Head head;
  auto read =
      await([&](auto done) { asio::async_read(socket, asio::buffer(&head, sizeof head), done); });
  if (read.error)
    return WireError{WireError::Kind::lost, read.error.message()};
  if (head.mark != wireMark)
    return WireError{WireError::Kind::garbled, "the peer does not speak our protocol"};
  if (head.format != wireFormat)
    return WireError{WireError::Kind::garbled, "the peer speaks format " +
                                                   std::to_string(head.format) + ", we speak " +
                                                   std::to_string(wireFormat)};
  if (head.size > largest)
    return WireError{WireError::Kind::garbled,
                     "a message of " + std::to_string(head.size) + " bytes is too large"};
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
      return WireError{WireError::Kind::lost, read.error.message()};
  }
  if (checksum(body) != head.sum)
    return WireError{WireError::Kind::garbled, "a message's checksum does not match"};
  auto message = unpack<WireMessage>(body);
  if (!message)
    return WireError{WireError::Kind::garbled, message.error().text()};
  return std::move(message.value());
}

bool WireWriter::send(std::string bytes) {
  std::unique_lock lock(mutex);
  const bool full = !queue.empty() && queued + bytes.size() > largestQueue;
  if (closed || full || queue.size() >= mostQueued)
    return false;
  queued += bytes.size();
  queue.push_back(std::move(bytes));
  some.notify_one();
  return true;
}

void WireWriter::run() {
  for (;;) {
    std::string bytes;
    {
      std::unique_lock lock(mutex);
      some.wait(lock, [&] { return closed || !queue.empty(); });
      if (closed)
        return;
      while (!queue.empty() && bytes.size() < 256 * 1024) {
        bytes += queue.front();
        queued -= queue.front().size();
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
  some.notify_all();
  IoError ignored;
  socket->close(ignored);
}

std::shared_ptr<WireCaller::Connection> WireCaller::connection(Duration within) {
  if (current && current->open)
    return current;
  while (connecting)
    pause(Duration{5});
  if (current && current->open)
    return current;
  if (monotonicNow() < notBefore)
    return nullptr;
  auto endpoint = endpointOf(address);
  if (!endpoint)
    return nullptr;
  connecting = true;
  auto made = std::make_shared<Connection>();
  made->socket = std::make_shared<tcp::socket>(loop.context);
  auto timer = std::make_shared<asio::steady_timer>(
      loop.context, std::chrono::milliseconds(std::min<std::int64_t>(within.milliseconds, 1000)));
  timer->async_wait([socket = made->socket](IoError error) {
    IoError ignored;
    if (!error)
      socket->close(ignored);
  });
  IoResult connected{loop.openFrom(*made->socket, endpoint.value()), 0};
  if (!connected.error)
    connected = await([&](auto done) { made->socket->async_connect(endpoint.value(), done); });
  timer->cancel();
  connecting = false;
  if (connected.error) {
    notBefore = monotonicNow() + Duration{50};
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
        for (auto& [correlation, waiting] : made->waiting)
          waiting->promise.set_value(message.error());
        made->waiting.clear();
        return;
      }
      auto found = made->waiting.find(message.value().correlation);
      if (found == made->waiting.end())
        continue;
      auto waiting = found->second;
      made->waiting.erase(found);
      waiting->promise.set_value(std::move(message.value()));
    }
  });
  current = made;
  return made;
}

Result<WireMessage, WireError> WireCaller::call(WireBody body, Duration within,
                                                const std::function<bool()>& abandoned) {
  auto link = connection(within);
  if (!link)
    return WireError{WireError::Kind::unreachable, address.value + " can't be reached"};
  const std::uint64_t correlation = nextCorrelation++;
  auto waiting = std::make_shared<Waiting>();
  auto future = waiting->promise.get_future();
  link->waiting[correlation] = waiting;
  if (!link->writer->send(encode(WireMessage{correlation, std::move(body)}))) {
    link->waiting.erase(correlation);
    return WireError{WireError::Kind::unreachable, "the link to " + address.value + " is full"};
  }
  const MonotonicTime until = monotonicNow() + within;
  while (monotonicNow() < until && !(abandoned && abandoned())) {
    const Duration slice = std::min(abandoned ? Duration{50} : within, until - monotonicNow());
    if (future.wait_for(std::chrono::milliseconds(slice.milliseconds)) ==
        boost::fibers::future_status::ready)
      return future.get();
  }
  link->waiting.erase(correlation);
  return WireError{WireError::Kind::late, address.value + " did not answer in time"};
}

bool WireCaller::post(WireMessage message) {
  auto link = connection(Duration{500});
  return link && link->writer->send(encode(message));
}

}  // namespace aniseline
