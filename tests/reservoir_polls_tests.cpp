// A waiting sync is answered in the very step in which anything gives it an answer, and never before. docs/design.md 5.2, 5.8, 8.2.
#include "reservoir.hpp"
#include <CppUTest/TestHarness.h>

using namespace aniseline;

namespace {

// One reservoir of a cluster of one, random minions and jobs; each open sync is weighed anew after each step, by a walk.
struct PollWorld {
    struct Hollow {
        MinionId id;
        Incarnation incarnation{1};
        bool packed = false, seen = false;
        OrderNumber received, applied;
        std::vector<Order> running;
        std::vector<NamedEnding> named;
        std::vector<Ending> endings;
    };
    struct Open {
        SyncReport report;
        std::size_t minion = 0;
        Instant at, until;
    };
    Draw draw;
    std::unique_ptr<Reservoir> core;
    std::vector<Hollow> minions;
    std::map<ExchangeNumber, Open> open;
    std::map<MinionId, std::pair<OrderNumber, Instant>> sent;
    Instant now{0};
    std::uint64_t lastExchange = 0, jobs = 0, incarnations = 1;
    std::uint64_t withOrders = 0, inTime = 0, gone = 0, replaced = 0, heldBack = 0;

    explicit PollWorld(std::uint64_t seed) : draw(seed) {
        const Member self{ReservoirId{"r"}, Address{"r:1"}, AreaName{"x"}, true};
        Ledger ledger;
        auto setup = Setup::parse(R"({"queues":{"q":{"retries":3}},"planner":{"period_ms":20}})");
        setup.value().version = SetupVersion{1};
        ledger.fold(Record{ClusterTime{1}, SetupTaken{setup.value()}});
        DiskRecord record;
        record.version = DiskVersion{1};
        record.whole = true;
        record.epoch = Epoch{1};
        record.view = LogView{LogIndex{1}, Epoch{1}, {self}, pack(ledger)};
        record.first = LogIndex{2};
        core = std::make_unique<Reservoir>(self, ReservoirOptions{}, seed, std::vector<DiskRecord>{record}, now);
        for (int place = 0; place < 6; ++place) {
            Hollow minion;
            minion.id = MinionId{"minion" + std::to_string(place)};
            minion.packed = place % 3 != 0;
            minions.push_back(minion);
        }
        while (!core->agreed().serves()) step();
    }
    Exchange syncOf(std::size_t place) {
        Hollow& minion = minions[place];
        Exchange exchange;
        exchange.ask = Ask::sync;
        exchange.id = minion.id.value;
        SyncReport& report = exchange.report;
        report.id = minion.id;
        report.incarnation = minion.incarnation;
        report.capacity.cores = 2000;
        report.capacity.memory = 4096;
        report.capacity.honoursTerms = true;
        report.lastOrder = minion.applied;
        report.packed = minion.packed;
        report.received = minion.packed ? minion.received : OrderNumber{};
        report.wait = Span{draw.chance(0.6) ? draw.between(50, 1500) : 0};
        report.namedEndings = minion.named;
        report.endings = minion.endings;
        report.deaf = minion.packed && draw.chance(0.03);
        return exchange;
    }
    void sync(std::size_t place) {
        Hollow& minion = minions[place];
        if (std::count_if(open.begin(), open.end(), [&](const auto& other) { return other.second.minion == place; }) >= 3) return;
        Exchange exchange = syncOf(place);
        const SyncReport& report = exchange.report;
        const bool prompt = !minion.seen || !report.endings.empty() || !report.namedEndings.empty();
        minion.seen = true;
        const Instant taken = now + Span{5};  // the next step
        if (!report.packed || report.wait.milliseconds)
            for (auto& [number, other] : open)
                if (other.minion == place) {
                    replaced += other.until > taken;
                    other.until = std::min(other.until, taken);
                }
        const ExchangeNumber number{++lastExchange};
        open.emplace(number, Open{report, place, taken, prompt ? taken : taken + std::min(report.wait, Span{1000})});
        core->take(number, std::move(exchange), now);
    }
    void ask(Ask kind, const std::string& id) {
        Exchange exchange;
        exchange.ask = kind;
        exchange.id = id;
        core->take(ExchangeNumber{++lastExchange}, std::move(exchange), now);
    }
    void submit() {
        Exchange exchange;
        exchange.ask = Ask::submitJob;
        exchange.job.id = JobId{"job" + std::to_string(++jobs)};
        exchange.job.queue = QueueName{"q"};
        exchange.job.steps = {{"s", {}, draw.chance(0.2), std::vector<TaskRequest>(std::size_t(draw.between(1, 4)), TaskRequest{500, 64, Span{draw.between(50, 3000)}, ""})}};
        core->take(ExchangeNumber{++lastExchange}, std::move(exchange), now);
    }
    // Is there any order past what this sync, or a penstock's other one of late, was told of?
    bool hasOrders(const Open& sync, bool withSent) const {
        const auto& report = sync.report;
        OrderNumber known = report.packed ? std::max(report.lastOrder, report.received) : report.lastOrder;
        auto other = sent.find(report.id);
        if (withSent && report.packed && report.received.value && other != sent.end() && now - other->second.second < Span{500}) known = std::max(known, other->second.first);
        const auto& orders = core->committed().minions.at(report.id).orders;
        return std::any_of(orders.begin(), orders.end(), [&](const Order& order) { return order.number > known; });
    }
    bool due(const Open& sync) const {
        if (now - sync.at >= Span{3000}) return true;
        auto found = core->committed().minions.find(sync.report.id);
        if (found == core->committed().minions.end()) return false;
        return found->second.incarnation != sync.report.incarnation || now >= sync.until || hasOrders(sync, true);
    }
    void heard(const Open& sync, const Answer& answer) {
        Hollow& minion = minions[sync.minion];
        if (answer.status == 410) {
            ++gone;
            return;
        }
        LONGS_EQUAL(200, answer.status);
        auto told = sync.report.packed ? unpack<SyncAnswer>(answer.body) : SyncAnswer::parse(answer.body);
        CHECK(told.has_value());
        ++(told.value().orders.empty() ? inTime : withOrders);
        if (sync.report.packed && !told.value().orders.empty()) sent[sync.report.id] = {told.value().orders.back().number, now};
        if (sync.report.incarnation != minion.incarnation || draw.chance(0.1)) return;  // or the answer is lost
        for (std::uint32_t closed = 0; closed < told.value().closed; ++closed)
            std::erase_if(minion.named, [&](const auto& ending) { return ending.name == sync.report.namedEndings[closed].name; });
        std::erase_if(minion.endings, [&](const auto& ending) { return std::count(told.value().confirmed.begin(), told.value().confirmed.end(), ending.attempt); });
        for (const auto& order : told.value().orders) {
            if (order.number <= minion.received) continue;
            minion.received = order.number;
            if (order.kind == OrderKind::start || order.kind == OrderKind::stage) minion.running.push_back(order);
            if (order.kind == OrderKind::stop) finish(minion, order.attempt, EndingKind::stopped);
        }
        if (draw.chance(0.7)) minion.applied = minion.received;
    }
    void finish(Hollow& minion, AttemptNumber attempt, EndingKind kind) {
        auto found = std::find_if(minion.running.begin(), minion.running.end(), [&](const Order& order) { return order.attempt == attempt; });
        if (found == minion.running.end()) return;
        if (minion.packed) minion.named.push_back({RunName::of(*found), kind});
        else minion.endings.push_back({attempt, kind});
        minion.running.erase(found);
    }
    void step() {
        now = now + Span{5};
        core->step(now, WallTime{now.milliseconds});
        for (auto& [number, answer] : core->takeAnswers()) {
            auto found = open.find(number);
            if (found == open.end()) continue;
            CHECK_TEXT(due(found->second), "answered too early");
            const Open sync = found->second;
            open.erase(found);
            heard(sync, answer);
        }
        const bool settled = core->agreed().commitIndex() == core->agreed().last();
        for (const auto& [number, sync] : open) {
            if (!settled || now - sync.at < Span{20}) continue;
            CHECK_TEXT(!due(sync), "not answered, though it could be");
            heldBack += hasOrders(sync, false);
        }
        auto write = core->takeWrite();
        core->takeMessages();
        core->takeViewWork();
        if (write && !draw.chance(0.1)) core->synced(write->version, now);
        else if (write) late = write->version;
        else if (late) core->synced(*std::exchange(late, std::nullopt), now);
    }
    std::optional<DiskVersion> late;
    void turn() {
        for (std::size_t place = 0; place < minions.size(); ++place) {
            Hollow& minion = minions[place];
            if (!minion.running.empty() && draw.chance(0.03)) finish(minion, minion.running.front().attempt, draw.chance(0.8) ? EndingKind::finished : EndingKind::failed);
            if (draw.chance(0.04)) sync(place);
        }
        if (draw.chance(0.05)) submit();
        if (draw.chance(0.005)) ask(Ask::cancelJob, "job" + std::to_string(draw.between(1, std::int64_t(jobs) + 1)));
        if (draw.chance(0.008)) {
            Hollow& minion = minions[std::size_t(draw.between(0, std::int64_t(minions.size()) - 1))];
            ask(Ask::declareGone, minion.id.value);
            step();
            minion.incarnation = Incarnation{++incarnations};
            minion.received = minion.applied = OrderNumber{};
            minion.seen = false;
            minion.running.clear();
            minion.named.clear();
            minion.endings.clear();
        }
        step();
    }
};

}  // namespace

TEST_GROUP(ReservoirPolls){};

TEST(ReservoirPolls, areAnsweredWhenThereIsAnAnswer) {
    std::uint64_t withOrders = 0, inTime = 0, gone = 0, replaced = 0, heldBack = 0;
    for (std::uint64_t seed = 1; seed <= 6; ++seed) {
        PollWorld world(seed);
        for (int turn = 0; turn < 3000; ++turn) world.turn();
        withOrders += world.withOrders, inTime += world.inTime, gone += world.gone, replaced += world.replaced, heldBack += world.heldBack;
    }
    CHECK(withOrders > 200);
    CHECK(inTime > 200);
    CHECK(gone > 5);
    CHECK(replaced > 100);
    CHECK(heldBack > 20);
}
