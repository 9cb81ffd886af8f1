#include "headgate/views.hpp"

namespace aniseline {

std::string minionsView(const picojson::value& answer) {
    Table table({{"MINION"}, {"STATE"}, {"AREA"}, {"RACK"}, {"CORES", Table::Align::right}, {"MEMORY", Table::Align::right}, {"RUNS", Table::Align::right},
                 {"HELD", Table::Align::right}, {"ORDERS", Table::Align::right}, {"BLAME", Table::Align::right}, {"UNHEARD", Table::Align::right}, {"NOTES"}});
    double cores = 0, used = 0;
    for (const auto& minion : listIn(answer, "minions")) {
        std::string notes;
        if (!flagIn(minion, "honours_terms")) notes += "no leases ";
        if (!flagIn(minion, "guards_room")) notes += "room unguarded";
        if (textIn(minion, "state") == "present") cores += numberIn(minion, "cores"), used += numberIn(minion, "cores_used");
        const double held = numberIn(minion, "held");
        table.add({textIn(minion, "id"), textIn(minion, "state"), textIn(minion, "area"), textIn(minion, "rack"),
                   numberText(numberIn(minion, "cores_used")) + "/" + numberText(numberIn(minion, "cores")),
                   memoryText(numberIn(minion, "memory_used_mb")) + "/" + memoryText(numberIn(minion, "memory_mb")),
                   numberText(numberIn(minion, "attempts") - held), numberText(held), numberText(numberIn(minion, "orders_pending")),
                   numberText(numberIn(minion, "blame")), spanText(numberIn(minion, "unheard_ms", -1)), notes});
    }
    return table.render() + "\n" + std::to_string(table.size()) + " minions; of those present " + numberText(used) + " of " + numberText(cores) + " cores used\n";
}

}  // namespace aniseline
