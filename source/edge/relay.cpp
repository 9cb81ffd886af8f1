#include "edge/relay.hpp"
#include "course.hpp"

namespace aniseline {

WireCaller& Relay::callerTo(const Address& address) {
    auto& caller = callers[address];
    if (!caller) caller = std::make_unique<WireCaller>(loop, address);
    return *caller;
}

Answer Relay::relay(const Exchange& exchange) {
    RelayCourse course(exchange, route, seeds, monotonicNow());
    auto step = course.begin(monotonicNow());
    for (;;) {
        if (step.kind == RelayCourse::Step::Kind::answer) return step.answer;
        if (givingUp()) return Answer::notTaken("this sluice is stopping");
        if (step.kind == RelayCourse::Step::Kind::wait) {
            pause(step.within);
            step = course.waited(monotonicNow());
            continue;
        }
        // Once another is known to lead, one that is silent is not waited for: it may be frozen. docs/design.md 9.2.
        const Epoch asked = route().epoch;
        auto answered = callerTo(step.target).call(exchange, step.within, [&] {
            if (givingUp()) return true;
            const RouteView view = route();
            return view.epoch > asked && !view.leader.value.empty() && view.leader != step.target;
        });
        if (answered) {
            auto* answer = boost::get<Answer>(&answered.value().body);
            if (answer && !answer->notLeader) lastServed = step.target;
            step = course.answered(answer ? *answer : Answer::unknown("the leader's answer could not be read"), monotonicNow());
        } else {
            const auto kind = answered.error().kind;
            step = course.failed(kind == WireError::Kind::unreachable ? RelayCourse::Loss::unreachable
                                 : kind == WireError::Kind::late      ? RelayCourse::Loss::late
                                                                      : RelayCourse::Loss::lost, monotonicNow());
        }
    }
}

}  // namespace aniseline
