// A thread that runs jobs one after another. It keeps slow work (writes to disk, packing of
// snapshots) off the thread that runs consensus. docs/design.md 9.1.
#ifndef ANISELINE_DAEMONS_SERIAL_WORKER_HPP
#define ANISELINE_DAEMONS_SERIAL_WORKER_HPP
#include "base/types.hpp"
#include <condition_variable>
#include <mutex>
#include <thread>

namespace aniseline {

// Owns its thread: the destructor runs every job that was submitted before it and then joins.
class SerialWorker {
 public:
  SerialWorker();
  ~SerialWorker();
  SerialWorker(const SerialWorker&) = delete;
  SerialWorker& operator=(const SerialWorker&) = delete;

  // Queues a job; jobs run in the order in which they were submitted. From any thread.
  void submit(std::function<void()> job);

 private:
  void run();
  // The next job, waited for; empty once the queue is empty and the worker is being destroyed.
  std::function<void()> nextJob();

  std::mutex mutex;
  std::condition_variable queueChanged;
  std::deque<std::function<void()>> queue;
  bool stopping = false;
  std::thread thread;  // the last member: it uses all the others from its start
};

}  // namespace aniseline

#endif  // ANISELINE_DAEMONS_SERIAL_WORKER_HPP
