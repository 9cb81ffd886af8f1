#include "client.hpp"

namespace aniseline {

Result<HttpAnswer, HttpError> Caller::once(const HttpRequest& request, Span within) {
    const Address asked = sluices[place];
    auto result = client.ask(asked, request, within);
    if (!result) result = HttpError{result.error().kind, asked.value + ": " + result.error().text};
    if (witness) witness(request, result);
    if (!result) turn();
    return result;
}

Result<HttpAnswer, ClientError> Caller::ask(const HttpRequest& request, Span within) {
    const Instant until = monotonicNow() + within;
    ClientError last{ClientError::Kind::unknown, 0, "no sluice answers", Span{0}};
    while (monotonicNow() < until) {
        // A sluice that is silent for longer is left for the next; what it may have taken is asked again with the same id.
        auto result = once(request, std::min(Span{1500}, until - monotonicNow()));
        if (result) {
            if (result.value().status < 400) return result.value();
            last = ClientError{result.value().status == 404 ? ClientError::Kind::missing : result.value().status == 503 ? ClientError::Kind::unknown : ClientError::Kind::rejected,
                               result.value().status, result.value().body, result.value().retryAfter};
            if (last.kind != ClientError::Kind::unknown) return last;
            turn();
        } else last.text = result.error().text;
        pause(Span{std::clamp<std::int64_t>(last.retryAfter.milliseconds, 50, 500)});
    }
    return last;
}

MinionClient::MinionClient(Loop& loop, MinionHand::Options options, Incarnation incarnation, std::vector<Address> sluices)
    : loop(loop), core(std::move(options), incarnation), seeds(std::move(sluices)), draw(incarnation.value) {
    place = draw.next() % seeds.size();
}

void MinionClient::deliver() {
    for (const auto& [order, kind] : core.takeConfirmed()) confirmed(order, kind);
    for (const auto& wanted : core.takeEffects()) effect(wanted);
}

void MinionClient::ended(AttemptNumber attempt, bool well) { core.ended(attempt, well, monotonicNow()); }
void MinionClient::leave(Span within) { core.leave(within); }

void MinionClient::run(const std::atomic<bool>& stop) {
    // Terms lapse and trials end between syncs too.
    spawn([this, &stop] {
        while (!stop) {
            core.tick(monotonicNow());
            deliver();
            pause(Span{10});
        }
    });
    HttpClient patient(loop);
    HttpClient urgent(loop);
    // While one sync waits for orders a second one tells endings at once.
    spawn([this, &stop, &urgent] {
        while (!stop) {
            if (core.urgent() && !cut) {
                auto report = core.report(monotonicNow());
                report.wait = Span{0};
                const Instant sentAt = monotonicNow();
                auto result = urgent.ask(sluices.empty() ? seeds[place % seeds.size()] : sluices[place % sluices.size()],
                                         {"POST", "/v1/minions/" + report.id.value + "/sync", renderReport(report)}, Span{1500});
                if (result && result.value().status == 200) {
                    if (auto answer = SyncAnswer::parse(result.value().body)) core.answered(answer.value(), sentAt, monotonicNow());
                    deliver();
                } else pause(Span{50});
            }
            pause(Span{5});
        }
    });
    while (!stop) {
        if (cut) {
            pause(Span{20});
            continue;
        }
        sluices = core.sluices();
        const auto& known = sluices.empty() ? seeds : sluices;
        const Address target = known[place % known.size()];
        const auto report = core.report(monotonicNow());
        const Instant sentAt = monotonicNow();
        auto result = patient.ask(target, {"POST", "/v1/minions/" + report.id.value + "/sync", renderReport(report)}, report.wait + Span{300});
        if (cut) continue;
        if (result && result.value().status == 200) {
            auto answer = SyncAnswer::parse(result.value().body);
            if (answer) core.answered(answer.value(), sentAt, monotonicNow());
            deliver();
            if (!answer) pause(Span{100});
        } else if (result && result.value().status == 410) {
            core.replaced(Incarnation{draw.next() | 1});
            deliver();
            began(core.currentIncarnation());
        } else {
            // Seeds stay a last resort when the learned sluices are all new or all gone.
            ++place;
            if (place % (known.size() + 1) == known.size()) {
                auto fromSeeds = patient.ask(seeds[place % seeds.size()], {"POST", "/v1/minions/" + report.id.value + "/sync", renderReport(report)}, report.wait + Span{300});
                if (fromSeeds && fromSeeds.value().status == 200)
                    if (auto answer = SyncAnswer::parse(fromSeeds.value().body)) core.answered(answer.value(), sentAt, monotonicNow());
                deliver();
            }
            pause(Span{20});
        }
    }
}

}  // namespace aniseline
