#include "cli/views.hpp"

namespace aniseline {

namespace {

constexpr double silentAfter = 2000;  // milliseconds, as the leader counts it. docs/design.md 3.5

std::string attention(const picojson::array& controllers) {
  int voters = 0, heard = 0;
  for (const auto& controller : controllers) {
    if (!flagField(controller, "voter"))
      continue;
    ++voters;
    const double unheard = numberField(controller, "unheard_ms", -1);
    heard += unheard >= 0 && unheard < silentAfter;
  }
  if (voters >= 3 && heard == voters)
    return "";
  return "attention: " + std::to_string(heard) + " of " + std::to_string(voters) +
         " voters heard within " + formatDuration(silentAfter) +
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
         formatTime(numberField(answer, "cluster_time_ms")) + "\n" + attention(controllers) + "\n" +
         members.render() + (gateways.size() ? "\n" + gateways.render() : "");
}

std::string countersView(const picojson::value& answer) {
  Table table({{"COUNTER"}, {"VALUE", Table::Align::right}});
  if (answer.is<picojson::object>())
    for (const auto& [name, value] : answer.get<picojson::object>())
      table.add({name, value.is<double>() ? formatNumber(value.get<double>()) : value.to_str()});
  return table.render();
}

}  // namespace aniseline
