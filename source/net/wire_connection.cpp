// Reads frames in bounded steps and writes queued messages in batches.
#include "net/wire_connection.hpp"
#include <boost/asio/read.hpp>
#include <boost/asio/write.hpp>

namespace aniseline {

namespace {

constexpr std::size_t maxQueuedMessages = 20'000;  // per connection, regardless of message size
constexpr std::size_t maxReadStepBytes = 1024 * 1024;
constexpr std::size_t writeBatchBytes = 256 * 1024;  // a batch of this size gets no more messages

WireError connectionLost(const IoError& error) {
  return WireError{WireError::Kind::connectionLost, error.message()};
}

IoError readInto(tcp::socket& socket, void* target, std::size_t bytes) {
  return await([&](auto done) { asio::async_read(socket, asio::buffer(target, bytes), done); })
      .error;
}

}  // namespace

Result<WireMessage, WireError> readMessage(tcp::socket& socket) {
  FrameHeader header;
  if (const IoError error = readInto(socket, &header, sizeof header))
    return connectionLost(error);
  if (auto error = checkHeader(header))
    return *error;
  std::string body;
  // The buffer grows as data arrives, so a peer can't force a large allocation with a false size.
  while (body.size() < header.bodyBytes) {
    const std::size_t before = body.size();
    const std::size_t step = std::min<std::size_t>(header.bodyBytes - before, maxReadStepBytes);
    body.resize(before + step);
    if (const IoError error = readInto(socket, body.data() + before, step))
      return connectionLost(error);
  }
  return decodeBody(header, body);
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
  const std::unique_lock lock(mutex);
  const bool full = !queue.empty() && queuedBytes + bytes.size() > maxQueuedBytes;
  if (closed || full || queue.size() >= maxQueuedMessages)
    return false;
  queuedBytes += bytes.size();
  queue.push_back(std::move(bytes));
  queueChanged.notify_one();
  return true;
}

std::optional<std::string> WireWriter::nextBatch() {
  std::unique_lock lock(mutex);
  queueChanged.wait(lock, [&] { return closed || !queue.empty(); });
  if (closed)
    return std::nullopt;
  std::string bytes;
  while (!queue.empty() && bytes.size() < writeBatchBytes) {
    bytes += queue.front();
    queuedBytes -= queue.front().size();
    queue.pop_front();
  }
  return bytes;
}

void WireWriter::run() {
  while (const auto bytes = nextBatch()) {
    writing = true;
    const IoError error =
        await([&](auto done) { asio::async_write(*socket, asio::buffer(*bytes), done); }).error;
    writing = false;
    if (error)
      return close();
  }
}

void WireWriter::close() {
  const std::unique_lock lock(mutex);
  closed = true;
  queueChanged.notify_all();
  IoError ignored;
  socket->close(ignored);
}

}  // namespace aniseline
