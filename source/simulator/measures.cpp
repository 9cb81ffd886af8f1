#include "simulator/measures.hpp"
#include "simulator/campaign.hpp"
#include <ctime>

namespace aniseline {

picojson::object measurePlan(std::size_t waiting, std::size_t minions) {
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
        capacity.cores = 16'000;
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
        job.steps = {{"s", {}, false, {TaskRequest{cores * 1000, std::uint64_t(draw.between(256, 4096)), Span{draw.between(1000, 600'000)}, ""}}}};
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
    return {{"waiting", json(waiting)}, {"minions", json(minions)}, {"plan_p50_ms", json(costs[15])}, {"plan_min_ms", json(costs[0])}, {"plan_max_ms", json(costs[30])}};
}

picojson::object measureFailover(std::int64_t from, std::int64_t seeds, bool freezes) {
    std::vector<std::int64_t> spans;
    for (std::int64_t seed = from; seed < from + seeds; ++seed) {
        WorldOptions options;
        options.seed = std::uint64_t(seed);
        options.sluices = options.minions = 1;
        World world(options);
        if (!world.runUntilTrue([&] { return world.voterCount() == world.votersWanted(); }, 20'000)) continue;
        world.runUntil(world.now + seed % 997);
        const std::size_t lost = *world.leader();
        const std::int64_t begun = world.now;
        if (freezes) world.freezeReservoir(lost, true);
        else world.killReservoir(lost, true);
        world.runUntilTrue([&] { return world.leader().has_value(); }, 20'000);
        spans.push_back(world.now - begun);
    }
    std::sort(spans.begin(), spans.end());
    return {{"leader", json(freezes ? "frozen" : "killed")}, {"seeds", json(spans.size())}, {"p50_ms", json(spans[spans.size() / 2])},
            {"p95_ms", json(spans[spans.size() * 95 / 100])}, {"max_ms", json(spans.back())}};
}

picojson::object measureView(std::size_t kept, bool whole) {
    Ledger ledger;
    auto setup = Setup::parse(standardSetup());
    setup.value().version = SetupVersion{1};
    ledger.fold(Record{ClusterTime{0}, SetupTaken{setup.value()}});
    Forgotten shortened;
    for (std::size_t count = 0; count < kept; ++count) {
        JobSubmission job;
        job.id = JobId{"caller-0123456789-" + std::to_string(count)};
        job.queue = QueueName{"plates"};
        job.steps = {{"separate", {}, false, std::vector<TaskRequest>(4, TaskRequest{2000, 2048, Span{8000}, "run=8000"})}, {"merge", {"separate"}, false, {TaskRequest{}}}};
        ledger.fold(Record{ClusterTime{1}, JobAllowed{job}});
        ledger.fold(Record{ClusterTime{2}, JobCancelled{job.id}});
        shortened.shortened.push_back(job.id);
    }
    if (!whole) ledger.fold(Record{ClusterTime{3}, shortened});
    auto spent = [](const std::function<void()>& work) {
        std::vector<double> spans;
        for (int round = 0; round < 5; ++round) {
            const auto begun = std::clock();
            work();
            spans.push_back(double(std::clock() - begun) * 1000.0 / CLOCKS_PER_SEC);
        }
        std::sort(spans.begin(), spans.end());
        return spans[2];
    };
    std::string packed;
    const double packing = spent([&] { packed = pack(ledger); });
    const double copying = spent([&] { Ledger copy = ledger; });
    const double reading = spent([&] { auto read = unpack<Ledger>(packed); });
    return {{"kept", json(kept)}, {"shortened", json(!whole)}, {"bytes", json(packed.size())}, {"pack_ms", json(packing)}, {"copy_ms", json(copying)}, {"read_ms", json(reading)}};
}

}  // namespace aniseline
