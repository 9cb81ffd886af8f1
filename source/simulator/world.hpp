// A whole cluster in virtual time, from one seed: the same core as in the daemons, with a network, disks and clocks
// that fail on purpose. docs/design.md 12.
#pragma once
#include "contacts.hpp"
#include "course.hpp"
#include "minion_hand.hpp"
#include "penstock.hpp"
#include "promises.hpp"
#include "reservoir.hpp"
#include <queue>

namespace aniseline {

struct WorldOptions {
    std::uint64_t seed = 1;
    std::size_t areas = 3, reservoirs = 3, sluices = 7, minions = 11;
    std::uint32_t cores = 16'000;  // thousandths
    std::uint64_t memory = 32 * 1024;
    std::size_t termless = 0;     // minions, from the last on, that do not honour terms
    std::size_t unguarded = 6;    // minions, from the first on, that do not guard their room
    std::size_t called = 0;       // minions beside these that are called rather than call, each with its penstock
    std::size_t twins = 0;        // minions, from the last on, that wrongly bear the first one's id
    double loss = 0;              // part of the messages between processes
    ReservoirOptions reservoir;
};

class World {
public:
    explicit World(WorldOptions options);
    ~World();

    // Time.
    std::int64_t now = 0;
    static constexpr std::int64_t calendar = 1'800'000'000'000;  // the true calendar time at virtual 0
    void after(std::int64_t delay, std::function<void()> work);
    void runUntil(std::int64_t time);
    bool runUntilTrue(const std::function<bool()>& condition, std::int64_t within);

    // Faults.
    void killReservoir(std::size_t place, bool losesUnsynced);  // restart brings it back
    void restartReservoir(std::size_t place);
    void loseDisk(std::size_t place);                           // with the kill; the restart is a new identity
    void moveReservoir(std::size_t place);                      // its next start is at a new address
    void freezeReservoir(std::size_t place, bool frozen);
    void cutReservoir(std::size_t place, bool cut);             // from everyone, both ways
    void stallDisk(std::size_t place, std::int64_t milliseconds);
    void slowDisk(std::size_t place, std::int64_t extra);
    std::vector<DiskRecord> copyDisk(std::size_t place) const;
    void putDisk(std::size_t place, std::vector<DiskRecord> records);
    void setClock(std::size_t place, std::int64_t wrongBy);
    void fillDisk(std::size_t place, bool full);                // a write then fails, and the process ends
    void handOver(std::size_t place);
    void killSluice(std::size_t place);
    void restartSluice(std::size_t place);
    void moveSluice(std::size_t place);                         // another machine, with another address, in its place
    void freezeSluice(std::size_t place, bool frozen);
    void killMinion(std::size_t place, bool forGood);
    void restartMinion(std::size_t place);
    void returnMinion(std::size_t place);                       // one that went for good is there again, empty
    void freezeMinion(std::size_t place, bool frozen);
    void cutMinion(std::size_t place, bool cut);
    void leaveMinion(std::size_t place, std::int64_t within);
    void setMinion(std::size_t place, double slow, double fail);
    // Minions that are called, and their penstocks, by place.
    void killPenstock(std::size_t place);
    void restartPenstock(std::size_t place);
    void freezePenstock(std::size_t place, bool frozen);
    void cutPenstock(std::size_t place, bool cut);
    void killCalled(std::size_t place);
    void restartCalled(std::size_t place);                      // another life
    void leaveCalled(std::size_t place, std::int64_t within, std::int64_t awayFor);
    enum class Sickness : std::uint8_t { none, stalled, refusing, mute, failing };
    void sickenCalled(std::size_t place, Sickness sickness);
    void delayOrders(std::size_t place, bool delayed);          // calls get no answer and are carried out much later
    std::size_t calledCount() const { return called.size(); }
    void cutAreas(std::size_t from, std::size_t to, bool cut);  // one way
    void healAll();
    // The keeper's word in the history that a fault begins or ends.
    void disturb(const std::string& fault, bool ends);
    // What each process acts on, for the rules of setups.
    void lookAtSetups();
    void sayReservoirs() const;  // what each believes, for whoever looks into a run

    // Callers and operators. The follower is told of the one answer, or of status 0 when there was none.
    using Follower = std::function<void(int status, const std::string& body)>;
    void ask(std::size_t sluice, const std::string& method, const std::string& target, const std::string& body, Follower follower, std::int64_t within = 3000);
    // A caller that resends after silence, asks until its job is over, and witnesses all it sees.
    void submit(const JobSubmission& job, std::int64_t cancelAfter = -1);
    void resubmit(const JobSubmission& job);
    void applySetup(const std::string& text, std::uint64_t basedOn, Follower follower, std::size_t sluice = 0);

    // What can be seen.
    std::optional<std::size_t> leader() const;
    const Reservoir* reservoir(std::size_t place) const;
    std::size_t reservoirCount() const;
    std::uint64_t startsOf(const std::string& job) const;
    bool isVoter(std::size_t place) const;
    bool isMinionUp(const std::string& id) const;
    std::size_t voterCount() const;
    std::size_t votersWanted() const { return options.reservoir.voters; }
    std::size_t bearable() const { return (votersWanted() - 1) / 2; }  // voters that may be lost at once
    // Voters whose disk is gone; nothing while their number is not the wanted one or a change of members is under way.
    std::optional<std::size_t> copiesLost() const;
    bool copiesWhole() const { return copiesLost() == std::size_t(0); }
    bool allOver() const;  // every job that was accepted has been shown as over
    std::vector<std::string> unfinished() const;
    Findings findings() const;
    std::uint64_t hash() const { return transcriptHash; }
    std::vector<Witness> history;
    std::map<std::string, JobSubmission> submissions;
    std::map<std::string, std::uint32_t> retries, tries;
    std::map<std::string, std::set<std::string>> poolsOf;  // by queue: those that any setup sent it to
    std::map<std::string, std::string> lastShown;
    std::vector<std::int64_t> acknowledgements;
    std::function<void(const std::string&)> say;  // each thing of note, for transcripts
    // The moment at which a reservoir sends an answer, or tells of something: faults are aimed at these.
    std::function<void(std::size_t place, const Exchange& exchange, const Answer& answer)> answering;
    std::function<void(std::size_t place, const Note& note)> noting;
    void witness(Witness witness);

private:
    struct Node;
    struct ReservoirNode;
    struct RoutedNode;
    struct SluiceNode;
    struct MinionNode;
    struct PenstockNode;
    struct CalledNode;
    struct Call;
    struct CallerState;
    void schedule(std::int64_t time, std::function<void()> work);
    bool cutBetween(const Node& from, const Node& to) const;
    void deliver(Node& from, Node& to, std::function<void()> work);
    void drive(ReservoirNode& node);
    void finishWrite(ReservoirNode& node, std::uint64_t generation);
    void stepSoon(ReservoirNode& node);
    void bootReservoir(ReservoirNode& node);
    void tickReservoir(ReservoirNode& node, std::uint64_t generation);
    void refreshSluice(SluiceNode& node, std::uint64_t generation);
    void relay(RoutedNode& node, Exchange exchange, std::function<void(const Answer&)> reply);
    void follow(RoutedNode& node, std::shared_ptr<RelayCourse> course, Exchange exchange, RelayCourse::Step step, std::function<void(const Answer&)> reply);
    void askReservoir(Node& from, const Address& target, const Exchange& exchange, std::int64_t within, std::function<void(std::optional<Answer>, RelayCourse::Loss)> reply);
    void askSluice(Node& from, std::size_t sluice, const std::string& method, const std::string& target, const std::string& body, std::int64_t within, Follower follower);
    void bootMinion(MinionNode& node);
    void tickMinion(MinionNode& node, std::uint64_t generation);
    void syncMinion(MinionNode& node, bool patient);
    void learnContacts(MinionNode& node, std::size_t place);
    void followEffects(MinionNode& node);
    void bootPenstock(PenstockNode& node);
    void tickPenstock(PenstockNode& node, std::uint64_t generation);
    void learnRoute(PenstockNode& node, std::uint64_t generation);
    void syncPenstock(PenstockNode& node, bool patient);
    void perform(PenstockNode& node, const MinionCall& call);
    void bootCalled(CalledNode& node);
    void tickCalled(CalledNode& node, std::uint64_t generation);
    void beat(CalledNode& node);
    void endCalled(CalledNode& node);
    void nextTo(Node& to, std::function<void()> work);
    void trySubmit(std::shared_ptr<CallerState> state);
    void tryCancel(std::shared_ptr<CallerState> state);
    void watch(std::shared_ptr<CallerState> state);
    void freeze(Node& node, bool frozen);
    ReservoirNode* at(const Address& address);

    struct Event {
        std::int64_t time;
        std::uint64_t order;
        std::function<void()> work;
        bool operator<(const Event& other) const { return std::tie(time, order) > std::tie(other.time, other.order); }
    };
    WorldOptions options;
    Draw draw;
    std::priority_queue<Event> events;
    std::uint64_t nextEvent = 0;
    std::uint64_t transcriptHash = 1469598103934665603ull;
    std::vector<std::unique_ptr<ReservoirNode>> reservoirs;
    std::vector<std::unique_ptr<SluiceNode>> sluices;
    std::vector<std::unique_ptr<MinionNode>> minions;
    std::vector<std::unique_ptr<PenstockNode>> penstocks;
    std::vector<std::unique_ptr<CalledNode>> called;
    struct Meetings;
    std::unique_ptr<Meetings> meetings;
    std::unique_ptr<Node> outside;  // callers and operators
    std::set<std::pair<std::size_t, std::size_t>> cuts;
    std::vector<std::shared_ptr<CallerState>> callers;
    std::vector<Address> seeds;
    std::size_t sluiceAt(const Address& address) const;
    std::uint64_t nextIdentity = 1, nextAddress = 1, nextSluiceAddress = 1, nextExchange = 1;
    std::map<ExchangeNumber, std::function<void(const Answer&)>> pending;
};

}  // namespace aniseline
