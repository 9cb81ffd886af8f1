// A TCP proxy between two processes that injects one fault at one byte of the forwarded data, for
// tests of how clients and servers handle it. docs/design.md 9.3.
#ifndef ANISELINE_TESTS_NET_BYTE_FAULT_PROXY_HPP
#define ANISELINE_TESTS_NET_BYTE_FAULT_PROXY_HPP
#include "net/event_loop.hpp"
#include <boost/asio/write.hpp>

namespace aniseline {

struct ByteFault {
  enum class Kind : std::uint8_t {
    none,
    cut,        // the stream ends before the remaining bytes; the other direction continues
    reset,      // the connection is reset in both directions
    stall,      // the remaining bytes are held back until release()
    blackhole,  // the remaining bytes are discarded, but the connection stays open
    replay,     // all bytes forwarded since arm() are sent again, then the remaining bytes
  };
  enum class Direction : std::uint8_t { request, answer };
  Kind kind = Kind::none;
  Direction direction = Direction::request;
  std::size_t offset = 0;  // bytes forwarded before the fault, counted from arm()
};

inline Address freeAddress() {
  asio::io_context context;
  tcp::acceptor acceptor(context, tcp::endpoint(asio::ip::address_v4::loopback(), 0));
  return Address{"127.0.0.1:" + std::to_string(acceptor.local_endpoint().port())};
}

// Used by fibers of one thread.
class ByteFaultProxy {
 public:
  ByteFaultProxy(EventLoop& loop, const Address& target)
      : shared(std::make_shared<Shared>(loop, parseEndpoint(target).value())) {
    ownAddress = "127.0.0.1:" + std::to_string(shared->acceptor.local_endpoint().port());
    spawn([shared = shared] { accept(shared); });
  }
  ~ByteFaultProxy() { close(); }
  Address address() const { return Address{ownAddress}; }

  // Injects the fault into the first stream of its direction that reaches the offset.
  void arm(ByteFault fault) {
    shared->fault = fault;
    shared->stalled = false;
    shared->answersEnded = nullptr;
    for (auto& forwarded : shared->forwarded)
      forwarded.clear();
  }
  void release() {
    shared->fault.kind = ByteFault::Kind::none;
    shared->stalled = false;
  }
  std::size_t bytesForwarded(ByteFault::Direction direction) const {
    return shared->forwarded[std::size_t(direction)].size();
  }
  bool injected() const { return shared->fault.kind == ByteFault::Kind::none; }
  // Reports whether the end of the connection that a cut or a reset causes has reached the client.
  bool clientSawEnd() const { return !shared->answersEnded || *shared->answersEnded; }
  void close() {
    shared->closed = true;
    IoError ignored;
    shared->acceptor.close(ignored);
    for (auto& weak : shared->sockets)
      if (auto socket = weak.lock())
        socket->close(ignored);
  }

 private:
  using Socket = std::shared_ptr<tcp::socket>;
  using Direction = ByteFault::Direction;
  struct Stream {
    Socket from, to;
    Direction direction;
    std::shared_ptr<bool> streamEnded;  // whether the answer stream of the connection has ended
  };
  struct Shared {
    Shared(EventLoop& loop, tcp::endpoint target)
        : loop(loop),
          target(target),
          acceptor(loop.context, tcp::endpoint(asio::ip::address_v4::loopback(), 0)) {}
    EventLoop& loop;
    tcp::endpoint target;
    tcp::acceptor acceptor;
    ByteFault fault;
    std::string forwarded[2];  // by direction, since arm()
    std::vector<std::weak_ptr<tcp::socket>> sockets;
    bool stalled = false, closed = false;
    // Whether the answer stream of the connection with the fault has ended.
    std::shared_ptr<bool> answersEnded;
  };

  static void accept(const std::shared_ptr<Shared>& shared) {
    while (!shared->closed) {
      auto clientSocket = std::make_shared<tcp::socket>(shared->loop.context);
      auto targetSocket = std::make_shared<tcp::socket>(shared->loop.context);
      if (await([&](auto done) { shared->acceptor.async_accept(*clientSocket, done); }).error)
        continue;
      if (await([&](auto done) { targetSocket->async_connect(shared->target, done); }).error)
        continue;
      for (const auto& socket : {clientSocket, targetSocket}) {
        socket->set_option(tcp::no_delay(true));
        shared->sockets.emplace_back(socket);
      }
      std::erase_if(shared->sockets, [](const auto& weak) { return weak.expired(); });
      auto streamEnded = std::make_shared<bool>(false);
      spawn([shared, clientSocket, targetSocket, streamEnded] {
        forward(*shared, {clientSocket, targetSocket, Direction::request, streamEnded});
      });
      spawn([shared, clientSocket, targetSocket, streamEnded] {
        forward(*shared, {targetSocket, clientSocket, Direction::answer, streamEnded});
        *streamEnded = true;
      });
    }
  }

  static void forward(Shared& shared, const Stream& stream) {
    const auto& [from, to, direction, streamEnded] = stream;
    std::vector<char> bytes(64 * 1024);
    IoError ignored;
    for (;;) {
      const auto read = await([&](auto done) { from->async_read_some(asio::buffer(bytes), done); });
      if (read.error == asio::error::eof)
        break;
      if (read.error || !forwardChunk(shared, stream, std::string(bytes.data(), read.bytes))) {
        from->close(ignored);
        to->close(ignored);
        return;
      }
    }
    to->shutdown(tcp::socket::shutdown_send, ignored);
  }

  static bool write(const Socket& to, const std::string& bytes) {
    return bytes.empty() ||
           !await([&](auto done) { asio::async_write(*to, asio::buffer(bytes), done); }).error;
  }

  static bool forwardChunk(Shared& shared, const Stream& stream, const std::string& bytes) {
    const auto& [from, to, direction, streamEnded] = stream;
    auto& forwarded = shared.forwarded[std::size_t(direction)];
    const bool applies = shared.fault.kind != ByteFault::Kind::none &&
                         shared.fault.direction == direction &&
                         forwarded.size() + bytes.size() >= shared.fault.offset;
    if (!applies) {
      forwarded += bytes;
      return write(to, bytes);
    }
    const std::size_t before = shared.fault.offset - forwarded.size();
    const auto kind = std::exchange(shared.fault.kind, ByteFault::Kind::none);
    forwarded += bytes.substr(0, before);
    const std::string repeated = forwarded;
    const bool serverSeesEnd =
        kind == ByteFault::Kind::reset ||
        (kind == ByteFault::Kind::cut && direction == ByteFault::Direction::request);
    shared.answersEnded = serverSeesEnd ? streamEnded : nullptr;
    if (!write(to, bytes.substr(0, before)) || !inject(shared, kind, from, to, repeated))
      return false;
    forwarded += bytes.substr(before);
    return write(to, bytes.substr(before));
  }

  // Returns false if the connection has to end.
  static bool inject(Shared& shared, ByteFault::Kind kind, const Socket& from, const Socket& to,
                     const std::string& repeated) {
    IoError ignored;
    switch (kind) {
      case ByteFault::Kind::none:
        return true;
      case ByteFault::Kind::cut:
        to->shutdown(tcp::socket::shutdown_send, ignored);
        discardInput(from);
        return false;
      case ByteFault::Kind::reset:
        for (const auto& socket : {from, to})
          socket->set_option(asio::socket_base::linger(true, 0), ignored);
        return false;
      case ByteFault::Kind::stall:
        shared.stalled = true;
        while (shared.stalled && !shared.closed)
          sleepFor(Duration{1});
        return true;
      case ByteFault::Kind::blackhole:
        discardInput(from);
        return false;
      case ByteFault::Kind::replay:
        return write(to, repeated);
    }
    return true;
  }
  // Reads the remaining bytes and discards them.
  static void discardInput(const Socket& from) {
    std::vector<char> bytes(4096);
    while (!await([&](auto done) { from->async_read_some(asio::buffer(bytes), done); }).error)
      ;
  }

  std::shared_ptr<Shared> shared;
  std::string ownAddress;
};

}  // namespace aniseline

#endif  // ANISELINE_TESTS_NET_BYTE_FAULT_PROXY_HPP
