#include "cli/views.hpp"

namespace aniseline {

std::string workersView(const picojson::value& answer) {
  Table table({{"WORKER"},
               {"STATE"},
               {"ZONE"},
               {"RACK"},
               {"CORES", Table::Align::right},
               {"MEMORY", Table::Align::right},
               {"RUNS", Table::Align::right},
               {"HELD", Table::Align::right},
               {"ORDERS", Table::Align::right},
               {"BLAME", Table::Align::right},
               {"UNHEARD", Table::Align::right},
               {"NOTES"}});
  double cores = 0, used = 0;
  for (const auto& worker : listIn(answer, "workers")) {
    std::string notes;
    if (!flagIn(worker, "honours_leases"))
      notes += "no leases ";
    if (!flagIn(worker, "guards_room"))
      notes += "room unguarded";
    if (textIn(worker, "state") == "present")
      cores += numberIn(worker, "cores"), used += numberIn(worker, "cores_used");
    const double held = numberIn(worker, "held");
    table.add(
        {textIn(worker, "id"), textIn(worker, "state"), textIn(worker, "zone"),
         textIn(worker, "rack"),
         numberText(numberIn(worker, "cores_used")) + "/" + numberText(numberIn(worker, "cores")),
         memoryText(numberIn(worker, "memory_used_mb")) + "/" +
             memoryText(numberIn(worker, "memory_mb")),
         numberText(numberIn(worker, "attempts") - held), numberText(held),
         numberText(numberIn(worker, "orders_pending")),
         numberText(numberIn(worker, "failureScore")), spanText(numberIn(worker, "unheard_ms", -1)),
         notes});
  }
  return table.render() + "\n" + std::to_string(table.size()) + " workers; of those present " +
         numberText(used) + " of " + numberText(cores) + " cores used\n";
}

}  // namespace aniseline
