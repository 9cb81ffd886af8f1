// Reads frames in bounded steps and writes queued messages in batches.
#include "net/wire_connection.hpp"
#include <boost/asio/write.hpp>

namespace aniseline {

namespace {

constexpr std::size_t maxQueuedMessages = 20'000;  // per connection, regardless of message size
constexpr std::size_t readBufferBytes = 4 * 1024;
// The buffer grows as data arrives, so a peer can't force a large allocation with a false size.
constexpr std::size_t maxReadStepBytes = 1024 * 1024;
constexpr std::size_t writeBatchBytes = 256 * 1024;  // a batch of this size gets no more messages

WireError connectionLost(const IoError& error) {
  return WireError{WireError::Kind::connectionLost, error.message()};
}

}  // namespace

void FrameReader::makeRoom(std::size_t bytes) {
  if (begin == end)
    begin = end = 0;
  if (buffer.size() - begin >= bytes)
    return;
  buffer.erase(0, begin);
  end -= std::exchange(begin, 0);
  if (buffer.size() < bytes)
    buffer.resize(bytes);
}

IoError FrameReader::fill(std::size_t bytes) {
  while (buffered() < bytes) {
    makeRoom(std::max(readBufferBytes, std::min(bytes, buffered() + maxReadStepBytes)));
    const IoResult result = await([&](auto done) {
      socket->async_read_some(asio::buffer(buffer.data() + end, buffer.size() - end), done);
    });
    if (result.error)
      return result.error;
    end += result.bytes;
  }
  return {};
}

Result<WireMessage, WireError> FrameReader::readNext() {
  FrameHeader header;
  if (const IoError error = fill(sizeof header))
    return connectionLost(error);
  std::memcpy(&header, buffer.data() + begin, sizeof header);
  if (auto error = checkHeader(header))
    return *error;
  begin += sizeof header;
  if (const IoError error = fill(header.bodyBytes))
    return connectionLost(error);
  const std::string body(buffer, begin, header.bodyBytes);
  begin += header.bodyBytes;
  if (buffer.size() > readBufferBytes && begin == end) {
    buffer.clear();
    buffer.shrink_to_fit();
    begin = end = 0;
  }
  return decodeBody(header, body);
}

Result<WireMessage, WireError> WireReader::readNext() {
  for (;;) {
    auto message = frames.readNext();
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
