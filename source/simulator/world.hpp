// A whole cluster in virtual time, from one seed: the same core as in the daemons, with a network, disks and clocks
// that fail on purpose. docs/design.md 12.
#pragma once
#include "course.hpp"
#include "minion_hand.hpp"
#include "promises.hpp"
#include "reservoir.hpp"
#include <queue>

namespace aniseline {

struct WorldOptions {
    std::uint64_t seed = 1;
    std::size_t areas = 3, sluices = 7, minions = 11;
    std::uint32_t cores = 16;
    std::uint64_t memory = 32 * 1024;
    std::size_t termless = 0;     // minions, from the last on, that do not honour terms
    std::size_t unguarded = 6;    // minions, from the first on, that do not guard their room
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
    void stallDisk(std::size_t place, std::int64_t milliseconds);
    void slowDisk(std::size_t place, std::int64_t extra);
    std::vector<DiskRecord> copyDisk(std::size_t place) const;
    void putDisk(std::size_t place, std::vector<DiskRecord> records);
    void setClock(std::size_t place, std::int64_t wrongBy);
    void handOver(std::size_t place);
    void killSluice(std::size_t place);
    void restartSluice(std::size_t place);
    void freezeSluice(std::size_t place, bool frozen);
    void killMinion(std::size_t place, bool forGood);
    void restartMinion(std::size_t place);
    void freezeMinion(std::size_t place, bool frozen);
    void cutMinion(std::size_t place, bool cut);
    void leaveMinion(std::size_t place, std::int64_t within);
    void setMinion(std::size_t place, double slow, double fail);
    void cutAreas(std::size_t from, std::size_t to, bool cut);  // one way
    void healAll();

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
    std::size_t voterCount() const;
    bool allOver() const;  // every job that was accepted has been shown as over
    std::vector<std::string> unfinished() const;
    std::vector<BrokenPromise> broken(bool witnessWhole = true) const;
    std::uint64_t hash() const { return transcriptHash; }
    std::vector<Witness> history;
    std::map<std::string, JobSubmission> submissions;
    std::map<std::string, std::uint32_t> retries;
    std::map<std::string, std::string> lastShown;
    std::vector<std::int64_t> acknowledgements, urgentStarts;
    std::size_t unanswered = 0;
    std::function<void(const std::string&)> say;  // each thing of note, for transcripts
    void witness(Witness witness);

private:
    struct Node;
    struct ReservoirNode;
    struct SluiceNode;
    struct MinionNode;
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
    void relay(SluiceNode& node, Exchange exchange, std::function<void(const Answer&)> reply);
    void follow(SluiceNode& node, std::shared_ptr<RelayCourse> course, Exchange exchange, RelayCourse::Step step, std::function<void(const Answer&)> reply);
    void askReservoir(SluiceNode& from, const Address& target, const Exchange& exchange, std::int64_t within, std::function<void(std::optional<Answer>, RelayCourse::Loss)> reply);
    void askSluice(Node& from, std::size_t sluice, const std::string& method, const std::string& target, const std::string& body, std::int64_t within, Follower follower);
    void bootMinion(MinionNode& node);
    void tickMinion(MinionNode& node, std::uint64_t generation);
    void syncMinion(MinionNode& node, bool patient);
    void followEffects(MinionNode& node);
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
    std::unique_ptr<Node> outside;  // callers and operators
    std::set<std::pair<std::size_t, std::size_t>> cuts;
    std::vector<std::shared_ptr<CallerState>> callers;
    std::vector<Address> seeds;
    std::uint64_t nextIdentity = 1, nextAddress = 1, nextExchange = 1;
    std::map<ExchangeNumber, std::function<void(const Answer&)>> pending;
};

// One seeded run with faults of every kind the brief names. docs/design.md 12.3.
struct CampaignOptions {
    std::uint64_t seed = 1;
    std::int64_t length = 60'000;
    std::size_t faults = 12;
    std::vector<std::size_t> only;  // the places of the faults to keep; empty: all
    bool verbose = false;
};
struct CampaignResult {
    std::vector<BrokenPromise> broken;
    std::vector<std::string> unfinished;
    std::vector<std::string> faults;
    std::uint64_t hash = 0;
    std::size_t jobs = 0, starts = 0, unanswered = 0;
    std::int64_t recovery = 0;  // virtual ms from whole to served
    std::map<std::string, double> counters;
    bool good() const { return broken.empty() && unfinished.empty() && unanswered == 0; }
};
CampaignResult runCampaign(const CampaignOptions& options);

std::string standardSetup(const std::string& change = "");

}  // namespace aniseline
