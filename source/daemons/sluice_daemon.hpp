// The sluice as a daemon. docs/design.md 9.
#pragma once
#include "edge/relay.hpp"

namespace aniseline {

struct SluiceSettings {
    Address http, advertise;
    std::string area;
    std::vector<Address> seeds;
    std::int64_t threads = 2, exchanges = 2000;
    std::int64_t refresh = 200;  // milliseconds between looks at the route
    bool quiet = false;
    OuterInterface outer;
    SeedSource seedsNow;
    Address standingAddress;     // where an adapter asks whether this sluice is ready
    std::function<Answer(const HttpRequest&, bool ready)> standing;
};

// Serves until it is told to stop; the process' exit status.
int runSluice(SluiceSettings settings);

}  // namespace aniseline
