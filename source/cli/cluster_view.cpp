#include "cli/views.hpp"

namespace aniseline {

namespace {

constexpr double silentAfter = 2000;  // milliseconds, as the leader counts it. docs/design.md 3.5

std::string attention(const picojson::array& controllers) {
  int voters = 0, heard = 0;
  for (const auto& controller : controllers) {
    if (!flagIn(controller, "voter"))
      continue;
    ++voters;
    const double unheard = numberIn(controller, "unheard_ms", -1);
    heard += unheard >= 0 && unheard < silentAfter;
  }
  if (voters >= 3 && heard == voters)
    return "";
  return "attention: " + std::to_string(heard) + " of " + std::to_string(voters) +
         " voters heard within " + spanText(silentAfter) +
         (voters < 3 ? "; three are needed" : "") + "\n";
}

}  // namespace

std::string clusterView(const picojson::value& answer) {
  const auto& controllers = listIn(answer, "controllers");
  const double last = numberIn(answer, "last");
  Table members({{"CONTROLLER"},
                 {"ADDRESS"},
                 {"ZONE"},
                 {"ROLE"},
                 {"BEHIND", Table::Align::right},
                 {"UNHEARD", Table::Align::right}});
  for (const auto& controller : controllers)
    members.add({textIn(controller, "id"), textIn(controller, "address"),
                 textIn(controller, "zone"),
                 flagIn(controller, "leads")   ? "leader"
                 : flagIn(controller, "voter") ? "voter"
                                               : "learner",
                 numberText(std::max(0.0, last - numberIn(controller, "match"))),
                 spanText(numberIn(controller, "unheard_ms", -1))});
  Table gateways({{"GATEWAY"}, {"ZONE"}, {"UNHEARD", Table::Align::right}});
  for (const auto& gateway : listIn(answer, "gateways"))
    gateways.add({textIn(gateway, "address"), textIn(gateway, "zone"),
                  spanText(numberIn(gateway, "unheard_ms", -1))});
  return "term " + numberText(numberIn(answer, "term")) + ", committed " +
         numberText(numberIn(answer, "commit")) + " of " + numberText(last) + ", config " +
         numberText(numberIn(answer, "config")) + ", cluster time " +
         timeText(numberIn(answer, "cluster_time_ms")) + "\n" + attention(controllers) + "\n" +
         members.render() + (gateways.size() ? "\n" + gateways.render() : "");
}

std::string countersView(const picojson::value& answer) {
  Table table({{"COUNTER"}, {"VALUE", Table::Align::right}});
  if (answer.is<picojson::object>())
    for (const auto& [name, value] : answer.get<picojson::object>())
      table.add({name, value.is<double>() ? numberText(value.get<double>()) : value.to_str()});
  return table.render();
}

}  // namespace aniseline
