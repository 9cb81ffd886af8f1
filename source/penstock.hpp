// The minion agent: carries the leader's orders out at ONE minion that is called rather than calls, and tells of what it sees
// there. Sans-IO. docs/design.md 5.8.
#pragma once
#include "exchange.hpp"

namespace aniseline {

// Milliseconds on a minion's own steady clock, which may run a little slow.
using MinionTime = Point<struct MinionClock>;

// What a minion says of itself when it makes itself known.
struct MinionAccount {
    MinionId life;  // another one each time it starts
    Capacity capacity;
    bool leaving = false;
    Span leaveWithin{0};
    std::optional<MinionTime> clock;
};

struct MinionCall {
    enum class Kind : std::uint8_t { start, stop, look } kind = Kind::look;
    std::uint64_t number = 0;
    MinionId life;
    RunName name;
    std::string payload, saved;
    Order order{};  // of a start: all that the leader said
    std::optional<MinionTime> deadline;  // until when all that runs there is held
    Epoch fence;
    std::uint64_t lastSeen = 0;  // of a look: endings up to here are final
    Span wait{0};                // of a look: how long the answer may wait for an ending
    Span within{300};
};

struct MinionReply {
    enum class Kind : std::uint8_t { done, fenced, old, late, room, sick, invalid, otherLife, lost } kind = Kind::lost;
    std::optional<MinionTime> clock;
    struct Active {
        RunName name;
        std::string saved;
    };
    struct Ended {
        std::uint64_t number = 0;  // counted by the minion in each of its lives
        RunName name;
        EndingKind kind = EndingKind::stopped;
        std::string saved;
    };
    std::vector<Active> active;
    std::vector<Ended> ended;
    bool whole = true;  // of a look: no ending was left out for want of room
};

struct PenstockOptions {
    Span longestHold{6000};    // what the minion grants at most
    Span hold{6000};           // what is asked of it at a time: renewed from here, within the leader's lease
    Span longestLook{2000};
    Span deafAfter{700};       // unanswered for so long it is taken for deaf
    Span lookAgain{200};       // between looks while something is to be found out
    std::size_t callsAtOnce = 6;
    double slowest = 0.98;     // the minion's clock against a true one
};

class Penstock {
public:
    explicit Penstock(PenstockOptions options) : options(options) {}

    // A minion makes itself known. False: it is an earlier life, which is over.
    bool known(const MinionAccount& account, Instant now);
    void left(const MinionId& life);

    // Towards the leader.
    bool mayReport() const { return !account.life.value.empty() && !over && !retired; }
    SyncReport report(Instant now);
    bool deaf(Instant now) const;    // the minion leaves calls unanswered
    bool urgent(Instant now) const;  // there is something to tell without delay
    void answered(const SyncReport& asked, const SyncAnswer& answer, Instant sentAt, Instant now);
    void replaced(Instant now);      // the leader holds this life for gone
    bool leavingTold() const { return account.leaving && toldLeaving; }

    // Towards the minion.
    std::vector<MinionCall> takeCalls(Instant now);
    void replied(const MinionCall& call, const MinionReply& reply, Instant now);
    // The earliest time at which something is due with nothing coming in.
    Instant nextDue(Instant now) const;

    std::size_t running() const { return works.size(); }
    const MinionId& life() const { return account.life; }

private:
    struct Work {
        Order order;
        bool wanted = true;       // false: to be stopped
        bool staged = false;      // a gang's part that waits here for its `go`
        bool calling = false;     // a call for it is under way
        bool unsure = false;      // a start got no answer: it may be carried out later
        bool running = false;
        bool stopped = false;     // a stop was answered: later starts of it are turned away
        bool looked = true;       // false: what became of it is seen in a look begun from now on
        std::uint64_t lookFrom = 0;
        bool failed = false;      // turned away for good
        bool refused = false;
        std::uint32_t sick = 0;
        Instant notBefore{0};
        std::vector<OrderNumber> orders;
    };
    struct Told {
        std::uint64_t number = 0;  // 0: the minion never began it
        NamedEnding ending;
        bool told = false;
    };
    void takeOrders(const SyncAnswer& answer, Instant now);
    void take(const Order& order, Instant now);
    void go(const Order& order, const RunName& name, Instant now);
    void finish(const RunName& name, EndingKind kind, std::uint64_t number, std::string saved);
    void settleOrders(Work& work);
    void lookAfter(Work& work);
    std::optional<MinionTime> deadline(Instant now) const;
    Span heldFor(Instant now) const;
    void hear(const std::optional<MinionTime>& clock, Instant now);
    void noteLapse(Instant now);
    MinionTime surelyRead(Instant now) const;
    bool mayLapse(Instant now) const;
    void looked(const MinionCall& call, const MinionReply& reply, Instant now);
    OrderNumber applied() const;
    bool toFindOut() const;                     // what became of some run is to be seen in a look
    bool unconfirmed() const;                   // the minion's own endings that are not final yet
    bool hasTold(const RunName& name) const;    // its ending waits to be confirmed
    bool wantsLook(Instant now) const;
    Span renewAfter() const;           // the hold is asked for anew after that long, at the latest
    Span lookWait(Instant now) const;  // how long a look may wait for an ending

    PenstockOptions options;
    MinionAccount account;
    std::set<MinionId> formerLives;
    Incarnation incarnation{1};
    bool over = false;           // this life has left
    Instant retiredUntil{0};
    bool retired = false;  // until then
    Epoch epoch;
    Instant leaseUntil{0};
    Span lease{0};
    std::optional<MinionTime> clock, granted;  // granted: the furthest deadline that may have been taken
    Instant clockAt;
    Instant heardAt{0};
    bool unanswered = false;  // a call since then got no answer
    bool toldDeaf = false;
    Instant deafToldAt{-1'000'000};
    bool outOfTouch = false;  // it was deaf: nothing is started before a leader has heard that it is not
    bool overNoted = false;  // that the hold has run out is known
    bool lapsed = false;  // the hold may have run out: nothing is started before a look tells
    OrderNumber received;                        // all up to here have come
    OrderNumber knownTo;                         // there are orders up to here; while some are missing nothing is started: a stop may be among them
    std::map<OrderNumber, OrderNumber> ahead;    // spans beyond that have come too: after, up to
    std::set<OrderNumber> openOrders;
    OrderNumber toldApplied;
    Instant appliedAt{0};
    bool toldLeaving = false;
    std::map<RunName, Work> works;
    std::deque<Told> told;        // endings by number, those of no number behind them
    std::map<RunName, std::string> saves;
    std::map<RunName, std::string> lastSaved;
    std::uint64_t lastSeen = 0, highestEnding = 0, nextCall = 1, callsUnderWay = 0;
    bool looking = false, everLooked = false, answeredOnce = false, moreEnded = false;  // moreEnded: a look left endings out
    Instant lookedAt{-1'000'000};
    std::uint64_t looksBegun = 0, lapseSeenFrom = 0;
};

}  // namespace aniseline
