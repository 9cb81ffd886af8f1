#include "client.hpp"

namespace aniseline {

namespace {
std::vector<Address> sluicesIn(const HttpAnswer& told) {
    picojson::value root;
    std::vector<Address> inForce;
    if (told.status != 200 || !picojson::parse(root, told.body).empty() || !root.is<picojson::object>() || !root.get("sluices").is<picojson::array>()) return inForce;
    for (const auto& address : root.get("sluices").get<picojson::array>()) inForce.push_back(Address{address.to_str()});
    return inForce;
}
}  // namespace

Result<HttpAnswer, HttpError> Caller::once(const HttpRequest& request, Span within) {
    const Address asked = contacts.current(monotonicNow());
    auto result = client.ask(asked, request, within);
    if (!result) result = HttpError{result.error().kind, asked.value + ": " + result.error().text};
    if (witness) witness(request, result);
    if (!result) contacts.failed(monotonicNow());
    return result;
}

void Caller::learn() {
    if (!area || monotonicNow() - learnedAt < Span{5000}) return;
    learnedAt = monotonicNow();
    // Of the addresses given some may be dead, some reservoirs, which serve no callers but know who does.
    for (std::size_t tries = 0; tries < (contacts.knowsMore() ? 1 : contacts.seedCount()); ++tries) {
        if (auto told = client.ask(contacts.current(learnedAt), {"GET", "/v1/contacts?area=" + area->value, ""}, Span{500})) contacts.learn(sluicesIn(told.value()));
        if (contacts.knowsMore()) return;
        contacts.failed(learnedAt);
    }
}

Result<HttpAnswer, ClientError> Caller::ask(const HttpRequest& request, Span within) {
    const Instant until = monotonicNow() + within;
    ClientError last{ClientError::Kind::unknown, 0, "no sluice answers", Span{0}};
    learn();
    while (monotonicNow() < until) {
        // A sluice that is silent for longer is left for the next; what it may have taken is asked again with the same id.
        auto result = once(request, std::min(Span{1500}, until - monotonicNow()));
        if (result) {
            if (result.value().status < 400) return result.value();
            last = ClientError{result.value().status == 404 ? ClientError::Kind::missing : result.value().status == 503 ? ClientError::Kind::unknown : ClientError::Kind::rejected,
                               result.value().status, result.value().body, result.value().retryAfter};
            if (last.kind != ClientError::Kind::unknown) return last;
            contacts.failed(monotonicNow());
        } else last.text = result.error().text;
        pause(Span{std::clamp<std::int64_t>(last.retryAfter.milliseconds, 50, 500)});
    }
    return last;
}

MinionClient::MinionClient(Loop& loop, MinionHand::Options options, Incarnation incarnation, std::vector<Address> sluices)
    : loop(loop), core(std::move(options), incarnation), contacts(std::move(sluices), incarnation.value / 2), draw(incarnation.value) {}

void MinionClient::deliver() {
    for (const auto& [order, kind] : core.takeConfirmed()) confirmed(order, kind);
    for (const auto& wanted : core.takeEffects()) effect(wanted);
}

void MinionClient::ended(AttemptNumber attempt, bool well) { core.ended(attempt, well, monotonicNow()); }
void MinionClient::leave(Span within) { core.leave(within); }

void MinionClient::run(const std::atomic<bool>& stop) {
    // The fibers below use what stands here: this one waits for them at its end.
    std::size_t others = 2;
    // Terms lapse and trials end between syncs too.
    spawn([this, &stop, &others] {
        while (!stop) {
            core.tick(monotonicNow());
            deliver();
            pause(Span{10});
        }
        --others;
    });
    HttpClient patient(loop);
    HttpClient urgent(loop);
    // While one sync waits for orders a second one tells endings at once.
    spawn([this, &stop, &urgent, &others] {
        while (!stop) {
            if (core.urgent() && !cut) {
                auto report = core.report(monotonicNow());
                report.wait = Span{0};
                const Instant sentAt = monotonicNow();
                auto result = urgent.ask(contacts.current(sentAt), {"POST", "/v1/minions/" + report.id.value + "/sync", renderReport(report)}, Span{1500});
                if (result && result.value().status == 200) {
                    if (auto answer = SyncAnswer::parse(result.value().body)) core.answered(answer.value(), sentAt, monotonicNow());
                    deliver();
                } else pause(Span{50});
            }
            pause(Span{5});
        }
        --others;
    });
    while (!stop) {
        if (cut) {
            pause(Span{20});
            continue;
        }
        contacts.learn(core.sluices());
        const Address target = contacts.current(monotonicNow());
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
            if (result && result.value().status == 409) rejected(result.value().body);
            else {
                // The address given may be a reservoir's, which serves no minions but knows who does.
                if (!contacts.knowsMore())
                    if (auto told = patient.ask(target, {"GET", "/v1/contacts?area=" + report.capacity.area.value, ""}, Span{500})) contacts.learn(sluicesIn(told.value()));
                contacts.failed(monotonicNow());
            }
            pause(result ? std::max(Span{20}, result.value().retryAfter) : Span{20});
        }
    }
    while (others > 0) pause(Span{5});
}

}  // namespace aniseline
