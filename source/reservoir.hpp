// The control plane's core: agreement, ledger, planner and the table of exchanges, in passes. Sans-IO. docs/design.md 3, 8.
#pragma once
#include "agreement.hpp"
#include "exchange.hpp"
#include "planner.hpp"
#include "view_keeper.hpp"

namespace aniseline {

struct ReservoirOptions {
    AgreementOptions agreement;
    Span term{3000};
    Span margin{1000};
    Span deafMargin{150};  // beyond what a penstock says of a deaf minion
    Span longestPoll{1000};
    Span answerWithin{2000};
    Span replaceAfter{30'000};
    std::size_t voters = 3;  // two for each that may be lost at once, and one. docs/design.md 3.5
    Span aliveWithin{1500};  // a minion heard within this is alive: another process may not take its id
    std::uint64_t checkpointVersions = 1000;
    std::uint64_t checkpointBytes = 8 * 1024 * 1024;
    std::size_t exchangesAtOnce = 4000;
};

// What the core tells whoever listens: logs, traces, witnesses.
struct Note {
    std::string what;
    picojson::object fields;
};

class Reservoir {
public:
    Reservoir(Member self, ReservoirOptions options, std::uint64_t seed, const std::vector<DiskRecord>& restored, Instant now);

    void step(Instant now, WallTime wall);
    void receive(const PeerMessage& message, Instant now) { agreement.receive(message, now); }
    void synced(DiskVersion version, Instant now) { agreement.synced(version, now); }
    void take(ExchangeNumber number, Exchange exchange, Instant now);
    void found(Instant now) { agreement.found(now); }
    void join(const Address& leader) { agreement.join(leader); }
    void handOver(Instant now) { agreement.handOver(now); }
    void noteSluice(const Contact& sluice, Instant now) { sluices[sluice.address] = {sluice.area, now}; }

    std::vector<PeerMessage> takeMessages() { return agreement.takeMessages(); }
    std::optional<DiskRecord> takeWrite() { return agreement.takeWrite(); }
    // For the keeper of views, which works beside the core and hands back what it packed.
    ViewWork takeViewWork() { return std::exchange(viewWork, {}); }
    void packed(PackedView view);
    std::vector<std::pair<ExchangeNumber, Answer>> takeAnswers() { return std::exchange(answers, {}); }

    const Agreement& agreed() const { return agreement; }
    const Ledger& committed() const { return committedLedger; }
    RouteView route(Instant now) const;
    // A record or view that can't be read: folding on without it would make another state than the others'. The process must end.
    bool damaged() const { return unreadable; }
    boost::signals2::signal<void(const Note&)> noted;

private:
    enum class Stage : std::uint8_t { taken, decided, polling };
    struct ExchangeRecord {
        std::uint64_t place = 0;  // in the order in which they came
        ExchangeNumber number;
        Exchange exchange;
        Stage stage = Stage::taken;
        Instant deadline;
        Instant pollUntil;
        LogIndex barrier;
        RoundNumber round;
        bool logged = false;
        Answer answer;
    };
    Ledger& working() { return *workingLedger; }
    ClusterTime clusterNow() const;
    LogIndex append(Event event);
    void expect(const Event& event);
    void followLog();
    bool foldCommitted(const LogEntry& entry);
    void takeView(const LogView& view);
    void followRole();
    bool mayTake(const Exchange& exchange) const;
    void passIntake();
    void findOverdue();
    void passMinions();
    void passTimetables();
    void passForget();
    void passPlan();
    void passPolls();
    void passAnswers();
    void passMembers();
    void passCheckpoint();
    bool answerPoll(const ExchangeRecord& record, RoundNumber confirmed);
    void dropExchange(std::uint64_t place);
    void decide(ExchangeRecord& record, Answer answer, bool logged);
    void answer(const ExchangeRecord& record, Answer answer);
    Answer notLeader() const;
    void intake(ExchangeRecord& record);
    bool enter(ExchangeRecord& record);
    void passHopeless();
    Answer showPhase(const JobId& id) const;
    void intakeSubmit(ExchangeRecord& record);
    void intakeCancel(ExchangeRecord& record);
    void intakeSetup(ExchangeRecord& record);
    void intakeSync(ExchangeRecord& record);
    void intakeMinionOrder(ExchangeRecord& record);
    void note(std::string what, picojson::object fields = {}) { noted(Note{std::move(what), std::move(fields)}); }
    Silence silence() const;
    Instant heardFrom(const MinionId& id) const;
    MinionSilent silenceOf(const Minion& minion, Instant heard);
    picojson::object showJob(const Job& job) const;
    picojson::object showMinions() const;
    picojson::object showCluster() const;
    picojson::object showPlan();
    picojson::object showCounters() const;
    picojson::object listJobs(const Exchange& exchange) const;

    ReservoirOptions options;
    Agreement agreement;
    Planner planner;
    Ledger committedLedger;
    LogIndex foldedTo;
    // What this leader proposed and is not committed yet, so that it need not be read again; the epoch tells whose entry it is.
    struct Proposal {
        LogIndex index;
        Epoch epoch;
        Record record;
    };
    std::deque<Proposal> proposals;
    std::optional<Ledger> workingLedger;
    Epoch ledEpoch;
    Instant now;
    Instant leaderSince;
    ClusterTime clusterBase;
    Instant clusterBaseAt;
    bool wasServing = false;
    bool planWanted = false, planAtOnce = false;
    Instant lastPlan{-1'000'000};
    Instant nextForget;
    ClusterTime shortenedTo;
    std::map<MinionId, Instant> contacts;
    std::map<MinionId, Instant> reported;  // by the clocks of their penstocks: the latest report
    std::map<MinionId, Instant> deaf;  // their penstocks say that they do not answer; by then what they held is over
    struct OrdersSent {
        OrderNumber through;
        Instant at;
    };
    std::map<MinionId, OrdersSent> ordersSent;  // to penstocks, so that two waiting syncs do not get the same
    struct Pace {
        double value = 0;  // a logarithm: guesses are wrong by factors, either way
        std::uint32_t samples = 0;
        Instant at;
    };
    std::map<MinionId, Pace> paces;  // docs/design.md 5.6
    void notePace(const MinionSynced& synced);
    Hints hints() const;
    struct Demand {
        double peak = 0;
        Instant at;
    };
    std::map<std::string, Demand> urgentDemand;  // by pool: the most wanted at once, fading
    void noteDemand(const Plan& plan);
    Instant nextHopeless, nextOccupancy, nextDueLook;
    std::deque<LogIndex> committedLately;  // the commit index a quarter of a second ago and, behind it, the last one noted
    Instant committedAt;
    struct Backlog {
        Instant at{-1'000'000};
        std::map<std::string, double> cores;                              // by pool
        std::map<std::pair<std::string, std::int64_t>, double> waiting;  // by pool and urgency
    };
    Backlog backlog;
    void weighBacklog();
    Span hopelessWait(const JobSubmission& job, const QueueOptions& queue);
    std::set<JobId> saidSlow;  // jobs whose long wait was told
    std::size_t slowSaid = 0;  // in this look
    std::size_t waitingAtPlan = 0;
    void noteSlow(const Job& job);
    struct SluiceSeen {
        AreaName area;
        Instant heard;
    };
    std::map<Address, SluiceSeen> sluices;
    std::vector<Contact> sluicesHeard(Instant at) const;
    // By the order in which they came, which is also that of their answers. Each pass looks only at what it may change: those just
    // taken, those that are decided, and of the polls those of which anything could have changed. docs/design.md 8.1.
    std::map<std::uint64_t, ExchangeRecord> exchanges;
    std::uint64_t lastPlace = 0;
    std::vector<std::uint64_t> taken;
    std::set<std::uint64_t> unanswered;                        // taken or decided
    std::map<MinionId, std::set<std::uint64_t>> polls;
    std::set<std::uint64_t> pollsToLook;                       // unconfirmed, due, or their minion was given something
    std::set<std::pair<Instant, std::uint64_t>> pollsDue;      // some of them long answered
    // Minions whose terms or leavings may be over; the others need no look before these times, or a change. docs/design.md 5.4.
    std::set<MinionId> overdue;
    bool minionsChanged = true;
    Instant nextLapse;
    ClusterTime nextLeaveOver, nextFiring;
    std::vector<std::pair<ExchangeNumber, Answer>> answers;
    bool unreadable = false;
    ViewWork viewWork;
    bool packing = false;
};

}  // namespace aniseline
