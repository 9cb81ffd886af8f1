// Relays between processes of a fleet on one machine, through which an area can be cut off. docs/operations.md 6.
#pragma once
#include "edge/loop.hpp"

namespace aniseline {

class Weir {
public:
    // The area of whoever connects from an IP number; empty: from outside of all areas, never cut.
    using AreaOf = std::function<std::string(const std::string& ip)>;
    Weir(Loop& loop, AreaOf areaOf) : loop(loop), areaOf(std::move(areaOf)) {}
    // Takes connections at one address and passes them on to another, in the area named.
    Result<bool> open(const Address& at, const Address& target, std::string area);
    // A cut area neither hears nor is heard; what was under way waits, as on a real wire.
    void cut(const std::string& area, bool cut);

private:
    bool blocked(const std::string& from, const std::string& to) const;
    void pass(std::shared_ptr<tcp::socket> from, std::shared_ptr<tcp::socket> to, std::string fromArea, std::string toArea);
    Loop& loop;
    AreaOf areaOf;
    std::set<std::string> areasCut;
};

}  // namespace aniseline
