// Implements the job queue and its thread's loop.
#include "daemons/serial_worker.hpp"

namespace aniseline {

SerialWorker::SerialWorker() : thread([this] { run(); }) {}

SerialWorker::~SerialWorker() {
  {
    const std::lock_guard lock(mutex);
    stopping = true;
  }
  queueChanged.notify_one();
  thread.join();
}

void SerialWorker::submit(std::function<void()> job) {
  {
    const std::lock_guard lock(mutex);
    queue.push_back(std::move(job));
  }
  queueChanged.notify_one();
}

std::function<void()> SerialWorker::nextJob() {
  std::unique_lock lock(mutex);
  queueChanged.wait(lock, [this] { return stopping || !queue.empty(); });
  if (queue.empty())
    return {};
  std::function<void()> job = std::move(queue.front());
  queue.pop_front();
  return job;
}

void SerialWorker::run() {
  while (const auto job = nextJob())
    job();
}

}  // namespace aniseline
