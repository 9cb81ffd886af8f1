// loadgen: stand-in callers of the two deployments, open loop. docs/operations.md 7.
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
  std::int64_t seconds = 30, seed = 1, fill = 0, settle = 60;
  double rate = 1, cancels = 0.02;
  bool quiet = false;
};

struct Kind {
  const char* queue;
  double everyMilliseconds;
  std::vector<StepRequest> steps;
};

TaskRequest task(std::uint32_t cores, std::uint64_t memory, std::int64_t requested,
                 std::int64_t really) {
  return TaskRequest{cores * 1000, memory, Duration{requested}, "run=" + std::to_string(really)};
}
std::vector<TaskRequest> many(std::size_t count, const TaskRequest& one) {
  return std::vector<TaskRequest>(count, one);
}

std::vector<Kind> kindsOf(const std::string& deployment) {
  if (deployment == "cedarmark")
    return {{"proofs", 1000.0 / 7, {{"proof", {}, false, {task(1, 512, 1000, 120)}}}},
            {"dielines", 1000, {{"check", {}, false, {task(2, 1024, 3000, 900)}}}},
            {"plates",
             6000,
             {{"separate", {}, true, many(4, task(2, 2048, 20'000, 8000))},
              {"merge", {"separate"}, false, {task(2, 2048, 4000, 1500)}}}}};
  return {{"updates", 1000.0 / 4.5, {{"update", {}, false, {task(1, 512, 500, 60)}}}},
          {"corrections", 1000.0 / 3, {{"correct", {}, false, {task(1, 1024, 2000, 700)}}}},
          {"standings",
           6000,
           {{"read", {}, false, many(3, task(4, 2048, 6000, 2500))},
            {"rebuild", {"read"}, true, many(4, task(8, 4096, 15'000, 6000))}}}};
}

struct Latencies {
  std::vector<std::int64_t> values;
  picojson::object show() {
    std::sort(values.begin(), values.end());
    auto at = [&](double part) {
      return values.empty()
                 ? 0
                 : values[std::min(values.size() - 1, std::size_t(part * double(values.size())))];
    };
    return {{"count", json(values.size())},
            {"p50_ms", json(at(0.5))},
            {"p95_ms", json(at(0.95))},
            {"p99_ms", json(at(0.99))},
            {"max_ms", json(values.empty() ? 0 : values.back())}};
  }
};

class Program {
 public:
  explicit Program(Settings given)
      : settings(std::move(given)),
        random(std::uint64_t(settings.seed)),
        history(settings.witness) {
    if (!settings.submissions.empty())
      jobsOut.open(settings.submissions, std::ios::app);
  }
  int run() {
    StopSignal stop(loop);
    const MonotonicTime begun = monotonicNow();
    for (std::int64_t count = 0; count < settings.fill; ++count)
      begin(Kind{
          "long", 0, {{"long", {}, false, {task(4, 1024, 600'000, settings.seconds * 1000)}}}});
    const auto kinds = kindsOf(settings.deployment);
    std::vector<double> next(kinds.size());
    for (std::size_t index = 0; index < kinds.size(); ++index)
      next[index] =
          double(random.between(0, std::int64_t(kinds[index].everyMilliseconds / settings.rate)));
    while (!stop.requested() && monotonicNow() - begun < Duration{settings.seconds * 1000}) {
      const double elapsed = double((monotonicNow() - begun).milliseconds);
      for (std::size_t index = 0; index < kinds.size(); ++index)
        while (next[index] <= elapsed) {
          begin(kinds[index]);
          // Exponential gaps: callers know nothing of each other.
          next[index] += -std::log(1.0 - double(random.next() >> 11) / 9007199254740992.0) *
                         kinds[index].everyMilliseconds / settings.rate;
        }
      sleepFor(Duration{2});
    }
    const MonotonicTime until = monotonicNow() + Duration{settings.settle * 1000};
    while (open > 0 && monotonicNow() < until)
      sleepFor(Duration{50});
    picojson::object shown, byQueue;
    for (auto& [queue, latencies] : finished)
      byQueue[queue] = json(latencies.show());
    shown = {{"submitted", json(submitted)},
             {"accepted", json(accepted)},
             {"rejected", json(rejected)},
             {"unanswered", json(unanswered)},
             {"tries_unknown", json(unknowns)},
             {"finished", json(finishedCount)},
             {"failed", json(failed)},
             {"cancelled", json(cancelled)},
             {"open_at_end", json(open)},
             {"acknowledged", json(acknowledged.show())},
             {"to_finished_by_queue", json(byQueue)}};
    std::cout << json(shown).serialize() << std::endl;
    if (!settings.report.empty())
      std::ofstream(settings.report) << json(shown).serialize() << "\n";
    history.close();
    std::_Exit(open == 0 && unanswered == 0 ? 0 : 1);
  }

 private:
  void write(HistoryEvent::Kind kind, const JobId& job, std::string detail = {}) {
    HistoryEvent event;
    event.kind = kind;
    event.job = job.value;
    event.detail = std::move(detail);
    history.write(std::move(event));
  }
  void begin(const Kind& kind) {
    JobSubmission job;
    job.id = JobId{settings.name + "-" + std::to_string(settings.seed) + "-" +
                   std::to_string(++submitted)};
    job.queue = QueueName{kind.queue};
    job.steps = kind.steps;
    if (jobsOut.is_open())
      jobsOut << renderJobSubmission(job) << "\n" << std::flush;
    ++open;
    const bool cancel = random.chance(settings.cancels);
    std::vector<Address> gateways = settings.gateways;
    std::rotate(gateways.begin(),
                gateways.begin() + std::ptrdiff_t(random.next() % gateways.size()), gateways.end());
    spawn([this, job, cancel, gateways] {
      follow(job, cancel, gateways);
      --open;
    });
  }
  void follow(const JobSubmission& job, bool cancel, const std::vector<Address>& gateways) {
    GatewayClient caller(loop, gateways);
    caller.onAttempt = [this, &job](const HttpRequest& request,
                                    const Result<HttpResponse, HttpError>& result) {
      if (request.method != "POST")
        return;
      write(HistoryEvent::Kind::submitted, job.id);
      if (!result || result.value().status == 503) {
        ++unknowns;
        write(HistoryEvent::Kind::outcomeUnknown, job.id);
      } else
        write(result.value().status == 202 ? HistoryEvent::Kind::accepted
                                           : HistoryEvent::Kind::rejected,
              job.id, std::to_string(result.value().status));
    };
    const MonotonicTime begun = monotonicNow();
    auto answer = caller.submitJob(job, Duration{30'000});
    if (!answer) {
      if (answer.error().kind == ClientError::Kind::unknown)
        ++unanswered;
      else
        ++rejected;
      return;
    }
    ++accepted;
    acknowledged.values.push_back((monotonicNow() - begun).milliseconds);
    if (cancel) {
      sleepFor(Duration{100});
      if (caller.cancelJob(job.id, Duration{30'000}))
        write(HistoryEvent::Kind::cancelAcknowledged, job.id);
    }
    const MonotonicTime until =
        monotonicNow() + Duration{(settings.seconds + settings.settle) * 1000};
    Duration gap{25};
    while (monotonicNow() < until) {
      sleepFor(gap);
      gap = Duration{std::min<std::int64_t>(500, gap.milliseconds * 5 / 4)};
      auto shown = caller.showJob(job.id, Duration{10'000});
      if (!shown) {
        if (shown.error().kind == ClientError::Kind::notFound)
          write(HistoryEvent::Kind::stateObserved, job.id, "missing");
        continue;
      }
      picojson::value root;
      if (!picojson::parse(root, shown.value().body).empty() || !root.is<picojson::object>())
        continue;
      const std::string state = root.get("state").to_str();
      if (state != lastShown[job.id])
        write(HistoryEvent::Kind::stateObserved, job.id, state);
      lastShown[job.id] = state;
      if (state == "finished") {
        ++finishedCount;
        finished[job.queue.value].values.push_back((monotonicNow() - begun).milliseconds);
      } else if (state == "failed")
        ++failed;
      else if (state == "cancelled")
        ++cancelled;
      else
        continue;
      return;
    }
    ++open;  // never saw its end: stays counted
  }

  Settings settings;
  Random random;
  EventLoop loop;
  HistoryFile history;
  std::ofstream jobsOut;
  std::uint64_t submitted = 0, accepted = 0, rejected = 0, unanswered = 0, unknowns = 0,
                finishedCount = 0, failed = 0, cancelled = 0;
  std::int64_t open = 0;
  Latencies acknowledged;
  std::map<std::string, Latencies> finished;
  std::map<JobId, std::string> lastShown;
};

}  // namespace

int main(int count, char** values) {
  Settings settings;
  OptionSet options("loadgen", "stand-in callers for aniseline");
  options.addText("deployment", settings.deployment, "cedarmark or cooperative");
  options.addAddresses("gateways", settings.gateways, "outer addresses of gateways",
                       OptionSet::Presence::required);
  options.addText("name", settings.name, "the beginning of the jobs' ids");
  options.addInteger("seconds", settings.seconds, "how long to submit", 1, 86'400);
  options.addInteger("settle", settings.settle, "seconds to wait for what is open then", 0, 86'400);
  options.addInteger("seed", settings.seed, "of the draws", 0, 1'000'000'000);
  options.addInteger("fill", settings.fill, "long jobs of 4 cores to fill the workers with first",
                     0, 10'000);
  options.addReal("rate", settings.rate, "times the deployment's load", 0.01, 1000);
  options.addReal("cancels", settings.cancels, "this part is cancelled", 0, 1);
  options.addText("witness", settings.witness,
                  "a file for the history of what was asked and answered");
  options.addText("submissions", settings.submissions, "a file for the jobs submitted");
  options.addText("report", settings.report, "a file for the closing figures");
  options.addFlag("quiet", settings.quiet, "no logs");
  options.read(count, values);
  if (settings.deployment != "cedarmark" && settings.deployment != "cooperative") {
    std::cerr << "loadgen: --deployment: must be cedarmark or cooperative\n";
    return 2;
  }
  startLog("loadgen", settings.name, settings.quiet);
  return Program(settings).run();
}
