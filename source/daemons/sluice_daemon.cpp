#include "daemons/sluice_daemon.hpp"
#include "edge/log.hpp"
#include "edge/stopping.hpp"
#include <thread>

namespace aniseline {

namespace {

class Program {
public:
    explicit Program(SluiceSettings settings) : settings(std::move(settings)) {}

    int run() {
        RouteReader reader;
        std::vector<std::thread> threads;
        std::atomic<int> listening{0}, failed{0};
        for (std::int64_t count = 0; count < settings.threads; ++count)
            threads.emplace_back([&] { work(listening, failed); });
        StopSignal stop(loop);
        ReloadSignal reload(loop, [this] { renewSeeds(); });
        while (listening + failed < settings.threads) pause(Span{5});
        if (failed) {
            stopping = true;
            for (auto& thread : threads) thread.join();
            return 1;
        }
        log(LogLevel::info, "started", {{"http", json(settings.http.value)}, {"area", json(settings.area)}});
        while (!stop.requested()) {
            refresh();
            for (Span waited{0}; waited < Span{settings.refresh} && !stop.requested(); waited = waited + Span{100}) pause(Span{100});
        }
        // Not ready first, so that the platform stops sending; then the listeners close. docs/operations.md 4.
        stopping = true;
        log(LogLevel::info, "stopping", {{"exchanges", json(inFlight.load())}});
        const Instant until = monotonicNow() + Span{2500};
        // Whatever is still under way is answered at once: unknown, or surely not taken. docs/design.md 8.3.
        after(Span{1500}, [this] { givingUp = true; });
        while ((inFlight > 0 || monotonicNow() < until - Span{1500}) && monotonicNow() < until) pause(Span{20});
        log(LogLevel::info, "stopped", {{"served", json(served.load())}});
        std::_Exit(0);
    }

private:
    // The seeds may have changed, with or without a signal; only the thread of the route works with them.
    void renewSeeds() {
        if (!settings.seedsNow) return;
        if (auto seeds = settings.seedsNow(); !seeds.empty()) settings.seeds = seeds;
    }
    // Asks reservoirs for the route; the first contact goes to the seeds, later ones to whoever the state names.
    void refresh() {
        if (!ready()) renewSeeds();
        std::vector<Address> known = board.read([](const RouteView& view) { return view.reservoirs; });
        for (const auto& seed : settings.seeds)
            if (!std::count(known.begin(), known.end(), seed)) known.push_back(seed);
        for (const auto& address : found)
            if (!std::count(known.begin(), known.end(), address)) known.push_back(address);
        for (const auto& address : known) {
            auto& caller = callers[address];
            if (!caller) caller = std::make_shared<WireCaller>(loop, address);
            if (busy.count(address)) continue;
            busy.insert(address);
            spawn([this, address, caller] {
                auto answered = caller->call(RouteAsk{{settings.advertise, AreaName{settings.area}}, {}, false}, Span{1000});
                auto* told = answered ? boost::get<RouteTell>(&answered.value().body) : nullptr;
                // docs/design.md 9.5: a seed may be another sluice, which names the reservoirs.
                if (!told && isSeed(address) && board.read([](const RouteView& view) { return view.reservoirs.empty(); }))
                    for (const auto& reservoir : reservoirsBy(loop, address)) found.insert(reservoir);
                busy.erase(address);
                if (!told || told->blank) return;
                RouteView view = told->view;
                const Address before = board.read([](const RouteView& view) { return view.leader; });
                if (!board.publish(view)) return;
                if (told->leads || !view.leader.value.empty()) freshAt = monotonicNow().milliseconds;
                if (view.leader != before && !view.leader.value.empty()) log(LogLevel::info, "leader", {{"address", json(view.leader.value)}, {"epoch", json(view.epoch.value)}});
            });
        }
    }

    bool isSeed(const Address& address) const { return std::count(settings.seeds.begin(), settings.seeds.end(), address) > 0; }

    void work(std::atomic<int>& listening, std::atomic<int>& failed) {
        RouteReader reader;
        Loop threadLoop;
        Relay relay(threadLoop, [this] { return board.read([](const RouteView& view) { return view; }); }, settings.seeds, [this] { return givingUp.load(); });
        HttpServer http(threadLoop, HttpLimits{}, [&](const HttpRequest& request) { return handle(relay, request); });
        if (!settings.http.value.empty())
            if (auto opened = http.listen(settings.http, true); !opened) {
                log(LogLevel::error, opened.error().text);
                ++failed;
                return;
            }
        const Serve serve = [this, &relay](const Exchange& exchange) { return bounded(relay, exchange); };
        HttpServer outer(threadLoop, settings.outer.limits, [&](const HttpRequest& request) { return settings.outer.handle(request, serve); });
        HttpServer standing(threadLoop, HttpLimits{4096, 100, Span{30'000}, Span{2000}}, [&](const HttpRequest& request) { return settings.standing(request, ready()); });
        auto opened = settings.outer.handle ? outer.listen(settings.outer.address, true) : Result<bool, HttpError>(true);
        if (opened && settings.standing) opened = standing.listen(settings.standingAddress, true);
        if (!opened) {
            log(LogLevel::error, opened.error().text);
            ++failed;
            return;
        }
        ++listening;
        while (!stopping) pause(Span{50});
        pause(Span{1000});
        http.stop();
        outer.stop();
        pause(Span{5000});
    }

    Answer handle(Relay& relay, const HttpRequest& request) {
        if (request.target == "/healthz") return Answer::of(200, {{"alive", json(true)}});
        if (request.target == "/readyz") {
            const bool served = ready();
            return Answer::of(served ? 200 : 503, board.read([&](const RouteView& view) {
                return picojson::object{{"ready", json(served)}, {"leader", json(view.leader.value)}, {"epoch", json(view.epoch.value)}, {"setup", json(view.setup.value)}};
            }));
        }
        if (auto contacts = board.read([&](const RouteView& view) { return contactsAnswer(request, view); })) return *contacts;
        auto parsed = Exchange::parse(request.method, request.target, request.body);
        if (!parsed) return Answer::from(parsed.error());
        return bounded(relay, parsed.value());
    }
    bool ready() const { return monotonicNow().milliseconds - freshAt < 2500 && !stopping; }
    Answer bounded(Relay& relay, const Exchange& exchange) {
        if (!board.read([&](const RouteView& view) { return view.mayTake(exchange, std::size_t(inFlight), std::size_t(settings.exchanges)); })) return Answer::error(429, "overloaded", "this sluice has too many exchanges under way", Span{1000});
        ++inFlight;
        Answer answer = relay.relay(exchange);
        --inFlight;
        ++served;
        return answer;
    }

    SluiceSettings settings;
    Loop loop;
    RouteBoard board;
    std::map<Address, std::shared_ptr<WireCaller>> callers;
    std::set<Address> busy, found;  // found: reservoirs that other sluices named
    std::atomic<std::int64_t> freshAt{-1'000'000}, inFlight{0};
    std::atomic<std::uint64_t> served{0};
    std::atomic<bool> stopping{false}, givingUp{false};
};

}  // namespace

int runSluice(SluiceSettings settings) { return Program(std::move(settings)).run(); }

}  // namespace aniseline
