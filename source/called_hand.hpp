// The core of a minion that is called rather than calls: starts, stops, looks, its hold, numbered endings. Sans-IO.
// docs/api.md 5. MinionHand is its fellow for minions that call.
#pragma once
#include "minion_hand.hpp"
#include "penstock.hpp"

namespace aniseline {

class CalledHand {
public:
    struct Options {
        Capacity capacity;
        Span longestHold{6000};
        std::size_t endingsAtOnce = 500;  // of one look
        std::size_t remembered = 100'000; // tasks whose latest run is remembered against starts that come late
    };
    CalledHand(Options options, MinionId life) : options(std::move(options)), life(std::move(life)) {}

    // Carries a call out; the answer of a look may be asked for again by the same call while its wait lasts.
    MinionReply take(const MinionCall& call, MinionTime now);
    // Kills all when the hold is over, and ends trials that have used their time.
    void tick(MinionTime now);
    void ended(AttemptNumber attempt, bool well, MinionTime now);
    void leave() { leaving = true; }
    // Another life begins: nothing of this one runs on.
    void replaced(MinionId next);

    std::vector<HandEffect> takeEffects() { return std::exchange(effects, {}); }
    std::vector<std::pair<Order, EndingKind>> takeConfirmed() { return std::exchange(confirmed, {}); }
    bool idle() const { return running.empty(); }
    bool empty() const { return running.empty() && endings.empty(); }
    const MinionId& currentLife() const { return life; }

private:
    struct Running {
        RunName name;
        Order order;
        MinionTime since;
    };
    struct Ended {
        std::uint64_t number;
        RunName name;
        Order order;
        EndingKind kind;
    };
    MinionReply start(const MinionCall& call, MinionTime now);
    MinionReply stop(const MinionCall& call);
    MinionReply look(const MinionCall& call, MinionTime now);
    void extend(const std::optional<MinionTime>& deadline, MinionTime now);
    void end(std::map<AttemptNumber, Running>::iterator task, EndingKind kind, bool byItself);
    bool fits(const Order& order) const;
    bool remember(const RunName& name);  // false: this run or a later one of the task is known already

    Options options;
    MinionId life;
    Epoch fence;
    MinionTime hold{0};
    bool leaving = false;
    std::map<AttemptNumber, Running> running;
    std::deque<Ended> endings;
    std::uint64_t lastEnding = 0;
    std::map<RunName, std::uint32_t> latest;  // by task: the latest run begun or stopped
    std::deque<RunName> known;                // the tasks of `latest`, the oldest first
    std::vector<HandEffect> effects;
    std::vector<std::pair<Order, EndingKind>> confirmed;
};

}  // namespace aniseline
