// A worker whose tasks only wait. It serves for some seconds, then leaves. usage: example_worker
// SECONDS CONTACT [CONTACT...]
#include <aniseline/library.hpp>
#include <atomic>
#include <iostream>
#include <mutex>
#include <thread>

using namespace aniseline::library;
using namespace std::chrono_literals;

int main(int count, char** values) {
  if (count < 3) {
    std::cerr << "usage: example_worker SECONDS CONTACT [CONTACT...]\n";
    return 2;
  }
  std::mutex mutex;
  std::map<std::uint64_t, Duration> left;  // run time left, of tasks that are not held
  std::map<std::uint64_t, Duration> held;
  std::atomic<int> ended{0};
  WorkerOptions options{"example-worker",
                        "zone1",
                        "",
                        4,
                        4096,
                        std::vector<std::string>(values + 2, values + count),
                        true,
                        false};
  WorkerSlots slots;
  slots.start = [&](const Work& work) {
    std::lock_guard lock(mutex);
    left[work.attempt] = std::min<Duration>(work.runtime, 300ms);
  };
  auto move = [&](auto& from, auto& to, std::uint64_t attempt) {
    std::lock_guard lock(mutex);
    if (auto node = from.extract(attempt))
      to.insert(std::move(node));
  };
  slots.hold = [&](std::uint64_t attempt) {
    move(left, held, attempt);
  };
  slots.resume = [&](std::uint64_t attempt) {
    move(held, left, attempt);
  };
  slots.stop = [&](std::uint64_t attempt) {
    std::lock_guard lock(mutex);
    left.erase(attempt);
    held.erase(attempt);
  };
  slots.final = [&](std::uint64_t, bool finished) {
    ended += finished;
  };
  slots.rejected = [](const std::string& words) {
    std::cerr << words << "\n";
  };
  Worker worker(options, slots);
  const auto until = std::chrono::steady_clock::now() + std::chrono::seconds(std::stoi(values[1]));
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
      for (auto& [attempt, span] : left)
        if ((span -= 10ms) <= 0ms)
          done.push_back(attempt);
      for (auto attempt : done)
        left.erase(attempt);
    }
    for (auto attempt : done)
      worker.ended(attempt, true);
  }
  std::cout << ended << " tasks ended well and were confirmed" << std::endl;
  return 0;
}
