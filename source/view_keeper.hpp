// Keeps a fold of its own from which whole views are packed, off the thread that leads and plans. docs/design.md 3.4.
#pragma once
#include "ledger.hpp"

namespace aniseline {

// What the core hands over, in the order in which it came about.
struct ViewWork {
    std::optional<std::string> restart;  // a view to begin from
    std::vector<std::string> records;    // committed since
    std::optional<LogIndex> pack;        // wanted: the view of all that up to here
    bool empty() const { return !restart && records.empty() && !pack; }
};
struct PackedView {
    LogIndex index;
    std::string state;
};

class ViewKeeper {
public:
    std::optional<PackedView> work(const ViewWork& work);

private:
    Ledger ledger;
};

}  // namespace aniseline
