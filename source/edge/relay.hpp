// A sluice's way from a typed exchange to the leader and back. docs/design.md 9.2.
#pragma once
#include "edge/route.hpp"
#include "edge/wire.hpp"

namespace aniseline {

class Relay {
public:
    // givingUp: this process ends, and what is under way gets its last answer now.
    Relay(Loop& loop, const RouteBoard& board, std::vector<Address> seeds, std::function<bool()> givingUp)
        : loop(loop), board(board), seeds(std::move(seeds)), givingUp(std::move(givingUp)) {}
    Answer relay(const Exchange& exchange);

private:
    WireCaller& callerTo(const Address& address);
    Loop& loop;
    const RouteBoard& board;
    std::vector<Address> seeds;
    std::function<bool()> givingUp;
    std::map<Address, std::unique_ptr<WireCaller>> callers;
};

}  // namespace aniseline
