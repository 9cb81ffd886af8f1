// waterwheel: a stand-in minion, on the minion library or called by a penstock. Its tasks are timers. docs/operations.md 7.
#include "called_hand.hpp"
#include "client.hpp"
#include "edge/history.hpp"
#include "edge/log.hpp"
#include "edge/minion_words.hpp"
#include "edge/options.hpp"
#include "edge/stopping.hpp"
#include <iostream>

using namespace aniseline;

namespace {

struct Settings {
    std::string id, area, rack, witness, from;
    std::vector<Address> sluices;
    std::int64_t cores = 16, memory = 32 * 1024, seed = 1, leaveWithin = 2000;
    double slow = 1, fail = 0;
    bool unguarded = false, termless = false, quiet = false, called = false;
    Address listen, penstock;
};

// What the two ways of working need of each other's options.
std::string faultOf(const Settings& settings) {
    if (!settings.called) return settings.sluices.empty() ? "--sluices: is missing" : "";
    if (settings.listen.value.empty()) return "--listen: is missing";
    if (settings.penstock.value.empty()) return "--penstock: is missing";
    return settings.termless ? "--termless: is no option of a minion that is called" : "";
}

// The tasks as timers, and the history of what really ran.
class Timers {
public:
    explicit Timers(const Settings& settings) : settings(settings), draw(std::uint64_t(settings.seed)), history(settings.witness) {
        // What an earlier process of this name ran ended with it.
        write(Witness::Kind::vanished, {});
        Witness witness;
        witness.kind = Witness::Kind::capacity;
        witness.minion = settings.id;
        witness.cores = std::uint32_t(settings.cores * 1000);
        witness.memory = std::uint64_t(settings.memory);
        witness.guards = !settings.unguarded;
        if (settings.termless) witness.detail = "termless";
        history.write(std::move(witness));
    }
    Capacity capacity() const {
        return Capacity{std::uint32_t(settings.cores * 1000), std::uint64_t(settings.memory), AreaName{settings.area}, settings.rack, !settings.termless, !settings.unguarded};
    }
    void write(Witness::Kind kind, const Order& order, std::string detail = {}) {
        Witness witness;
        witness.kind = kind;
        witness.minion = settings.id;
        if (order.attempt.value) {
            witness.job = order.job.value;
            witness.task = order.task;
            witness.attempt = std::to_string(order.attempt.value);
            witness.cores = order.cores;
            witness.memory = order.memory;
            witness.trial = order.quantum.milliseconds > 0;
        }
        witness.detail = std::move(detail);
        history.write(std::move(witness));
    }
    void follow(const HandEffect& effect) {
        auto found = tasks.find(effect.attempt);
        const Instant now = monotonicNow();
        if (effect.kind == HandEffect::Kind::start) {
            tasks[effect.attempt] = Running{effect.order, now, really(effect.order), true};
            write(Witness::Kind::started, effect.order);
        } else if (found == tasks.end()) return;
        else if (effect.kind == HandEffect::Kind::hold) {
            found->second.left = found->second.left - (now - found->second.since);
            found->second.active = false;
            write(Witness::Kind::held, found->second.order);
        } else if (effect.kind == HandEffect::Kind::resume) {
            found->second.since = now;
            found->second.active = true;
            write(Witness::Kind::resumed, found->second.order);
        } else {
            write(Witness::Kind::ended, found->second.order, found->second.order.quantum.milliseconds > 0 && spent(found->second, now) ? "ran_out" : "stopped");
            tasks.erase(found);
        }
    }
    std::vector<AttemptNumber> due() const {
        const Instant now = monotonicNow();
        std::vector<AttemptNumber> due;
        for (const auto& [attempt, task] : tasks)
            if (task.active && now - task.since >= task.left) due.push_back(attempt);
        return due;
    }
    // Whether it ended well.
    bool finish(AttemptNumber attempt) {
        const bool well = !draw.chance(settings.fail);
        write(Witness::Kind::ended, tasks[attempt].order, well ? "finished" : "failed");
        tasks.erase(attempt);
        return well;
    }
    [[noreturn]] void close() {
        log(LogLevel::info, "stopped");
        // Whatever still runs ends with this process.
        write(Witness::Kind::vanished, {});
        history.close();
        std::_Exit(0);
    }

private:
    struct Running {
        Order order;
        Instant since;
        Span left;
        bool active = true;
    };
    // A payload "run=250" says what the task really takes; else it takes what was requested.
    Span really(const Order& order) const {
        std::int64_t run = order.runtime.milliseconds;
        if (order.payload.starts_with("run=")) run = std::strtoll(order.payload.c_str() + 4, nullptr, 10);
        return Span{std::int64_t(double(run) * settings.slow)};
    }
    bool spent(const Running& task, Instant now) const {
        const Span ran = really(task.order) - task.left + (task.active ? now - task.since : Span{0});
        return ran >= task.order.quantum;
    }
    const Settings& settings;
    Draw draw;
    HistoryFile history;
    std::map<AttemptNumber, Running> tasks;
};

Incarnation drawnIncarnation() {
    std::random_device device;
    return Incarnation{((std::uint64_t(device()) << 32) | device()) | 1};
}

// A minion that calls sluices. docs/api.md 3.
class CallingMinion {
public:
    explicit CallingMinion(Settings given) : settings(std::move(given)), timers(settings) {}
    int run() {
        MinionHand::Options options;
        options.id = MinionId{settings.id};
        options.capacity = timers.capacity();
        client = std::make_unique<MinionClient>(loop, options, drawnIncarnation(), settings.sluices);
        client->confirmed.connect([this](const Order& order, EndingKind kind) { timers.write(Witness::Kind::confirmed, order, name(kind)); });
        client->rejected.connect([](const std::string& words) { log(LogLevel::warning, "the centre rejects this minion", {{"why", json(words)}}); });
        client->effect.connect([this](const HandEffect& effect) { timers.follow(effect); });
        std::atomic<bool> over{false};
        spawn([this, &over] { client->run(over); });
        StopSignal stop(loop);
        log(LogLevel::info, "started", {{"minion", json(settings.id)}});
        while (!stop.requested()) {
            pause(Span{2});
            finishDue();
        }
        // docs/operations.md 4: it says that it leaves, lets its work end for a while, then goes.
        client->leave(Span{settings.leaveWithin});
        timers.write(Witness::Kind::leaving, {});
        log(LogLevel::info, "leaving");
        const Instant until = monotonicNow() + Span{settings.leaveWithin + 1500};
        while (!client->hand().empty() && monotonicNow() < until) {
            pause(Span{2});
            finishDue();
        }
        pause(Span{200});
        over = true;
        timers.close();
    }

private:
    void finishDue() {
        for (auto attempt : timers.due()) {
            if (client->hand().lapsed()) return;  // held by a lapsed term: nothing ends now
            client->ended(attempt, timers.finish(attempt));
        }
    }
    Settings settings;
    Timers timers;
    Loop loop;
    std::unique_ptr<MinionClient> client;
};

// A minion that its penstock calls. docs/api.md 5.
class CalledMinion {
public:
    explicit CalledMinion(Settings given) : settings(std::move(given)), timers(settings), hand(options(), nextLife()) {}
    int run() {
        HttpServer server(loop, HttpLimits{64 * 1024, 50, Span{60'000}, Span{2000}}, [this](const HttpRequest& request) { return called(request); });
        if (auto listening = server.listen(settings.listen, false); !listening) {
            log(LogLevel::error, listening.error().text);
            return 1;
        }
        StopSignal stop(loop);
        log(LogLevel::info, "started", {{"minion", json(settings.id)}, {"life", json(hand.currentLife().value)}});
        spawn([this] {
            for (;; pause(Span{300})) account();
        });
        while (!stop.requested()) turn();
        // It says that it leaves; what runs may go on for a while, then it goes.
        leaving = true;
        timers.write(Witness::Kind::leaving, {});
        log(LogLevel::info, "leaving");
        const Instant until = monotonicNow() + Span{settings.leaveWithin + 1500};
        while ((!told || !hand.empty()) && monotonicNow() < until) turn();
        HttpClient client(loop);
        if (auto left = client.ask(settings.penstock, writeLeave(hand.currentLife()), Span{1500}); !left) log(LogLevel::warning, "the penstock was not told of the end", {{"why", json(left.error().text)}});
        hand.replaced(nextLife());
        deliver();
        timers.close();
    }

private:
    CalledHand::Options options() const {
        CalledHand::Options made;
        made.capacity = timers.capacity();
        made.capacity.honoursTerms = made.capacity.lapses = true;
        made.capacity.pauses = false;
        return made;
    }
    MinionId nextLife() const { return MinionId{settings.id + "." + std::to_string(drawnIncarnation().value)}; }
    MinionTime steadyNow() const { return MinionTime{monotonicNow().milliseconds}; }
    void deliver() {
        for (const auto& [order, kind] : hand.takeConfirmed()) timers.write(Witness::Kind::confirmed, order, name(kind));
        for (const auto& effect : hand.takeEffects()) timers.follow(effect);
    }
    void turn() {
        pause(Span{2});
        hand.tick(steadyNow());
        deliver();  // what the lapsed hold killed has no end of its own
        for (auto attempt : timers.due()) hand.ended(attempt, timers.finish(attempt), steadyNow());
    }
    Answer called(const HttpRequest& request) {
        auto call = readMinionCall(request);
        if (!call) return Answer::from(call.error());
        const Instant until = monotonicNow() + call.value().wait;
        auto reply = hand.take(call.value(), steadyNow());
        deliver();
        while (call.value().kind == MinionCall::Kind::look && reply.kind == MinionReply::Kind::done && reply.ended.empty() && monotonicNow() < until) {
            pause(Span{5});
            reply = hand.take(call.value(), steadyNow());
            deliver();
        }
        return writeMinionReply(call.value(), reply);
    }
    // Makes itself known. What it was told is over is over: it begins as another life.
    void account() {
        MinionAccount made{hand.currentLife(), options().capacity, leaving, Span{settings.leaveWithin}, steadyNow()};
        const bool says = leaving;
        auto answer = accounts.ask(settings.penstock, writeAccount(made), Span{1200});
        if (!answer || made.life != hand.currentLife()) return;
        if (answer.value().status == 200 && says) {
            told = true;
            hand.leave();
        }
        if (answer.value().status != 410) return;
        hand.replaced(nextLife());
        deliver();
        log(LogLevel::warning, "begins as another life", {{"life", json(hand.currentLife().value)}});
    }

    Settings settings;
    Timers timers;
    CalledHand hand;
    Loop loop;
    HttpClient accounts{loop};
    bool leaving = false, told = false;
};

}  // namespace

int main(int count, char** values) {
    Settings settings;
    OptionSet options("waterwheel", "a stand-in minion for aniseline");
    options.text("id", settings.id, "the minion's id", true);
    options.text("area", settings.area, "the area of this machine", true);
    options.text("rack", settings.rack, "the rack of this machine");
    options.addresses("sluices", settings.sluices, "outer addresses of sluices, for first contact");
    options.flag("called", settings.called, "a penstock calls it; it calls no sluice");
    options.address("listen", settings.listen, "where its penstock calls it");
    options.address("penstock", settings.penstock, "where it makes itself known to its penstock");
    options.text("from", settings.from, "the IP number to connect from, on a machine with several");
    options.whole("cores", settings.cores, "cores", 1, 65'536);
    options.whole("memory-mb", settings.memory, "memory", 1, 1'000'000'000);
    options.whole("seed", settings.seed, "of the draws for failures", 0, 1'000'000'000);
    options.whole("leave-within-ms", settings.leaveWithin, "how long its work may go on when it leaves", 0, 3'600'000);
    options.real("slow", settings.slow, "its tasks take this many times as long", 0.01, 1000);
    options.real("fail", settings.fail, "this part of its tasks fails", 0, 1);
    options.flag("unguarded", settings.unguarded, "it does not guard its room");
    options.flag("termless", settings.termless, "it does not honour terms");
    options.text("witness", settings.witness, "a file for the history of what really ran");
    options.flag("quiet", settings.quiet, "no logs");
    options.read(count, values);
    if (const auto fault = faultOf(settings); !fault.empty()) {
        std::cerr << "waterwheel: " << fault << "\n";
        return 2;
    }
    Loop::source = settings.from;
    startLog("waterwheel", settings.id, settings.quiet);
    return settings.called ? CalledMinion(settings).run() : CallingMinion(settings).run();
}
