// The penstock as a daemon: the agent beside one minion that is called rather than calls. docs/design.md 5.8, 9.
#pragma once
#include "edge/relay.hpp"
#include "penstock.hpp"

namespace aniseline {

// How a kind of minion is spoken to; an adapter gives these.
struct MinionWords {
    std::function<HttpRequest(const MinionCall&)> render;
    std::function<MinionReply(const MinionCall&, const Result<HttpAnswer, HttpError>&)> read;
    struct Word {
        MinionAccount account;
        bool left = false;  // it ends
    };
    std::function<std::optional<Word>(const HttpRequest&)> hear;  // nothing: the request is none of a minion's
};

struct PenstockSettings {
    Address listen;   // where the minion makes itself known
    Address minion;   // where it is called
    std::string area;
    std::vector<Address> seeds;
    bool quiet = false;
    PenstockOptions options;
    Span patience{1000};  // a sync waits for orders this long
    Span tellWithin{900}; // a word of leaving is answered by then, or not acknowledged
    MinionWords words;
    SeedSource seedsNow;
};

// Serves until it is told to stop; the process' exit status.
int runPenstock(PenstockSettings settings);

}  // namespace aniseline
