// flume: seeded runs of the whole cluster in virtual time, with faults; shrinks what fails. docs/operations.md 8.
#include "edge/options.hpp"
#include "simulator/campaign.hpp"
#include "simulator/faults.hpp"
#include <ctime>
#include <iostream>
#include <numeric>
#include <thread>

using namespace aniseline;

namespace {

void show(const CampaignResult& result) {
    for (const auto& fault : result.faults) std::cout << "  fault " << fault << "\n";
    for (const auto& promise : result.broken) std::cout << "  broken rule " << promise.rule << " at " << promise.at - World::calendar << ": " << promise.text << "\n";
    for (const auto& limit : result.limits) std::cout << "  limit of rule " << limit.rule << " at " << limit.at - World::calendar << ": " << limit.text << "\n";
    for (const auto& left : result.unfinished) std::cout << "  unfinished " << left << "\n";
}

// Leaves out one fault after the other while the run still fails.
CampaignOptions shrink(CampaignOptions options) {
    if (options.only.empty()) {
        options.only.resize(options.faults);
        std::iota(options.only.begin(), options.only.end(), 0);
    }
    for (bool smaller = true; smaller;) {
        smaller = false;
        for (std::size_t place = 0; place < options.only.size() && options.only.size() > 1; ++place) {
            auto fewer = options;
            fewer.only.erase(fewer.only.begin() + std::ptrdiff_t(place));
            if (runCampaign(fewer).good()) continue;
            options = fewer;
            smaller = true;
            break;
        }
    }
    return options;
}

// What one plan costs with so many tasks waiting and every minion full; the median of many, by the processor's clock.
void planCost(std::size_t waiting, std::size_t minions) {
    Ledger ledger;
    std::int64_t now = 0;
    auto fold = [&](Event event) { ledger.fold(Record{ClusterTime{now}, std::move(event)}); };
    auto setup = Setup::parse(standardSetup());
    setup.value().version = SetupVersion{1};
    fold(SetupTaken{setup.value()});
    Silence heard;
    for (std::size_t place = 0; place < minions; ++place) {
        const MinionId id{"m" + std::to_string(place)};
        Capacity capacity;
        capacity.cores = 16;
        capacity.memory = 32 * 1024;
        fold(MinionSeen{id, Incarnation{1}, capacity});
        heard[id] = Span{0};
    }
    Planner planner;
    Draw draw(1);
    auto submit = [&](std::size_t count, const char* queue, std::uint32_t cores) {
        JobSubmission job;
        job.id = JobId{queue + std::to_string(count)};
        job.queue = QueueName{queue};
        job.steps = {{"s", {}, false, {TaskRequest{cores, std::uint64_t(draw.between(256, 4096)), Span{draw.between(1000, 600'000)}, ""}}}};
        fold(JobAllowed{job});
    };
    for (std::size_t count = 0; count < minions * 4; ++count) submit(count, "long", 4);
    fold(planner.make(ledger, ClusterTime{now}, heard).made);
    for (const auto& [id, minion] : ledger.minions) fold(MinionSynced{id, minion.lastOrder, {}});
    now = 500;
    for (std::size_t count = 0; count < waiting; ++count) submit(count, "plates", std::uint32_t(draw.between(1, 8)));
    std::vector<double> costs;
    for (int round = 0; round < 31; ++round) {
        const auto begun = std::clock();
        planner.make(ledger, ClusterTime{now + round}, heard);
        costs.push_back(double(std::clock() - begun) * 1000.0 / CLOCKS_PER_SEC);
    }
    std::sort(costs.begin(), costs.end());
    std::cout << json(picojson::object{{"waiting", json(waiting)}, {"minions", json(minions)}, {"plan_p50_ms", json(costs[15])}, {"plan_min_ms", json(costs[0])}, {"plan_max_ms", json(costs[30])}}).serialize() << std::endl;
}

// From the loss of a leader to another that serves, over many seeds.
void failover(std::int64_t from, std::int64_t seeds, bool freezes) {
    std::vector<std::int64_t> spans;
    for (std::int64_t seed = from; seed < from + seeds; ++seed) {
        WorldOptions options;
        options.seed = std::uint64_t(seed);
        options.sluices = options.minions = 1;
        World world(options);
        if (!world.runUntilTrue([&] { return world.voterCount() == 3; }, 20'000)) continue;
        world.runUntil(world.now + seed % 997);
        const std::size_t lost = *world.leader();
        const std::int64_t begun = world.now;
        if (freezes) world.freezeReservoir(lost, true);
        else world.killReservoir(lost, true);
        world.runUntilTrue([&] { return world.leader().has_value(); }, 20'000);
        spans.push_back(world.now - begun);
    }
    std::sort(spans.begin(), spans.end());
    std::cout << json(picojson::object{{"leader", json(freezes ? "frozen" : "killed")}, {"seeds", json(spans.size())}, {"p50_ms", json(spans[spans.size() / 2])},
                                       {"p95_ms", json(spans[spans.size() * 95 / 100])}, {"max_ms", json(spans.back())}}).serialize() << std::endl;
}

}  // namespace

int main(int count, char** values) {
    std::int64_t from = 1, seeds = 10, length = 60'000, faults = 12, threads = std::int64_t(std::max(1u, std::thread::hardware_concurrency()));
    bool verbose = false, shrinks = false, cost = false, failovers = false, everyKind = false;
    std::string only;
    OptionSet options("flume", "seeded runs of the whole cluster in virtual time, with faults");
    options.whole("from", from, "the first seed", 0, 1'000'000'000);
    options.whole("seeds", seeds, "how many seeds", 1, 10'000'000);
    options.whole("length-ms", length, "virtual time before all is healed", 20'000, 86'400'000);
    options.whole("faults", faults, "faults a run", 0, 1000);
    options.whole("threads", threads, "runs at the same time", 1, 256);
    options.text("only", only, "keep only these faults of the schedule, by number, with commas");
    options.flag("verbose", verbose, "tell all that happens");
    options.flag("shrink", shrinks, "shorten the schedule of the first seed that fails");
    options.flag("every-kind", everyKind, "a kind of fault that never took effect is a failure");
    options.flag("plan-cost", cost, "measure plans instead, by tasks waiting and by minions");
    options.flag("failover", failovers, "measure the loss of a leader instead");
    options.read(count, values);
    if (failovers) {
        failover(from, seeds, false);
        failover(from, seeds, true);
        return 0;
    }
    if (cost) {
        for (std::size_t waiting : {100, 1000, 5000, 10'000}) planCost(waiting, 11);
        for (std::size_t minions : {50, 200}) planCost(1000, minions);
        return 0;
    }

    CampaignOptions base;
    base.length = length;
    base.faults = std::size_t(faults);
    base.verbose = verbose;
    std::istringstream numbers(only);
    for (std::string number; std::getline(numbers, number, ',');) base.only.push_back(std::strtoull(number.c_str(), nullptr, 10));

    std::vector<CampaignResult> results{std::size_t(seeds)};
    std::atomic<std::int64_t> next{0};
    std::vector<std::thread> workers;
    for (std::int64_t worker = 0; worker < std::min(threads, seeds); ++worker)
        workers.emplace_back([&] {
            for (std::int64_t place; (place = next++) < seeds;) {
                auto own = base;
                own.seed = std::uint64_t(from + place);
                results[std::size_t(place)] = runCampaign(own);
            }
        });
    for (auto& worker : workers) worker.join();

    std::size_t failed = 0, jobs = 0, starts = 0;
    std::vector<std::int64_t> recoveries;
    std::map<std::string, double> counters;
    std::map<std::string, std::size_t> effects, limits;
    for (const auto& kind : FaultDeck::kinds()) effects[kind] = 0;
    std::uint64_t hash = 0;
    std::optional<std::uint64_t> firstFailed;
    for (std::size_t place = 0; place < results.size(); ++place) {
        const auto& result = results[place];
        jobs += result.jobs;
        starts += result.starts;
        hash = hash * 31 + result.hash;
        recoveries.push_back(result.recovery);
        for (const auto& [name, value] : result.counters) counters[name] += value;
        for (const auto& [name, count] : result.effects) effects[name] += count;
        for (const auto& limit : result.limits) ++limits["rule " + std::to_string(limit.rule)];
        if (result.good()) continue;
        ++failed;
        if (!firstFailed) firstFailed = std::uint64_t(from) + place;
        std::cout << "seed " << std::uint64_t(from) + place << " FAILED\n";
        show(result);
    }
    if (shrinks && firstFailed) {
        auto own = base;
        own.seed = *firstFailed;
        own = shrink(own);
        std::cout << "seed " << *firstFailed << " still fails with only these faults:\n";
        show(runCampaign(own));
    }
    std::sort(recoveries.begin(), recoveries.end());
    picojson::object shown{{"seeds", json(seeds)}, {"failed", json(failed)}, {"jobs", json(jobs)}, {"starts", json(starts)}, {"hash", json(std::to_string(hash))},
                           {"recovery_p50_ms", json(recoveries[recoveries.size() / 2])}, {"recovery_max_ms", json(recoveries.back())}};
    for (const auto& [name, value] : counters) shown[name] = json(value);
    picojson::object tookEffect, unlifted;
    for (const auto& [name, count] : effects) tookEffect[name] = json(count);
    for (const auto& [name, count] : limits) unlifted[name] = json(count);
    shown["took_effect"] = json(tookEffect);
    shown["limits"] = json(unlifted);
    std::cout << json(shown).serialize() << "\n";
    for (const auto& [name, count] : effects)
        if (everyKind && count == 0) {
            std::cout << "no run had: " << name << "\n";
            ++failed;
        }
    std::cout << seeds - std::int64_t(failed) << " passed, " << failed << " failed" << std::endl;
    return failed ? 1 : 0;
}
