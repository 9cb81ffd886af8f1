// Renders the waiting work with the reasons why it waits, and the reserved start.
#include "cli/views.hpp"

namespace aniseline {

namespace {

std::string reservationText(const picojson::value& reservation) {
  if (!reservation.is<picojson::object>())
    return "";
  std::string workers;
  for (const auto& placement : listField(reservation, "placements")) {
    const std::string worker = printable(textField(placement, "worker"));
    if ((" " + workers + ",").find(" " + worker + ",") == std::string::npos)
      workers += (workers.empty() ? "" : ", ") + worker;
  }
  return "reserved: job " + printable(textField(reservation, "job")) + ", step " +
         formatNumber(numberField(reservation, "step")) + ", in " +
         formatDuration(std::max(0.0, numberField(reservation, "in_ms"))) + " on " + workers +
         ", moved so far: " + formatNumber(numberField(reservation, "moved")) + "\n";
}

}  // namespace

std::string planView(const picojson::value& answer) {
  const double waiting = numberField(answer, "waiting");
  std::string text = "plan " + formatNumber(numberField(answer, "plan")) + ", " +
                     formatNumber(waiting) + " units wait\n" +
                     reservationText(jsonField(answer, "reservation"));
  Table table({{"JOB"},
               {"STEP", Table::Align::right},
               {"PRIORITY", Table::Align::right},
               {"WHY IT WAITS"}});
  for (const auto& reason : listField(answer, "reasons")) {
    char priority[32];
    std::snprintf(priority, sizeof priority, "%.3g", numberField(reason, "priority"));
    table.add({textField(reason, "job"), formatNumber(numberField(reason, "step")), priority,
               textField(reason, "reason")});
  }
  if (!table.size())
    return text;
  return text + "\n" + table.render() +
         (waiting > double(table.size())
              ? "and " + formatNumber(waiting - double(table.size())) + " more\n"
              : "");
}

}  // namespace aniseline
