// Example worker whose tasks only wait. It serves for the given number of seconds and then leaves
// the cluster.
// Usage: example_worker SECONDS CONTACT [CONTACT...]
#include <aniseline/library.hpp>
#include <atomic>
#include <iostream>
#include <mutex>
#include <thread>

using namespace aniseline::library;
using namespace std::chrono_literals;

int main(int argc, char** argv) {
  if (argc < 3) {
    std::cerr << "usage: example_worker SECONDS CONTACT [CONTACT...]\n";
    return 2;
  }
  std::mutex mutex;
  std::map<std::uint64_t, Duration> remainingTime;  // remaining run time of tasks that are not held
  std::map<std::uint64_t, Duration> heldTasks;
  std::atomic<int> succeededCount{0};
  WorkerOptions options{"example-worker",
                        "zone1",
                        "",
                        4,
                        4096,
                        std::vector<std::string>(argv + 2, argv + argc),
                        true,
                        false};
  WorkerSlots slots;
  slots.start = [&](const Work& work) {
    std::lock_guard lock(mutex);
    remainingTime[work.attempt] = std::min<Duration>(work.runtime, 300ms);
  };
  auto moveTask = [&](auto& from, auto& to, std::uint64_t attempt) {
    std::lock_guard lock(mutex);
    if (auto node = from.extract(attempt))
      to.insert(std::move(node));
  };
  slots.hold = [&](std::uint64_t attempt) {
    moveTask(remainingTime, heldTasks, attempt);
  };
  slots.resume = [&](std::uint64_t attempt) {
    moveTask(heldTasks, remainingTime, attempt);
  };
  slots.stop = [&](std::uint64_t attempt) {
    std::lock_guard lock(mutex);
    remainingTime.erase(attempt);
    heldTasks.erase(attempt);
  };
  slots.final = [&](std::uint64_t, bool finished) {
    succeededCount += finished;
  };
  slots.rejected = [](const std::string& reason) {
    std::cerr << reason << "\n";
  };
  Worker worker(options, slots);
  const auto until = std::chrono::steady_clock::now() + std::chrono::seconds(std::stoi(argv[1]));
  bool leaving = false;
  while (std::chrono::steady_clock::now() < until + 2s && !(leaving && worker.idle())) {
    if (!leaving && std::chrono::steady_clock::now() > until) {
      worker.leave(1000ms);
      leaving = true;
    }
    std::this_thread::sleep_for(10ms);
    std::vector<std::uint64_t> done;
    {
      std::lock_guard lock(mutex);
      for (auto& [attempt, span] : remainingTime)
        if ((span -= 10ms) <= 0ms)
          done.push_back(attempt);
      for (auto attempt : done)
        remainingTime.erase(attempt);
    }
    for (auto attempt : done)
      worker.ended(attempt, true);
  }
  std::cout << succeededCount << " tasks succeeded and were confirmed" << std::endl;
  return 0;
}
