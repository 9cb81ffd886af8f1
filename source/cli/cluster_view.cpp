// Renders the members of the cluster and its counters as tables.
#include "cli/views.hpp"

namespace aniseline {

namespace {

// A voter counts as silent after this many milliseconds without contact, the same limit as the
// leader uses. docs/design.md 3.5
constexpr double silentVoterLimit = 2000;

std::string voterWarning(const picojson::array& controllers) {
  int voters = 0, reachable = 0;
  for (const auto& controller : controllers) {
    if (!flagField(controller, "voter"))
      continue;
    ++voters;
    const double sinceContact = numberField(controller, "unheard_ms", -1);
    reachable += sinceContact >= 0 && sinceContact < silentVoterLimit;
  }
  if (voters >= 3 && reachable == voters)
    return "";
  return "attention: " + std::to_string(reachable) + " of " + std::to_string(voters) +
         " voters heard within " + formatDuration(silentVoterLimit) +
         (voters < 3 ? "; three are needed" : "") + "\n";
}

}  // namespace

std::string clusterView(const picojson::value& answer) {
  const auto& controllers = listField(answer, "controllers");
  const double last = numberField(answer, "last");
  Table members({{"CONTROLLER"},
                 {"ADDRESS"},
                 {"ZONE"},
                 {"ROLE"},
                 {"BEHIND", Table::Align::right},
                 {"UNHEARD", Table::Align::right}});
  for (const auto& controller : controllers)
    members.add({textField(controller, "id"), textField(controller, "address"),
                 textField(controller, "zone"),
                 flagField(controller, "leads")   ? "leader"
                 : flagField(controller, "voter") ? "voter"
                                                  : "learner",
                 formatNumber(std::max(0.0, last - numberField(controller, "match"))),
                 formatDuration(numberField(controller, "unheard_ms", -1))});
  Table gateways({{"GATEWAY"}, {"ZONE"}, {"UNHEARD", Table::Align::right}});
  for (const auto& gateway : listField(answer, "gateways"))
    gateways.add({textField(gateway, "address"), textField(gateway, "zone"),
                  formatDuration(numberField(gateway, "unheard_ms", -1))});
  return "term " + formatNumber(numberField(answer, "term")) + ", committed " +
         formatNumber(numberField(answer, "commit")) + " of " + formatNumber(last) + ", config " +
         formatNumber(numberField(answer, "config")) + ", cluster time " +
         formatTime(numberField(answer, "cluster_time_ms")) + "\n" + voterWarning(controllers) +
         "\n" + members.render() + (gateways.size() ? "\n" + gateways.render() : "");
}

std::string countersView(const picojson::value& answer) {
  Table table({{"COUNTER"}, {"VALUE", Table::Align::right}});
  if (answer.is<picojson::object>())
    for (const auto& [name, value] : answer.get<picojson::object>())
      table.add({name, value.is<double>() ? formatNumber(value.get<double>()) : value.to_str()});
  return table.render();
}

}  // namespace aniseline
