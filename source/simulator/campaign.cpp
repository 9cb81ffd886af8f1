#include "simulator/world.hpp"

namespace aniseline {

std::string standardSetup(const std::string& change) {
    return R"({"policies":{"default":{"rank":"weight_wait * wait + weight_expansion * expansion","may_hold":"urgency <= 0"}},
"planner":{"period_ms":50,"trial_room_mb":4096},
"queues":{"proofs":{"urgency":10,"retries":8,"reserved":300,"trial":{"quantum_ms":3000,"memory_mb":512,"minimum_run_ms":1000}},
"dielines":{"urgency":1,"retries":8,"trial":{"quantum_ms":3000,"memory_mb":1024,"minimum_run_ms":3000}},
"plates":{"urgency":0,"retries":12},"long":{"urgency":-1,"retries":12,"hard_limit_ms":120000},"strict":{"retries":0})" +
           change + "}}";
}

namespace {

JobSubmission oneStep(const std::string& id, const char* queue, std::size_t tasks, std::uint32_t cores, std::uint64_t memory, std::int64_t requested, std::int64_t run, bool gang = false) {
    JobSubmission job;
    job.id = JobId{id};
    job.queue = QueueName{queue};
    job.steps = {{"only", {}, gang, std::vector<TaskRequest>(tasks, TaskRequest{cores, memory, Span{requested}, "run=" + std::to_string(run)})}};
    return job;
}

struct Fault {
    std::int64_t at = 0, length = 0;
    std::string name;
    std::function<void()> begin, end;
};

class Campaign {
public:
    explicit Campaign(const CampaignOptions& options) : options(options), draw(options.seed * 104729 + 5), world(worldOptions(options.seed)) {
        if (options.verbose) world.say = [this](const std::string& text) { std::fprintf(stderr, "%8lld %s\n", (long long)world.now, text.c_str()); };
    }

    CampaignResult run() {
        CampaignResult result;
        // The centre forms, and the first setup is taken.
        world.runUntilTrue([&] { return world.voterCount() == 3; }, 20'000);
        applyUntilTaken(standardSetup(), 0);
        world.runUntilTrue([&] { return applied >= 1; }, 10'000);
        begun = world.now;
        planWorkload();
        watchSetup();
        auto faults = planFaults();
        for (std::size_t place = 0; place < faults.size(); ++place) {
            if (!options.only.empty() && !std::count(options.only.begin(), options.only.end(), place)) continue;
            auto& fault = faults[place];
            result.faults.push_back(std::to_string(place) + ": " + fault.name + " at " + std::to_string(fault.at) + " for " + std::to_string(fault.length));
            world.after(fault.at, [this, &fault] {
                if (world.say) world.say("FAULT " + fault.name);
                fault.begin();
            });
            if (fault.end) world.after(fault.at + fault.length, [this, &fault] {
                if (world.say) world.say("END OF FAULT " + fault.name);
                fault.end();
            });
        }
        world.runUntil(begun + options.length);
        // All is whole again: how long until service is back?
        world.healAll();
        auto whole = Witness{};
        whole.kind = Witness::Kind::whole;
        world.witness(whole);
        const std::int64_t wholeAt = world.now;
        bool served = false;
        const auto probe = oneStep("probe", "proofs", 1, 1, 256, 500, 100);
        world.submit(probe);
        world.runUntilTrue([&] { return world.lastShown.count("probe") && world.lastShown["probe"] == "finished"; }, 30'000);
        served = world.lastShown.count("probe") && world.lastShown["probe"] == "finished";
        result.recovery = world.now - wholeAt;
        auto serving = Witness{};
        serving.kind = Witness::Kind::served;
        world.witness(serving);
        if (setupsSeen < 10) result.unfinished.push_back("too few looks at the setup");
        if (!served) result.unfinished.push_back("the probe job after healing");
        for (const auto& minion : goneForGood) declareGone(minion);
        world.runUntilTrue([&] { return world.allOver(); }, 240'000);
        result.broken = world.broken();
        for (const auto& left : world.unfinished()) result.unfinished.push_back(left);
        result.unanswered = world.unanswered;
        result.hash = world.hash();
        result.jobs = world.submissions.size();
        for (const auto& given : world.history) result.starts += given.kind == Witness::Kind::started;
        if (auto leader = world.leader()) {
            const auto& counters = world.reservoir(*leader)->committed().counters;
            result.counters = {{"trials", double(counters.trials)}, {"ranOut", double(counters.trialsRanOut)}, {"holds", double(counters.holds)},
                               {"retries", double(counters.retries)}, {"lost", double(counters.lost)}, {"failed", double(counters.failed)}, {"epoch", double(world.reservoir(*leader)->agreed().epoch().value)}};
        }
        return result;
    }

private:
    static WorldOptions worldOptions(std::uint64_t seed) {
        WorldOptions world;
        world.seed = seed;
        world.termless = seed % 3 == 0 ? 2 : 0;
        world.reservoir.replaceAfter = Span{6000};
        world.reservoir.checkpointVersions = 60 + seed % 200;
        world.reservoir.agreement.keepEntries = 200;
        return world;
    }

    void applyUntilTaken(const std::string& text, std::uint64_t basedOn) {
        world.applySetup(text, basedOn, [this, text, basedOn](int status, const std::string& body) {
            if (world.say) world.say("setup based on " + std::to_string(basedOn) + ": " + std::to_string(status) + " " + body);
            if (status == 200) applied = std::max(applied, basedOn + 1);
            else if (status != 409 && status != 400) world.after(300, [this, text, basedOn] { applyUntilTaken(text, basedOn); });
        }, draw.next() % 7);
    }
    // What is in force as any sluice tells it; an answer speaks for no earlier time than its asking.
    void watchSetup() {
        const std::size_t sluice = draw.next() % 7;
        const std::int64_t askedAt = world.now;
        world.ask(sluice, "GET", "/v1/setup", "", [this, askedAt](int status, const std::string& body) {
            // One look at a time: looks that overlap may rightly tell of the change in either order.
            world.after(draw.between(300, 900), [this] { watchSetup(); });
            picojson::value root;
            if (status != 200 || !picojson::parse(root, body).empty()) return;
            Witness seen;
            seen.kind = Witness::Kind::setupSeen;
            seen.at = World::calendar + askedAt;
            seen.detail = "the leader";
            seen.version = std::uint64_t(root.get("version").get<double>());
            world.witness(seen);
            ++setupsSeen;
        });
    }
    void declareGone(std::string minion) {
        world.ask(0, "POST", "/v1/minions/" + minion + "/gone", "", [this, minion](int status, const std::string&) {
            if (status != 200 && status != 404) world.after(300, [this, minion] { declareGone(minion); });
        });
    }

    void planWorkload() {
        std::size_t count = 0;
        auto every = [&](double gap, std::function<void(const std::string&)> make) {
            for (double time = double(draw.between(0, std::int64_t(gap))); time < double(options.length); time += gap * (0.5 + double(draw.between(0, 1000)) / 1000.0)) {
                const std::string id = "j" + std::to_string(++count);
                world.after(std::int64_t(time), [make, id] { make(id); });
            }
        };
        auto maybeCancel = [this]() -> std::int64_t { return draw.chance(0.06) ? draw.between(0, 3000) : -1; };
        every(160, [=, this](const std::string& id) { world.submit(oneStep(id, "proofs", 1, 1, 512, 1000, 120), maybeCancel()); });
        every(1000, [=, this](const std::string& id) {
            auto job = oneStep(id, "dielines", 1, 2, 1024, 3000, 900);
            world.submit(job, maybeCancel());
            if (draw.chance(0.2)) world.after(draw.between(1, 4000), [this, job] { world.resubmit(job); });
        });
        every(5000, [=, this](const std::string& id) {
            auto job = oneStep(id, "plates", 4, 3, 2048, 10'000, draw.between(2000, 9000), true);
            job.steps.push_back({"merge", {"only"}, false, {TaskRequest{2, 1024, Span{3000}, "run=800"}}});
            world.submit(job, maybeCancel());
        });
        every(2500, [=, this](const std::string& id) {
            // Some overrun what they requested by far.
            world.submit(oneStep(id, "long", std::size_t(draw.between(1, 4)), 8, 4096, 15'000, draw.between(3000, 30'000)), maybeCancel());
        });
        every(7000, [=, this](const std::string& id) { world.submit(oneStep(id, "strict", 2, 1, 512, 2000, 700)); });
        // One that never ends by itself, stopped by its queue's limit or its caller.
        world.submit(oneStep("endless", "long", 1, 2, 1024, 5000, 100'000'000), options.length + 5000);
        auto timed = oneStep("nightly", "dielines", 1, 1, 512, 1000, 300);
        timed.timetable.first = ClusterTime{World::calendar + world.now + 8000};
        timed.timetable.every = Span{7000};
        timed.timetable.count = 6;
        world.submit(timed);
    }

    std::vector<Fault> planFaults() {
        std::vector<Fault> faults;
        for (std::size_t count = 0; count < options.faults; ++count) {
            Fault fault;
            fault.at = draw.between(3000, options.length - 8000);
            fault.length = draw.between(300, 9000);
            const std::size_t reservoir = draw.next() % 3, sluice = draw.next() % 7, minion = draw.next() % 11;
            const std::size_t from = draw.next() % 3, to = (from + 1 + draw.next() % 2) % 3;
            const std::int64_t jump = draw.between(-600'000, 600'000);
            auto set = [&](std::string name, std::function<void()> begin, std::function<void()> end) {
                fault.name = std::move(name);
                fault.begin = std::move(begin);
                fault.end = std::move(end);
            };
            // The leader is as likely a victim as any fixed place.
            auto victim = [this, reservoir, pickLeader = draw.chance(0.5)] { return pickLeader ? world.leader().value_or(reservoir) : reservoir; };
            auto chosen = std::make_shared<std::size_t>(0);
            switch (draw.next() % 26) {
                case 0: set("kill a reservoir", [=, this] { world.killReservoir(*chosen = victim(), false); }, [=, this] { world.restartReservoir(*chosen); }); break;
                case 1: set("power loss of a reservoir", [=, this] { world.killReservoir(*chosen = victim(), true); }, [=, this] { world.restartReservoir(*chosen); }); break;
                case 2: set("power loss of all reservoirs", [this] { for (std::size_t at = 0; at < 3; ++at) world.killReservoir(at, true); },
                            [this] { for (std::size_t at = 0; at < 3; ++at) world.restartReservoir(at); }); break;
                case 3:
                case 4: set("disk lost", [=, this, moves = draw.chance(0.5)] {
                        *chosen = victim();
                        if (!mayLoseDisk()) return;
                        world.loseDisk(*chosen);
                        if (moves) world.moveReservoir(*chosen);
                    }, [=, this] { world.restartReservoir(*chosen); }); break;
                case 5:
                case 6: set("freeze a reservoir", [=, this] { world.freezeReservoir(*chosen = victim(), true); }, [=, this] { world.freezeReservoir(*chosen, false); }); break;
                case 7: set("cut areas both ways", [=, this] { world.cutAreas(from, to, true); world.cutAreas(to, from, true); }, [=, this] { world.cutAreas(from, to, false); world.cutAreas(to, from, false); }); break;
                case 8: set("cut areas one way", [=, this] { world.cutAreas(from, to, true); }, [=, this] { world.cutAreas(from, to, false); }); break;
                case 9: set("cut an area off", [=, this] { for (std::size_t at = 0; at < 3; ++at) if (at != from) { world.cutAreas(from, at, true); world.cutAreas(at, from, true); } },
                            [=, this] { for (std::size_t at = 0; at < 3; ++at) { world.cutAreas(from, at, false); world.cutAreas(at, from, false); } }); break;
                case 10: set("stall a disk", [=, this, span = fault.length] { world.stallDisk(victim(), span); }, {}); break;
                case 11: set("slow a disk", [=, this] { world.slowDisk(*chosen = victim(), 80); }, [=, this] { world.slowDisk(*chosen, 0); }); break;
                case 12: set("jump a clock", [=, this, span = fault.length] {
                        // One clock may lie at a time; two of three that lie alike outvote the truth.
                        if (world.now < clockFreeAt) return;
                        clockFreeAt = world.now + span + 1000;
                        world.setClock(*chosen = victim(), jump);
                    }, [=, this] { world.setClock(*chosen, 0); }); break;
                case 13: set("kill a minion", [=, this] { world.killMinion(minion, false); }, [=, this] { world.restartMinion(minion); }); break;
                case 14: set("a minion vanishes", [=, this] { if (mayVanish(minion)) world.killMinion(minion, true); }, {}); break;
                case 15:
                case 16: set("freeze a minion", [=, this] { world.freezeMinion(minion, true); }, [=, this] { world.freezeMinion(minion, false); }); break;
                case 17:
                case 18: set("cut a minion", [=, this] { world.cutMinion(minion, true); }, [=, this] { world.cutMinion(minion, false); }); break;
                case 19: set("a slow minion", [=, this] { world.setMinion(minion, 6, 0); }, [=, this] { world.setMinion(minion, 1, 0); }); break;
                case 20: set("a minion fails its work", [=, this] { world.setMinion(minion, 1, 0.5); }, [=, this] { world.setMinion(minion, 1, 0); }); break;
                case 21: set("a minion leaves", [=, this] { if (mayVanish(minion)) world.leaveMinion(minion, 2500); }, {}); break;
                case 22: set("kill a sluice", [=, this] { world.killSluice(sluice); }, [=, this] { world.restartSluice(sluice); }); break;
                case 23: set("freeze a sluice", [=, this] { world.freezeSluice(sluice, true); }, [=, this] { world.freezeSluice(sluice, false); }); break;
                case 24: set("a flood", [this, count] { flood(count); }, {}); break;
                default: set("two setups at once", [this, count] {
                    const std::uint64_t base = applied;
                    for (int operatorNumber = 0; operatorNumber < 2; ++operatorNumber)
                        applyUntilTaken(standardSetup(",\"extra" + std::to_string(count) + "x" + std::to_string(operatorNumber) + "\":{\"retries\":1}"), base);
                }, {});
            }
            faults.push_back(std::move(fault));
        }
        return faults;
    }
    // Two of three disks may never be lost at once: that is beyond what three copies can bear.
    bool mayLoseDisk() {
        if (world.voterCount() != 3 || !world.leader() || world.now < lastDiskLoss + 30'000) return false;
        const auto* leader = world.reservoir(*world.leader());
        for (const auto& member : leader->agreed().members())
            if (member.id != leader->agreed().self().id && leader->agreed().matchOf(member.id) < leader->agreed().commitIndex()) return false;
        lastDiskLoss = world.now;
        return true;
    }
    bool mayVanish(std::size_t minion) {
        if (goneForGood.size() >= 3) return false;
        return goneForGood.insert("m" + std::to_string(minion + 1)).second;
    }
    void flood(std::size_t count) {
        for (std::size_t place = 0; place < 60; ++place) {
            const std::string id = "flood" + std::to_string(count) + "-" + std::to_string(place);
            if (place % 3 == 0) world.submit(oneStep(id, "plates", 4, 4, 2048, 5000, 2000));
            else if (place % 3 == 1) world.submit(oneStep(id, "proofs", 1, 1, 256, 1000, 100));
            else world.submit(oneStep(id, "long", 1, 2000, 256, 1000, 100));  // no minion could ever hold it
        }
    }

    CampaignOptions options;
    Draw draw;
    World world;
    std::uint64_t applied = 0, setupsSeen = 0;
    std::int64_t begun = 0, lastDiskLoss = -100'000, clockFreeAt = 0;
    std::set<std::string> goneForGood;
};

}  // namespace

CampaignResult runCampaign(const CampaignOptions& options) { return Campaign(options).run(); }

}  // namespace aniseline
