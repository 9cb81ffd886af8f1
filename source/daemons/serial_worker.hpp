// Runs jobs one after another on a thread of its own. This keeps slow work, such as disk writes and
// the packing of snapshots, off the thread that runs consensus. docs/design.md 9.1.
#ifndef ANISELINE_DAEMONS_SERIAL_WORKER_HPP
#define ANISELINE_DAEMONS_SERIAL_WORKER_HPP
#include "base/types.hpp"
#include <condition_variable>
#include <mutex>
#include <thread>

namespace aniseline {

// Owns its thread. The destructor runs all jobs submitted so far and then joins the thread.
class SerialWorker {
 public:
  SerialWorker();
  ~SerialWorker();
  SerialWorker(const SerialWorker&) = delete;
  SerialWorker& operator=(const SerialWorker&) = delete;

  // Queues a job. Jobs run in the order in which they were submitted. Callable from any thread.
  void submit(std::function<void()> job);

 private:
  void run();
  // Waits for the next job and returns it. Returns an empty function if the queue is empty and the
  // worker is being destroyed.
  std::function<void()> nextJob();

  std::mutex mutex;
  std::condition_variable queueChanged;
  std::deque<std::function<void()>> queue;
  bool stopping = false;
  std::thread thread;  // declared last, because it uses all other members as soon as it starts
};

}  // namespace aniseline

#endif  // ANISELINE_DAEMONS_SERIAL_WORKER_HPP
