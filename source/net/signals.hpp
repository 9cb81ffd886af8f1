// Signals of the process, as the fibers of an event loop see them. docs/operations.md 4.
#ifndef ANISELINE_NET_SIGNALS_HPP
#define ANISELINE_NET_SIGNALS_HPP
#include "net/event_loop.hpp"
#include <boost/asio/signal_set.hpp>

namespace aniseline {

// SIGTERM and SIGINT: the process is asked to stop, which it does in its own order.
class StopSignal {
 public:
  explicit StopSignal(EventLoop& loop) : signals(loop.context, SIGTERM, SIGINT) {
    signals.async_wait([this](IoError error, int) {
      if (!error)
        stop = true;
    });
  }
  bool requested() const { return stop; }

 private:
  asio::signal_set signals;
  std::atomic<bool> stop{false};
};

// SIGHUP: the settings of this process have changed where they are kept. The callback runs on the
// loop's thread, each time the signal comes.
class ReloadSignal {
 public:
  ReloadSignal(EventLoop& loop, std::function<void()> reload)
      : signals(loop.context, SIGHUP), reload(std::move(reload)) {
    wait();
  }

 private:
  void wait() {
    signals.async_wait([this](IoError error, int) {
      if (error)
        return;
      if (reload)
        reload();
      wait();
    });
  }
  asio::signal_set signals;
  std::function<void()> reload;
};

}  // namespace aniseline

#endif  // ANISELINE_NET_SIGNALS_HPP
