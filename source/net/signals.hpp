// Signals of the process, as the fibers of an event loop see them. docs/operations.md 4.
#ifndef ANISELINE_NET_SIGNALS_HPP
#define ANISELINE_NET_SIGNALS_HPP
#include "net/event_loop.hpp"
#include <boost/asio/signal_set.hpp>
#include <csignal>
#include <pthread.h>

namespace aniseline {

inline void setSignalsBlocked(bool blocked, std::initializer_list<int> numbers) {
  sigset_t set;
  sigemptyset(&set);
  for (const int number : numbers)
    sigaddset(&set, number);
  pthread_sigmask(blocked ? SIG_BLOCK : SIG_UNBLOCK, &set, nullptr);
}

// Called first in a daemon's main: a signal that comes while the process starts waits until
// StopSignal or ReloadSignal takes it. Its default action would end the process.
inline void holdSignalsUntilHandled() {
  setSignalsBlocked(true, {SIGTERM, SIGINT, SIGHUP});
}

// SIGTERM and SIGINT: the process is asked to stop, which it does in its own order. One that comes
// again changes nothing. Made before the process starts threads, which inherit its signal mask.
class StopSignal {
 public:
  explicit StopSignal(EventLoop& loop) : signals(loop.context, SIGTERM, SIGINT) {
    signals.async_wait([this](IoError error, int) {
      if (!error)
        stop = true;
    });
    setSignalsBlocked(false, {SIGTERM, SIGINT});
  }
  bool requested() const { return stop; }

 private:
  asio::signal_set signals;
  std::atomic<bool> stop{false};
};

// SIGHUP: the settings of this process have changed where they are kept. The callback runs on the
// loop's thread, each time the signal comes, also during a stop. Made before threads are started.
class ReloadSignal {
 public:
  ReloadSignal(EventLoop& loop, std::function<void()> reload)
      : signals(loop.context, SIGHUP), reload(std::move(reload)) {
    wait();
    setSignalsBlocked(false, {SIGHUP});
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
