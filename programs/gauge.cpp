// gauge: processor time and memory of each role, on the core alone: no sockets, no files, virtual time. docs/CAPACITY.md.
#include "edge/disk.hpp"
#include "edge/options.hpp"
#include "edge/wire.hpp"
#include "penstock.hpp"
#include <iostream>
#include <malloc.h>
#include <numeric>

using namespace aniseline;

namespace {

// This thread's processor time in microseconds.
double spent() {
    timespec now{};
    clock_gettime(CLOCK_THREAD_CPUTIME_ID, &now);
    return double(now.tv_sec) * 1e6 + double(now.tv_nsec) / 1e3;
}
double heapBytes() {
    const auto info = mallinfo2();
    return double(info.uordblks) + double(info.hblkhd);
}

using Values = std::map<std::string, double>;

// Adds the processor time of a scope to one of the values.
class Meter {
public:
    Meter(Values& values, const char* name) : target(values[name]), begun(spent()) {}
    ~Meter() { target += spent() - begun; }

private:
    double& target;
    double begun;
};

template <class Work>
double timed(Work work) {
    const double begun = spent();
    work();
    return spent() - begun;
}

struct Sizes {
    std::size_t minions = 60, kept = 0, waiting = 0, running = 0, queues = 10, sluices = 7, gang = 0;
    double starts = 100;  // task starts a second
    picojson::object shown() const {
        return {{"minions", json(minions)}, {"jobs_kept", json(kept)}, {"tasks_waiting", json(waiting)}, {"tasks_running", json(running)},
                {"queues", json(queues)}, {"sluices", json(sluices)}, {"starts_per_s", json(starts)}, {"gang", json(gang)}};
    }
};

// Steps have 14 to 46 tasks, jobs one step or two; most tasks are short, some take 6 s.
constexpr std::uint32_t taskCores = 1500;
constexpr std::int64_t planPeriod = 20;
std::int64_t drawRuntime(Draw& draw) {
    const auto kind = draw.between(0, 99);
    return kind < 60 ? draw.between(200, 300) : kind < 85 ? draw.between(700, 1100) : 6000;
}
constexpr double meanRuntime = 0.6 * 250 + 0.25 * 900 + 0.15 * 6000;
constexpr double tasksPerJob = 30 * 1.5;
std::size_t slotsOf(const Sizes& sizes) { return std::size_t(1.6 * sizes.starts * meanRuntime / 1000.0 / double(sizes.minions)) + 4; }

JobSubmission drawJob(Draw& draw, const std::string& id, const QueueName& queue) {
    JobSubmission job;
    job.id = JobId{id};
    job.queue = queue;
    job.payload = R"({"work":"separation","plate":"cyan"})";
    const bool gang = draw.chance(0.1);
    const auto steps = draw.between(1, 2);
    for (std::int64_t step = 0; step < steps; ++step) {
        StepRequest request;
        request.name = "step" + std::to_string(step);
        if (step > 0) request.after = {"step" + std::to_string(step - 1)};
        request.gang = gang;
        request.tasks.assign(std::size_t(draw.between(14, 46)), TaskRequest{taskCores, 64, Span{drawRuntime(draw)}, ""});
        job.steps.push_back(std::move(request));
    }
    return job;
}

QueueName queueNamed(std::size_t place) { return QueueName{"team-" + std::to_string(place)}; }
std::string setupText(std::size_t queues, std::int64_t change = 0) {
    picojson::object listed;
    picojson::array entrances;
    for (std::size_t place = 0; place <= queues; ++place) {
        // The last one is less urgent than all others: its work only waits.
        const std::string name = place < queues ? queueNamed(place).value : "patient";
        listed[name] = json(picojson::object{{"urgency", json(place < queues ? std::int64_t(1 + place % 3) : std::int64_t(0))}, {"tries", json(4)}, {"open_limit", json(100'000)},
                                             {"reserved", json(place < queues ? 1 : 0)}, {"pool", json("press")}, {"extend", json(2.5)}, {"target_ms", json(1000 + change)}});
        entrances.push_back(json(picojson::object{{"host", json("jobs.example")}, {"prefix", json("/" + name + "/")}, {"queue", json(name)}}));
    }
    return json(picojson::object{{"queues", json(listed)}, {"entrances", json(entrances)}, {"pools", json(picojson::object{{"press", json(picojson::object{{"guards_room", json(true)}})}})},
                                 {"planner", json(picojson::object{{"period_ms", json(planPeriod)}, {"urgency_first", json(true)}, {"open_limit", json(100'000)}})}}).serialize();
}

MinionId minionNamed(std::size_t place) { return MinionId{"minion-" + std::to_string(place) + "-0123456789ab"}; }
Capacity capacityOf(const Sizes& sizes, std::size_t place) {
    Capacity capacity;
    const std::size_t held = sizes.running / sizes.minions + 2;
    capacity.cores = std::uint32_t((slotsOf(sizes) + held) * taskCores + 16'000);
    capacity.memory = 64 * (slotsOf(sizes) + held) + 32 * 1024;
    capacity.area = AreaName{"area" + std::to_string(place % 3)};
    capacity.rack = "rack" + std::to_string(place / 3);
    capacity.honoursTerms = capacity.guardsRoom = capacity.lapses = capacity.assembles = true;
    capacity.pauses = false;
    capacity.pool = "press";
    capacity.host = "10.1." + std::to_string(place / 250) + "." + std::to_string(place % 250);
    return capacity;
}

// A ledger by events alone: minions, kept jobs, tasks that run for long, tasks that find no room.
Ledger presetLedger(const Sizes& sizes, Draw draw) {
    Ledger ledger;
    ClusterTime now{1000};
    auto fold = [&](Event event) { ledger.fold(Record{now, std::move(event)}); };
    auto setup = Setup::parse(setupText(sizes.queues));
    if (!setup) {
        std::cerr << "gauge: " << setup.error().text() << "\n";
        std::exit(1);
    }
    setup.value().version = SetupVersion{1};
    fold(SetupTaken{setup.value()});
    for (std::size_t place = 0; place < sizes.minions; ++place) fold(MinionSeen{minionNamed(place), Incarnation{1}, capacityOf(sizes, place)});
    Forgotten shortened;
    for (std::size_t place = 0; place < sizes.kept; ++place) {
        auto job = drawJob(draw, "kept-0123456789-" + std::to_string(place), queueNamed(place % sizes.queues));
        fold(JobAllowed{job});
        fold(JobCancelled{job.id});
        shortened.shortened.push_back(job.id);
        if (shortened.shortened.size() >= 1000) fold(std::exchange(shortened, {}));
    }
    fold(shortened);
    PlanMade plan;
    plan.number = PlanNumber{1};
    AttemptNumber attempt;
    auto run = [&](std::size_t count, const char* name, std::uint32_t cores) {
        for (std::size_t begun = 0; begun < count;) {
            JobSubmission job;
            job.id = JobId{name + std::to_string(begun)};
            job.queue = queueNamed(begun % sizes.queues);
            job.steps = {{"long", {}, false, {}}};
            for (std::size_t task = 0; task < 30 && begun + task < count; ++task) {
                job.steps[0].tasks.push_back(TaskRequest{cores, 64, Span{draw.between(600'000, 7'200'000)}, ""});
                Action action;
                action.attempt = attempt = attempt.next();
                action.job = job.id;
                action.task = std::uint32_t(task);
                action.minion = minionNamed((begun + task) % sizes.minions);
                action.memory = 64;
                plan.actions.push_back(std::move(action));
            }
            begun += job.steps[0].tasks.size();
            fold(JobAllowed{std::move(job)});
        }
    };
    run(sizes.running, "running-", taskCores);
    run(sizes.minions, "filling-", taskCores + 16'000);  // leaves the room of the short tasks
    fold(plan);
    for (std::size_t place = 0; place < sizes.minions; ++place) fold(MinionSynced{minionNamed(place), ledger.minions.at(minionNamed(place)).lastOrder, {}});
    const std::uint32_t room = std::uint32_t(slotsOf(sizes)) * taskCores;
    for (std::size_t begun = 0; begun < sizes.waiting;) {
        JobSubmission job;
        job.id = JobId{"waiting-" + std::to_string(begun)};
        job.queue = QueueName{"patient"};
        job.steps = {{"wide", {}, false, {}}};
        const TaskRequest request{room + std::uint32_t(draw.between(2000, 16'000)), 64, Span{draw.between(200, 600'000)}, ""};
        for (std::size_t task = 0; task < 30 && begun + task < sizes.waiting; ++task) job.steps[0].tasks.push_back(request);
        begun += job.steps[0].tasks.size();
        fold(JobAllowed{std::move(job)});
    }
    return ledger;
}

Silence heardNow(const Sizes& sizes) {
    Silence heard;
    for (std::size_t place = 0; place < sizes.minions; ++place) heard[minionNamed(place)] = Span{0};
    return heard;
}

// A minion with its penstock, as the leader sees them: what it is told, when it ends, what it has yet to tell.
struct HollowMinion {
    std::size_t place = 0;
    Incarnation incarnation{1};
    Capacity capacity;
    OrderNumber received, applied, toldApplied;
    std::map<RunName, std::int64_t> ends;  // below 0: as failed
    std::vector<NamedEnding> endings;  // not yet closed
    std::size_t toldEndings = 0;
    bool patientBusy = false, urgentBusy = false;
    std::int64_t appliedAt = 0;

    SyncReport report(bool patient, std::int64_t now) {
        SyncReport report;
        report.id = minionNamed(place);
        report.incarnation = incarnation;
        report.capacity = capacity;
        report.packed = true;
        report.received = received;
        report.lastOrder = toldApplied = applied;
        appliedAt = now;
        report.wait = Span{patient ? 1000 : 0};
        report.namedEndings = endings;
        toldEndings = endings.size();
        return report;
    }
    bool urgent(std::int64_t now) const { return toldEndings < endings.size() || (applied != toldApplied && now - appliedAt > 400); }
    void hear(const SyncReport& asked, const SyncAnswer& answer, const std::map<JobId, const JobSubmission*>& jobs, Draw& draw, std::int64_t now) {
        for (std::size_t closed = 0; closed < answer.closed; ++closed) {
            auto found = std::find_if(endings.begin(), endings.end(), [&](const auto& ending) { return ending.name == asked.namedEndings[closed].name; });
            if (found == endings.end()) continue;
            if (std::size_t(found - endings.begin()) < toldEndings) --toldEndings;
            endings.erase(found);
        }
        for (const auto& order : answer.orders) {
            if (order.number <= received) continue;
            received = applied = order.number;
            const RunName name = RunName::of(order);
            if (order.kind == OrderKind::start) {
                // Of a gang one part in all decides whether it fails, so that gangs fail as often as tasks.
                const auto job = jobs.find(order.job);
                const bool gang = job != jobs.end() && job->second->steps[order.step].gang;
                const bool fails = (!gang || order.within == 0) && draw.chance(0.05);
                // Tasks take about what was requested, each its own time; the parts of a gang end together.
                const std::int64_t takes = gang ? order.runtime.milliseconds : order.runtime.milliseconds * draw.between(80, 120) / 100;
                ends[name] = (now + takes) * (fails ? -1 : 1);
            } else if (ends.erase(name)) endings.push_back({name, EndingKind::stopped});
        }
    }
    void run(std::int64_t now) {
        for (auto place = ends.begin(); place != ends.end();) {
            if (std::abs(place->second) > now) {
                ++place;
                continue;
            }
            endings.push_back({place->first, place->second < 0 ? EndingKind::failed : EndingKind::finished});
            place = ends.erase(place);
        }
    }
};

// Three reservoirs joined in memory, hollow minions and callers. A tick carries messages, syncs disks and takes one step.
class Cluster {
public:
    Cluster(const Sizes& sizes, std::uint64_t seed, std::int64_t tick) : sizes(sizes), draw(seed), tick(tick), preset(presetLedger(sizes, Draw(seed))) {
        Members members;
        for (const char* name : {"r0", "r1", "r2"}) members.push_back({ReservoirId{name}, Address{std::string(name) + ":1"}, AreaName{std::string("area") + name[1]}, true});
        DiskRecord record;
        record.version = DiskVersion{1};
        record.whole = true;
        record.epoch = Epoch{1};
        record.view = LogView{LogIndex{1}, Epoch{1}, members, pack(preset)};
        record.first = LogIndex{2};
        ReservoirOptions options;
        options.exchangesAtOnce = 20'000;
        for (std::size_t place = 0; place < 3; ++place) {
            nodes.emplace_back();
            nodes.back().core = std::make_unique<Reservoir>(members[place], options, seed * 3 + place, std::vector<DiskRecord>{record}, Instant{0});
            for (std::size_t sluice = 0; sluice < sizes.sluices; ++sluice)
                nodes.back().core->noteSluice({Address{"10.0.0." + std::to_string(sluice) + ":8080"}, AreaName{"area" + std::to_string(sluice % 3)}}, Instant{0});
        }
        nextCommitted = LogIndex{2};
        for (std::size_t place = 0; place < sizes.minions; ++place) {
            HollowMinion minion;
            minion.place = place;
            minion.capacity = capacityOf(sizes, place);
            minion.received = minion.applied = minion.toldApplied = preset.minions.at(minionNamed(place)).lastOrder;
            minions.push_back(std::move(minion));
        }
    }

    Values measure(std::int64_t warm, std::int64_t length) {
        while (now < 5000 && !leader()) turn(false);
        const auto begin = now;
        while (now < begin + warm) turn(true);
        leaderCosts.clear();
        followerCosts.clear();
        minionCosts.clear();
        counts.clear();
        plans.clear();
        records.clear();
        newsAt.clear();
        if (!leader()) return {};
        const Ledger before = leader()->committed();
        const auto epoch = leader()->agreed().epoch();
        const auto from = now;
        while (now < from + length) turn(true);
        if (!leader() || leader()->agreed().epoch() != epoch) return {};
        return summary(before, double(now - from) / 1000.0);
    }

private:
    struct Node {
        std::unique_ptr<Reservoir> core;
        std::optional<DiskVersion> writing;
        std::vector<std::string> inbox;
        std::vector<std::pair<ExchangeNumber, std::string>> exchanges;  // encoded, as they come in
    };
    struct Asker {
        std::size_t minion = 0;
        bool sync = false, patient = false;
        SyncReport report;
    };
    Reservoir* leader() {
        for (auto& node : nodes)
            if (node.core->agreed().serves()) return node.core.get();
        return nullptr;
    }
    static std::string bodyOf(const std::string& bytes) { return bytes.substr(16); }

    void ask(Exchange exchange, Asker asker) {
        const ExchangeNumber number{++lastExchange};
        ++counts[asker.sync ? "syncs" : exchange.ask == Ask::submitJob ? "submissions" : "looks"];
        std::string bytes;
        {
            Meter meter(minionCosts, "pack_exchange");
            bytes = encode(WireMessage{number.value, std::move(exchange)});
        }
        counts["exchange_bytes"] += double(bytes.size());
        askers.emplace(number, std::move(asker));
        for (auto& node : nodes)
            if (node.core->agreed().serves()) return void(node.exchanges.emplace_back(number, std::move(bytes)));
    }
    void sync(HollowMinion& minion, bool patient) {
        (patient ? minion.patientBusy : minion.urgentBusy) = true;
        Exchange exchange;
        exchange.ask = Ask::sync;
        exchange.id = minionNamed(minion.place).value;
        exchange.report = minion.report(patient, now);
        Asker asker{minion.place, true, patient, exchange.report};
        ask(std::move(exchange), std::move(asker));
    }
    void submit() {
        const auto queue = queueNamed(std::size_t(draw.between(0, std::int64_t(sizes.queues) - 1)));
        const std::string id = "job-0123456789-" + std::to_string(++lastJob);
        Exchange exchange;
        exchange.ask = Ask::submitJob;
        exchange.host = "jobs.example";
        exchange.path = "/" + queue.value + "/" + id;
        exchange.job = drawJob(draw, id, queue);
        jobs.push_back(exchange.job);
        jobById[JobId{id}] = &jobs.back();
        ask(exchange, {});
        exchange.ask = Ask::showPhase;
        exchange.job = {};
        for (std::int64_t look = 1; look <= 4; ++look) looks.emplace(now + look * 700, exchange);
    }
    void load() {
        owed += sizes.starts * double(tick) / 1000.0 / tasksPerJob;
        for (; owed >= 1; owed -= 1) submit();
        while (!looks.empty() && looks.begin()->first <= now) {
            ask(std::move(looks.begin()->second), {});
            looks.erase(looks.begin());
        }
        for (auto& minion : minions) {
            minion.run(now);
            if (!minion.patientBusy && (now / tick + std::int64_t(minion.place)) % 7 == 0) sync(minion, true);
            if (minion.urgent(now) && !minion.urgentBusy) sync(minion, false);
        }
    }
    void turn(bool loaded) {
        now += tick;
        if (loaded && leader()) load();
        for (auto& node : nodes) drive(node);
        follow();
    }
    void drive(Node& node) {
        Reservoir& core = *node.core;
        auto& costs = core.agreed().leads() ? leaderCosts : followerCosts;
        if (node.writing) {
            Meter meter(costs, "synced");
            core.synced(*node.writing, Instant{now});
            node.writing.reset();
        }
        for (auto& bytes : std::exchange(node.inbox, {})) {
            std::optional<WireMessage> message;
            {
                Meter meter(costs, "unpack_messages");
                const auto body = bodyOf(bytes);
                counts["crc"] += checksum(body) & 1;
                message = unpack<WireMessage>(body).value();
            }
            Meter meter(costs, "receive");
            core.receive(boost::get<PeerMessage>(message->body), Instant{now});
        }
        for (auto& [number, bytes] : std::exchange(node.exchanges, {})) {
            std::optional<WireMessage> message;
            {
                Meter meter(costs, "unpack_exchanges");
                const auto body = bodyOf(bytes);
                counts["crc"] += checksum(body) & 1;
                message = unpack<WireMessage>(body).value();
            }
            Meter meter(costs, "take");
            core.take(number, std::move(boost::get<Exchange>(message->body)), Instant{now});
        }
        if (core.agreed().serves() && sizes.starts > 0 && ++planTurn % 8 == 0) {
            const auto heard = heardNow(sizes);
            plans.push_back(timed([&] { shadow.make(core.committed(), core.committed().now, heard); }));
        }
        {
            Meter meter(costs, "step");
            core.step(Instant{now}, WallTime{now});
        }
        if (auto record = core.takeWrite()) {
            Meter meter(costs, "disk");
            const auto bytes = DataFolder::frame(pack(*record));
            counts[core.agreed().leads() ? "leader_disk_bytes" : "follower_disk_bytes"] += double(bytes.size());
            node.writing = record->version;
        }
        if (auto work = core.takeViewWork(); work.pack && core.agreed().leads()) ++counts["views"];
        for (auto& message : core.takeMessages()) {
            const auto to = std::size_t(message.to.value[1] - '0');
            std::string bytes;
            {
                Meter meter(costs, "pack_messages");
                bytes = encode(WireMessage{0, std::move(message)});
            }
            counts[core.agreed().leads() ? "leader_peer_bytes" : "follower_peer_bytes"] += double(bytes.size());
            later.emplace_back(to, std::move(bytes));
        }
        for (auto& [number, answer] : core.takeAnswers()) {
            std::string bytes;
            {
                Meter meter(costs, "pack_answers");
                bytes = encode(WireMessage{number.value, std::move(answer)});
            }
            counts["answer_bytes"] += double(bytes.size());
            answers.emplace_back(number, std::move(bytes));
        }
    }
    void follow() {
        for (auto& [to, bytes] : std::exchange(later, {})) nodes[to].inbox.push_back(std::move(bytes));
        for (auto& [number, bytes] : std::exchange(answers, {})) {
            auto found = askers.find(number);
            if (found == askers.end()) continue;
            const Asker asker = std::move(found->second);
            askers.erase(found);
            auto message = unpack<WireMessage>(bodyOf(bytes)).value();
            const auto& answer = boost::get<Answer>(message.body);
            if (!asker.sync) {
                if (answer.status >= 300) ++counts["status_" + std::to_string(answer.status)];
                continue;
            }
            HollowMinion& minion = minions[asker.minion];
            (asker.patient ? minion.patientBusy : minion.urgentBusy) = false;
            if (answer.status != 200) {
                ++counts["sync_status_" + std::to_string(answer.status)];
                continue;
            }
            if (auto told = unpack<SyncAnswer>(answer.body)) {
                minion.hear(asker.report, told.value(), jobById, draw, now);
                if (asker.patient) sync(minion, true);
            }
        }
        if (auto* core = leader())
            for (; nextCommitted <= core->agreed().commitIndex(); nextCommitted = nextCommitted.next())
                if (nextCommitted > core->agreed().viewIndex() && !core->agreed().entry(nextCommitted).members) {
                    records.push_back(core->agreed().entry(nextCommitted).payload);
                    newsAt.insert(now / planPeriod);
                }
    }

    // What a record costs is measured apart, by folding the run's own records once more.
    Values summary(const Ledger& before, double seconds) {
        Values values;
        const Ledger& after = leader()->committed();
        const double tasks = double(after.counters.starts - before.counters.starts), jobsDone = double(after.counters.finished + after.counters.failed - before.counters.finished - before.counters.failed);
        const double perTask = tasks > 0 ? 1.0 / tasks : 0;
        Ledger replayed = before;
        double unpacking = 0, packing = 0, bytes = 0;
        Values folds;
        Values kinds;
        static const char* const names[] = {"opened", "setup", "allowed", "cancelled", "fired", "forgotten", "seen", "synced", "leaves", "leave_over", "back", "silent", "gone", "plan", "named", "failed"};
        for (const auto& payload : records) {
            std::optional<Record> record;
            unpacking += timed([&] { record = unpack<Record>(payload).value(); });
            packing += timed([&] { bytes += double(pack(*record).size()); });
            const char* kind = names[record->event.which()];
            folds[kind] += timed([&] { replayed.fold(*record); });
            ++kinds[kind];
        }
        const double fold = std::accumulate(folds.begin(), folds.end(), 0.0, [](double sum, const auto& entry) { return sum + entry.second; });
        // A plan is made in each period in which there was anything new; what one costs was timed at every eighth step.
        const double plansMade = double(newsAt.size());
        const double planMean = plans.empty() ? 0 : std::accumulate(plans.begin(), plans.end(), 0.0) / double(plans.size());
        const double planning = plansMade * planMean;
        double all = 0;
        for (const auto& [name, cost] : leaderCosts) all += cost;
        double followers = 0;
        for (const auto& [name, cost] : followerCosts) followers += cost / 2;
        const double other = leaderCosts["step"] - planning - 2 * fold - packing;
        auto share = [&](const std::string& name, double cost) {
            if (tasks > 0) values[name + "_us_per_task"] = cost * perTask;
            values[name + "_percent"] = cost / seconds / 1e4;
        };
        share("leader", all);
        share("follower", followers);
        share("leader.plan", planning);
        share("leader.fold_working", fold);
        share("leader.fold_committed", fold);
        share("follower.read_records", unpacking);
        share("leader.pack_records", packing);
        share("leader.passes", other);
        for (const auto& [name, cost] : leaderCosts)
            if (name != "step") share("leader." + name, cost);
        for (const auto& [name, cost] : followerCosts) share("follower." + name, cost / 2);
        share("asker.pack_exchange", minionCosts["pack_exchange"]);
        for (const auto& [kind, cost] : folds) {
            if (kinds[kind] >= 10) values["fold." + kind + "_us"] = cost / kinds[kind];
            values["records." + kind + "_per_s"] = kinds[kind] / seconds;
        }
        values["plan_us"] = planMean;
        values["plans_per_s"] = plansMade / seconds;
        values["tasks_per_s"] = tasks / seconds;
        values["jobs_per_s"] = jobsDone / seconds;
        if (jobsDone > 0) values["leader_us_per_job"] = all / jobsDone;
        values["record_bytes_per_s"] = bytes / seconds;
        counts.erase("crc");
        for (const auto& [name, count] : counts) values[name + "_per_s"] = count / seconds;
        values["step_us"] = leaderCosts["step"] / (seconds * 1000.0 / double(tick));
        return values;
    }

    Sizes sizes;
    Draw draw;
    std::int64_t tick, now = 0;
    Ledger preset;
    std::vector<Node> nodes;
    std::vector<HollowMinion> minions;
    std::deque<JobSubmission> jobs;
    std::map<JobId, const JobSubmission*> jobById;
    std::multimap<std::int64_t, Exchange> looks;
    std::map<ExchangeNumber, Asker> askers;
    std::vector<std::pair<std::size_t, std::string>> later;
    std::vector<std::pair<ExchangeNumber, std::string>> answers;
    std::vector<std::string> records;
    LogIndex nextCommitted;
    std::set<std::int64_t> newsAt;  // periods in which records were committed
    Planner shadow;
    std::vector<double> plans;
    std::size_t planTurn = 0;
    Values leaderCosts, followerCosts, minionCosts, counts;
    std::uint64_t lastExchange = 0, lastJob = 0;
    double owed = 0;
};

Values measurePlan(const Sizes& sizes, std::uint64_t seed) {
    const Ledger ledger = presetLedger(sizes, Draw(seed));
    const auto heard = heardNow(sizes);
    Planner planner;
    Values values;
    planner.make(Ledger{}, ClusterTime{0}, heard);
    planner.make(presetLedger(Sizes{}, Draw(1)), ClusterTime{0}, heard);
    values["plan_us"] = timed([&] { planner.make(ledger, ClusterTime{5000}, heard); });
    values["next_due_us"] = timed([&] { Planner::nextDue(ledger, ClusterTime{5000}); });
    return values;
}

// One gang, and room for it: the plan that starts it.
Values measureGang(const Sizes& sizes, std::uint64_t seed) {
    Ledger ledger = presetLedger(sizes, Draw(seed));
    JobSubmission job;
    job.id = JobId{"gang"};
    job.queue = queueNamed(0);
    job.steps = {{"together", {}, true, std::vector<TaskRequest>(sizes.gang, TaskRequest{taskCores, 64, Span{6000}, ""})}};
    const auto heard = heardNow(sizes);
    Planner planner;
    Values values;
    planner.make(ledger, ClusterTime{5000}, heard);
    values["plan_without_us"] = timed([&] { planner.make(ledger, ClusterTime{5000}, heard); });
    ledger.fold(Record{ClusterTime{5000}, JobAllowed{job}});
    Plan plan;
    values["plan_us"] = timed([&] { plan = planner.make(ledger, ClusterTime{5000}, heard); });
    values["parts_started"] = double(plan.made.actions.size());
    values["fold_us"] = timed([&] { ledger.fold(Record{ClusterTime{5000}, plan.made}); });
    return values;
}

Values measureState(const Sizes& sizes, std::uint64_t seed) {
    Values values;
    const double empty = heapBytes();
    const Ledger ledger = presetLedger(sizes, Draw(seed));
    const double once = heapBytes();
    std::optional<Ledger> copy;
    values["copy_ms"] = timed([&] { copy = ledger; }) / 1000;
    values["ledger_bytes"] = heapBytes() - once;
    values["heap_bytes_after_folding"] = once - empty;
    copy.reset();
    std::string packed;
    values["view_pack_ms"] = timed([&] { packed = pack(ledger); }) / 1000;
    values["view_bytes"] = double(packed.size());
    values["view_read_ms"] = timed([&] { copy = unpack<Ledger>(packed).value(); }) / 1000;
    copy.reset();
    {
        DiskRecord record;
        record.version = DiskVersion{1};
        record.whole = true;
        record.epoch = Epoch{1};
        const Member self{ReservoirId{"r0"}, Address{"r0:1"}, AreaName{"area0"}, true};
        record.view = LogView{LogIndex{1}, Epoch{1}, {self}, packed};
        record.first = LogIndex{2};
        const double before = heapBytes();
        Reservoir core(self, {}, seed, {record}, Instant{0});
        core.takeViewWork();
        values["follower_heap_bytes"] = heapBytes() - before;  // one ledger and the view it came from; a leader has one ledger more
    }
    {
        Ledger changed = ledger;
        const Record seen{changed.now, MinionSeen{MinionId{"another"}, Incarnation{1}, capacityOf(sizes, sizes.minions)}};
        values["fold_seen_us"] = timed([&] { changed.fold(seen); });
    }
    // An ending that is closed already is looked for among all attempts; so is a job that settles.
    const RunName closed{JobId{"running-0"}, 0, 0, 0, 99};
    values["closed_ending_us"] = timed([&] { for (int round = 0; round < 20; ++round) ledger.attemptNamed(minionNamed(0), closed); }) / 20;
    values["attempts_of_job_us"] = timed([&] { for (int round = 0; round < 20; ++round) ledger.attemptsOf(JobId{"running-0"}, false); }) / 20;
    return values;
}

Values measureSetup(const Sizes& sizes, std::uint64_t) {
    Values values;
    const std::string text = setupText(sizes.queues, 1);
    values["text_bytes"] = double(text.size());
    Setup setup;
    values["parse_us"] = timed([&] { setup = Setup::parse(text).value(); });
    setup.version = SetupVersion{2};
    std::string packed;
    values["pack_us"] = timed([&] { packed = pack(Record{ClusterTime{0}, SetupTaken{setup}}); });
    values["record_bytes"] = double(packed.size());
    values["read_us"] = timed([&] { unpack<Record>(packed).value(); });
    Ledger ledger = presetLedger(Sizes{11, 0, 0, 0, sizes.queues, 7, 0, 10}, Draw(1));
    Planner planner;
    const auto heard = heardNow(Sizes{11});
    planner.make(ledger, ClusterTime{2000}, heard);
    values["fold_us"] = timed([&] { ledger.fold(Record{ClusterTime{2000}, SetupTaken{setup}}); });
    values["compile_us"] = timed([&] { planner.make(ledger, ClusterTime{2000}, heard); });
    values["entrance_us"] = timed([&] { for (int round = 0; round < 100; ++round) setup.entrance("jobs.example", "/team-3/job-1"); }) / 100;
    return values;
}

Values measureRoute(const Sizes& sizes, std::uint64_t seed) {
    Values values;
    DiskRecord record;
    record.version = DiskVersion{1};
    record.whole = true;
    record.epoch = Epoch{1};
    const Member self{ReservoirId{"r0"}, Address{"r0:1"}, AreaName{"area0"}, true};
    record.view = LogView{LogIndex{1}, Epoch{1}, {self}, pack(presetLedger(Sizes{11, 0, 0, 0, sizes.queues, 0, 0, 10}, Draw(seed)))};
    record.first = LogIndex{2};
    Reservoir core(self, {}, seed, {record}, Instant{0});
    for (std::size_t sluice = 0; sluice < sizes.sluices; ++sluice)
        core.noteSluice({Address{"10.0." + std::to_string(sluice / 250) + "." + std::to_string(sluice % 250) + ":8080"}, AreaName{"area" + std::to_string(sluice % 3)}}, Instant{0});
    std::string bytes;
    constexpr int rounds = 200;
    values["tell_us"] = timed([&] {
        for (int round = 0; round < rounds; ++round) {
            RouteTell told;
            told.view = core.route(Instant{100});
            bytes = encode(WireMessage{1, told});
        }
    }) / rounds;
    values["tell_bytes"] = double(bytes.size());
    RouteView view;
    values["take_us"] = timed([&] {
        for (int round = 0; round < rounds; ++round) {
            auto message = unpack<WireMessage>(bytes.substr(16)).value();
            view.takeNewer(std::move(boost::get<RouteTell>(message.body).view));
        }
    }) / rounds;
    return values;
}

// What a sluice does with an exchange besides HTTP: reads the caller's JSON, packs it, unpacks the answer.
Values measureSluice(const Sizes&, std::uint64_t seed) {
    Values values;
    Draw draw(seed);
    constexpr int rounds = 300;
    std::vector<std::string> bodies, packed;
    for (int round = 0; round < rounds; ++round) bodies.push_back(renderJob(drawJob(draw, "job-" + std::to_string(round), queueNamed(0))));
    std::vector<Exchange> exchanges;
    values["parse_submission_us"] = timed([&] { for (const auto& body : bodies) exchanges.push_back(Exchange::parse("POST", "/v1/jobs", body).value()); }) / rounds;
    values["pack_submission_us"] = timed([&] { for (const auto& exchange : exchanges) packed.push_back(encode(WireMessage{1, exchange})); }) / rounds;
    values["submission_bytes"] = std::accumulate(packed.begin(), packed.end(), 0.0, [](double sum, const auto& bytes) { return sum + double(bytes.size()); }) / rounds;
    Exchange look;
    look.ask = Ask::showPhase;
    look.host = "jobs.example";
    look.path = "/team-0/job-0123456789-1";
    std::string bytes;
    values["pack_look_us"] = timed([&] { for (int round = 0; round < rounds; ++round) bytes = encode(WireMessage{1, look}); }) / rounds;
    values["look_bytes"] = double(bytes.size());
    const std::string answer = encode(WireMessage{1, Answer::of(202, {{"id", json("job-0123456789-1")}, {"accepted", json(true)}})});
    values["unpack_answer_us"] = timed([&] { for (int round = 0; round < rounds; ++round) unpack<WireMessage>(answer.substr(16)).value(); }) / rounds;
    values["answer_bytes"] = double(answer.size());
    return values;
}

// One penstock, its minion hollow, its leader a script that orders the next task when one is closed.
Values measurePenstock(const Sizes& sizes, std::uint64_t seed) {
    Values values;
    Draw draw(seed);
    const double empty = heapBytes();
    auto core = std::make_unique<Penstock>(PenstockOptions{});
    MinionAccount account;
    account.life = minionNamed(0);
    account.capacity = capacityOf(Sizes{}, 0);
    std::int64_t now = 1000, taskNumber = 0;
    account.clock = MinionTime{now};
    core->known(account, Instant{now});
    struct Task {
        RunName name;
        std::int64_t ends;
    };
    std::vector<Task> tasks;
    std::vector<MinionReply::Ended> ended;
    std::optional<std::pair<MinionCall, std::int64_t>> look;
    std::uint64_t endings = 0, order = 0;
    double core_us = 0, pack_us = 0, tasksDone = 0, calls = 0, syncs = 0, sentBytes = 0, tookBytes = 0, measuredFrom = 0, peakHeap = 0;
    bool measuring = false;
    Instant patientUntil{0};
    std::size_t open = 0;
    auto sync = [&](bool patient) {
        SyncReport report;
        core_us += timed([&] { report = core->report(Instant{now}); });
        Exchange exchange;
        exchange.ask = Ask::sync;
        exchange.id = report.id.value;
        exchange.report = report;
        exchange.report.wait = Span{patient ? 1000 : 0};
        std::string bytes;
        pack_us += timed([&] { bytes = encode(WireMessage{1, exchange}); });
        sentBytes += double(bytes.size());
        ++syncs;
        SyncAnswer answer;
        answer.epoch = Epoch{2};
        answer.term = Span{3000};
        answer.closed = std::uint32_t(report.namedEndings.size());
        open -= std::min<std::size_t>(open, answer.closed);
        tasksDone += answer.closed;
        for (; open < sizes.running; ++open) {
            Order next;
            next.number = OrderNumber{++order};
            next.job = JobId{"job-0123456789-" + std::to_string(taskNumber / 30)};
            next.within = std::uint32_t(taskNumber % 30);
            next.run = 1;
            next.runtime = Span{sizes.starts > 0 ? drawRuntime(draw) : 3'600'000};
            next.payload = R"({"work":"separation","plate":"cyan"})";
            ++taskNumber;
            answer.orders.push_back(std::move(next));
        }
        Answer packedAnswer;
        packedAnswer.body = pack(answer);
        bytes = encode(WireMessage{1, packedAnswer});
        tookBytes += double(bytes.size());
        pack_us += timed([&] {
            auto message = unpack<WireMessage>(bytes.substr(16)).value();
            answer = unpack<SyncAnswer>(boost::get<Answer>(message.body).body).value();
        });
        core_us += timed([&] { core->answered(report, answer, Instant{now - 2}, Instant{now}); });
    };
    const std::int64_t warm = 4000, length = 20'000;
    while (now < 1000 + warm + length) {
        now += 5;
        if (!measuring && now >= 1000 + warm) {
            measuring = true;
            measuredFrom = double(now);
            core_us = pack_us = tasksDone = calls = syncs = sentBytes = tookBytes = 0;
        }
        std::erase_if(tasks, [&](const Task& task) {
            if (task.ends > now) return false;
            ended.push_back({++endings, task.name, draw.chance(0.05) ? EndingKind::failed : EndingKind::finished, ""});
            return true;
        });
        auto answerLook = [&] {
            MinionReply reply;
            reply.kind = MinionReply::Kind::done;
            reply.clock = MinionTime{now};
            std::erase_if(ended, [&](const auto& ending) { return ending.number <= look->first.lastSeen; });
            for (const auto& task : tasks) reply.active.push_back({task.name, ""});
            reply.ended = ended;
            core_us += timed([&] { core->replied(look->first, reply, Instant{now}); });
            look.reset();
        };
        if (look && (now >= look->second || (!ended.empty() && ended.back().number > look->first.lastSeen))) answerLook();
        std::vector<MinionCall> made;
        core_us += timed([&] {
            made = core->takeCalls(Instant{now});
            core->nextDue(Instant{now});
        });
        for (auto& call : made) {
            ++calls;
            if (call.kind == MinionCall::Kind::look) {
                look = {call, now + call.wait.milliseconds};
                if (call.wait.milliseconds == 0) answerLook();
                continue;
            }
            if (call.kind == MinionCall::Kind::start) {
                const auto name = call.name;
                tasks.push_back({name, now + (sizes.starts > 0 ? drawRuntime(draw) : 3'600'000)});
            }
            MinionReply reply;
            reply.kind = MinionReply::Kind::done;
            reply.clock = MinionTime{now};
            core_us += timed([&] { core->replied(call, reply, Instant{now}); });
        }
        bool urgent = false;
        core_us += timed([&] { urgent = core->urgent(Instant{now}); });
        if (urgent) sync(false);
        else if (Instant{now} >= patientUntil) {
            sync(true);
            patientUntil = Instant{now + 1000};
        }
        if (measuring && now % 500 == 0) peakHeap = std::max(peakHeap, heapBytes() - empty);
    }
    const double seconds = (double(now) - measuredFrom) / 1000;
    values["core_percent"] = core_us / seconds / 1e4;
    values["pack_percent"] = pack_us / seconds / 1e4;
    if (tasksDone > 0) {
        values["core_us_per_task"] = core_us / tasksDone;
        values["pack_us_per_task"] = pack_us / tasksDone;
        values["calls_per_task"] = calls / tasksDone;
        values["syncs_per_task"] = syncs / tasksDone;
    }
    values["tasks_per_s"] = tasksDone / seconds;
    values["calls_per_s"] = calls / seconds;
    values["syncs_per_s"] = syncs / seconds;
    values["sent_bytes_per_s"] = sentBytes / seconds;
    values["taken_bytes_per_s"] = tookBytes / seconds;
    values["heap_bytes"] = peakHeap;
    return values;
}

class Gauge {
public:
    std::int64_t repeats = 3, seed = 1, budget = 230, tick = 5, length = 4000;
    std::string only;
    std::size_t points = 0;

    void point(const char* part, const char* grows, const Sizes& sizes, const std::function<Values(const Sizes&, std::uint64_t)>& measure) {
        if (!only.empty() && only != part) return;
        ++points;
        picojson::object shown{{"part", json(part)}, {"grows", json(grows)}, {"sizes", json(sizes.shown())}};
        if (spent() > double(budget) * 1e6) {
            shown["skipped"] = json("the budget of processor time is used up");
            std::cout << json(shown).serialize() << "\n";
            return;
        }
        const double begun = spent();
        std::map<std::string, std::vector<double>> all;
        std::int64_t failed = 0;
        for (std::int64_t round = 0; round < repeats; ++round) {
            const auto values = measure(sizes, std::uint64_t(seed + round));
            failed += values.empty();
            for (const auto& [name, value] : values) all[name].push_back(value);
        }
        std::string median, spread;
        for (auto& [name, values] : all) {
            std::sort(values.begin(), values.end());
            const auto add = [&name = name](std::string& shown, double value) {
                char text[160];
                std::snprintf(text, sizeof text, "%s\"%s\":%.*g", shown.empty() ? "" : ",", name.c_str(), std::abs(value) >= 10'000 ? 8 : 4, value);
                shown += text;
            };
            add(median, values[values.size() / 2]);
            add(spread, values.back() - values.front());
        }
        shown["repeats"] = json(repeats);
        shown["took_ms"] = json(std::round((spent() - begun) / 1000));
        if (failed) shown["runs_without_a_steady_leader"] = json(failed);
        std::string line = json(shown).serialize();
        line.pop_back();
        std::cout << line << ",\"median\":{" << median << "},\"spread\":{" << spread << "}}" << std::endl;
    }
    void run() {
        auto flow = [this](const Sizes& sizes, std::uint64_t draw) { return Cluster(sizes, draw, tick).measure(1500, length); };
        auto with = [](auto change) {
            Sizes sizes;
            change(sizes);
            return sizes;
        };
        for (double starts : {50, 150, 500, 1500}) point("flow", "starts", with([&](Sizes& sizes) { sizes.starts = starts; }), flow);
        for (std::size_t minions : {11, 60, 250, 1000, 2000}) point("flow", "minions", with([&](Sizes& sizes) { sizes.minions = minions; }), flow);
        for (std::size_t running : {100, 1000, 10'000}) point("flow", "running", with([&](Sizes& sizes) { sizes.running = running; }), flow);
        for (std::size_t waiting : {100, 1000, 10'000}) point("flow", "waiting", with([&](Sizes& sizes) { sizes.waiting = waiting; }), flow);
        for (std::size_t kept : {1000, 5000, 20'000}) point("flow", "kept", with([&](Sizes& sizes) { sizes.kept = kept; }), flow);
        for (std::size_t queues : {10, 100, 830}) point("flow", "queues", with([&](Sizes& sizes) { sizes.queues = queues; }), flow);
        for (std::size_t minions : {11, 250, 2000}) point("idle", "minions", with([&](Sizes& sizes) { sizes.minions = minions, sizes.starts = 0; }), flow);
        for (std::size_t running : {100, 1000, 10'000}) point("idle", "running", with([&](Sizes& sizes) { sizes.running = running, sizes.starts = 0; }), flow);
        for (std::size_t minions : {11, 60, 250, 1000, 2000}) point("plan", "minions", with([&](Sizes& sizes) { sizes.minions = minions, sizes.waiting = 100; }), measurePlan);
        for (std::size_t waiting : {100, 1000, 10'000}) point("plan", "waiting", with([&](Sizes& sizes) { sizes.waiting = waiting; }), measurePlan);
        for (std::size_t running : {100, 1000, 10'000}) point("plan", "running", with([&](Sizes& sizes) { sizes.running = running; }), measurePlan);
        for (std::size_t running : {100, 1000, 10'000}) point("plan", "running, one waits", with([&](Sizes& sizes) { sizes.running = running, sizes.waiting = 1; }), measurePlan);
        for (std::size_t gang : {14, 46, 128}) point("gang", "gang", with([&](Sizes& sizes) { sizes.minions = 1800, sizes.gang = gang; }), measureGang);
        for (std::size_t minions : {60, 250, 1000}) point("gang", "minions", with([&](Sizes& sizes) { sizes.minions = minions, sizes.gang = 128; }), measureGang);
        for (std::size_t kept : {1000, 10'000, 50'000}) point("state", "kept", with([&](Sizes& sizes) { sizes.kept = kept; }), measureState);
        for (std::size_t running : {1000, 10'000, 100'000}) point("state", "running", with([&](Sizes& sizes) { sizes.running = running; }), measureState);
        for (std::size_t waiting : {100, 1000, 10'000}) point("state", "waiting", with([&](Sizes& sizes) { sizes.waiting = waiting; }), measureState);
        for (std::size_t minions : {60, 1000, 18'000}) point("state", "minions", with([&](Sizes& sizes) { sizes.minions = minions; }), measureState);
        for (std::size_t queues : {10, 100, 830}) point("setup", "queues", with([&](Sizes& sizes) { sizes.queues = queues; }), measureSetup);
        for (std::size_t sluices : {7, 40, 160}) point("route", "sluices", with([&](Sizes& sizes) { sizes.sluices = sluices; }), measureRoute);
        for (std::size_t queues : {10, 100, 830}) point("route", "queues", with([&](Sizes& sizes) { sizes.queues = queues; }), measureRoute);
        point("sluice", "nothing", Sizes{}, measureSluice);
        for (std::size_t running : {8, 26, 128}) point("penstock", "running", with([&](Sizes& sizes) { sizes.running = running; }), measurePenstock);
        for (std::size_t running : {8, 26, 128}) point("penstock", "running, none ends", with([&](Sizes& sizes) { sizes.running = running, sizes.starts = 0; }), measurePenstock);
    }
};

}  // namespace

int main(int count, char** values) {
    Gauge gauge;
    Sizes one;
    bool single = false;
    std::int64_t minions = 60, kept = 0, waiting = 0, running = 0, queues = 10, starts = 100;
    OptionSet options("gauge", "processor time and memory of each role on the core alone, as JSON lines: medians and spreads (most less least)");
    options.text("part", gauge.only, "only this part: flow, idle, plan, gang, state, setup, route, sluice or penstock");
    options.whole("repeats", gauge.repeats, "how often each is measured", 1, 100);
    options.whole("seed", gauge.seed, "the first seed; each repeat takes the next", 0, 1'000'000'000);
    options.whole("budget-s", gauge.budget, "processor time past which the rest is left out, and said to be", 1, 86'400);
    options.whole("tick-ms", gauge.tick, "virtual time between two steps of a reservoir", 1, 20);
    options.whole("length-ms", gauge.length, "virtual time measured of a flow", 500, 3'600'000);
    options.flag("one", single, "measure one flow of the sizes given below only");
    options.whole("minions", minions, "of that flow", 1, 100'000);
    options.whole("jobs-kept", kept, "of that flow", 0, 1'000'000);
    options.whole("tasks-waiting", waiting, "of that flow", 0, 1'000'000);
    options.whole("tasks-running", running, "of that flow, beside those it starts", 0, 1'000'000);
    options.whole("queues", queues, "of that flow", 1, 2000);
    options.whole("starts", starts, "of that flow, a second", 0, 100'000);
    options.read(count, values);
    if (single) {
        one.minions = std::size_t(minions), one.kept = std::size_t(kept), one.waiting = std::size_t(waiting), one.running = std::size_t(running);
        one.queues = std::size_t(queues), one.starts = double(starts);
        gauge.only.clear();
        gauge.point("flow", "nothing", one, [&](const Sizes& sizes, std::uint64_t draw) { return Cluster(sizes, draw, gauge.tick).measure(1500, gauge.length); });
    } else gauge.run();
    if (!gauge.points) {
        std::cerr << "gauge: --part: there is no part " << gauge.only << "\n";
        return 2;
    }
    return 0;
}
