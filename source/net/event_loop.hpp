// Runs the fibers of one thread on one Asio context, and offers the basic operations of a fiber:
// asynchronous I/O, sleeping, clocks and listening sockets. docs/design.md 9.1.
#ifndef ANISELINE_NET_EVENT_LOOP_HPP
#define ANISELINE_NET_EVENT_LOOP_HPP
#include "base/types.hpp"
#include <boost/asio/io_context.hpp>
#include <boost/asio/ip/tcp.hpp>
#include <boost/asio/post.hpp>
#include <boost/asio/steady_timer.hpp>
#include <boost/fiber/all.hpp>

namespace aniseline {

namespace asio = boost::asio;
using tcp = asio::ip::tcp;
using IoError = boost::system::error_code;

// Schedules the ready fibers of one thread in order of readiness. While no fiber is ready, the
// thread runs the Asio context, whose completion handlers wake fibers up.
class FiberScheduler : public boost::fibers::algo::algorithm {
 public:
  explicit FiberScheduler(asio::io_context& context) : context(context) {}
  void awakened(boost::fibers::context* fiber) noexcept override { fiber->ready_link(queue); }
  boost::fibers::context* pick_next() noexcept override {
    if (queue.empty())
      return nullptr;
    auto* fiber = &queue.front();
    queue.pop_front();
    return fiber;
  }
  bool has_ready_fibers() const noexcept override { return !queue.empty(); }
  void suspend_until(std::chrono::steady_clock::time_point const& until) noexcept override {
    if (context.stopped())
      context.restart();
    if (until == std::chrono::steady_clock::time_point::max())
      context.run_one();
    else
      context.run_one_until(until);
    context.poll();
  }
  void notify() noexcept override {
    asio::post(context, [] {});
  }

 private:
  asio::io_context& context;
  boost::fibers::scheduler::ready_queue_type queue;
};

// Installs the fiber scheduler on the thread that constructs it and owns that thread's Asio
// context.
class EventLoop {
 public:
  EventLoop() : guard(asio::make_work_guard(context)) {
    boost::fibers::use_scheduling_algorithm<FiberScheduler>(context);
  }
  asio::io_context context;
  // Opens a socket for a connection to `target` and binds it to `sourceIp`. With an empty
  // `sourceIp` the operating system chooses the source address.
  IoError openSocket(tcp::socket& socket, const tcp::endpoint& target) const {
    IoError error;
    socket.open(target.protocol(), error);
    if (!error && !sourceIp.empty())
      socket.bind(tcp::endpoint(asio::ip::make_address(sourceIp, error), 0), error);
    return error;
  }
  // The IP address from which all connections of this process are made; for machines that have
  // several. Set once, before the first connection.
  static inline std::string sourceIp;

 private:
  asio::executor_work_guard<asio::io_context::executor_type> guard;
};

struct IoResult {
  IoError error;
  std::size_t bytes = 0;
};

// Starts an asynchronous operation on this thread's context and suspends the calling fiber until
// the operation completes. `start` receives the completion handler.
template <class Start>
IoResult await(Start&& start) {
  boost::fibers::promise<IoResult> promise;
  auto future = promise.get_future();
  start([&promise](IoError error, std::size_t bytes = 0) {
    promise.set_value(IoResult{error, bytes});
  });
  return future.get();
}

// Accepts the next connection of a non-blocking acceptor. Connections that already wait are
// accepted without a turn of the event loop for each.
inline IoError acceptNext(tcp::acceptor& acceptor, tcp::socket& socket) {
  IoError error;
  acceptor.accept(socket, error);
  if (error != asio::error::would_block && error != asio::error::try_again)
    return error;
  return await([&](auto done) { acceptor.async_accept(socket, done); }).error;
}

// Starts a fiber on this thread. The caller has to join it.
template <class Work>
boost::fibers::fiber startFiber(Work&& work) {
  return boost::fibers::fiber(boost::fibers::launch::post, std::allocator_arg,
                              boost::fibers::fixedsize_stack(256 * 1024), std::forward<Work>(work));
}

// Starts a detached fiber on this thread.
template <class Work>
void spawn(Work&& work) {
  startFiber(std::forward<Work>(work)).detach();
}

// Runs `work` in a detached fiber after a delay.
template <class Work>
void runAfter(Duration span, Work&& work) {
  spawn([span, work = std::forward<Work>(work)] {
    boost::this_fiber::sleep_for(std::chrono::milliseconds(span.milliseconds));
    work();
  });
}

inline MonotonicTime monotonicNow() {
  return MonotonicTime{std::chrono::duration_cast<std::chrono::milliseconds>(
                           std::chrono::steady_clock::now().time_since_epoch())
                           .count()};
}
inline WallTime wallNow() {
  return WallTime{std::chrono::duration_cast<std::chrono::milliseconds>(
                      std::chrono::system_clock::now().time_since_epoch())
                      .count()};
}
inline void sleepFor(Duration span) {
  boost::this_fiber::sleep_for(std::chrono::milliseconds(span.milliseconds));
}

// Returns the IP address of a listen address, for `EventLoop::sourceIp`; empty for a wildcard
// address.
inline std::string sourceIpOf(const Address& address) {
  const auto colon = address.value.rfind(':');
  std::string ip = address.value.substr(0, colon);
  if (ip.size() > 1 && ip.front() == '[')
    ip = ip.substr(1, ip.size() - 2);
  return ip == "0.0.0.0" || ip == "::" ? std::string() : ip;
}

// Parses a numeric IP address with a port, such as 127.0.0.1:8000 or [::1]:8000. Host names are an
// error.
Result<tcp::endpoint> parseEndpoint(const Address& address);

// The lengths of the listen backlog for connections from other aniseline processes and from HTTP
// clients.
constexpr int peerBacklog = 256, clientBacklog = 1024;
// The delay before the next accept after a failed one, for example when no file descriptor is free.
constexpr Duration acceptRetryDelay{10};
// Opens an acceptor and starts to listen. With `shared` (SO_REUSEPORT) other acceptors may listen
// on the same endpoint.
IoError listenOn(tcp::acceptor& acceptor, const tcp::endpoint& endpoint, int backlog,
                 bool shared = false);

}  // namespace aniseline

#endif  // ANISELINE_NET_EVENT_LOOP_HPP
