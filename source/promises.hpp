// tailrace's core: the brief's twelve never-rules, checked from what callers and minions witnessed. docs/design.md 11.
#pragma once
#include "job.hpp"

namespace aniseline {

// One line of a witness' history. Times are one clock's milliseconds for all witnesses of a fleet on one machine.
struct Witness {
    enum class Kind : std::uint8_t {
        submitted, accepted, rejected, unknown, shown, cancelAcknowledged,   // callers
        started, held, resumed, ended, confirmed, leaving, capacity,         // minions
        setupAcknowledged, setupSeen,                                        // operators and processes
        whole, served,                                                       // the fleet's keeper: all is whole; service seen
        vanished                                                             // a minion's process, with all that ran in it
    };
    Kind kind = Kind::submitted;
    std::int64_t at = 0;
    std::string job;
    std::uint32_t task = 0;
    std::string minion;
    std::string attempt;
    std::string detail;  // a state shown, an ending's kind
    std::uint64_t version = 0;
    std::uint32_t cores = 0;
    std::uint64_t memory = 0;
    bool trial = false;
    bool guards = false;
    std::string line() const;
    static std::optional<Witness> parse(const std::string& line);
};
const char* name(Witness::Kind kind);

struct BrokenPromise {
    int rule = 0;  // 1 to 12, in the brief's order; docs/design.md 11
    std::int64_t at = 0;
    std::string text;
};

struct PromiseOptions {
    std::map<std::string, std::uint32_t> retriesOf;  // by queue
    std::int64_t slack = 300;                        // ms, for what the witness' own clock reading may be late
    bool ended = true;                               // the history is complete: what is open now stays open
};

// The submissions are those of the callers' history; they carry what a job's steps and gangs are.
std::vector<BrokenPromise> checkPromises(std::vector<Witness> history, const std::map<std::string, JobSubmission>& submissions, const PromiseOptions& options);

}  // namespace aniseline
