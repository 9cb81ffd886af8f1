// waterwheel: a stand-in minion on the minion library. Its tasks are timers. docs/operations.md 7.
#include "client.hpp"
#include "edge/history.hpp"
#include "edge/log.hpp"
#include "edge/options.hpp"
#include "edge/stopping.hpp"

using namespace aniseline;

namespace {

struct Settings {
    std::string id, area, rack, witness, from;
    std::vector<Address> sluices;
    std::int64_t cores = 16, memory = 32 * 1024, seed = 1, leaveWithin = 2000;
    double slow = 1, fail = 0;
    bool unguarded = false, termless = false, quiet = false;
};

class Program {
public:
    explicit Program(Settings given) : settings(std::move(given)), draw(std::uint64_t(settings.seed)), history(settings.witness) {}
    int run() {
        MinionHand::Options options;
        options.id = MinionId{settings.id};
        options.capacity = Capacity{std::uint32_t(settings.cores * 1000), std::uint64_t(settings.memory), AreaName{settings.area}, settings.rack, !settings.termless, !settings.unguarded};
        std::random_device device;
        client = std::make_unique<MinionClient>(loop, options, Incarnation{((std::uint64_t(device()) << 32) | device()) | 1}, settings.sluices);
        client->confirmed.connect([this](const Order& order, EndingKind kind) { write(Witness::Kind::confirmed, order, name(kind)); });
        client->rejected.connect([](const std::string& words) { log(LogLevel::warning, "the centre rejects this minion", {{"why", json(words)}}); });
        client->effect.connect([this](const HandEffect& effect) { follow(effect); });
        // What an earlier process of this name ran ended with it.
        write(Witness::Kind::vanished, {});
        writeCapacity();
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
        write(Witness::Kind::leaving, {});
        log(LogLevel::info, "leaving");
        const Instant until = monotonicNow() + Span{settings.leaveWithin + 1500};
        while (!client->hand().empty() && monotonicNow() < until) {
            pause(Span{2});
            finishDue();
        }
        pause(Span{200});
        over = true;
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
    void writeCapacity() {
        Witness witness;
        witness.kind = Witness::Kind::capacity;
        witness.minion = settings.id;
        witness.cores = std::uint32_t(settings.cores * 1000);
        witness.memory = std::uint64_t(settings.memory);
        witness.guards = !settings.unguarded;
        if (settings.termless) witness.detail = "termless";
        history.write(std::move(witness));
    }
    // A payload "run=250" says what the task really takes; else it takes what was requested.
    Span really(const Order& order) const {
        std::int64_t run = order.runtime.milliseconds;
        if (order.payload.starts_with("run=")) run = std::strtoll(order.payload.c_str() + 4, nullptr, 10);
        return Span{std::int64_t(double(run) * settings.slow)};
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
    bool spent(const Running& task, Instant now) const {
        const Span ran = really(task.order) - task.left + (task.active ? now - task.since : Span{0});
        return ran >= task.order.quantum;
    }
    void finishDue() {
        const Instant now = monotonicNow();
        std::vector<AttemptNumber> due;
        for (const auto& [attempt, task] : tasks)
            if (task.active && now - task.since >= task.left) due.push_back(attempt);
        for (auto attempt : due) {
            if (client->hand().lapsed()) return;  // held by a lapsed term: nothing ends now
            const bool well = !draw.chance(settings.fail);
            write(Witness::Kind::ended, tasks[attempt].order, well ? "finished" : "failed");
            tasks.erase(attempt);
            client->ended(attempt, well);
        }
    }
    Settings settings;
    Draw draw;
    Loop loop;
    std::unique_ptr<MinionClient> client;
    std::map<AttemptNumber, Running> tasks;
    HistoryFile history;
};

}  // namespace

int main(int count, char** values) {
    Settings settings;
    OptionSet options("waterwheel", "a stand-in minion for aniseline");
    options.text("id", settings.id, "the minion's id", true);
    options.text("area", settings.area, "the area of this machine", true);
    options.text("rack", settings.rack, "the rack of this machine");
    options.addresses("sluices", settings.sluices, "outer addresses of sluices, for first contact", true);
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
    Loop::source = settings.from;
    startLog("waterwheel", settings.id, settings.quiet);
    return Program(settings).run();
}
