// Handles process signals on an event loop. docs/operations.md 4.
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

// Must be called first in the main function of a daemon. A signal that arrives during startup stays
// pending until StopSignal or ReloadSignal handles it; its default action would end the process.
inline void blockSignalsUntilHandled() {
  setSignalsBlocked(true, {SIGTERM, SIGINT, SIGHUP});
}

// Handles SIGTERM and SIGINT, which request a graceful stop; repeated signals have no effect. Must
// be constructed before the process starts threads, because they inherit its signal mask.
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

// Handles SIGHUP, which means that the stored settings of this process have changed. The callback
// runs on the loop's thread for each signal, also during a stop. Must be constructed before the
// process starts threads.
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
