#include "aniseline/library.hpp"
#include "base/json.hpp"
#include "net/gateway_client.hpp"
#include "net/worker_client.hpp"
#include <future>
#include <stdexcept>
#include <thread>

namespace aniseline::library {

namespace {

std::vector<Address> addresses(const std::vector<std::string>& texts) {
  std::vector<Address> found;
  for (const auto& text : texts) {
    if (auto endpoint = parseEndpoint(Address{text}); !endpoint)
      throw std::invalid_argument(endpoint.error().text());
    found.push_back(Address{text});
  }
  if (found.empty())
    throw std::invalid_argument("no contacts are given");
  return found;
}

// A thread of the library's own, with fibers; work is handed to it from any thread.
class Engine {
 public:
  Engine() {
    std::promise<void> ready;
    thread = std::thread([this, &ready] {
      // The thread's scheduler waits in this loop up to its very end, so it is kept until the
      // thread is joined.
      held = std::make_unique<EventLoop>();
      loop = held.get();
      ready.set_value();
      while (!over || under > 0)
        sleepFor(aniseline::Duration{10});
    });
    ready.get_future().wait();
  }
  ~Engine() {
    over = true;
    thread.join();
  }
  void post(std::function<void()> work) {
    ++under;
    asio::post(loop->context, [this, work = std::move(work)] {
      spawn([this, work] {
        work();
        --under;
      });
    });
  }
  template <class Value>
  Value run(std::function<Value(EventLoop&)> work) {
    std::promise<Value> promise;
    post([&] { promise.set_value(work(*loop)); });
    return promise.get_future().get();
  }
  std::atomic<bool> over{false};
  EventLoop* loop = nullptr;

 private:
  std::unique_ptr<EventLoop> held;
  std::atomic<int> under{0};
  std::thread thread;
};

Error errorOf(const ClientError& given) {
  Error error;
  error.status = given.status;
  error.text = given.text;
  error.retryAfter = Duration{given.retryAfter.milliseconds};
  switch (given.status) {
    case 400:
      error.kind = Error::Kind::invalid;
      break;
    case 404:
      error.kind = Error::Kind::missing;
      break;
    case 409:
      error.kind = Error::Kind::conflict;
      break;
    case 429:
      error.kind = Error::Kind::overloaded;
      break;
    case 0:
    case 503:
      error.kind = Error::Kind::unknown;
      break;
    default:
      error.kind = Error::Kind::rejected;
  }
  return error;
}

Result<JobView> viewOf(const std::string& id,
                       const aniseline::Result<HttpResponse, ClientError>& answer) {
  if (!answer)
    return errorOf(answer.error());
  picojson::value root;
  if (!parseJson(root, answer.value().body).empty() || !root.is<picojson::object>())
    return Error{Error::Kind::unknown, answer.value().status, "the answer is no JSON object",
                 Duration{0}};
  JobView view;
  view.id = id;
  view.state = root.get("state").to_str();
  if (root.contains("reason"))
    view.reason = root.get("reason").to_str();
  view.over = view.state == "finished" || view.state == "failed" || view.state == "cancelled";
  if (root.get("tasks_by_state").is<picojson::object>())
    for (const auto& [state, count] : root.get("tasks_by_state").get<picojson::object>())
      view.tasksByState[state] = std::size_t(count.get<double>());
  return view;
}

JobSubmission submissionOf(const Job& job) {
  JobSubmission submission;
  submission.id = JobId{job.id};
  submission.queue = QueueName{job.queue};
  for (const auto& step : job.steps) {
    StepRequest request{step.name, step.after, step.gang, {}};
    for (const auto& task : step.tasks)
      for (unsigned count = 0; count < task.count; ++count)
        request.tasks.push_back(TaskRequest{task.cores * 1000, task.memoryMb,
                                            aniseline::Duration{task.runtime.count()},
                                            task.payload});
    submission.steps.push_back(std::move(request));
  }
  submission.timetable.firstStart = ClusterTime{job.firstAt};
  submission.timetable.interval = aniseline::Duration{job.every.count()};
  submission.timetable.count = job.count;
  return submission;
}

}  // namespace

struct Origin::Parts {
  std::vector<Address> contacts;
  ZoneName zone;
  Engine engine;
  template <class Value>
  Value with(std::function<Value(GatewayClient&)> use) {
    return engine.run<Value>([&](EventLoop& loop) {
      GatewayClient caller(loop, contacts, zone);
      return use(caller);
    });
  }
};

Origin::Origin(const std::vector<std::string>& contacts, std::string zone)
    : parts(new Parts{addresses(contacts), ZoneName{std::move(zone)}, {}}) {}
Origin::~Origin() = default;

Result<std::string> Origin::submit(const Job& job, Duration within) {
  const auto submission = submissionOf(job);
  if (auto faults = submission.validate(); !faults.empty())
    return Error{Error::Kind::invalid, 400,
                 CoreError{CoreError::Kind::invalid, std::move(faults)}.text(), Duration{0}};
  return parts->with<Result<std::string>>([&](GatewayClient& caller) -> Result<std::string> {
    auto answer = caller.submitJob(submission, aniseline::Duration{within.count()});
    if (!answer)
      return errorOf(answer.error());
    return job.id;
  });
}
Result<JobView> Origin::show(const std::string& job, Duration within) {
  return parts->with<Result<JobView>>([&](GatewayClient& caller) {
    return viewOf(job, caller.showJob(JobId{job}, aniseline::Duration{within.count()}));
  });
}
Result<JobView> Origin::cancel(const std::string& job, Duration within) {
  return parts->with<Result<JobView>>([&](GatewayClient& caller) {
    return viewOf(job, caller.cancelJob(JobId{job}, aniseline::Duration{within.count()}));
  });
}
Result<JobView> Origin::follow(const std::string& job, Duration within) {
  return parts->with<Result<JobView>>([&](GatewayClient& caller) -> Result<JobView> {
    const MonotonicTime until = monotonicNow() + aniseline::Duration{within.count()};
    for (aniseline::Duration gap{25};;
         gap = aniseline::Duration{std::min<std::int64_t>(500, gap.milliseconds * 5 / 4)}) {
      const auto left = until - monotonicNow();
      if (left.milliseconds <= 0)
        return Error{Error::Kind::unknown, 0, "job " + job + " was not seen to end in time",
                     Duration{0}};
      auto view = viewOf(job, caller.showJob(JobId{job}, left));
      if ((view && view->over) || (!view && view.error().kind == Error::Kind::missing))
        return view;
      sleepFor(gap);
    }
  });
}

struct Worker::Parts {
  WorkerSlots slots;
  std::unique_ptr<WorkerClient> client;
  std::atomic<bool> stop{false}, quiet{true};
  Engine engine;  // the last: its thread ends before what it uses
};

Worker::Worker(const WorkerOptions& options, WorkerSlots slots) : parts(new Parts) {
  parts->slots = std::move(slots);
  WorkerSession::Options hand;
  hand.id = WorkerId{options.id};
  hand.capacity = Capacity{options.cores * 1000, options.memoryMb,      ZoneName{options.zone},
                           options.rack,         options.honoursLeases, options.guardsRoom};
  const auto contacts = addresses(options.contacts);
  parts->engine.run<bool>([&](EventLoop& loop) {
    std::random_device device;
    auto& own = *parts;
    own.client = std::make_unique<WorkerClient>(
        loop, hand, Incarnation{((std::uint64_t(device()) << 32) | device()) | 1}, contacts);
    own.client->command.connect([&own](const TaskCommand& command) {
      const auto attempt = command.attempt.value;
      const Order& order = command.order;
      if (command.kind == TaskCommand::Kind::start && own.slots.start)
        own.slots.start(Work{attempt, order.job.value, order.taskIndex, order.cores / 1000,
                             order.memory, Duration{order.runtime.milliseconds},
                             order.quantum.milliseconds > 0, order.payload});
      else if (command.kind == TaskCommand::Kind::suspend && own.slots.hold)
        own.slots.hold(attempt);
      else if (command.kind == TaskCommand::Kind::resume && own.slots.resume)
        own.slots.resume(attempt);
      else if (command.kind == TaskCommand::Kind::stop && own.slots.stop)
        own.slots.stop(attempt);
    });
    own.client->confirmed.connect([&own](const Order& order, AttemptOutcome kind) {
      if (own.slots.final)
        own.slots.final(order.attempt.value, kind == AttemptOutcome::succeeded);
    });
    own.client->rejected.connect([&own](const std::string& words) {
      if (own.slots.rejected)
        own.slots.rejected(words);
    });
    return true;
  });
  parts->engine.post([&own = *parts] { own.client->run(own.stop); });
  parts->engine.post([&own = *parts] {
    while (!own.stop) {
      own.quiet = own.client->session().empty();
      sleepFor(aniseline::Duration{5});
    }
  });
}
Worker::~Worker() {
  parts->stop = true;
}
void Worker::ended(std::uint64_t attempt, bool well) {
  parts->quiet = false;
  parts->engine.post(
      [&own = *parts, attempt, well] { own.client->attemptEnded(AttemptNumber{attempt}, well); });
}
void Worker::leave(Duration within) {
  parts->engine.post(
      [&own = *parts, within] { own.client->startDrain(aniseline::Duration{within.count()}); });
}
bool Worker::idle() const {
  return parts->quiet;
}

}  // namespace aniseline::library
