// zone_drill: takes a zone out of a running fleet under load, gives it back, and checks the
// promises. docs/operations.md 9.
#include "net/gateway_client.hpp"
#include "net/history_file.hpp"
#include "net/log.hpp"
#include "net/options.hpp"
#include "net/signals.hpp"
#include "checker/invariants.hpp"
#include <iostream>

using namespace aniseline;

namespace {

struct Settings {
  Address control;
  std::string zone, by = "kill", queue = "proofs", config, report;
  std::int64_t outSeconds = 10, everyMilliseconds = 200, urgentMilliseconds = 250,
               failoverMilliseconds = 6000, backMilliseconds = 12'000;
  bool dryRun = false;
};

// One urgent job of the drill's own, from its submission to seen finished.
struct Probe {
  std::int64_t begunAt = 0, acceptedAfter = -1, finishedAfter = -1;
};

class Drill {
 public:
  explicit Drill(Settings given) : settings(std::move(given)), client(loop), stop(loop) {}

  int run() {
    auto fleet = look();
    if (!fleet)
      return refuse("the fleet at " + settings.control.value + " can't be asked");
    const auto& zones = fleet->get("zones").get<picojson::object>();
    auto chosen = zones.find(settings.zone);
    if (chosen == zones.end())
      return refuse("the fleet has no zone " + settings.zone);
    if (!fleet->get("whole").get<bool>())
      return refuse("the fleet is not whole; a drill would take out what is left");
    folder = fleet->get("folder").to_str();
    std::vector<Address> others, own;
    for (const auto& [name, zone] : zones)
      for (const auto& gateway : zone.get("gateways").get<picojson::array>())
        (name == settings.zone ? own : others).push_back(Address{gateway.to_str()});
    if (others.empty())
      return refuse("no gateway is left outside of " + settings.zone);
    if (settings.dryRun)
      return plan(chosen->second, others);
    history = HistoryFile(folder + "/zone_drill.witness");
    jobs.open(folder + "/zone_drill.submissions", std::ios::app);

    spawn([this, others] { probeOn(others); });
    wait(Duration{2000});
    if (!order("out"))
      return refuse("the zone could not be taken out");
    const std::int64_t outAt = now();
    wait(Duration{settings.outSeconds * 1000});
    const std::int64_t backAt = now();
    const bool returned = order("back");
    bool back = false;
    while (returned && !back && now() - backAt < settings.backMilliseconds * 3) {
      auto seen = look();
      back = seen && seen->get("whole").get<bool>() && served(own);
      if (!back)
        sleepFor(Duration{100});
    }
    const std::int64_t wholeAfter = now() - backAt;
    wait(Duration{1500});
    probing = false;
    while (under)
      sleepFor(Duration{20});
    history.close();

    report["before"] = json(judge(0, outAt));
    report["out"] = json(judge(outAt + settings.failoverMilliseconds, backAt));
    report["back_after_ms"] = json(back ? wholeAfter : -1);
    hold("the zone is back within " + std::to_string(settings.backMilliseconds) + " ms",
         back && wholeAfter <= settings.backMilliseconds);
    std::size_t lost = 0;
    for (const auto& probe : probes)
      lost += probe.finishedAfter < 0;
    hold("every probe that was begun was seen finished", lost == 0 && !probes.empty());
    judgeUrgent(outAt + settings.failoverMilliseconds, backAt);
    judgeHistories();
    return close();
  }

 private:
  static std::int64_t now() { return monotonicNow().milliseconds; }
  void wait(Duration span) {
    const MonotonicTime until = monotonicNow() + span;
    while (monotonicNow() < until && !stop.requested())
      sleepFor(Duration{20});
  }
  int refuse(const std::string& why) {
    std::cerr << "zone_drill: " << why << "\n";
    return 3;
  }
  std::optional<picojson::value> look() {
    auto answer = client.send(settings.control, {"GET", "/fleet", ""}, Duration{8000});
    picojson::value root;
    if (!answer || answer.value().status != 200 ||
        !picojson::parse(root, answer.value().body).empty())
      return std::nullopt;
    return root;
  }
  bool order(const std::string& verb) {
    auto answer = client.send(
        settings.control, {"POST", "/fleet/" + settings.zone + "/" + verb + "/" + settings.by, ""},
        Duration{8000});
    return answer && answer.value().status == 200;
  }
  int plan(const picojson::value& zone, const std::vector<Address>& others) {
    std::cout << "would take out " << settings.zone << " by " << settings.by << " for "
              << settings.outSeconds << " s:";
    for (const auto& process : zone.get("processes").get<picojson::array>())
      std::cout << " " << process.get("name").to_str();
    std::cout << "\nand probe queue " << settings.queue << " every " << settings.everyMilliseconds
              << " ms through";
    for (const auto& address : others)
      std::cout << " " << address.value;
    std::cout << "\nnothing was done" << std::endl;
    return 0;
  }
  bool served(const std::vector<Address>& gateways) {
    GatewayClient caller(loop, gateways);
    return caller.send({"GET", "/v1/counters", ""}, Duration{1500}).has_value();
  }

  void note(HistoryEvent::Kind kind, const JobId& job, std::string detail = {}) {
    HistoryEvent event;
    event.kind = kind;
    event.job = job.value;
    event.detail = std::move(detail);
    history.write(std::move(event));
  }
  void probeOn(const std::vector<Address>& gateways) {
    for (std::size_t count = 0; probing; ++count) {
      auto turned = gateways;
      std::rotate(turned.begin(), turned.begin() + std::ptrdiff_t(count % turned.size()),
                  turned.end());
      const std::size_t index = probes.size();
      probes.push_back(Probe{now(), -1, -1});
      ++under;
      spawn([this, index, turned] {
        follow(index, turned);
        --under;
      });
      sleepFor(Duration{settings.everyMilliseconds});
    }
  }
  void follow(std::size_t index, const std::vector<Address>& gateways) {
    JobSubmission job;
    job.id = JobId{"drill-" + std::to_string(wallNow().milliseconds) + "-" + std::to_string(index)};
    job.queue = QueueName{settings.queue};
    job.steps = {{"probe", {}, false, {TaskRequest{1000, 128, Duration{500}, "run=60"}}}};
    jobs << renderJobSubmission(job) << "\n" << std::flush;
    GatewayClient caller(loop, gateways);
    caller.onAttempt = [&](const HttpRequest& request,
                           const Result<HttpResponse, HttpError>& result) {
      if (request.method != "POST")
        return;
      note(HistoryEvent::Kind::submitted, job.id);
      const int status = result ? result.value().status : 503;
      note(status == 202   ? HistoryEvent::Kind::accepted
           : status == 503 ? HistoryEvent::Kind::outcomeUnknown
                           : HistoryEvent::Kind::rejected,
           job.id, std::to_string(status));
    };
    if (!caller.submitJob(job, Duration{20'000}))
      return;
    probes[index].acceptedAfter = now() - probes[index].begunAt;
    for (const MonotonicTime until = monotonicNow() + Duration{30'000}; monotonicNow() < until;
         sleepFor(Duration{20})) {
      auto shown = caller.showJob(job.id, Duration{5000});
      picojson::value root;
      if (!shown || !picojson::parse(root, shown.value().body).empty() ||
          root.get("state").to_str() != "finished")
        continue;
      note(HistoryEvent::Kind::stateObserved, job.id, "finished");
      probes[index].finishedAfter = now() - probes[index].begunAt;
      return;
    }
  }

  std::vector<std::int64_t> spansOf(std::int64_t from, std::int64_t to) const {
    std::vector<std::int64_t> spans;
    for (const auto& probe : probes)
      if (probe.begunAt >= from && probe.begunAt < to)
        spans.push_back(probe.finishedAfter < 0 ? 30'000 : probe.finishedAfter);
    std::sort(spans.begin(), spans.end());
    return spans;
  }
  picojson::object judge(std::int64_t from, std::int64_t to) const {
    const auto spans = spansOf(from, to);
    if (spans.empty())
      return {{"probes", json(0)}};
    return {{"probes", json(spans.size())},
            {"p50_ms", json(spans[spans.size() / 2])},
            {"p95_ms", json(spans[spans.size() * 95 / 100])},
            {"max_ms", json(spans.back())}};
  }
  void judgeUrgent(std::int64_t from, std::int64_t to) {
    const auto spans = spansOf(from, to);
    hold("after failover 95 of 100 urgent jobs took at most " +
             std::to_string(settings.urgentMilliseconds) + " ms",
         !spans.empty() && spans[spans.size() * 95 / 100] <= settings.urgentMilliseconds);
  }
  // The never-rules over what callers and workers have witnessed so far; the writers are still at
  // work.
  void judgeHistories() {
    auto read = readHistoryFolder(folder, true);
    if (!read)
      return hold(read.error().message(), false);
    InvariantOptions options;
    std::ifstream stream(settings.config);
    if (auto config =
            ClusterConfig::parse(std::string((std::istreambuf_iterator<char>(stream)), {})))
      for (const auto& [name, queue] : config.value().queues)
        options.retriesByQueue[name.value] = queue.maxRetries;
    const auto findings =
        checkInvariants(std::move(read.value().events), read.value().submissions, options);
    picojson::array limits;
    for (const auto& limit : findings.unavoidableViolations)
      limits.push_back(
          json("rule " + std::to_string(number(limit.rule)) + ": " + limit.description));
    report["limits"] = json(limits);
    for (const auto& promise : findings.violations)
      hold("rule " + std::to_string(number(promise.rule)) + ": " + promise.description, false);
    hold("no never-rule was broken", findings.violations.empty());
  }
  void hold(const std::string& what, bool holds) {
    checks.push_back(json(picojson::object{{"what", json(what)}, {"holds", json(holds)}}));
    good = good && holds;
  }
  int close() {
    report["zone"] = json(settings.zone);
    report["by"] = json(settings.by);
    report["interrupted"] = json(stop.requested());
    report["checks"] = json(checks);
    report["held"] = json(good);
    const std::string text = json(report).serialize(true);
    std::cout << text << std::flush;
    if (!settings.report.empty())
      std::ofstream(settings.report) << text;
    return stop.requested() ? 4 : good ? 0 : 1;
  }

  Settings settings;
  EventLoop loop;
  HttpClient client;
  StopSignal stop;
  std::string folder;
  HistoryFile history;
  std::ofstream jobs;
  std::vector<Probe> probes;
  std::size_t under = 0;
  bool probing = true, good = true;
  picojson::array checks;
  picojson::object report;
};

}  // namespace

int main(int count, char** values) {
  Settings settings;
  OptionSet options(
      "zone_drill",
      "takes a zone out of a running fleet under load, gives it back, and checks the promises");
  options.addAddress("control", settings.control,
                     "where the fleet's keeper takes orders (local_cluster says it)",
                     OptionSet::Presence::required);
  options.addText("zone", settings.zone, "the zone to take out", OptionSet::Presence::required);
  options.addText("by", settings.by, "kill, freeze or cut");
  options.addText("queue", settings.queue, "the urgent queue to probe");
  options.addText("config", settings.config, "the config in force, for the queues' retries");
  options.addText("report", settings.report, "a file for the report");
  options.addInteger("out-seconds", settings.outSeconds, "how long the zone stays out", 1, 3600);
  options.addInteger("every-ms", settings.everyMilliseconds, "between probes", 20, 60'000);
  options.addInteger("urgent-ms", settings.urgentMilliseconds,
                     "the bound of urgent work after failover, polling included", 1, 60'000);
  options.addInteger("failover-ms", settings.failoverMilliseconds,
                     "given for failover before urgent work is judged", 0, 60'000);
  options.addInteger("back-ms", settings.backMilliseconds, "the bound of being back once whole",
                     100, 600'000);
  options.addFlag("dry-run", settings.dryRun, "say what would be done, do nothing");
  options.read(count, values);
  if (settings.by != "kill" && settings.by != "freeze" && settings.by != "cut") {
    std::cerr << "zone_drill: --by: must be kill, freeze or cut\n";
    return 2;
  }
  startLog("zone_drill", settings.zone, true);
  const int status = Drill(settings).run();
  std::cout.flush();
  std::_Exit(status);
}
