// What the replicated log holds; views are folds of these. docs/design.md 3.2.
#pragma once
#include "minion.hpp"

namespace aniseline {

struct Opened {  // a new leader's first entry
    template <class Archive> void serialize(Archive&, unsigned) {}
};
struct SetupTaken {
    Setup setup;
    template <class Archive> void serialize(Archive& archive, unsigned) { archive & setup; }
};
struct JobAllowed {
    JobSubmission submission;
    template <class Archive> void serialize(Archive& archive, unsigned) { archive & submission; }
};
struct JobCancelled {
    JobId job;
    template <class Archive> void serialize(Archive& archive, unsigned) { archive & job; }
};
struct OccurrenceFired {
    JobId job;
    template <class Archive> void serialize(Archive& archive, unsigned) { archive & job; }
};
struct Forgotten {
    std::vector<JobId> jobs;
    std::vector<JobId> shortened;   // over for a while: only what a resend and a look need is kept
    std::vector<MinionId> minions;  // gone as long ago
    template <class Archive> void serialize(Archive& archive, unsigned) { archive & jobs & shortened & minions; }
};
struct MinionSeen {  // a new minion, a new incarnation, or a changed word about itself
    MinionId minion;
    Incarnation incarnation;
    Capacity capacity;
    template <class Archive> void serialize(Archive& archive, unsigned) { archive & minion & incarnation & capacity; }
};
struct MinionSynced {
    MinionId minion;
    OrderNumber applied;
    std::vector<Ending> endings;
    std::vector<std::pair<AttemptNumber, std::string>> saves{};  // checkpoints of what runs on
    template <class Archive> void serialize(Archive& archive, unsigned) { archive & minion & applied & endings & saves; }
};
struct MinionLeaves {
    MinionId minion;
    Span within;
    bool byOperator = false;
    template <class Archive> void serialize(Archive& archive, unsigned) { archive & minion & within & byOperator; }
};
struct MinionLeaveOver {  // the deadline of its leaving passed
    MinionId minion;
    template <class Archive> void serialize(Archive& archive, unsigned) { archive & minion; }
};
struct MinionAllowed {  // back from silence, or undrained
    MinionId minion;
    template <class Archive> void serialize(Archive& archive, unsigned) { archive & minion; }
};
struct MinionSilent {
    MinionId minion;
    std::vector<AttemptNumber> givenUp;  // those whose queues wait no longer
    template <class Archive> void serialize(Archive& archive, unsigned) { archive & minion & givenUp; }
};
struct MinionGone {
    MinionId minion;
    std::string reason;
    template <class Archive> void serialize(Archive& archive, unsigned) { archive & minion & reason; }
};

struct JobFailed {  // it can never be done
    JobId job;
    std::string reason;
    template <class Archive> void serialize(Archive& archive, unsigned) { archive & job & reason; }
};

struct ReservoirNamed {  // an operator's word that a learner may take its place; or that this is over
    ReservoirId reservoir;
    bool over = false;
    template <class Archive> void serialize(Archive& archive, unsigned) { archive & reservoir & over; }
};

struct Placement {
    std::uint32_t task = 0;
    MinionId minion;
    template <class Archive> void serialize(Archive& archive, unsigned) { archive & task & minion; }
};
struct Reservation {  // the ONE reserved start, docs/paper.md 3
    JobId job;
    std::uint32_t step = 0;
    ClusterTime start;
    std::vector<Placement> placements;
    std::uint32_t moved = 0;  // how often an overrun has moved it
    bool held() const { return !job.value.empty(); }
    template <class Archive> void serialize(Archive& archive, unsigned) { archive & job & step & start & placements & moved; }
};
enum class ActionKind : std::uint8_t { start, stage, go, hold, stop };
struct Action {
    ActionKind kind = ActionKind::start;
    AttemptNumber attempt;
    JobId job;
    std::uint32_t task = 0;
    MinionId minion;
    bool trial = false;
    Span quantum;
    std::uint64_t memory = 0;
    AttemptNumber heldFor;  // of a hold: the trial it makes way for
    std::uint32_t run = 0;  // of a start
    bool twin = false;      // of a start: a copy beside the one that runs
    std::string reason;
    template <class Archive> void serialize(Archive& archive, unsigned) {
        archive & kind & attempt & job & task & minion & trial & quantum & memory & heldFor & run & twin & reason;
    }
};
struct PlanMade {
    PlanNumber number;
    std::vector<Action> actions;
    Reservation reservation;
    template <class Archive> void serialize(Archive& archive, unsigned) { archive & number & actions & reservation; }
};

using Event = boost::variant<Opened, SetupTaken, JobAllowed, JobCancelled, OccurrenceFired, Forgotten, MinionSeen, MinionSynced,
                             MinionLeaves, MinionLeaveOver, MinionAllowed, MinionSilent, MinionGone, PlanMade, ReservoirNamed, JobFailed>;

struct Record {
    ClusterTime at;
    Event event;
    template <class Archive> void serialize(Archive& archive, unsigned) { archive & at & event; }
};

}  // namespace aniseline
