// loadgen: generates the load of the clients of the two deployments, open loop, and reports
// latencies. docs/operations.md 7.
#include "net/gateway_client.hpp"
#include "net/history_file.hpp"
#include "net/log.hpp"
#include "net/options.hpp"
#include "net/signals.hpp"
#include <fstream>
#include <iostream>

using namespace aniseline;

namespace {

struct Settings {
  std::string deployment = "cedarmark", witness, submissions, name = "d", report;
  std::vector<Address> gateways;
  std::int64_t seconds = 30, seed = 1, fillerJobs = 0, settleSeconds = 60;
  double rate = 1, cancelRatio = 0.02;
  bool quiet = false;
};

// A type of job that is submitted at random times.
struct JobType {
  const char* queue;
  double meanIntervalMilliseconds;  // between two submissions, on average
  std::vector<StepRequest> steps;
};

// Returns a task that is requested with one runtime and really takes another, in ms.
TaskRequest task(std::uint32_t cores, std::uint64_t memory, std::int64_t requestedRuntime,
                 std::int64_t actualRuntime) {
  return TaskRequest{cores * 1000, memory, Duration{requestedRuntime},
                     "run=" + std::to_string(actualRuntime)};
}
std::vector<TaskRequest> copiesOf(std::size_t count, const TaskRequest& one) {
  return std::vector<TaskRequest>(count, one);
}

std::vector<JobType> jobTypesOf(const std::string& deployment) {
  if (deployment == "cedarmark")
    return {{"proofs", 1000.0 / 7, {{"proof", {}, false, {task(1, 512, 1000, 120)}}}},
            {"dielines", 1000, {{"check", {}, false, {task(2, 1024, 3000, 900)}}}},
            {"plates",
             6000,
             {{"separate", {}, true, copiesOf(4, task(2, 2048, 20'000, 8000))},
              {"merge", {"separate"}, false, {task(2, 2048, 4000, 1500)}}}}};
  return {{"updates", 1000.0 / 4.5, {{"update", {}, false, {task(1, 512, 500, 60)}}}},
          {"corrections", 1000.0 / 3, {{"correct", {}, false, {task(1, 1024, 2000, 700)}}}},
          {"standings",
           6000,
           {{"read", {}, false, copiesOf(3, task(4, 2048, 6000, 2500))},
            {"rebuild", {"read"}, true, copiesOf(4, task(8, 4096, 15'000, 6000))}}}};
}

struct Latencies {
  std::vector<std::int64_t> values;
  picojson::object toJson() {
    std::sort(values.begin(), values.end());
    auto at = [&](double fraction) {
      return values.empty() ? 0
                            : values[std::min(values.size() - 1,
                                              std::size_t(fraction * double(values.size())))];
    };
    return {{"count", json(values.size())},
            {"p50_ms", json(at(0.5))},
            {"p95_ms", json(at(0.95))},
            {"p99_ms", json(at(0.99))},
            {"max_ms", json(values.empty() ? 0 : values.back())}};
  }
};

class LoadGenerator {
 public:
  explicit LoadGenerator(Settings given)
      : settings(std::move(given)),
        random(std::uint64_t(settings.seed)),
        history(settings.witness) {
    if (!settings.submissions.empty())
      jobsOut.open(settings.submissions, std::ios::app);
  }
  int run() {
    StopSignal stop(loop);
    const MonotonicTime startedAt = monotonicNow();
    for (std::int64_t count = 0; count < settings.fillerJobs; ++count)
      submitJob(JobType{
          "long", 0, {{"long", {}, false, {task(4, 1024, 600'000, settings.seconds * 1000)}}}});
    const auto jobTypes = jobTypesOf(settings.deployment);
    std::vector<double> next(jobTypes.size());
    for (std::size_t index = 0; index < jobTypes.size(); ++index)
      next[index] = double(random.between(
          0, std::int64_t(jobTypes[index].meanIntervalMilliseconds / settings.rate)));
    while (!stop.requested() && monotonicNow() - startedAt < Duration{settings.seconds * 1000}) {
      const double elapsed = double((monotonicNow() - startedAt).milliseconds);
      for (std::size_t index = 0; index < jobTypes.size(); ++index)
        while (next[index] <= elapsed) {
          submitJob(jobTypes[index]);
          // Exponential intervals, since clients are independent of each other.
          next[index] += -std::log(1.0 - double(random.next() >> 11) / 9007199254740992.0) *
                         jobTypes[index].meanIntervalMilliseconds / settings.rate;
        }
      sleepFor(Duration{2});
    }
    const MonotonicTime deadline = monotonicNow() + Duration{settings.settleSeconds * 1000};
    while (openJobs > 0 && monotonicNow() < deadline)
      sleepFor(Duration{50});
    picojson::object shown, byQueue;
    for (auto& [queue, latencies] : finishedLatencies)
      byQueue[queue] = json(latencies.toJson());
    shown = {{"submitted", json(submitted)},
             {"accepted", json(accepted)},
             {"rejected", json(rejected)},
             {"unanswered", json(unanswered)},
             {"tries_unknown", json(unknownOutcomes)},
             {"finished", json(finishedCount)},
             {"failed", json(failed)},
             {"cancelled", json(cancelled)},
             {"open_at_end", json(openJobs)},
             {"acknowledged", json(acknowledgementLatencies.toJson())},
             {"to_finished_by_queue", json(byQueue)}};
    std::cout << json(shown).serialize() << std::endl;
    if (!settings.report.empty())
      std::ofstream(settings.report) << json(shown).serialize() << "\n";
    history.close();
    std::_Exit(openJobs == 0 && unanswered == 0 ? 0 : 1);
  }

 private:
  void write(HistoryEvent::Kind kind, const JobId& job, std::string detail = {}) {
    HistoryEvent event;
    event.kind = kind;
    event.job = job.value;
    event.detail = std::move(detail);
    history.write(std::move(event));
  }
  void submitJob(const JobType& type) {
    JobSubmission job;
    job.id = JobId{settings.name + "-" + std::to_string(settings.seed) + "-" +
                   std::to_string(++submitted)};
    job.queue = QueueName{type.queue};
    job.steps = type.steps;
    if (jobsOut.is_open())
      jobsOut << renderJobSubmission(job) << "\n" << std::flush;
    ++openJobs;
    const bool cancel = random.chance(settings.cancelRatio);
    std::vector<Address> gateways = settings.gateways;
    std::rotate(gateways.begin(),
                gateways.begin() + std::ptrdiff_t(random.next() % gateways.size()), gateways.end());
    spawn([this, job, cancel, gateways] {
      runJob(job, cancel, gateways);
      --openJobs;
    });
  }
  // Submits a job, cancels it if wanted, and polls its state until it has ended.
  void runJob(const JobSubmission& job, bool cancel, const std::vector<Address>& gateways) {
    GatewayClient client(loop, gateways);
    client.onAttempt = [this, &job](const HttpRequest& request,
                                    const Result<HttpResponse, HttpError>& result) {
      if (request.method != "POST")
        return;
      write(HistoryEvent::Kind::submitted, job.id);
      if (!result || result.value().status == 503) {
        ++unknownOutcomes;
        write(HistoryEvent::Kind::outcomeUnknown, job.id);
      } else
        write(result.value().status == 202 ? HistoryEvent::Kind::accepted
                                           : HistoryEvent::Kind::rejected,
              job.id, std::to_string(result.value().status));
    };
    const MonotonicTime startedAt = monotonicNow();
    auto answer = client.submitJob(job, Duration{30'000});
    if (!answer) {
      if (answer.error().kind == ClientError::Kind::unknown)
        ++unanswered;
      else
        ++rejected;
      return;
    }
    ++accepted;
    acknowledgementLatencies.values.push_back((monotonicNow() - startedAt).milliseconds);
    if (cancel) {
      sleepFor(Duration{100});
      if (client.cancelJob(job.id, Duration{30'000}))
        write(HistoryEvent::Kind::cancelAcknowledged, job.id);
    }
    const MonotonicTime deadline =
        monotonicNow() + Duration{(settings.seconds + settings.settleSeconds) * 1000};
    Duration pollInterval{25};
    while (monotonicNow() < deadline) {
      sleepFor(pollInterval);
      pollInterval = Duration{std::min<std::int64_t>(500, pollInterval.milliseconds * 5 / 4)};
      auto shown = client.showJob(job.id, Duration{10'000});
      if (!shown) {
        if (shown.error().kind == ClientError::Kind::notFound)
          write(HistoryEvent::Kind::stateObserved, job.id, "missing");
        continue;
      }
      picojson::value root;
      if (!picojson::parse(root, shown.value().body).empty() || !root.is<picojson::object>())
        continue;
      const std::string state = root.get("state").to_str();
      if (state != lastStates[job.id])
        write(HistoryEvent::Kind::stateObserved, job.id, state);
      lastStates[job.id] = state;
      if (state == "finished") {
        ++finishedCount;
        finishedLatencies[job.queue.value].values.push_back(
            (monotonicNow() - startedAt).milliseconds);
      } else if (state == "failed")
        ++failed;
      else if (state == "cancelled")
        ++cancelled;
      else
        continue;
      return;
    }
    ++openJobs;  // its end was not observed, so it stays counted as open
  }

  Settings settings;
  Random random;
  EventLoop loop;
  HistoryFile history;
  std::ofstream jobsOut;
  std::uint64_t submitted = 0, accepted = 0, rejected = 0, unanswered = 0, unknownOutcomes = 0,
                finishedCount = 0, failed = 0, cancelled = 0;
  std::int64_t openJobs = 0;
  Latencies acknowledgementLatencies;
  std::map<std::string, Latencies> finishedLatencies;
  std::map<JobId, std::string> lastStates;
};

}  // namespace

int main(int argc, char** argv) {
  Settings settings;
  OptionSet options("loadgen", "load generator for aniseline");
  options.addText("deployment", settings.deployment, "cedarmark or cooperative");
  options.addAddresses("gateways", settings.gateways, "client-facing addresses of gateways",
                       OptionSet::Presence::required);
  options.addText("name", settings.name, "prefix of the job ids");
  options.addInteger("seconds", settings.seconds, "time in s during which jobs are submitted", 1,
                     86'400);
  options.addInteger("settle", settings.settleSeconds,
                     "time in s to wait for the jobs that are still open then", 0, 86'400);
  options.addInteger("seed", settings.seed, "seed of the random numbers", 0, 1'000'000'000);
  options.addInteger("fill", settings.fillerJobs,
                     "number of long jobs of 4 cores that are submitted first, to fill the workers",
                     0, 10'000);
  options.addReal("rate", settings.rate, "multiple of the load of the deployment", 0.01, 1000);
  options.addReal("cancels", settings.cancelRatio, "fraction of the jobs that is cancelled", 0, 1);
  options.addText("witness", settings.witness, "file for the history of requests and answers");
  options.addText("submissions", settings.submissions, "file for the submitted jobs");
  options.addText("report", settings.report, "file for the final statistics");
  options.addFlag("quiet", settings.quiet, "disable logging");
  options.read(argc, argv);
  if (settings.deployment != "cedarmark" && settings.deployment != "cooperative") {
    std::cerr << "loadgen: --deployment: must be cedarmark or cooperative\n";
    return 2;
  }
  startLog("loadgen", settings.name, settings.quiet);
  return LoadGenerator(settings).run();
}
