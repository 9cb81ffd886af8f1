// An event loop that does a step of work whenever it is woken up, as a controller does. It counts
// the steps, so that a test sees how much the loop takes in between two of them.
#ifndef ANISELINE_TESTS_SUPPORT_STEPPING_LOOP_HPP
#define ANISELINE_TESTS_SUPPORT_STEPPING_LOOP_HPP
#include "net/event_loop.hpp"
#include <thread>

namespace aniseline {

class SteppingLoop {
 public:
  // Runs `work` with a loop on a thread of its own.
  static void run(const std::function<void(SteppingLoop&)>& work) {
    std::unique_ptr<SteppingLoop> loop;  // must outlive the thread's fiber scheduler
    std::thread thread([&] {
      loop = std::make_unique<SteppingLoop>();
      work(*loop);
    });
    thread.join();
  }
  EventLoop& events() { return eventLoop; }
  // Makes the next step due.
  void wakeUp() {
    const std::unique_lock lock(mutex);
    wakeRequested = true;
    wakeCondition.notify_one();
  }
  // Steps until the condition holds, and returns the number of steps.
  int stepUntil(const std::function<bool()>& condition) {
    int steps = 0;
    for (; !condition(); ++steps)
      step();
    return steps;
  }

 private:
  static constexpr std::chrono::milliseconds stepTime{1};

  void step() {
    std::unique_lock lock(mutex);
    wakeCondition.wait(lock, [this] { return wakeRequested; });
    wakeRequested = false;
    const auto end = std::chrono::steady_clock::now() + stepTime;
    while (std::chrono::steady_clock::now() < end)
      continue;
  }

  EventLoop eventLoop;
  bool wakeRequested = false;
  boost::fibers::mutex mutex;
  boost::fibers::condition_variable wakeCondition;
};

}  // namespace aniseline

#endif  // ANISELINE_TESTS_SUPPORT_STEPPING_LOOP_HPP
