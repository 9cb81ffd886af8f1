// simulate: seeded runs of the whole cluster in virtual time, with faults; shrinks what fails.
// docs/operations.md 8.
#include "net/options.hpp"
#include "simulator/campaign.hpp"
#include "simulator/crowded_service.hpp"
#include "simulator/fault_injector.hpp"
#include "simulator/measurements.hpp"
#include "simulator/tenant_service.hpp"
#include <iostream>
#include <numeric>
#include <thread>

using namespace aniseline;

namespace {

void show(const CampaignResult& result) {
  for (const auto& fault : result.faults)
    std::cout << "  fault " << fault << "\n";
  std::map<int, std::size_t> shown;  // the first few of each rule
  for (const auto& promise : result.violations)
    if (++shown[number(promise.rule)] <= 8)
      std::cout << "  broken rule " << number(promise.rule) << " at "
                << promise.timestamp - SimulatedCluster::epochMs << ": " << promise.description
                << "\n";
  for (const auto& [rule, count] : shown)
    if (count > 8)
      std::cout << "  broken rule " << rule << ", " << count - 8 << " more\n";
  for (const auto& limit : result.unavoidableViolations)
    std::cout << "  limit of rule " << number(limit.rule) << " at "
              << limit.timestamp - SimulatedCluster::epochMs << ": " << limit.description << "\n";
  for (const auto& left : result.unfinished)
    std::cout << "  unfinished " << left << "\n";
}

// Leaves out one fault after the other while the run still fails.
CampaignOptions shrink(CampaignOptions options) {
  if (options.keptFaults.empty()) {
    options.keptFaults.resize(options.faults);
    std::iota(options.keptFaults.begin(), options.keptFaults.end(), 0);
  }
  for (bool smaller = true; smaller;) {
    smaller = false;
    for (std::size_t index = 0; index < options.keptFaults.size() && options.keptFaults.size() > 1;
         ++index) {
      auto fewer = options;
      fewer.keptFaults.erase(fewer.keptFaults.begin() + std::ptrdiff_t(index));
      if (runCampaign(fewer).passed())
        continue;
      options = fewer;
      smaller = true;
      break;
    }
  }
  return options;
}

struct SimulateOptions {
  std::int64_t from = 1, seeds = 10, length = 60'000, faults = 12, called = 0, voters = 3,
               controllers = 3,
               threads = std::int64_t(std::max(1u, std::thread::hardware_concurrency()));
  bool verbose = false, shrinks = false, cost = false, failovers = false, views = false,
       everyKind = false, operators = false, lastFaultEverywhere = false, crowded = false,
       tenants = false;
  std::string only;

  void read(int count, char** values);
  bool measures() const { return failovers || cost || views; }
  CampaignOptions campaign() const;
};

void SimulateOptions::read(int count, char** values) {
  OptionSet options("simulate", "seeded runs of the whole cluster in virtual time, with faults");
  options.addInteger("from", from, "the first seed", 0, 1'000'000'000);
  options.addInteger("seeds", seeds, "how many seeds", 1, 10'000'000);
  options.addInteger("length-ms", length, "virtual time before all is healed", 20'000, 86'400'000);
  options.addInteger("faults", faults, "faults a run", 0, 1000);
  options.addInteger("called", called,
                     "workers that are called, each with its agent, beside the others", 0, 100);
  options.addInteger("voters", voters,
                     "controllers that vote: two for each that may be lost at once, and one", 3, 9);
  options.addInteger("controllers", controllers,
                     "controllers in all, by turns in the zones; no fewer than vote", 3, 15);
  options.addInteger("threads", threads, "runs at the same time", 1, 256);
  options.addText("only", only, "keep only these faults of the schedule, by number, with commas");
  options.addFlag("verbose", verbose, "tell all that happens");
  options.addFlag("shrink", shrinks, "shorten the schedule of the first seed that fails");
  options.addFlag("operators", operators,
                  "two operators at work all the time, whose answers and leaders are lost");
  options.addFlag("last-fault-everywhere", lastFaultEverywhere,
                  "end each run with disks lost while all other machines lose power");
  options.addFlag("crowded", crowded,
                  "a pool that is nearly full, without faults but a drain and a lost leader");
  options.addFlag("tenants", tenants,
                  "tenants whose keys and caps change all the time, beside faults");
  options.addFlag("every-kind", everyKind, "a kind of fault that never took effect is a failure");
  options.addFlag("plan-cost", cost, "measure plans instead, by tasks waiting and by workers");
  options.addFlag("view-cost", views, "measure the writing of a whole view instead, by jobs kept");
  options.addFlag("failover", failovers, "measure the loss of a leader instead");
  options.read(count, values);
}

CampaignOptions SimulateOptions::campaign() const {
  CampaignOptions base;
  base.duration = length;
  base.faults = std::size_t(faults);
  base.calledWorkers = std::size_t(called);
  base.voters = std::size_t(voters);
  base.controllers = std::size_t(controllers);
  base.operators = operators;
  base.lastFaultEverywhere = lastFaultEverywhere;
  base.verbose = verbose;
  std::istringstream numbers(only);
  for (std::string number; std::getline(numbers, number, ',');)
    base.keptFaults.push_back(std::strtoull(number.c_str(), nullptr, 10));
  return base;
}

void print(const picojson::value& line) {
  std::cout << line.serialize() << std::endl;
}

void measure(const SimulateOptions& options) {
  if (options.failovers)
    for (const bool freezes : {false, true})
      print(json(measureFailover(options.from, options.seeds, freezes)));
  if (options.cost) {
    for (std::size_t waiting : {100, 1000, 5000, 10'000})
      print(json(measurePlanning(waiting, 11)));
    for (std::size_t workers : {50, 200})
      print(json(measurePlanning(1000, workers)));
  }
  if (options.views)
    for (std::size_t kept : {1000, 10'000, 50'000, 300'000})
      for (const bool whole : {true, false})
        print(json(measureSnapshot(kept, whole)));
}

// One result for each seed, in the order of seeds, whatever thread ran it.
template <class SeedResult>
std::vector<SeedResult> runSeeds(const SimulateOptions& options,
                                 const std::function<SeedResult(std::uint64_t seed)>& runSeed) {
  std::vector<SeedResult> results{std::size_t(options.seeds)};
  std::atomic<std::int64_t> next{0};
  auto work = [&] {
    for (std::int64_t index; (index = next++) < options.seeds;)
      results[std::size_t(index)] = runSeed(std::uint64_t(options.from + index));
  };
  std::vector<std::thread> workers;
  for (std::int64_t worker = 0; worker < std::min(options.threads, options.seeds); ++worker)
    workers.emplace_back(work);
  for (auto& worker : workers)
    worker.join();
  return results;
}

// What all runs came to.
class Summary {
 public:
  explicit Summary(const SimulateOptions& options) {
    for (const auto& kind : FaultInjector::kindNames(options.called > 0, options.voters > 4))
      effects[kind] = 0;
  }
  void add(std::uint64_t seed, const CampaignResult& result);
  picojson::object shown(std::int64_t seeds);
  // Kinds of fault that no run had, each told and counted as a failure.
  void judgeKinds();
  std::size_t failures() const { return failed; }
  std::optional<std::uint64_t> firstFailed;

 private:
  std::size_t failed = 0, jobs = 0, starts = 0;
  std::vector<std::int64_t> recoveries;
  std::map<std::string, double> counters;
  std::map<std::string, std::size_t> effects, limits;
  std::uint64_t hash = 0, durableDigest = 0;
  SearchStatistics searched;
};

void Summary::add(std::uint64_t seed, const CampaignResult& result) {
  jobs += result.jobs;
  starts += result.starts;
  searched.operations += result.searchStatistics.operations;
  searched.configurations += result.searchStatistics.configurations;
  hash = hash * 31 + result.transcriptHash;
  durableDigest = durableDigest * 31 + result.durableDigest;
  recoveries.push_back(result.recoveryTime);
  for (const auto& [name, value] : result.counters)
    counters[name] += value;
  for (const auto& [name, count] : result.effectsByFault)
    effects[name] += count;
  for (const auto& limit : result.unavoidableViolations)
    ++limits["rule " + std::to_string(number(limit.rule))];
  if (result.passed())
    return;
  ++failed;
  if (!firstFailed)
    firstFailed = seed;
  std::cout << "seed " << seed << " FAILED\n";
  show(result);
}

picojson::object counted(const std::map<std::string, std::size_t>& counts) {
  picojson::object shown;
  for (const auto& [name, count] : counts)
    shown[name] = json(count);
  return shown;
}

picojson::object Summary::shown(std::int64_t seeds) {
  std::sort(recoveries.begin(), recoveries.end());
  picojson::object shown{{"seeds", json(seeds)},
                         {"failed", json(failed)},
                         {"jobs", json(jobs)},
                         {"starts", json(starts)},
                         {"hash", json(std::to_string(hash))},
                         {"durable_digest", json(std::to_string(durableDigest))},
                         {"operations", json(searched.operations)},
                         {"configurations", json(searched.configurations)},
                         {"recovery_p50_ms", json(recoveries[recoveries.size() / 2])},
                         {"recovery_max_ms", json(recoveries.back())}};
  for (const auto& [name, value] : counters)
    shown[name] = json(value);
  shown["took_effect"] = json(counted(effects));
  shown["limits"] = json(counted(limits));
  return shown;
}

void Summary::judgeKinds() {
  for (const auto& [name, count] : effects)
    if (count == 0) {
      std::cout << "no run had: " << name << "\n";
      ++failed;
    }
}

void showShrunk(const SimulateOptions& options, std::uint64_t seed) {
  CampaignOptions own = options.campaign();
  own.seed = seed;
  own = shrink(own);
  std::cout << "seed " << seed << " still fails with only these faults:\n";
  show(runCampaign(own));
}

// Whether every run kept all rules.
bool simulate(const SimulateOptions& options) {
  Summary summary(options);
  const auto results = runSeeds<CampaignResult>(options, [&](std::uint64_t seed) {
    CampaignOptions own = options.campaign();
    own.seed = seed;
    return runCampaign(own);
  });
  for (std::size_t index = 0; index < results.size(); ++index)
    summary.add(std::uint64_t(options.from) + index, results[index]);
  if (options.shrinks && summary.firstFailed)
    showShrunk(options, *summary.firstFailed);
  std::cout << json(summary.shown(options.seeds)).serialize() << "\n";
  if (options.everyKind)
    summary.judgeKinds();
  const std::size_t failed = summary.failures();
  std::cout << options.seeds - std::int64_t(failed) << " passed, " << failed << " failed"
            << std::endl;
  return failed == 0;
}

// Whether there were any.
bool showViolations(std::int64_t seed, const std::vector<InvariantViolation>& violations) {
  if (violations.empty())
    return false;
  std::cout << "seed " << seed << " FAILED\n";
  for (const auto& violation : violations)
    std::cout << "  broken rule " << number(violation.rule) << " at "
              << violation.timestamp - SimulatedCluster::epochMs << ": " << violation.description
              << "\n";
  return true;
}

// Whether nothing waited where there was room for it, and every other rule was kept.
bool simulateCrowdedServices(const SimulateOptions& options) {
  const auto results = runSeeds<CrowdedServiceResult>(options, [&](std::uint64_t seed) {
    CrowdedServiceOptions own = CrowdedServiceOptions::forSeed(seed);
    own.verbose = options.verbose;
    return runCrowdedService(own);
  });
  std::int64_t failed = 0;
  std::size_t jobs = 0;
  std::size_t starts = 0;
  for (std::size_t index = 0; index < results.size(); ++index) {
    jobs += results[index].jobs;
    starts += results[index].starts;
    failed += showViolations(options.from + std::int64_t(index), results[index].violations);
  }
  print(json(picojson::object{{"jobs", json(jobs)}, {"starts", json(starts)}}));
  std::cout << options.seeds - failed << " passed, " << failed << " failed" << std::endl;
  return failed == 0;
}

// Whether every key was judged by a configuration in force, no tenant passed its cap, every other
// rule was kept, and all that was accepted has ended.
bool simulateTenantServices(const SimulateOptions& options) {
  const auto results = runSeeds<TenantServiceResult>(options, [&](std::uint64_t seed) {
    TenantServiceOptions own = TenantServiceOptions::forSeed(seed);
    own.verbose = options.verbose;
    return runTenantService(own);
  });
  std::int64_t failed = 0;
  TenantServiceResult sums;
  for (std::size_t index = 0; index < results.size(); ++index) {
    const TenantServiceResult& result = results[index];
    sums.jobs += result.jobs;
    sums.starts += result.starts;
    sums.acceptedWithKey += result.acceptedWithKey;
    sums.refusedForKey += result.refusedForKey;
    sums.configurations += result.configurations;
    for (const auto& [kind, count] : result.faults)
      sums.faults[kind] += count;
    const std::int64_t seed = options.from + std::int64_t(index);
    const bool broken = showViolations(seed, result.violations);
    for (const auto& job : result.unfinished)
      std::cout << "seed " << seed << " unfinished " << job << "\n";
    failed += broken || !result.unfinished.empty();
  }
  print(json(picojson::object{{"jobs", json(sums.jobs)},
                              {"starts", json(sums.starts)},
                              {"accepted_with_key", json(sums.acceptedWithKey)},
                              {"refused_for_key", json(sums.refusedForKey)},
                              {"configurations", json(sums.configurations)},
                              {"faults", json(counted(sums.faults))}}));
  std::cout << options.seeds - failed << " passed, " << failed << " failed" << std::endl;
  return failed == 0;
}

}  // namespace

int main(int count, char** values) {
  SimulateOptions options;
  options.read(count, values);
  if (options.voters % 2 == 0 || options.controllers < options.voters) {
    std::cerr << "simulate: --voters: must be odd and no more than --controllers\n";
    return 2;
  }
  if (options.measures()) {
    measure(options);
    return 0;
  }
  if (options.tenants)
    return simulateTenantServices(options) ? 0 : 1;
  const bool passed = options.crowded ? simulateCrowdedServices(options) : simulate(options);
  return passed ? 0 : 1;
}
