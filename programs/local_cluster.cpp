// local_cluster: a whole fleet of real processes on one machine, with load and faults, checked at
// its end. The only program that starts processes. docs/operations.md 6.
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
  std::int64_t seconds = 20, port = 21'000, fill = 0, gateways = 7, workers = 11, keep = 0;
  double rate = 1;
  bool called = false;  // workers are called by agents rather than call gateways
  std::vector<std::string> steps;
};

struct Child {
  std::string name;
  std::vector<std::string> arguments;
  pid_t process = 0;
  std::string zone;
};

class Fleet {
 public:
  explicit Fleet(Settings given)
      : settings(std::move(given)),
        linkProxy(loop, zoneOfIp),
        control(loop, HttpLimits{},
                [this](const HttpRequest& request) { return controlled(request); }) {}
  ~Fleet() { end(); }
  void end() {
    // Only what was started here is ended here, by its number.
    for (auto& child : children)
      signal(child, SIGCONT), signal(child, SIGTERM);
    const MonotonicTime until = monotonicNow() + Duration{5000};
    for (auto& child : children)
      while (child.process && monotonicNow() < until && !reap(child))
        usleep(10'000);
    for (auto& child : children)
      signal(child, SIGKILL), reap(child);
  }

  // The process' exit status: 0 when all went well.
  int run() {
    std::filesystem::create_directories(settings.folder);
    endWhenStopped();
    addControllers();
    addGateways();
    if (!openRelays())
      return 1;
    addWorkers();
    if (!startAll() || !applyConfig() || !startLoad())
      return 1;
    sleepFor(loadHeadStart);
    bool good = true;
    for (const auto& step : settings.steps)
      good = take(step) && good;
    keepRunning();
    while (busy)
      sleepFor(Duration{50});
    good = loadEnded() && good;
    good = workersEnded() && good;
    const auto kept = rulesKept();
    if (!kept)
      return 1;
    good = *kept && good;
    std::cout << (good ? "1 passed, 0 failed" : "0 passed, 1 failed") << std::endl;
    return good ? 0 : 1;
  }

 private:
  static constexpr Duration loadHeadStart{2000};  // before the first step
  static constexpr Duration loadDrain{
      75'000};  // for the last jobs to end once no more are submitted

  // Told to stop, it takes along what it started.
  void endWhenStopped() {
    spawn([this] {
      while (!stop.requested())
        sleepFor(Duration{50});
      end();
      std::_Exit(4);
    });
  }
  void addControllers() {
    for (int index = 1; index <= 3; ++index)
      add("controller" + std::to_string(index),
          {"controller", "--peer", real(index, index), "--advertise", peer(index), "--http",
           real(index, 10 + index), "--zone", "zone" + std::to_string(index), "--data",
           settings.folder + "/data" + std::to_string(index), "--found"},
          zone(index), true);
  }
  void addGateways() {
    for (int index = 1; index <= settings.gateways; ++index)
      add("gateway" + std::to_string(index),
          {"gateway", "--http", real(index, 20 + index), "--advertise", outer(index), "--zone",
           zone(index)},
          zone(index), true);
  }
  void addWorkers() {
    for (int index = 1; index <= settings.workers; ++index)
      addWorker(index);
  }
  void addWorker(int index) {
    std::vector<std::string> arguments = workerWords(index);
    if (settings.called) {
      arguments.insert(arguments.end(), {"--called", "--listen", real(index, calledOffset(index)),
                                         "--agent", real(index, agentOffset(index))});
      addAgent(index);
    }
    for (int gateway = 0; !settings.called && gateway < 3; ++gateway)
      arguments.insert(arguments.end(),
                       {"--gateways", outer((index + gateway) % int(settings.gateways) + 1)});
    if (index <= 4)
      arguments.push_back("--unguarded");
    add("worker_stub" + std::to_string(index), std::move(arguments), zone(index), false);
  }
  std::vector<std::string> workerWords(int index) const {
    const bool cedarmark = settings.deployment == "cedarmark";
    return {"worker_stub",
            "--id",
            "m" + std::to_string(index),
            "--zone",
            zone(index),
            "--from",
            sourceIpOf(Address{real(index, 0)}),
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
        {"agent", "--listen", real(index, agentOffset(index)), "--worker",
         real(index, calledOffset(index)), "--zone", zone(index)},
        zone(index), true);
  }
  bool startAll() {
    for (auto& child : children)
      if (!start(child))
        return false;
    caller = std::make_unique<GatewayClient>(loop, gatewayAddresses());
    keeper = HistoryFile(settings.folder + "/keeper.witness");
    return until("three voters and every worker", Duration{30'000}, [this] { return whole(); });
  }
  bool applyConfig() {
    std::ifstream stream(settings.config);
    const std::string config((std::istreambuf_iterator<char>(stream)), {});
    auto applied = caller->send({"PUT", "/v1/config", "{\"based_on\":0,\"config\":" + config + "}"},
                                Duration{10'000});
    if (!applied) {
      say("the config was not taken: " + applied.error().text);
      return false;
    }
    say("the fleet is whole");
    return true;
  }
  bool startLoad() {
    std::ofstream(settings.folder + "/control") << at(0) << "\n";
    Child loadgen{
        "loadgen",
        {"loadgen", "--deployment", settings.deployment, "--seconds",
         std::to_string(settings.seconds), "--rate", std::to_string(settings.rate), "--fill",
         std::to_string(settings.fill), "--witness", settings.folder + "/loadgen.witness",
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
    if (!settings.keep)
      return;
    say("kept running; control at " + at(0) + ", the first gateway at " + outer(1));
    const MonotonicTime until = monotonicNow() + Duration{settings.keep * 1000};
    while (!released && monotonicNow() < until)
      sleepFor(Duration{50});
  }
  // The load, the last child started so far, ended in time and saw every job end.
  bool loadEnded() {
    Child& load = children.back();
    const MonotonicTime end = monotonicNow() + Duration{settings.seconds * 1000} + loadDrain;
    while (load.process && monotonicNow() < end && !reap(load))
      sleepFor(Duration{50});
    const bool good = !load.process && lastStatus == 0;
    if (!good)
      say("not every job that was accepted was seen to end");
    std::ifstream report(settings.folder + "/loadgen.report");
    std::cout << std::string((std::istreambuf_iterator<char>(report)), {});
    return good;
  }
  // Every writer closes its history before it is read.
  bool workersEnded() {
    keeper.write(HistoryEvent::Kind::quiescent);
    keeper.close();
    for (auto& child : children)
      if (child.name.starts_with("worker_stub"))
        signal(child, SIGCONT), signal(child, SIGTERM);
    bool good = true;
    for (auto& child : children)
      if (child.name.starts_with("worker_stub"))
        good = until(
                   child.name + " has ended", Duration{8000}, [&] { return reap(child); }, true) &&
               good;
    return good;
  }
  // Nothing, when the history's checker can't be started.
  std::optional<bool> rulesKept() {
    children.push_back(
        Child{"history_check",
              {"history_check", "--folder", settings.folder, "--config", settings.config},
              0,
              {}});
    if (!start(children.back(), true))
      return std::nullopt;
    while (!reap(children.back()))
      sleepFor(Duration{20});
    if (lastStatus != 0)
      say("history_check found broken promises");
    return lastStatus == 0;
  }

  // Each zone has an IP number at which its processes really are, and one at which the others find
  // them, through relays.
  std::string at(std::int64_t offset) const {
    return "127.0.0.1:" + std::to_string(settings.port + offset);
  }
  std::string real(int index, std::int64_t offset) const {
    return "127.1." + zone(index).substr(4) + ".1:" + std::to_string(settings.port + offset);
  }
  std::string shown(int index, std::int64_t offset) const {
    return "127.2." + zone(index).substr(4) + ".1:" + std::to_string(settings.port + offset);
  }
  std::string peer(int index) const { return shown(index, index); }
  static std::int64_t agentOffset(int index) { return 100 + index; }
  static std::int64_t calledOffset(int index) { return 300 + index; }
  std::string outer(int index) const { return shown(index, 20 + index); }
  static std::string zoneOfIp(const std::string& ip) {
    return ip.starts_with("127.1.") ? "zone" + ip.substr(6, ip.find('.', 6) - 6) : std::string();
  }
  bool openRelays() {
    auto open = [this](int index, std::int64_t offset) {
      auto opened =
          linkProxy.open(Address{shown(index, offset)}, Address{real(index, offset)}, zone(index));
      if (!opened)
        say(opened.error().text());
      return opened.has_value();
    };
    for (int index = 1; index <= 3; ++index)
      if (!open(index, index))
        return false;
    for (int index = 1; index <= settings.gateways; ++index)
      if (!open(index, 20 + index))
        return false;
    if (auto error = control.listen(Address{at(0)})) {
      say(error->text());
      return false;
    }
    return true;
  }
  static std::string zone(int index) { return "zone" + std::to_string((index - 1) % 3 + 1); }
  void say(const std::string& text) { std::cout << "local_cluster: " << text << std::endl; }

  void add(std::string name, std::vector<std::string> arguments, std::string zone, bool seeded) {
    if (seeded)
      for (int index = 1; index <= 3; ++index)
        arguments.insert(arguments.end(), {"--seeds", peer(index)});
    children.push_back(Child{std::move(name), std::move(arguments), 0, std::move(zone)});
  }
  bool start(Child& child, bool outputHere = false) {
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
    if (!outputHere) {
      posix_spawn_file_actions_addopen(&actions, 1, file.c_str(), O_WRONLY | O_CREAT | O_APPEND,
                                       0644);
      posix_spawn_file_actions_adddup2(&actions, 1, 2);
    }
    // The relays' sockets are not the children's: held there they would stay open when they are
    // closed here.
    posix_spawn_file_actions_addclosefrom_np(&actions, 3);
    const int failed =
        posix_spawn(&child.process, values[0], &actions, nullptr, values.data(), environ);
    posix_spawn_file_actions_destroy(&actions);
    if (failed) {
      say(arguments[0] + " can't be started: " + std::strerror(failed));
      child.process = 0;
    }
    return !failed;
  }
  void signal(Child& child, int number) {
    if (child.process)
      ::kill(child.process, number);
  }
  bool reap(Child& child) {
    int status = 0;
    if (!child.process)
      return true;
    if (waitpid(child.process, &status, WNOHANG) != child.process)
      return false;
    child.process = 0;
    lastStatus = WIFEXITED(status) ? WEXITSTATUS(status) : 128;
    return true;
  }
  Child* named(const std::string& name) {
    for (auto& child : children)
      if (child.name == name)
        return &child;
    return nullptr;
  }
  bool until(const std::string& what, Duration within, const std::function<bool()>& condition,
             bool quiet = false) {
    const MonotonicTime begun = monotonicNow(), end = begun + within;
    while (monotonicNow() < end) {
      if (condition()) {
        if (!quiet)
          say(what + ": after " + std::to_string((monotonicNow() - begun).milliseconds) + " ms");
        return true;
      }
      sleepFor(Duration{50});
    }
    say(what + ": not within " + std::to_string(within.milliseconds) + " ms");
    return false;
  }
  std::optional<picojson::value> show(const std::string& target) {
    GatewayClient own(loop, gatewayAddresses());
    auto answer = own.send({"GET", target, ""}, Duration{3000});
    picojson::value root;
    if (!answer || !picojson::parse(root, answer.value().body).empty())
      return std::nullopt;
    return root;
  }
  bool whole() {
    auto cluster = show("/v1/cluster");
    if (!cluster)
      return false;
    int voters = 0;
    for (const auto& member : cluster->get("controllers").get<picojson::array>())
      voters += member.get("voter").get<bool>() && member.get("unheard_ms").get<double>() < 1000;
    auto workers = show("/v1/workers");
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
      addresses.push_back(Address{outer(index)});
    return addresses;
  }

  // --- control: what zone_drill asks for. docs/operations.md 9 ---
  ApiResponse controlled(const HttpRequest& request) {
    if (request.method == "GET" && request.target == "/fleet")
      return ApiResponse::of(200, showFleet());
    if (request.method == "POST" && request.target == "/release") {
      released = true;
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
      return ApiResponse::error(400, "invalid", "a zone goes by kill, freeze or cut");
    if (busy)
      return ApiResponse::error(409, "conflict", "the fleet is at work on a zone");
    busy = true;
    const bool goesOut = parts[2] == "out";
    if (goesOut)
      mark(HistoryEvent::Kind::faultBegan, name + " by " + by);
    moveZone(name, by, goesOut);
    if (!goesOut)
      mark(HistoryEvent::Kind::faultEnded, name + " by " + by);
    busy = false;
    return ApiResponse::of(200, {{"zone", json(name)}, {"out", json(goesOut)}});
  }
  void moveZone(const std::string& name, const std::string& by, bool goesOut) {
    if (by == "cut")
      return linkProxy.setPartitioned(name, goesOut);
    for (auto& child : children) {
      if (child.zone != name)
        continue;
      if (by == "freeze")
        signal(child, goesOut ? SIGSTOP : SIGCONT);
      else if (goesOut) {
        signal(child, SIGKILL);
        while (!reap(child))
          sleepFor(Duration{5});
      } else if (!child.process)
        start(child);
    }
  }
  picojson::object showFleet() {
    std::map<std::string, picojson::array> zones;
    for (const auto& child : children)
      if (!child.zone.empty())
        zones[child.zone].push_back(
            json(picojson::object{{"name", json(child.name)}, {"up", json(child.process != 0)}}));
    picojson::object byZone;
    for (auto& [name, list] : zones) {
      picojson::array outers;
      for (int index = 1; index <= settings.gateways; ++index)
        if (zone(index) == name)
          outers.push_back(json(outer(index)));
      byZone[name] = json(picojson::object{{"processes", json(list)}, {"gateways", json(outers)}});
    }
    return {{"whole", json(whole())}, {"folder", json(settings.folder)}, {"zones", json(byZone)}};
  }
  void mark(HistoryEvent::Kind kind, const std::string& detail = {}) { keeper.write(kind, detail); }

  Child* leader() {
    auto cluster = show("/v1/cluster");
    if (!cluster)
      return nullptr;
    for (const auto& member : cluster->get("controllers").get<picojson::array>())
      if (member.get("leads").get<bool>())
        for (int index = 1; index <= 3; ++index)
          if (member.get("address").to_str() == peer(index))
            return named("controller" + std::to_string(index));
    return nullptr;
  }
  // A step: VERB:NAME[:SECONDS]; the name may be "leader". Verbs: kill, freeze, stop, empty.
  bool take(const std::string& step) {
    const auto first = step.find(':'), second = step.find(':', first + 1);
    const std::string verb = step.substr(0, first);
    const std::string name =
        first == std::string::npos
            ? ""
            : step.substr(first + 1,
                          second == std::string::npos ? std::string::npos : second - first - 1);
    const std::int64_t seconds =
        second == std::string::npos ? 3 : std::strtoll(step.c_str() + second + 1, nullptr, 10);
    Child* child = name == "leader" ? leader() : named(name);
    if (!child) {
      say(step + ": there is no such process");
      return false;
    }
    say(step + ": " + child->name);
    const bool freeze = verb == "freeze";
    mark(HistoryEvent::Kind::faultBegan, step);
    signal(*child, freeze ? SIGSTOP : verb == "stop" ? SIGTERM : SIGKILL);
    bool good = true;
    if (!freeze)
      good = until(child->name + " has ended", Duration{8000}, [&] { return reap(*child); });
    // A killed worker can't witness that its tasks are gone; who reaped its process can, before it
    // is started again.
    if (!freeze && good && child->name.starts_with("worker_stub")) {
      HistoryEvent gone;
      gone.kind = HistoryEvent::Kind::workerLost;
      gone.worker = "m" + child->name.substr(std::string("worker_stub").size());
      keeper.write(gone);
    }
    if (verb == "empty")
      std::filesystem::remove_all(settings.folder + "/data" + child->name.substr(9));
    good = until("service meanwhile", Duration{12'000},
                 [&] { return show("/v1/counters").has_value(); }) &&
           good;
    sleepFor(Duration{seconds * 1000});
    if (freeze)
      signal(*child, SIGCONT);
    else
      good = start(*child) && good;
    mark(HistoryEvent::Kind::faultEnded, step);
    mark(HistoryEvent::Kind::clusterHealed);
    good = until("whole again", Duration{verb == "empty" ? 60'000 : 12'000},
                 [this] { return whole(); }) &&
           good;
    if (show("/v1/counters"))
      mark(HistoryEvent::Kind::serviceRestored);
    return good;
  }

  Settings settings;
  EventLoop loop;
  std::unique_ptr<GatewayClient> caller;
  std::deque<Child> children;
  int lastStatus = 0;
  StopSignal stop{loop};
  LinkProxy linkProxy;
  HttpServer control;
  HistoryFile keeper;
  bool busy = false, released = false;
};

}  // namespace

int main(int count, char** values) {
  Settings settings;
  settings.programs = std::filesystem::path(values[0]).parent_path().string();
  OptionSet options("local_cluster",
                    "a whole fleet of aniseline on this machine; steps are VERB:NAME[:SECONDS], "
                    "with kill, freeze, stop or empty and a process' name or 'leader'");
  options.addText("folder", settings.folder, "a folder for data, logs and histories; must be new",
                  OptionSet::Presence::required);
  options.addText("config", settings.config, "the config to apply", OptionSet::Presence::required);
  options.addText("deployment", settings.deployment, "cedarmark or cooperative");
  options.addText("programs", settings.programs, "the folder with the programs");
  options.addInteger("seconds", settings.seconds, "how long to submit", 5, 86'400);
  options.addInteger("keep", settings.keep, "seconds to stay up for a look", 0, 86'400);
  options.addInteger("port", settings.port, "the first port", 1024, 65'000);
  options.addInteger("fill", settings.fill, "long jobs to fill the workers with", 0, 10'000);
  options.addInteger("gateways", settings.gateways, "gateways", 1, 50);
  options.addInteger("workers", settings.workers, "workers", 1, 200);
  options.addReal("rate", settings.rate, "times the deployment's load", 0.01, 1000);
  options.addFlag("called", settings.called, "workers are called by agents, one beside each");
  options.addPositionals(settings.steps, "steps, one after the other");
  options.read(count, values);
  if (std::filesystem::exists(settings.folder) && !std::filesystem::is_empty(settings.folder)) {
    std::cerr << "local_cluster: --folder: " << settings.folder << " is not empty\n";
    return 2;
  }
  startLog("local_cluster", "", true);
  int status = 1;
  {
    Fleet fleet(settings);
    status = fleet.run();
  }
  std::cout.flush();
  std::_Exit(status);
}
