// Public interface of libaniseline, for programs that submit jobs and for programs that act as
// workers. It includes only headers of the standard library. docs/api.md 4.
#ifndef ANISELINE_LIBRARY_HPP
#define ANISELINE_LIBRARY_HPP
#include <chrono>
#include <cstdint>
#include <functional>
#include <map>
#include <memory>
#include <string>
#include <variant>
#include <vector>

namespace aniseline::library {

using Duration = std::chrono::milliseconds;

// Describes a failed request; `text` is meant for an operator. `unknown`: the request may have been
// carried out, and repeating it with the same id is safe.
struct Error {
  enum class Kind {
    invalid,
    rejected,
    conflict,
    missing,
    overloaded,
    unknown
  } kind = Kind::unknown;
  int status = 0;
  std::string text;
  Duration retryAfter{0};
};
// Either a value or an error.
template <class Value>
class Result {
 public:
  Result(Value value) : content(std::move(value)) {}
  Result(Error error) : content(std::move(error)) {}
  explicit operator bool() const { return content.index() == 0; }
  const Value& operator*() const { return std::get<0>(content); }
  const Value* operator->() const { return &std::get<0>(content); }
  const Error& error() const { return std::get<1>(content); }

 private:
  std::variant<Value, Error> content;
};

// A number of identical tasks.
struct Task {
  unsigned cores = 1;
  std::uint64_t memoryMb = 1;
  // The requested run time.
  Duration runtime{1000};
  // Passed to the worker unchanged.
  std::string payload;
  unsigned count = 1;
};
// A group of tasks that runs after the steps named in `after` have finished.
struct Step {
  std::string name;
  std::vector<std::string> after;
  // All tasks of the step start together, or none does.
  bool gang = false;
  std::vector<Task> tasks;
};
// A job to submit. A timed job starts `count` times, `every` apart.
struct Job {
  // Chosen by the caller. Submitting the same id and content again returns the same answer.
  std::string id;
  std::string queue;
  std::vector<Step> steps;
  // The first start of a timed job, in milliseconds of calendar time.
  std::int64_t firstAt = 0;
  Duration every{0};
  unsigned count = 1;
};
// The state of a submitted job.
struct JobView {
  std::string id, state, reason;
  // True once the job has finished, failed or been cancelled.
  bool over = false;
  std::map<std::string, std::size_t> tasksByState;
};

// Submits, follows and cancels jobs. Each call blocks the calling thread for at most the given
// time; any number of threads may call concurrently. If a gateway fails, the next one is tried. The
// list of current gateways is updated automatically, and gateways of the caller's own zone are
// preferred.
class Origin {
 public:
  // Takes IP addresses with ports of any processes of the cluster. Throws std::invalid_argument if
  // the list is empty or an address is malformed.
  explicit Origin(const std::vector<std::string>& contacts, std::string zone = {});
  ~Origin();
  // Returns the job's id once a majority of the controllers has stored the job on disk.
  Result<std::string> submit(const Job& job, Duration within);
  Result<JobView> show(const std::string& job, Duration within);
  Result<JobView> cancel(const std::string& job, Duration within);
  // Waits until the job has ended.
  Result<JobView> follow(const std::string& job, Duration within);

 private:
  struct Impl;
  std::unique_ptr<Impl> impl;
};

// A task that a worker is to start.
struct Work {
  // Identifies this start; a retry gets a new number.
  std::uint64_t attempt = 0;
  std::string job;
  unsigned task = 0, cores = 0;
  std::uint64_t memoryMb = 0;
  Duration runtime{0};
  // True if the task is stopped after a limited run time.
  bool trial = false;
  std::string payload;
};
struct WorkerOptions {
  std::string id, zone, rack;
  unsigned cores = 1;
  std::uint64_t memoryMb = 1024;
  std::vector<std::string> contacts;
  // States that hold() reliably suspends a task. Only then are the worker's tasks started elsewhere
  // while it does not answer.
  bool honoursLeases = true;
  // States that the worker rejects tasks that exceed its capacity.
  bool guardsRoom = false;
};
// Callbacks through which a worker receives commands. They are called one at a time on the
// library's own thread and must return quickly.
struct WorkerSlots {
  std::function<void(const Work&)> start;
  std::function<void(std::uint64_t attempt)> hold, resume, stop;
  // The cluster has recorded the end of the attempt; its result may be published now.
  std::function<void(std::uint64_t attempt, bool finished)> final;
  // The cluster has rejected this worker for the given reason, for example because another process
  // uses its id.
  std::function<void(const std::string&)> rejected;
};
// Connects a worker to the cluster and passes it commands until it is destroyed.
class Worker {
 public:
  Worker(const WorkerOptions& options, WorkerSlots slots);
  // Disconnects from the cluster; call leave() first.
  ~Worker();
  // Reports the end of an attempt; `well` states whether it succeeded. May be called from any
  // thread.
  void ended(std::uint64_t attempt, bool well);
  // Starts no new tasks; running tasks may continue for this long.
  void leave(Duration within);
  // Reports whether no task runs and every result is confirmed.
  bool idle() const;

 private:
  struct Impl;
  std::unique_ptr<Impl> impl;
};

}  // namespace aniseline::library

#endif  // ANISELINE_LIBRARY_HPP
