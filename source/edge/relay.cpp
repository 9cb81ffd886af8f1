#include "edge/relay.hpp"

namespace aniseline {

WireCaller& Relay::callerTo(const Address& address) {
    auto& caller = callers[address];
    if (!caller) caller = std::make_unique<WireCaller>(loop, address);
    return *caller;
}

Answer Relay::relay(const Exchange& exchange) {
    const bool sync = exchange.ask == Ask::sync;
    const Instant begun = monotonicNow();
    const Instant deadline = begun + (sync ? exchange.report.wait + Span{1500} : Span{2500});
    const Instant seekUntil = begun + Span{2000};
    // A submission, cancel or setup that may have been taken is never sent twice here: its outcome is unknown. docs/design.md 8.3.
    const bool mayRepeat = sync || exchange.ask == Ask::showJob || exchange.ask == Ask::listJobs || exchange.ask == Ask::showSetup ||
                           exchange.ask == Ask::listMinions || exchange.ask == Ask::showCluster || exchange.ask == Ask::showPlan ||
                           exchange.ask == Ask::showCounters || exchange.ask == Ask::exportState;
    Address hint;
    std::size_t turn = 0;
    while (monotonicNow() < deadline) {
        Address target = hint;
        hint = Address{};
        if (target.value.empty()) {
            target = board.read([&](const RouteView& view) {
                if (turn == 0 && !view.leader.value.empty()) return view.leader;
                if (!view.reservoirs.empty()) return view.reservoirs[turn % view.reservoirs.size()];
                return Address{};
            });
            if (target.value.empty()) target = seeds[turn % seeds.size()];
        }
        auto answered = callerTo(target).call(exchange, deadline - monotonicNow());
        if (answered) {
            auto* answer = boost::get<Answer>(&answered.value().body);
            if (!answer) return Answer::unknown("the leader's answer could not be read");
            if (!answer->notLeader) return *answer;
            hint = answer->leader;
        } else if (answered.error().kind != WireError::Kind::unreachable && !mayRepeat)
            return Answer::unknown("the leader was lost while this was under way; ask again");
        if (monotonicNow() >= seekUntil) break;
        if (hint.value.empty() || turn > 3) pause(Span{turn < 4 ? 20 : 60});
        turn = hint.value.empty() || turn > 5 ? turn + 1 : turn;
    }
    return Answer::unknown("no leader of the reservoirs is known; ask again");
}

}  // namespace aniseline
