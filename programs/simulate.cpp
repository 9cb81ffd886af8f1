// simulate: runs simulations of the whole cluster with seeded faults in virtual time, and shortens
// the fault schedule of a failed run. docs/operations.md 8.
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

void printResult(const CampaignResult& result) {
  for (const auto& fault : result.faults)
    std::cout << "  fault " << fault << "\n";
  std::map<int, std::size_t>
      countsByRule;  // limits the output to the first violations of each rule
  for (const auto& violation : result.violations)
    if (++countsByRule[number(violation.rule)] <= 8)
      std::cout << "  broken rule " << number(violation.rule) << " at "
                << violation.timestamp - SimulatedCluster::epochMs << ": " << violation.description
                << "\n";
  for (const auto& [rule, count] : countsByRule)
    if (count > 8)
      std::cout << "  broken rule " << rule << ", " << count - 8 << " more\n";
  for (const auto& limit : result.unavoidableViolations)
    std::cout << "  limit of rule " << number(limit.rule) << " at "
              << limit.timestamp - SimulatedCluster::epochMs << ": " << limit.description << "\n";
  for (const auto& item : result.unfinished)
    std::cout << "  unfinished " << item << "\n";
}

// Removes faults one at a time while the run still fails, and returns the smallest schedule found.
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
  bool verbose = false, shrinkSchedule = false, planCost = false, failover = false,
       snapshotCost = false, everyKind = false, operators = false, lastFaultEverywhere = false,
       crowded = false, tenants = false;
  std::string faultNumbers;

  void read(int argc, char** argv);
  bool measuresOnly() const { return failover || planCost || snapshotCost; }
  CampaignOptions campaign() const;
};

void SimulateOptions::read(int argc, char** argv) {
  OptionSet options("simulate", "simulates the whole cluster in virtual time with seeded faults");
  options.addInteger("from", from, "first seed", 0, 1'000'000'000);
  options.addInteger("seeds", seeds, "number of seeds", 1, 10'000'000);
  options.addInteger("length-ms", length, "virtual time in ms until all faults are healed", 20'000,
                     86'400'000);
  options.addInteger("faults", faults, "number of faults per run", 0, 1000);
  options.addInteger("called", called,
                     "number of additional workers that are called by an agent each", 0, 100);
  options.addInteger("voters", voters,
                     "number of voting controllers: 2n + 1 to tolerate the loss of n at once", 3,
                     9);
  options.addInteger(
      "controllers", controllers,
      "total number of controllers, spread over the zones; at least as many as voters", 3, 15);
  options.addInteger("threads", threads, "number of runs in parallel", 1, 256);
  options.addText("only", faultNumbers,
                  "run only these faults of the schedule, by number, separated by commas");
  options.addFlag("verbose", verbose, "trace all events");
  options.addFlag("shrink", shrinkSchedule,
                  "shorten the fault schedule of the first seed that fails");
  options.addFlag("operators", operators,
                  "two operators send requests all the time, while answers and leaders are lost");
  options.addFlag("last-fault-everywhere", lastFaultEverywhere,
                  "end each run with the loss of disks while all other machines lose power");
  options.addFlag(
      "crowded", crowded,
      "simulate a nearly full pool, with only a drain and the loss of a leader as faults");
  options.addFlag("tenants", tenants,
                  "simulate tenants whose keys and caps change all the time, with faults");
  options.addFlag("every-kind", everyKind, "fail if a kind of fault never took effect");
  options.addFlag("plan-cost", planCost,
                  "only measure the cost of plans, by waiting tasks and by workers");
  options.addFlag("view-cost", snapshotCost,
                  "only measure the cost of writing snapshots, by kept jobs");
  options.addFlag("failover", failover, "only measure failover after the loss of a leader");
  options.read(argc, argv);
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
  std::istringstream numbers(faultNumbers);
  for (std::string number; std::getline(numbers, number, ',');)
    base.keptFaults.push_back(std::strtoull(number.c_str(), nullptr, 10));
  return base;
}

void print(const picojson::value& line) {
  std::cout << line.serialize() << std::endl;
}

void measure(const SimulateOptions& options) {
  if (options.failover)
    for (const bool freezes : {false, true})
      print(json(measureFailover(options.from, options.seeds, freezes)));
  if (options.planCost) {
    for (std::size_t waiting : {100, 1000, 5000, 10'000})
      print(json(measurePlanning(waiting, 11)));
    for (std::size_t workers : {50, 200})
      print(json(measurePlanning(1000, workers)));
  }
  if (options.snapshotCost)
    for (std::size_t kept : {1000, 10'000, 50'000, 300'000})
      for (const bool whole : {true, false})
        print(json(measureSnapshot(kept, whole)));
}

// Runs all seeds on several threads. Returns one result for each seed, in the order of the seeds.
template <class SeedResult>
std::vector<SeedResult> runSeeds(const SimulateOptions& options,
                                 const std::function<SeedResult(std::uint64_t seed)>& runSeed) {
  std::vector<SeedResult> results{std::size_t(options.seeds)};
  std::atomic<std::int64_t> next{0};
  auto runRemainingSeeds = [&] {
    for (std::int64_t index; (index = next++) < options.seeds;)
      results[std::size_t(index)] = runSeed(std::uint64_t(options.from + index));
  };
  std::vector<std::thread> workers;
  for (std::int64_t worker = 0; worker < std::min(options.threads, options.seeds); ++worker)
    workers.emplace_back(runRemainingSeeds);
  for (auto& worker : workers)
    worker.join();
  return results;
}

// Accumulates the results of all runs.
class Summary {
 public:
  explicit Summary(const SimulateOptions& options) {
    for (const auto& kind : FaultInjector::kindNames(options.called > 0, options.voters > 4))
      effects[kind] = 0;
  }
  void add(std::uint64_t seed, const CampaignResult& result);
  picojson::object toJson(std::int64_t seeds);
  // Prints each kind of fault that never took effect, and counts it as a failure.
  void checkAllFaultsTookEffect();
  std::size_t failures() const { return failed; }
  std::optional<std::uint64_t> firstFailed;

 private:
  std::size_t failed = 0, jobs = 0, starts = 0;
  std::vector<std::int64_t> recoveries;
  std::map<std::string, double> counters;
  std::map<std::string, std::size_t> effects, limits;
  std::uint64_t hash = 0, durableDigest = 0;
  SearchStatistics searchTotals;
};

void Summary::add(std::uint64_t seed, const CampaignResult& result) {
  jobs += result.jobs;
  starts += result.starts;
  searchTotals.operations += result.searchStatistics.operations;
  searchTotals.configurations += result.searchStatistics.configurations;
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
  printResult(result);
}

picojson::object countsToJson(const std::map<std::string, std::size_t>& counts) {
  picojson::object result;
  for (const auto& [name, count] : counts)
    result[name] = json(count);
  return result;
}

picojson::object Summary::toJson(std::int64_t seeds) {
  std::sort(recoveries.begin(), recoveries.end());
  picojson::object result{{"seeds", json(seeds)},
                          {"failed", json(failed)},
                          {"jobs", json(jobs)},
                          {"starts", json(starts)},
                          {"hash", json(std::to_string(hash))},
                          {"durable_digest", json(std::to_string(durableDigest))},
                          {"operations", json(searchTotals.operations)},
                          {"configurations", json(searchTotals.configurations)},
                          {"recovery_p50_ms", json(recoveries[recoveries.size() / 2])},
                          {"recovery_max_ms", json(recoveries.back())}};
  for (const auto& [name, value] : counters)
    result[name] = json(value);
  result["took_effect"] = json(countsToJson(effects));
  result["limits"] = json(countsToJson(limits));
  return result;
}

void Summary::checkAllFaultsTookEffect() {
  for (const auto& [name, count] : effects)
    if (count == 0) {
      std::cout << "no run had: " << name << "\n";
      ++failed;
    }
}

void printShrunkSchedule(const SimulateOptions& options, std::uint64_t seed) {
  CampaignOptions runOptions = options.campaign();
  runOptions.seed = seed;
  runOptions = shrink(runOptions);
  std::cout << "seed " << seed << " still fails with only these faults:\n";
  printResult(runCampaign(runOptions));
}

// Runs all seeds and prints the summary. Returns whether no run violated an invariant or left work
// unfinished.
bool simulate(const SimulateOptions& options) {
  Summary summary(options);
  const auto results = runSeeds<CampaignResult>(options, [&](std::uint64_t seed) {
    CampaignOptions runOptions = options.campaign();
    runOptions.seed = seed;
    return runCampaign(runOptions);
  });
  for (std::size_t index = 0; index < results.size(); ++index)
    summary.add(std::uint64_t(options.from) + index, results[index]);
  if (options.shrinkSchedule && summary.firstFailed)
    printShrunkSchedule(options, *summary.firstFailed);
  std::cout << json(summary.toJson(options.seeds)).serialize() << "\n";
  if (options.everyKind)
    summary.checkAllFaultsTookEffect();
  const std::size_t failed = summary.failures();
  std::cout << options.seeds - std::int64_t(failed) << " passed, " << failed << " failed"
            << std::endl;
  return failed == 0;
}

// Prints the violations of a run. Returns whether there are any.
bool printViolations(std::int64_t seed, const std::vector<InvariantViolation>& violations) {
  if (violations.empty())
    return false;
  std::cout << "seed " << seed << " FAILED\n";
  for (const auto& violation : violations)
    std::cout << "  broken rule " << number(violation.rule) << " at "
              << violation.timestamp - SimulatedCluster::epochMs << ": " << violation.description
              << "\n";
  return true;
}

// Returns whether no work waited where there was room for it and no other invariant was violated.
bool simulateCrowdedServices(const SimulateOptions& options) {
  const auto results = runSeeds<CrowdedServiceResult>(options, [&](std::uint64_t seed) {
    CrowdedServiceOptions runOptions = CrowdedServiceOptions::forSeed(seed);
    runOptions.verbose = options.verbose;
    return runCrowdedService(runOptions);
  });
  std::int64_t failed = 0;
  std::size_t jobs = 0;
  std::size_t starts = 0;
  for (std::size_t index = 0; index < results.size(); ++index) {
    jobs += results[index].jobs;
    starts += results[index].starts;
    failed += printViolations(options.from + std::int64_t(index), results[index].violations);
  }
  print(json(picojson::object{{"jobs", json(jobs)}, {"starts", json(starts)}}));
  std::cout << options.seeds - failed << " passed, " << failed << " failed" << std::endl;
  return failed == 0;
}

// Returns whether every key was checked against a configuration in force, no tenant exceeded its
// cap, no other invariant was violated, and every accepted job has ended.
bool simulateTenantServices(const SimulateOptions& options) {
  const auto results = runSeeds<TenantServiceResult>(options, [&](std::uint64_t seed) {
    TenantServiceOptions runOptions = TenantServiceOptions::forSeed(seed);
    runOptions.verbose = options.verbose;
    return runTenantService(runOptions);
  });
  std::int64_t failed = 0;
  TenantServiceResult totals;
  for (std::size_t index = 0; index < results.size(); ++index) {
    const TenantServiceResult& result = results[index];
    totals.jobs += result.jobs;
    totals.starts += result.starts;
    totals.acceptedWithKey += result.acceptedWithKey;
    totals.refusedForKey += result.refusedForKey;
    totals.configurations += result.configurations;
    for (const auto& [kind, count] : result.faults)
      totals.faults[kind] += count;
    const std::int64_t seed = options.from + std::int64_t(index);
    const bool broken = printViolations(seed, result.violations);
    for (const auto& job : result.unfinished)
      std::cout << "seed " << seed << " unfinished " << job << "\n";
    failed += broken || !result.unfinished.empty();
  }
  print(json(picojson::object{{"jobs", json(totals.jobs)},
                              {"starts", json(totals.starts)},
                              {"accepted_with_key", json(totals.acceptedWithKey)},
                              {"refused_for_key", json(totals.refusedForKey)},
                              {"configurations", json(totals.configurations)},
                              {"faults", json(countsToJson(totals.faults))}}));
  std::cout << options.seeds - failed << " passed, " << failed << " failed" << std::endl;
  return failed == 0;
}

}  // namespace

int main(int argc, char** argv) {
  SimulateOptions options;
  options.read(argc, argv);
  if (options.voters % 2 == 0 || options.controllers < options.voters) {
    std::cerr << "simulate: --voters: must be odd and no more than --controllers\n";
    return 2;
  }
  if (options.measuresOnly()) {
    measure(options);
    return 0;
  }
  if (options.tenants)
    return simulateTenantServices(options) ? 0 : 1;
  const bool passed = options.crowded ? simulateCrowdedServices(options) : simulate(options);
  return passed ? 0 : 1;
}
