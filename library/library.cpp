// Implements the public library on top of GatewayClient and WorkerClient, with one fiber thread per
// object.
#include "aniseline/library.hpp"
#include "base/json.hpp"
#include "net/gateway_client.hpp"
#include "net/worker_client.hpp"
#include <future>
#include <stdexcept>
#include <thread>

namespace aniseline::library {

namespace {

std::vector<Address> parseContacts(const std::vector<std::string>& texts) {
  std::vector<Address> found;
  for (const auto& text : texts) {
    if (auto endpoint = parseEndpoint(Address{text}); !endpoint)
      throw std::invalid_argument(endpoint.error().text());
    found.push_back(Address{text});
  }
  if (found.empty())
    throw std::invalid_argument("no contact addresses given");
  return found;
}

// A library thread that runs fibers. Functions can be posted to it from any thread.
class FiberThread {
 public:
  FiberThread() {
    std::promise<void> ready;
    thread = std::thread([this, &ready] {
      // The thread's fiber scheduler runs in this event loop until the thread exits, so the loop is
      // kept alive until the thread is joined.
      ownedLoop = std::make_unique<EventLoop>();
      loop = ownedLoop.get();
      ready.set_value();
      while (!stopping || pendingWork > 0)
        sleepFor(aniseline::Duration{10});
    });
    ready.get_future().wait();
  }
  ~FiberThread() {
    stopping = true;
    thread.join();
  }
  void post(std::function<void()> work) {
    ++pendingWork;
    asio::post(loop->context, [this, work = std::move(work)] {
      spawn([this, work] {
        work();
        --pendingWork;
      });
    });
  }
  template <class Value>
  Value run(std::function<Value(EventLoop&)> work) {
    std::promise<Value> promise;
    post([&] { promise.set_value(work(*loop)); });
    return promise.get_future().get();
  }
  std::atomic<bool> stopping{false};
  EventLoop* loop = nullptr;

 private:
  std::unique_ptr<EventLoop> ownedLoop;
  std::atomic<int> pendingWork{0};
  std::thread thread;
};

Error toError(const ClientError& clientError) {
  Error error;
  error.status = clientError.status;
  error.text = clientError.text;
  error.retryAfter = Duration{clientError.retryAfter.milliseconds};
  switch (clientError.status) {
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

Result<JobView> toJobView(const std::string& id,
                          const aniseline::Result<HttpResponse, ClientError>& response) {
  if (!response)
    return toError(response.error());
  picojson::value root;
  if (!parseJson(root, response.value().body).empty() || !root.is<picojson::object>())
    return Error{Error::Kind::unknown, response.value().status,
                 "the response body is not a JSON object", Duration{0}};
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

JobSubmission toSubmission(const Job& job) {
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

struct Origin::Impl {
  std::vector<Address> contacts;
  ZoneName zone;
  FiberThread fiberThread;
  template <class Value>
  Value with(std::function<Value(GatewayClient&)> operation) {
    return fiberThread.run<Value>([&](EventLoop& loop) {
      GatewayClient gatewayClient(loop, contacts, zone);
      return operation(gatewayClient);
    });
  }
};

Origin::Origin(const std::vector<std::string>& contacts, std::string zone)
    : impl(new Impl{parseContacts(contacts), ZoneName{std::move(zone)}, {}}) {}
Origin::~Origin() = default;

Result<std::string> Origin::submit(const Job& job, Duration within) {
  const auto submission = toSubmission(job);
  if (auto errors = submission.validate(); !errors.empty())
    return Error{Error::Kind::invalid, 400,
                 CoreError{CoreError::Kind::invalid, std::move(errors)}.text(), Duration{0}};
  return impl->with<Result<std::string>>([&](GatewayClient& gatewayClient) -> Result<std::string> {
    auto response = gatewayClient.submitJob(submission, aniseline::Duration{within.count()});
    if (!response)
      return toError(response.error());
    return job.id;
  });
}
Result<JobView> Origin::show(const std::string& job, Duration within) {
  return impl->with<Result<JobView>>([&](GatewayClient& gatewayClient) {
    return toJobView(job, gatewayClient.showJob(JobId{job}, aniseline::Duration{within.count()}));
  });
}
Result<JobView> Origin::cancel(const std::string& job, Duration within) {
  return impl->with<Result<JobView>>([&](GatewayClient& gatewayClient) {
    return toJobView(job, gatewayClient.cancelJob(JobId{job}, aniseline::Duration{within.count()}));
  });
}
Result<JobView> Origin::follow(const std::string& job, Duration within) {
  return impl->with<Result<JobView>>([&](GatewayClient& gatewayClient) -> Result<JobView> {
    const MonotonicTime until = monotonicNow() + aniseline::Duration{within.count()};
    for (aniseline::Duration pollInterval{25};;
         pollInterval =
             aniseline::Duration{std::min<std::int64_t>(500, pollInterval.milliseconds * 5 / 4)}) {
      const auto left = until - monotonicNow();
      if (left.milliseconds <= 0)
        return Error{Error::Kind::unknown, 0,
                     "job " + job + " did not reach a final state before the timeout", Duration{0}};
      auto view = toJobView(job, gatewayClient.showJob(JobId{job}, left));
      if ((view && view->over) || (!view && view.error().kind == Error::Kind::missing))
        return view;
      sleepFor(pollInterval);
    }
  });
}

struct Worker::Impl {
  WorkerSlots slots;
  std::unique_ptr<WorkerClient> client;
  std::atomic<bool> stop{false}, isIdle{true};
  // Declared last: its thread ends before the members that it uses are destroyed.
  FiberThread fiberThread;
};

Worker::Worker(const WorkerOptions& options, WorkerSlots slots) : impl(new Impl) {
  impl->slots = std::move(slots);
  WorkerSession::Options sessionOptions;
  sessionOptions.id = WorkerId{options.id};
  sessionOptions.capacity =
      Capacity{options.cores * 1000, options.memoryMb,      ZoneName{options.zone},
               options.rack,         options.honoursLeases, options.guardsRoom};
  const auto contacts = parseContacts(options.contacts);
  impl->fiberThread.run<bool>([&](EventLoop& loop) {
    std::random_device device;
    auto& workerImpl = *impl;
    workerImpl.client = std::make_unique<WorkerClient>(
        loop, sessionOptions, Incarnation{((std::uint64_t(device()) << 32) | device()) | 1},
        contacts);
    workerImpl.client->command.connect([&workerImpl](const TaskCommand& command) {
      const auto attempt = command.attempt.value;
      const Order& order = command.order;
      if (command.kind == TaskCommand::Kind::start && workerImpl.slots.start)
        workerImpl.slots.start(Work{attempt, order.job.value, order.taskIndex, order.cores / 1000,
                                    order.memory, Duration{order.runtime.milliseconds},
                                    order.quantum.milliseconds > 0, order.payload});
      else if (command.kind == TaskCommand::Kind::suspend && workerImpl.slots.hold)
        workerImpl.slots.hold(attempt);
      else if (command.kind == TaskCommand::Kind::resume && workerImpl.slots.resume)
        workerImpl.slots.resume(attempt);
      else if (command.kind == TaskCommand::Kind::stop && workerImpl.slots.stop)
        workerImpl.slots.stop(attempt);
    });
    workerImpl.client->confirmed.connect([&workerImpl](const Order& order, AttemptOutcome outcome) {
      if (workerImpl.slots.final)
        workerImpl.slots.final(order.attempt.value, outcome == AttemptOutcome::succeeded);
    });
    workerImpl.client->rejected.connect([&workerImpl](const std::string& reason) {
      if (workerImpl.slots.rejected)
        workerImpl.slots.rejected(reason);
    });
    return true;
  });
  impl->fiberThread.post([&workerImpl = *impl] { workerImpl.client->run(workerImpl.stop); });
  impl->fiberThread.post([&workerImpl = *impl] {
    while (!workerImpl.stop) {
      workerImpl.isIdle = workerImpl.client->session().empty();
      sleepFor(aniseline::Duration{5});
    }
  });
}
Worker::~Worker() {
  impl->stop = true;
}
void Worker::ended(std::uint64_t attempt, bool well) {
  impl->isIdle = false;
  impl->fiberThread.post([&workerImpl = *impl, attempt, well] {
    workerImpl.client->attemptEnded(AttemptNumber{attempt}, well);
  });
}
void Worker::leave(Duration within) {
  impl->fiberThread.post([&workerImpl = *impl, within] {
    workerImpl.client->startDrain(aniseline::Duration{within.count()});
  });
}
bool Worker::idle() const {
  return impl->isIdle;
}

}  // namespace aniseline::library
