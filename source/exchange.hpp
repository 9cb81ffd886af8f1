// What callers, minions and operators ask, typed, and what they are told. docs/api.md, docs/design.md 8.
#pragma once
#include "minion.hpp"

namespace aniseline {

enum class Ask : std::uint8_t {
    submitJob, cancelJob, showJob, listJobs, applySetup, showSetup, sync, leave, drain, undrain, declareGone,
    listMinions, showCluster, showPlan, showCounters, replaceReservoir, exportState, showPhase, countWaiting, readSetup
};
const char* name(Ask ask);

struct Exchange {
    Ask ask = Ask::showCounters;
    std::string id;    // the job, minion or reservoir named in the target
    std::string text;  // a setup's text, a queue or state to list
    SetupVersion basedOn;
    std::uint64_t limit = 100;
    Span within{0};
    JobSubmission job;
    SyncReport report;
    std::string host, path;   // of one that came by an entrance; the setup in force says which queue that is. docs/design.md 6.6
    std::string readySetup;   // a packed Setup that an adapter has read, in place of a text
    Span patience{2500};      // how long whoever asks will wait; not sent on
    bool byEntrance() const { return !path.empty(); }
    template <class Archive> void serialize(Archive& archive, unsigned) {
        archive & ask & id & text & basedOn & limit & within & host & path & readySetup;
        // What only some exchanges carry is not sent with the others.
        if (ask == Ask::submitJob) archive & job;
        if (ask == Ask::sync) archive & report;
    }
    // Turns a request of the outer interface into a typed exchange, or names every fault in it.
    static Result<Exchange> parse(const std::string& method, const std::string& target, const std::string& body);
};

struct Answer {
    int status = 200;
    std::string body;
    Span retryAfter{0};
    std::string kind;        // of an error, as in the body
    std::string word;        // a job's phase, for who wants no more
    std::uint64_t number = 0;
    bool notLeader = false;  // nothing was done; ask the leader named here
    Address leader;
    template <class Archive> void serialize(Archive& archive, unsigned) { archive & status & body & retryAfter & kind & word & number & notLeader & leader; }
    static Answer of(int status, const picojson::object& body);
    static Answer error(int status, const std::string& kind, const std::string& text, Span retryAfter = Span{0});
    static Answer from(const CoreError& error);
    static Answer unknown(const std::string& text);
    static Answer notTaken(const std::string& text);  // surely nothing was done: ask again
};

// A sluice as others reach it.
struct Contact {
    Address address;
    AreaName area;
    template <class Archive> void serialize(Archive& archive, unsigned) { archive & address & area; }
};
// Addresses as a process of an area had best try them: its own area's first, each asker beginning elsewhere.
std::vector<Address> preferred(const std::vector<Contact>& contacts, const AreaName& area, std::uint64_t spread);

// What sluices hold of the cluster: the way to the leader. docs/design.md 9.2.
struct RouteView {
    Epoch epoch;
    Address leader;
    std::vector<Address> reservoirs;
    std::vector<Contact> sluices;  // for minions and callers
    SetupVersion setup;
    std::vector<QueueName> urgent;  // queues whose submissions are let in last to be turned away
    // Takes what another process tells, unless it is older; a setup's version never slips back. docs/design.md 6.5.
    bool takeNewer(RouteView told) {
        if (told.epoch < epoch) return false;
        told.setup = std::max(told.setup, setup);
        if (told.leader.value.empty() && told.epoch == epoch) told.leader = leader;
        *this = std::move(told);
        return true;
    }
    // Of the room for exchanges a fifth is kept for urgent submissions and for all that is no submission. docs/design.md 10.
    bool mayTake(const Exchange& exchange, std::size_t underWay, std::size_t most) const;
    template <class Archive> void serialize(Archive& archive, unsigned) { archive & epoch & leader & reservoirs & sluices & setup & urgent; }
};

bool roomFor(Ask ask, bool plain, std::size_t underWay, std::size_t most);

// JSON of a minion's sync, both ways.
std::string renderReport(const SyncReport& report);
std::string renderJob(const JobSubmission& job);
struct SyncAnswer {
    Epoch epoch;
    std::vector<Order> orders;
    std::vector<AttemptNumber> confirmed;
    Span term{3000};
    std::vector<Address> sluices;
    std::uint32_t closed = 0;  // so many of the report's named endings, from the first on, are final
    OrderNumber after;         // of a penstock's: the orders are all that are open past this one; earlier ones were in another answer
    template <class Archive> void serialize(Archive& archive, unsigned) { archive & epoch & orders & confirmed & term & closed & after; }
    picojson::object render() const;
    static Result<SyncAnswer> parse(const std::string& body);
};

inline picojson::value json(const std::string& text) { return picojson::value(text); }
inline picojson::value json(const char* text) { return picojson::value(std::string(text)); }
inline picojson::value json(bool flag) { return picojson::value(flag); }
template <class Number> requires(std::is_arithmetic_v<Number> && !std::is_same_v<Number, bool>)
picojson::value json(Number number) { return picojson::value(double(number)); }
inline picojson::value json(picojson::object object) { return picojson::value(std::move(object)); }
inline picojson::value json(picojson::array array) { return picojson::value(std::move(array)); }

}  // namespace aniseline
