#include "daemons/penstock_daemon.hpp"
#include "edge/log.hpp"
#include "edge/stopping.hpp"

namespace aniseline {

namespace {

class Program {
public:
    explicit Program(PenstockSettings settings)
        : settings(std::move(settings)), core(this->settings.options), relay(loop, [this] { return route; }, this->settings.seeds, [] { return false; }) {}

    int run() {
        HttpServer http(loop, HttpLimits{64 * 1024, 50, Span{60'000}, Span{2000}}, [this](const HttpRequest& request) { return hear(request); });
        if (auto listening = http.listen(settings.listen, false); !listening) {
            log(LogLevel::error, listening.error().text);
            return 1;
        }
        log(LogLevel::info, "started", {{"listen", json(settings.listen.value)}, {"minion", json(settings.minion.value)}});
        StopSignal stop(loop);
        ReloadSignal reload(loop, [this] { renewSeeds(); });
        spawn([this] { learnRoute(); });
        while (!stop.requested()) {
            const Instant now = monotonicNow();
            for (auto& call : core.takeCalls(now)) spawn([this, call = std::move(call)] { perform(call); });
            if (core.mayReport() && !patientBusy) spawnSync(true);
            if (core.urgent(now) && !urgentBusy) spawnSync(false);
            std::unique_lock lock(wakeMutex);
            const Span rest = std::clamp(core.nextDue(now) - now, Span{1}, Span{500});
            wake.wait_for(lock, std::chrono::milliseconds(rest.milliseconds), [&] { return woken; });
            woken = false;
        }
        // What runs goes on under its hold; the next process finds it by looking. docs/operations.md 4.
        log(LogLevel::info, "stopped");
        std::_Exit(0);
    }

private:
    void renewSeeds() {
        if (!settings.seedsNow) return;
        if (auto seeds = settings.seedsNow(); !seeds.empty()) settings.seeds = seeds;
        relay.useSeeds(settings.seeds);
    }
    void nudge() {
        std::unique_lock lock(wakeMutex);
        woken = true;
        wake.notify_one();
    }
    Answer hear(const HttpRequest& request) {
        auto word = settings.words.hear(request);
        if (!word) return Answer::error(404, "missing", "a penstock hears its minion only");
        const Instant now = monotonicNow();
        if (word->left) {
            core.left(word->account.life);
            Exchange gone;
            gone.ask = Ask::declareGone;
            gone.id = word->account.life.value;
            const Answer told = relay.relay(gone);
            return told.status < 500 ? Answer::of(200, {}) : told;
        }
        const bool isNew = core.life() != word->account.life;
        if (!core.known(word->account, now)) return Answer::error(410, "gone", "another life of this minion has begun since");
        if (isNew) log(LogLevel::info, "minion", {{"life", json(word->account.life.value)}, {"cores", json(word->account.capacity.cores / 1000.0)}});
        if (word->account.leaving && !core.leavingTold()) {
            log(LogLevel::info, "minion leaves", {{"life", json(word->account.life.value)}, {"within_ms", json(word->account.leaveWithin.milliseconds)}});
            nudge();
            // Acknowledged only once it is logged. docs/design.md 5.7.
            while (!core.leavingTold() && core.life() == word->account.life && monotonicNow() - now < settings.tellWithin) pause(Span{5});
            if (!core.leavingTold()) return Answer::notTaken("no leader heard of it yet");
        }
        if (isNew) nudge();
        return Answer::of(200, {});
    }
    void perform(const MinionCall& call) {
        std::unique_ptr<HttpClient> client;
        if (idle.empty()) client = std::make_unique<HttpClient>(loop);
        else {
            client = std::move(idle.back());
            idle.pop_back();
        }
        auto answer = client->ask(settings.minion, settings.words.render(call), call.within);
        core.replied(call, settings.words.read(call, answer), monotonicNow());
        idle.push_back(std::move(client));
        nudge();
    }
    void spawnSync(bool patient) {
        (patient ? patientBusy : urgentBusy) = true;
        spawn([this, patient] {
            sync(patient);
            (patient ? patientBusy : urgentBusy) = false;
            nudge();
        });
    }
    void sync(bool patient) {
        Exchange exchange;
        exchange.ask = Ask::sync;
        const Instant sentAt = monotonicNow();
        exchange.report = core.report(sentAt);
        exchange.report.wait = patient ? settings.patience : Span{0};
        exchange.id = exchange.report.id.value;
        Answer answer = relay.relay(exchange);
        const Instant now = monotonicNow();
        if (answer.status == 200) {
            if (auto told = unpack<SyncAnswer>(answer.body)) core.answered(exchange.report, told.value(), sentAt, now);
            return;
        }
        if (answer.status == 410 && exchange.report.id == core.life()) {
            log(LogLevel::warning, "the leader holds this minion for gone", {{"life", json(exchange.report.id.value)}});
            core.replaced(now);
        }
        pause(Span{100});
    }
    // Which reservoirs there are; which of them leads is learned by asking. docs/design.md 9.2.
    void learnRoute() {
        std::map<Address, std::shared_ptr<WireCaller>> callers;
        for (std::size_t turn = 0;; ++turn) {
            const auto& known = route.reservoirs.empty() ? settings.seeds : route.reservoirs;
            const Address target = known.empty() ? Address{} : known[turn % known.size()];  // each in turn: one of them may be frozen
            bool learned = false;
            if (!target.value.empty()) {
                auto& caller = callers[target];
                if (!caller) caller = std::make_shared<WireCaller>(loop, target);
                auto answered = caller->call(RouteAsk{}, Span{250});
                auto* told = answered ? boost::get<RouteTell>(&answered.value().body) : nullptr;
                if (told && !told->blank) {
                    route.takeNewer(told->view);
                    learned = true;
                    route.sluices.clear();
                }
            }
            if (!learned) renewSeeds();
            // One that is silent costs no more than its wait: the next is asked at once. docs/incidents.md 7.
            pause(!learned ? Span{20} : route.leader.value.empty() ? Span{100} : Span{300});
        }
    }

    PenstockSettings settings;
    Loop loop;
    Penstock core;
    RouteView route;
    Relay relay;
    std::vector<std::unique_ptr<HttpClient>> idle;
    bool patientBusy = false, urgentBusy = false, woken = false;
    boost::fibers::mutex wakeMutex;
    boost::fibers::condition_variable wake;
};

}  // namespace

int runPenstock(PenstockSettings settings) { return Program(std::move(settings)).run(); }

}  // namespace aniseline
