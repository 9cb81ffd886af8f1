// Tests that the queues to other processes are bounded in bytes but accept a single larger message.
// docs/design.md 3.4, 9.3.
#include "net/peer_outbox.hpp"
#include "net/wire_connection.hpp"

#include <CppUTest/TestHarness.h>
using namespace aniseline;

namespace {
PeerMessage messageOf(std::size_t bytes) {
  AppendEntries append;
  append.entries.push_back(LogEntry{Term{1}, false, std::string(bytes, 'c')});
  return PeerMessage{ControllerId{"a"}, ControllerId{"b"}, Address{"b:1"}, append, Address{"a:1"}};
}
}  // namespace

TEST_GROUP(QueueBoundTests){};

TEST(QueueBoundTests, anOutboxIsBoundedInBytes) {
  PeerOutbox outbox(1'000'000);
  std::size_t taken = 0;
  for (std::size_t count = 0; count < 100; ++count)
    taken += outbox.push(messageOf(318'000));
  LONGS_EQUAL(3, taken);
  CHECK_COMPARE(outbox.bytes(), <=, std::size_t(1'000'000));
  while (!outbox.empty())
    outbox.pop();
  LONGS_EQUAL(0, outbox.bytes());
  CHECK(outbox.push(messageOf(5'000'000)));
  CHECK(!outbox.push(messageOf(10)));
  LONGS_EQUAL(5'000'000, payloadBytes(outbox.pop()) - sizeof(LogEntry));
}

TEST(QueueBoundTests, aWriterIsBoundedInBytes) {
  asio::io_context context;
  WireWriter writer(std::make_shared<tcp::socket>(context));
  std::size_t queued = 0;
  while (queued < 64 * 1024 * 1024 && writer.send(std::string(318'000, 'c')))
    queued += 318'000;
  CHECK_COMPARE(queued, <=, maxQueuedBytes);
  WireWriter another(std::make_shared<tcp::socket>(context));
  CHECK(another.send(std::string(maxQueuedBytes + 1, 'c')));
  CHECK(!another.send("c"));
}
