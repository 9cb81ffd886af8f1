// Renders workers with their capacity, load and state.
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
  for (const auto& worker : listField(answer, "workers")) {
    std::string notes;
    if (!flagField(worker, "honours_leases"))
      notes += "no leases ";
    if (!flagField(worker, "guards_room"))
      notes += "room unguarded";
    if (textField(worker, "state") == "present")
      cores += numberField(worker, "cores"), used += numberField(worker, "cores_used");
    const double suspended = numberField(worker, "held");
    table.add({textField(worker, "id"), textField(worker, "state"), textField(worker, "zone"),
               textField(worker, "rack"),
               formatNumber(numberField(worker, "cores_used")) + "/" +
                   formatNumber(numberField(worker, "cores")),
               formatMemory(numberField(worker, "memory_used_mb")) + "/" +
                   formatMemory(numberField(worker, "memory_mb")),
               formatNumber(numberField(worker, "attempts") - suspended), formatNumber(suspended),
               formatNumber(numberField(worker, "orders_pending")),
               formatNumber(numberField(worker, "failureScore")),
               formatDuration(numberField(worker, "unheard_ms", -1)), notes});
  }
  return table.render() + "\n" + std::to_string(table.size()) + " workers; of those present " +
         formatNumber(used) + " of " + formatNumber(cores) + " cores used\n";
}

}  // namespace aniseline
