// A stand-in between two processes that does one harm at one byte of what passes. For tests of what
// a hop makes of it. docs/design.md 9.3.
#ifndef ANISELINE_TESTS_NET_BYTE_FAULT_PROXY_HPP
#define ANISELINE_TESTS_NET_BYTE_FAULT_PROXY_HPP
#include "net/event_loop.hpp"
#include <boost/asio/write.hpp>

namespace aniseline {

struct ByteFault {
  enum class Kind : std::uint8_t {
    none,
    cut,     // what follows never comes: the stream ends, the other direction goes on
    reset,   // both directions end at once
    stall,   // what follows waits until release()
    halt,    // what follows on this connection never comes, and nobody says so
    replay,  // all that has passed since arm() comes again, then the rest
  };
  enum class Way : std::uint8_t { request, answer };
  Kind kind = Kind::none;
  Way way = Way::request;
  std::size_t at = 0;  // bytes let through before, counted from arm()
};

inline Address anyFreeAddress() {
  asio::io_context context;
  tcp::acceptor acceptor(context, tcp::endpoint(asio::ip::address_v4::loopback(), 0));
  return Address{"127.0.0.1:" + std::to_string(acceptor.local_endpoint().port())};
}

// All its work is done by the fibers of one thread.
class ByteFaultProxy {
 public:
  ByteFaultProxy(EventLoop& loop, const Address& target)
      : shared(std::make_shared<Shared>(loop, parseEndpoint(target).value())) {
    own = "127.0.0.1:" + std::to_string(shared->acceptor.local_endpoint().port());
    spawn([shared = shared] { accept(shared); });
  }
  ~ByteFaultProxy() { close(); }
  Address address() const { return Address{own}; }

  // The next stream of that way that comes to the byte gets the fault; only the first does.
  void arm(ByteFault fault) {
    shared->fault = fault;
    shared->stalled = false;
    shared->awaited = nullptr;
    for (auto& seen : shared->seen)
      seen.clear();
  }
  void release() {
    shared->fault.kind = ByteFault::Kind::none;
    shared->stalled = false;
  }
  std::size_t passed(ByteFault::Way way) const { return shared->seen[std::size_t(way)].size(); }
  bool struck() const { return shared->fault.kind == ByteFault::Kind::none; }
  // What a cut or a reset brings on has reached the client.
  bool settled() const { return !shared->awaited || *shared->awaited; }
  void close() {
    shared->over = true;
    IoError ignored;
    shared->acceptor.close(ignored);
    for (auto& weak : shared->sockets)
      if (auto socket = weak.lock())
        socket->close(ignored);
  }

 private:
  using Socket = std::shared_ptr<tcp::socket>;
  using Way = ByteFault::Way;
  struct Stream {
    Socket from, to;
    Way way;
    std::shared_ptr<bool> ended;  // the answers of its connection have
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
    std::string seen[2];  // by way, since arm()
    std::vector<std::weak_ptr<tcp::socket>> sockets;
    bool stalled = false, over = false;
    std::shared_ptr<bool> awaited;  // of the connection last ended: its answers have ended too
  };

  static void accept(const std::shared_ptr<Shared>& shared) {
    while (!shared->over) {
      auto near = std::make_shared<tcp::socket>(shared->loop.context);
      auto far = std::make_shared<tcp::socket>(shared->loop.context);
      if (await([&](auto done) { shared->acceptor.async_accept(*near, done); }).error)
        continue;
      if (await([&](auto done) { far->async_connect(shared->target, done); }).error)
        continue;
      for (const auto& socket : {near, far}) {
        socket->set_option(tcp::no_delay(true));
        shared->sockets.emplace_back(socket);
      }
      std::erase_if(shared->sockets, [](const auto& weak) { return weak.expired(); });
      auto ended = std::make_shared<bool>(false);
      spawn([shared, near, far, ended] { pass(*shared, {near, far, Way::request, ended}); });
      spawn([shared, near, far, ended] {
        pass(*shared, {far, near, Way::answer, ended});
        *ended = true;
      });
    }
  }

  static void pass(Shared& shared, const Stream& stream) {
    const auto& [from, to, way, ended] = stream;
    std::vector<char> bytes(64 * 1024);
    IoError ignored;
    for (;;) {
      const auto read = await([&](auto done) { from->async_read_some(asio::buffer(bytes), done); });
      if (read.error == asio::error::eof)
        break;
      if (read.error || !passOn(shared, stream, std::string(bytes.data(), read.bytes))) {
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

  static bool passOn(Shared& shared, const Stream& stream, const std::string& bytes) {
    const auto& [from, to, way, ended] = stream;
    auto& seen = shared.seen[std::size_t(way)];
    const bool strikes = shared.fault.kind != ByteFault::Kind::none && shared.fault.way == way &&
                         seen.size() + bytes.size() >= shared.fault.at;
    if (!strikes) {
      seen += bytes;
      return write(to, bytes);
    }
    const std::size_t before = shared.fault.at - seen.size();
    const auto kind = std::exchange(shared.fault.kind, ByteFault::Kind::none);
    seen += bytes.substr(0, before);
    const std::string repeated = seen;
    const bool serverHears = kind == ByteFault::Kind::reset ||
                             (kind == ByteFault::Kind::cut && way == ByteFault::Way::request);
    shared.awaited = serverHears ? ended : nullptr;
    if (!write(to, bytes.substr(0, before)) || !harm(shared, kind, from, to, repeated))
      return false;
    seen += bytes.substr(before);
    return write(to, bytes.substr(before));
  }

  // False: this connection is over.
  static bool harm(Shared& shared, ByteFault::Kind kind, const Socket& from, const Socket& to,
                   const std::string& repeated) {
    IoError ignored;
    switch (kind) {
      case ByteFault::Kind::none:
        return true;
      case ByteFault::Kind::cut:
        to->shutdown(tcp::socket::shutdown_send, ignored);
        drain(from);
        return false;
      case ByteFault::Kind::reset:
        for (const auto& socket : {from, to})
          socket->set_option(asio::socket_base::linger(true, 0), ignored);
        return false;
      case ByteFault::Kind::stall:
        shared.stalled = true;
        while (shared.stalled && !shared.over)
          sleepFor(Duration{1});
        return true;
      case ByteFault::Kind::halt:
        drain(from);
        return false;
      case ByteFault::Kind::replay:
        return write(to, repeated);
    }
    return true;
  }
  // Takes what still comes and passes none of it on.
  static void drain(const Socket& from) {
    std::vector<char> bytes(4096);
    while (!await([&](auto done) { from->async_read_some(asio::buffer(bytes), done); }).error)
      ;
  }

  std::shared_ptr<Shared> shared;
  std::string own;
};

}  // namespace aniseline

#endif  // ANISELINE_TESTS_NET_BYTE_FAULT_PROXY_HPP
