#include "cli/views.hpp"

namespace aniseline {

namespace {

std::string reservationText(const picojson::value& reservation) {
  if (!reservation.is<picojson::object>())
    return "";
  std::string workers;
  for (const auto& placement : listIn(reservation, "placements")) {
    const std::string worker = printable(textIn(placement, "worker"));
    if ((" " + workers + ",").find(" " + worker + ",") == std::string::npos)
      workers += (workers.empty() ? "" : ", ") + worker;
  }
  return "reserved: job " + printable(textIn(reservation, "job")) + ", step " +
         numberText(numberIn(reservation, "step")) + ", in " +
         spanText(std::max(0.0, numberIn(reservation, "in_ms"))) + " on " + workers +
         ", moved so far: " + numberText(numberIn(reservation, "moved")) + "\n";
}

}  // namespace

std::string planView(const picojson::value& answer) {
  const double waiting = numberIn(answer, "waiting");
  std::string text = "plan " + numberText(numberIn(answer, "plan")) + ", " + numberText(waiting) +
                     " units wait\n" + reservationText(fieldIn(answer, "reservation"));
  Table table({{"JOB"},
               {"STEP", Table::Align::right},
               {"PRIORITY", Table::Align::right},
               {"WHY IT WAITS"}});
  for (const auto& reason : listIn(answer, "reasons")) {
    char priority[32];
    std::snprintf(priority, sizeof priority, "%.3g", numberIn(reason, "priority"));
    table.add({textIn(reason, "job"), numberText(numberIn(reason, "step")), priority,
               textIn(reason, "reason")});
  }
  if (!table.size())
    return text;
  return text + "\n" + table.render() +
         (waiting > double(table.size())
              ? "and " + numberText(waiting - double(table.size())) + " more\n"
              : "");
}

}  // namespace aniseline
