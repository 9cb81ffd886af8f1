// libaniseline: for programs that submit jobs, and for programs that are workers. Only the standard
// library is needed to read this. docs/api.md 4.
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

// What went wrong, in words for an operator. `unknown`: it may have been done; asking again with
// the same id is safe.
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

struct Task {
  unsigned cores = 1;
  std::uint64_t memoryMb = 1;
  Duration runtime{1000};  // requested
  std::string payload;     // handed to the worker as it is
  unsigned count = 1;
};
struct Step {
  std::string name;
  std::vector<std::string> after;
  bool gang = false;  // all tasks start together or none
  std::vector<Task> tasks;
};
struct Job {
  std::string id;  // yours; a resend of the same id and content gets the same answer
  std::string queue;
  std::vector<Step> steps;
  std::int64_t firstAt = 0;  // of a timed job: milliseconds of calendar time
  Duration every{0};
  unsigned count = 1;
};
struct JobView {
  std::string id, state, reason;
  bool over = false;
  std::map<std::string, std::size_t> tasksByState;
};

// Submits, follows and cancels. Calls block the calling thread, never longer than the time given;
// any number of threads may call at once. It goes on to the next gateway by itself and learns those
// in force, its own zone's first.
class Origin {
 public:
  // IP numbers with ports, of any processes of the cluster.
  explicit Origin(const std::vector<std::string>& contacts, std::string zone = {});
  ~Origin();
  Result<std::string> submit(const Job& job,
                             Duration within);  // the job's id, once a majority has it on disk
  Result<JobView> show(const std::string& job, Duration within);
  Result<JobView> cancel(const std::string& job, Duration within);
  Result<JobView> follow(const std::string& job, Duration within);  // until it is over

 private:
  struct Impl;
  std::unique_ptr<Impl> impl;
};

struct Work {
  std::uint64_t attempt = 0;  // names this start; a retry has another
  std::string job;
  unsigned task = 0, cores = 0;
  std::uint64_t memoryMb = 0;
  Duration runtime{0};
  bool trial = false;
  std::string payload;
};
struct WorkerOptions {
  std::string id, zone, rack;
  unsigned cores = 1;
  std::uint64_t memoryMb = 1024;
  std::vector<std::string> contacts;
  bool honoursLeases =
      true;  // hold() really holds: only then are its tasks started elsewhere after a silence
  bool guardsRoom = false;
};
// What a worker does when told. Called on the library's own thread, one at a time: return soon.
struct WorkerSlots {
  std::function<void(const Work&)> start;
  std::function<void(std::uint64_t attempt)> hold, resume, stop;
  std::function<void(std::uint64_t attempt, bool finished)>
      final;  // the centre knows of the ending: hand out the result now
  std::function<void(const std::string&)> rejected;  // say, another process has this id
};
class Worker {
 public:
  Worker(const WorkerOptions& options, WorkerSlots slots);
  ~Worker();                                     // out of touch from then on: leave() first
  void ended(std::uint64_t attempt, bool well);  // from any thread
  void leave(Duration within);  // nothing new starts; what runs may go on that long
  bool idle() const;            // nothing runs and every ending is confirmed

 private:
  struct Impl;
  std::unique_ptr<Impl> impl;
};

}  // namespace aniseline::library

#endif  // ANISELINE_LIBRARY_HPP
