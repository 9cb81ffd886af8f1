// local_cluster: runs all processes of a cluster on one machine, with load and faults, and checks
// the recorded histories at its end. The only program that starts processes. docs/operations.md 6.
#include "net/gateway_client.hpp"
#include "net/history_file.hpp"
#include "net/http_server.hpp"
#include "net/log.hpp"
#include "net/options.hpp"
#include "net/signals.hpp"
#include "net/link_proxy.hpp"
#include <fcntl.h>
#include <filesystem>
#include <iostream>
#include <spawn.h>
#include <sys/wait.h>
#include <unistd.h>

using namespace aniseline;

extern char** environ;

namespace {

struct Settings {
  std::string folder, programs, deployment = "cedarmark", config;
  std::int64_t seconds = 20, port = 21'000, fillerJobs = 0, gateways = 7, workers = 11,
               keepSeconds = 0;
  double rate = 1;
  bool called = false;  // workers are called by agents instead of calling gateways
  std::vector<std::string> steps;
};

struct Child {
  std::string name;
  std::vector<std::string> arguments;
  pid_t process = 0;
  std::string zone;
};

class LocalCluster {
 public:
  explicit LocalCluster(Settings given)
      : settings(std::move(given)),
        linkProxy(loop, zoneOfIp),
        control(loop, HttpLimits{},
                [this](const HttpRequest& request) { return handleControlRequest(request); }) {}
  ~LocalCluster() { stopAll(); }
  void stopAll() {
    // Ends only processes that this program started, by their process id.
    for (auto& child : children)
      sendSignal(child, SIGCONT), sendSignal(child, SIGTERM);
    const MonotonicTime deadline = monotonicNow() + Duration{5000};
    for (auto& child : children)
      while (child.process && monotonicNow() < deadline && !reap(child))
        usleep(10'000);
    for (auto& child : children)
      sendSignal(child, SIGKILL), reap(child);
  }

  // Returns the exit status of the process: 0 if every check passed.
  int run() {
    std::filesystem::create_directories(settings.folder);
    exitOnStopSignal();
    addControllers();
    addGateways();
    if (!openProxies())
      return 1;
    addWorkers();
    if (!startAll() || !applyConfig() || !startLoad())
      return 1;
    sleepFor(loadHeadStart);
    bool passed = true;
    for (const auto& step : settings.steps)
      passed = runStep(step) && passed;
    keepRunning();
    while (zoneChangeInProgress)
      sleepFor(Duration{50});
    passed = waitForLoad() && passed;
    passed = stopWorkers() && passed;
    const auto invariantsHold = checkHistories();
    if (!invariantsHold)
      return 1;
    passed = *invariantsHold && passed;
    std::cout << (passed ? "1 passed, 0 failed" : "0 passed, 1 failed") << std::endl;
    return passed ? 0 : 1;
  }

 private:
  static constexpr Duration loadHeadStart{2000};  // before the first step
  static constexpr Duration loadDrainTimeout{
      75'000};  // for the last jobs to end after the last submission

  // Stops all child processes and exits on a stop signal.
  void exitOnStopSignal() {
    spawn([this] {
      while (!stop.requested())
        sleepFor(Duration{50});
      stopAll();
      std::_Exit(4);
    });
  }
  void addControllers() {
    for (int index = 1; index <= 3; ++index)
      add("controller" + std::to_string(index),
          {"controller", "--peer", listenAddress(index, index), "--advertise",
           controllerAddress(index), "--http", listenAddress(index, 10 + index), "--zone",
           "zone" + std::to_string(index), "--data",
           settings.folder + "/data" + std::to_string(index), "--found"},
          zone(index), true);
  }
  void addGateways() {
    for (int index = 1; index <= settings.gateways; ++index)
      add("gateway" + std::to_string(index),
          {"gateway", "--http", listenAddress(index, 20 + index), "--advertise",
           gatewayAddress(index), "--zone", zone(index)},
          zone(index), true);
  }
  void addWorkers() {
    for (int index = 1; index <= settings.workers; ++index)
      addWorker(index);
  }
  void addWorker(int index) {
    std::vector<std::string> arguments = workerArguments(index);
    if (settings.called) {
      arguments.insert(arguments.end(),
                       {"--called", "--listen", listenAddress(index, calledWorkerOffset(index)),
                        "--agent", listenAddress(index, agentOffset(index))});
      addAgent(index);
    }
    for (int gateway = 0; !settings.called && gateway < 3; ++gateway)
      arguments.insert(
          arguments.end(),
          {"--gateways", gatewayAddress((index + gateway) % int(settings.gateways) + 1)});
    if (index <= 4)
      arguments.push_back("--unguarded");
    add("worker_stub" + std::to_string(index), std::move(arguments), zone(index), false);
  }
  std::vector<std::string> workerArguments(int index) const {
    const bool cedarmark = settings.deployment == "cedarmark";
    return {"worker_stub",
            "--id",
            "m" + std::to_string(index),
            "--zone",
            zone(index),
            "--from",
            sourceIpOf(Address{listenAddress(index, 0)}),
            "--rack",
            "rack" + std::to_string((index + 2) / 3),
            "--cores",
            cedarmark ? "16" : "64",
            "--memory-mb",
            cedarmark ? "32768" : "131072",
            "--witness",
            settings.folder + "/m" + std::to_string(index) + ".witness"};
  }
  void addAgent(int index) {
    add("agent" + std::to_string(index),
        {"agent", "--listen", listenAddress(index, agentOffset(index)), "--worker",
         listenAddress(index, calledWorkerOffset(index)), "--zone", zone(index)},
        zone(index), true);
  }
  bool startAll() {
    for (auto& child : children)
      if (!start(child))
        return false;
    client = std::make_unique<GatewayClient>(loop, gatewayAddresses());
    clusterHistory = HistoryFile(settings.folder + "/keeper.witness");
    return waitFor("three voters and every worker", Duration{30'000},
                   [this] { return allHealthy(); });
  }
  bool applyConfig() {
    std::ifstream stream(settings.config);
    const std::string config((std::istreambuf_iterator<char>(stream)), {});
    auto applied = client->send({"PUT", "/v1/config", "{\"based_on\":0,\"config\":" + config + "}"},
                                Duration{10'000});
    if (!applied) {
      printStatus("the configuration was not accepted: " + applied.error().text);
      return false;
    }
    printStatus("all controllers and workers are up");
    return true;
  }
  bool startLoad() {
    std::ofstream(settings.folder + "/control") << loopbackAddress(0) << "\n";
    Child loadgen{
        "loadgen",
        {"loadgen", "--deployment", settings.deployment, "--seconds",
         std::to_string(settings.seconds), "--rate", std::to_string(settings.rate), "--fill",
         std::to_string(settings.fillerJobs), "--witness", settings.folder + "/loadgen.witness",
         "--submissions", settings.folder + "/loadgen.submissions", "--report",
         settings.folder + "/loadgen.report"},
        0,
        {}};
    for (const auto& gateway : gatewayAddresses())
      loadgen.arguments.insert(loadgen.arguments.end(), {"--gateways", gateway.value});
    children.push_back(std::move(loadgen));
    return start(children.back());
  }
  void keepRunning() {
    if (!settings.keepSeconds)
      return;
    printStatus("kept running; control address " + loopbackAddress(0) + ", first gateway " +
                gatewayAddress(1));
    const MonotonicTime deadline = monotonicNow() + Duration{settings.keepSeconds * 1000};
    while (!releaseRequested && monotonicNow() < deadline)
      sleepFor(Duration{50});
  }
  // Waits for the load generator, which is the last child started so far. Returns whether it ended
  // in time and observed the end of every accepted job.
  bool waitForLoad() {
    Child& load = children.back();
    const MonotonicTime deadline =
        monotonicNow() + Duration{settings.seconds * 1000} + loadDrainTimeout;
    while (load.process && monotonicNow() < deadline && !reap(load))
      sleepFor(Duration{50});
    const bool passed = !load.process && lastExitStatus == 0;
    if (!passed)
      printStatus("the load generator did not observe the end of every accepted job in time");
    std::ifstream report(settings.folder + "/loadgen.report");
    std::cout << std::string((std::istreambuf_iterator<char>(report)), {});
    return passed;
  }
  // Stops the workers, so that every history is closed before it is read. Returns whether all ended
  // in time.
  bool stopWorkers() {
    clusterHistory.write(HistoryEvent::Kind::quiescent);
    clusterHistory.close();
    for (auto& child : children)
      if (child.name.starts_with("worker_stub"))
        sendSignal(child, SIGCONT), sendSignal(child, SIGTERM);
    bool passed = true;
    for (auto& child : children)
      if (child.name.starts_with("worker_stub"))
        passed =
            waitFor(
                child.name + " has ended", Duration{8000}, [&] { return reap(child); }, true) &&
            passed;
    return passed;
  }
  // Runs history_check. Returns whether it found no violation, or nothing if it can't be started.
  std::optional<bool> checkHistories() {
    children.push_back(
        Child{"history_check",
              {"history_check", "--folder", settings.folder, "--config", settings.config},
              0,
              {}});
    if (!start(children.back(), true))
      return std::nullopt;
    while (!reap(children.back()))
      sleepFor(Duration{20});
    if (lastExitStatus != 0)
      printStatus("history_check found violations");
    return lastExitStatus == 0;
  }

  // Each zone has an IP address on which its processes listen, and one at which processes of other
  // zones reach them through proxies.
  std::string loopbackAddress(std::int64_t offset) const {
    return "127.0.0.1:" + std::to_string(settings.port + offset);
  }
  std::string listenAddress(int index, std::int64_t offset) const {
    return "127.1." + zone(index).substr(4) + ".1:" + std::to_string(settings.port + offset);
  }
  std::string proxyAddress(int index, std::int64_t offset) const {
    return "127.2." + zone(index).substr(4) + ".1:" + std::to_string(settings.port + offset);
  }
  std::string controllerAddress(int index) const { return proxyAddress(index, index); }
  static std::int64_t agentOffset(int index) { return 100 + index; }
  static std::int64_t calledWorkerOffset(int index) { return 300 + index; }
  std::string gatewayAddress(int index) const { return proxyAddress(index, 20 + index); }
  static std::string zoneOfIp(const std::string& ip) {
    return ip.starts_with("127.1.") ? "zone" + ip.substr(6, ip.find('.', 6) - 6) : std::string();
  }
  bool openProxies() {
    auto open = [this](int index, std::int64_t offset) {
      auto opened = linkProxy.open(Address{proxyAddress(index, offset)},
                                   Address{listenAddress(index, offset)}, zone(index));
      if (!opened)
        printStatus(opened.error().text());
      return opened.has_value();
    };
    for (int index = 1; index <= 3; ++index)
      if (!open(index, index))
        return false;
    for (int index = 1; index <= settings.gateways; ++index)
      if (!open(index, 20 + index))
        return false;
    if (auto error = control.listen(Address{loopbackAddress(0)})) {
      printStatus(error->text());
      return false;
    }
    return true;
  }
  static std::string zone(int index) { return "zone" + std::to_string((index - 1) % 3 + 1); }
  void printStatus(const std::string& text) { std::cout << "local_cluster: " << text << std::endl; }

  void add(std::string name, std::vector<std::string> arguments, std::string zone,
           bool needsSeeds) {
    if (needsSeeds)
      for (int index = 1; index <= 3; ++index)
        arguments.insert(arguments.end(), {"--seeds", controllerAddress(index)});
    children.push_back(Child{std::move(name), std::move(arguments), 0, std::move(zone)});
  }
  bool start(Child& child, bool inheritOutput = false) {
    std::vector<std::string> arguments = child.arguments;
    arguments[0] = settings.programs + "/" + arguments[0];
    std::vector<char*> values;
    values.reserve(arguments.size() + 1);
    for (auto& word : arguments)
      values.push_back(word.data());
    values.push_back(nullptr);
    posix_spawn_file_actions_t actions;
    posix_spawn_file_actions_init(&actions);
    const std::string file = settings.folder + "/" + child.name + ".log";
    if (!inheritOutput) {
      posix_spawn_file_actions_addopen(&actions, 1, file.c_str(), O_WRONLY | O_CREAT | O_APPEND,
                                       0644);
      posix_spawn_file_actions_adddup2(&actions, 1, 2);
    }
    // Children must not inherit the sockets of the proxies: inherited ones would stay open after
    // they are closed here.
    posix_spawn_file_actions_addclosefrom_np(&actions, 3);
    const int failed =
        posix_spawn(&child.process, values[0], &actions, nullptr, values.data(), environ);
    posix_spawn_file_actions_destroy(&actions);
    if (failed) {
      printStatus(arguments[0] + " can't be started: " + std::strerror(failed));
      child.process = 0;
    }
    return !failed;
  }
  void sendSignal(Child& child, int number) {
    if (child.process)
      ::kill(child.process, number);
  }
  // Collects the exit status of a child if it has ended. Returns whether the child is not running.
  bool reap(Child& child) {
    int status = 0;
    if (!child.process)
      return true;
    if (waitpid(child.process, &status, WNOHANG) != child.process)
      return false;
    child.process = 0;
    lastExitStatus = WIFEXITED(status) ? WEXITSTATUS(status) : 128;
    return true;
  }
  Child* findChild(const std::string& name) {
    for (auto& child : children)
      if (child.name == name)
        return &child;
    return nullptr;
  }
  // Polls the condition until it holds or the time is up, and prints which of both happened. With
  // `quiet`, prints only that the time is up.
  bool waitFor(const std::string& what, Duration timeout, const std::function<bool()>& condition,
               bool quiet = false) {
    const MonotonicTime startedAt = monotonicNow(), deadline = startedAt + timeout;
    while (monotonicNow() < deadline) {
      if (condition()) {
        if (!quiet)
          printStatus(what + ": after " +
                      std::to_string((monotonicNow() - startedAt).milliseconds) + " ms");
        return true;
      }
      sleepFor(Duration{50});
    }
    printStatus(what + ": not within " + std::to_string(timeout.milliseconds) + " ms");
    return false;
  }
  std::optional<picojson::value> getJson(const std::string& target) {
    GatewayClient gatewayClient(loop, gatewayAddresses());
    auto answer = gatewayClient.send({"GET", target, ""}, Duration{3000});
    picojson::value root;
    if (!answer || !picojson::parse(root, answer.value().body).empty())
      return std::nullopt;
    return root;
  }
  // Reports whether three voters and every worker were heard of within the last seconds.
  bool allHealthy() {
    auto cluster = getJson("/v1/cluster");
    if (!cluster)
      return false;
    int voters = 0;
    for (const auto& member : cluster->get("controllers").get<picojson::array>())
      voters += member.get("voter").get<bool>() && member.get("unheard_ms").get<double>() < 1000;
    auto workers = getJson("/v1/workers");
    if (!workers)
      return false;
    std::int64_t present = 0;
    for (const auto& worker : workers->get("workers").get<picojson::array>())
      present += worker.get("state").to_str() == "present" &&
                 worker.get("unheard_ms").get<double>() < 2000;
    return voters == 3 && present == settings.workers;
  }
  std::vector<Address> gatewayAddresses() const {
    std::vector<Address> addresses;
    addresses.reserve(std::size_t(settings.gateways));
    for (int index = 1; index <= settings.gateways; ++index)
      addresses.push_back(Address{gatewayAddress(index)});
    return addresses;
  }

  // --- HTTP interface for zone_drill. docs/operations.md 9 ---
  ApiResponse handleControlRequest(const HttpRequest& request) {
    if (request.method == "GET" && request.target == "/fleet")
      return ApiResponse::of(200, describeCluster());
    if (request.method == "POST" && request.target == "/release") {
      releaseRequested = true;
      return ApiResponse::of(200, {{"released", json(true)}});
    }
    std::vector<std::string> parts;
    std::istringstream stream(request.target);
    for (std::string part; std::getline(stream, part, '/');)
      if (!part.empty())
        parts.push_back(part);
    if (request.method != "POST" || parts.size() != 4 || parts[0] != "fleet" ||
        (parts[2] != "out" && parts[2] != "back"))
      return ApiResponse::error(404, "missing",
                                "there is no " + request.method + " " + request.target);
    const std::string& name = parts[1];
    const std::string& by = parts[3];
    if (std::none_of(children.begin(), children.end(),
                     [&](const Child& child) { return child.zone == name; }))
      return ApiResponse::error(404, "missing", "there is no zone " + name);
    if (by != "kill" && by != "freeze" && by != "cut")
      return ApiResponse::error(400, "invalid", "the kind of outage must be kill, freeze or cut");
    if (zoneChangeInProgress)
      return ApiResponse::error(409, "conflict", "another zone change is in progress");
    zoneChangeInProgress = true;
    const bool takeDown = parts[2] == "out";
    if (takeDown)
      recordEvent(HistoryEvent::Kind::faultBegan, name + " by " + by);
    setZoneOutage(name, by, takeDown);
    if (!takeDown)
      recordEvent(HistoryEvent::Kind::faultEnded, name + " by " + by);
    zoneChangeInProgress = false;
    return ApiResponse::of(200, {{"zone", json(name)}, {"out", json(takeDown)}});
  }
  // Takes a zone out by killing or freezing its processes or cutting its network, or brings it
  // back.
  void setZoneOutage(const std::string& name, const std::string& by, bool takeDown) {
    if (by == "cut")
      return linkProxy.setPartitioned(name, takeDown);
    for (auto& child : children) {
      if (child.zone != name)
        continue;
      if (by == "freeze")
        sendSignal(child, takeDown ? SIGSTOP : SIGCONT);
      else if (takeDown) {
        sendSignal(child, SIGKILL);
        while (!reap(child))
          sleepFor(Duration{5});
      } else if (!child.process)
        start(child);
    }
  }
  picojson::object describeCluster() {
    std::map<std::string, picojson::array> zones;
    for (const auto& child : children)
      if (!child.zone.empty())
        zones[child.zone].push_back(
            json(picojson::object{{"name", json(child.name)}, {"up", json(child.process != 0)}}));
    picojson::object byZone;
    for (auto& [name, list] : zones) {
      picojson::array gatewayList;
      for (int index = 1; index <= settings.gateways; ++index)
        if (zone(index) == name)
          gatewayList.push_back(json(gatewayAddress(index)));
      byZone[name] =
          json(picojson::object{{"processes", json(list)}, {"gateways", json(gatewayList)}});
    }
    return {
        {"whole", json(allHealthy())}, {"folder", json(settings.folder)}, {"zones", json(byZone)}};
  }
  void recordEvent(HistoryEvent::Kind kind, const std::string& detail = {}) {
    clusterHistory.write(kind, detail);
  }

  Child* leader() {
    auto cluster = getJson("/v1/cluster");
    if (!cluster)
      return nullptr;
    for (const auto& member : cluster->get("controllers").get<picojson::array>())
      if (member.get("leads").get<bool>())
        for (int index = 1; index <= 3; ++index)
          if (member.get("address").to_str() == controllerAddress(index))
            return findChild("controller" + std::to_string(index));
    return nullptr;
  }
  // Runs a step of the form VERB:NAME[:SECONDS], where the name may be "leader" and the verb is
  // kill, freeze, stop or empty. Returns whether the cluster served and recovered in time.
  bool runStep(const std::string& step) {
    const auto first = step.find(':'), second = step.find(':', first + 1);
    const std::string verb = step.substr(0, first);
    const std::string name =
        first == std::string::npos
            ? ""
            : step.substr(first + 1,
                          second == std::string::npos ? std::string::npos : second - first - 1);
    const std::int64_t seconds =
        second == std::string::npos ? 3 : std::strtoll(step.c_str() + second + 1, nullptr, 10);
    Child* child = name == "leader" ? leader() : findChild(name);
    if (!child) {
      printStatus(step + ": no such process");
      return false;
    }
    printStatus(step + ": " + child->name);
    const bool freeze = verb == "freeze";
    recordEvent(HistoryEvent::Kind::faultBegan, step);
    sendSignal(*child, freeze ? SIGSTOP : verb == "stop" ? SIGTERM : SIGKILL);
    bool passed = true;
    if (!freeze)
      passed = waitFor(child->name + " has ended", Duration{8000}, [&] { return reap(*child); });
    // A killed worker can't record that its tasks are gone, so this program does, after it has
    // reaped the process and before it starts it again.
    if (!freeze && passed && child->name.starts_with("worker_stub")) {
      HistoryEvent gone;
      gone.kind = HistoryEvent::Kind::workerLost;
      gone.worker = "m" + child->name.substr(std::string("worker_stub").size());
      clusterHistory.write(gone);
    }
    if (verb == "empty")
      std::filesystem::remove_all(settings.folder + "/data" + child->name.substr(9));
    passed = waitFor("service during the fault", Duration{12'000},
                     [&] { return getJson("/v1/counters").has_value(); }) &&
             passed;
    sleepFor(Duration{seconds * 1000});
    if (freeze)
      sendSignal(*child, SIGCONT);
    else
      passed = start(*child) && passed;
    recordEvent(HistoryEvent::Kind::faultEnded, step);
    recordEvent(HistoryEvent::Kind::clusterHealed);
    passed =
        waitFor("recovery of all controllers and workers",
                Duration{verb == "empty" ? 60'000 : 12'000}, [this] { return allHealthy(); }) &&
        passed;
    if (getJson("/v1/counters"))
      recordEvent(HistoryEvent::Kind::serviceRestored);
    return passed;
  }

  Settings settings;
  EventLoop loop;
  std::unique_ptr<GatewayClient> client;
  std::deque<Child> children;
  int lastExitStatus = 0;
  StopSignal stop{loop};
  LinkProxy linkProxy;
  HttpServer control;
  HistoryFile clusterHistory;
  bool zoneChangeInProgress = false, releaseRequested = false;
};

}  // namespace

int main(int argc, char** argv) {
  Settings settings;
  settings.programs = std::filesystem::path(argv[0]).parent_path().string();
  OptionSet options("local_cluster",
                    "runs a cluster of aniseline on this machine; steps are VERB:NAME[:SECONDS], "
                    "where VERB is kill, freeze, stop or empty and NAME is a process or 'leader'");
  options.addText("folder", settings.folder,
                  "folder for data, logs and histories; must be empty or not exist",
                  OptionSet::Presence::required);
  options.addText("config", settings.config, "configuration to apply",
                  OptionSet::Presence::required);
  options.addText("deployment", settings.deployment, "cedarmark or cooperative");
  options.addText("programs", settings.programs, "folder with the programs");
  options.addInteger("seconds", settings.seconds, "time in s during which jobs are submitted", 5,
                     86'400);
  options.addInteger("keep", settings.keepSeconds,
                     "time in s to keep running after the steps, for inspection", 0, 86'400);
  options.addInteger("port", settings.port, "first port", 1024, 65'000);
  options.addInteger("fill", settings.fillerJobs, "number of long jobs that fill the workers first",
                     0, 10'000);
  options.addInteger("gateways", settings.gateways, "number of gateways", 1, 50);
  options.addInteger("workers", settings.workers, "number of workers", 1, 200);
  options.addReal("rate", settings.rate, "multiple of the load of the deployment", 0.01, 1000);
  options.addFlag("called", settings.called, "workers are called by agents, one agent per worker");
  options.addPositionals(settings.steps, "steps, run one after the other");
  options.read(argc, argv);
  if (std::filesystem::exists(settings.folder) && !std::filesystem::is_empty(settings.folder)) {
    std::cerr << "local_cluster: --folder: " << settings.folder << " is not empty\n";
    return 2;
  }
  startLog("local_cluster", "", true);
  int status = 1;
  {
    LocalCluster cluster(settings);
    status = cluster.run();
  }
  std::cout.flush();
  std::_Exit(status);
}
