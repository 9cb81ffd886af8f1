// The course of one exchange through a sluice to the leader: whom to ask next, when to give up. Sans-IO. docs/design.md 8.3, 9.2.
#pragma once
#include "exchange.hpp"

namespace aniseline {

class RelayCourse {
public:
    enum class Loss : std::uint8_t { unreachable, lost, late };  // unreachable: nothing was sent
    struct Step {
        enum class Kind : std::uint8_t { ask, wait, answer } kind = Kind::ask;
        Address target;
        Span within;  // of an ask; of a wait its length
        Answer answer;
    };
    using Route = std::function<RouteView()>;
    RelayCourse(const Exchange& exchange, Route route, const std::vector<Address>& seeds, Instant now);
    Step begin(Instant now) { return ask(now); }
    Step answered(const Answer& answer, Instant now);
    Step failed(Loss loss, Instant now);
    Step waited(Instant now) { return ask(now); }

private:
    Step ask(Instant now);
    Step next(Instant now);
    static Step done(Answer answer);
    Route route;
    const std::vector<Address>& seeds;
    bool mayRepeat;
    Instant deadline, seekUntil;
    Address hint, asked, passedOver;  // passedOver: did not serve when last asked
    std::size_t turn = 0, hints = 0;
};

}  // namespace aniseline
