// The minion library's core: orders, terms, holds and endings, for anything that can run tasks. Sans-IO. docs/design.md 5, docs/api.md 3.
#pragma once
#include "exchange.hpp"

namespace aniseline {

// What the hand asks of the program that runs tasks.
struct HandEffect {
    enum class Kind : std::uint8_t { start, hold, resume, stop } kind = Kind::start;
    AttemptNumber attempt;
    Order order;  // of a start
};

class MinionHand {
public:
    struct Options {
        MinionId id;
        Capacity capacity;
        Span wait{1000};
    };
    MinionHand(Options options, Incarnation incarnation) : options(std::move(options)), incarnation(incarnation) {}

    // The next sync's report; a term granted in its answer counts from this moment.
    SyncReport report(Instant now);
    // False: the answer came too late or from a leader that is superseded, and was not followed.
    bool answered(const SyncAnswer& answer, Instant sentAt, Instant now);
    // The centre says this incarnation is replaced: all stops, and a new one begins.
    void replaced(Incarnation next);
    // Lapses the term when it is due: every running task is held in place.
    void tick(Instant now);
    void ended(AttemptNumber attempt, bool well, Instant now);
    void leave(Span within);

    // Endings that the centre has confirmed: from then on they are final. docs/design.md 5.5.
    std::vector<std::pair<Order, EndingKind>> takeConfirmed() { return std::exchange(confirmed, {}); }
    std::vector<HandEffect> takeEffects() { return std::exchange(effects, {}); }
    bool urgent() const { return !endings.empty() || applied != toldApplied || leaving != toldLeaving; }
    bool lapsed() const { return holding; }
    bool empty() const { return tasks.empty() && endings.empty(); }
    Epoch epoch() const { return seenEpoch; }
    Incarnation currentIncarnation() const { return incarnation; }
    Instant nextDue() const;
    const std::vector<Address>& sluices() const { return knownSluices; }
    std::size_t running() const { return tasks.size(); }

private:
    struct Running {
        Order order;
        bool staged = false;   // a gang's part that has not been told to go
        bool held = false;     // by order
        bool paused = false;   // by a lapsed term
        bool started = false;
        Instant since;
        Span ran;
    };
    void apply(const Order& order, Instant now);
    void setPaused(Running& task, bool pause, Instant now);
    void end(AttemptNumber attempt, EndingKind kind);
    bool active(const Running& task) const { return task.started && !task.held && !task.paused; }

    Options options;
    Incarnation incarnation;
    OrderNumber applied, toldApplied;
    Epoch seenEpoch;
    Instant termEnds{0};
    bool holding = true;  // until the first term is granted
    bool leaving = false, toldLeaving = false;
    Span leaveWithin{0};
    std::map<AttemptNumber, Running> tasks;
    struct Ended {
        Order order;
        EndingKind kind;
    };
    std::map<AttemptNumber, Ended> endings;  // said until confirmed
    std::vector<std::pair<Order, EndingKind>> confirmed;
    std::vector<HandEffect> effects;
    std::vector<Address> knownSluices;
};

}  // namespace aniseline
