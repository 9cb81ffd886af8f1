#include "headgate/views.hpp"

namespace aniseline {

namespace {

constexpr double silentAfter = 2000;  // milliseconds, as the leader counts it. docs/design.md 3.5

std::string attention(const picojson::array& reservoirs) {
    int voters = 0, heard = 0;
    for (const auto& reservoir : reservoirs) {
        if (!flagIn(reservoir, "voter")) continue;
        ++voters;
        const double unheard = numberIn(reservoir, "unheard_ms", -1);
        heard += unheard >= 0 && unheard < silentAfter;
    }
    if (voters >= 3 && heard == voters) return "";
    return "attention: " + std::to_string(heard) + " of " + std::to_string(voters) + " voters heard within " + spanText(silentAfter) + (voters < 3 ? "; three are needed" : "") + "\n";
}

}  // namespace

std::string clusterView(const picojson::value& answer) {
    const auto& reservoirs = listIn(answer, "reservoirs");
    const double last = numberIn(answer, "last");
    Table members({{"RESERVOIR"}, {"ADDRESS"}, {"AREA"}, {"ROLE"}, {"BEHIND", Table::Align::right}, {"UNHEARD", Table::Align::right}});
    for (const auto& reservoir : reservoirs)
        members.add({textIn(reservoir, "id"), textIn(reservoir, "address"), textIn(reservoir, "area"),
                     flagIn(reservoir, "leads") ? "leader" : flagIn(reservoir, "voter") ? "voter" : "learner",
                     numberText(std::max(0.0, last - numberIn(reservoir, "match"))), spanText(numberIn(reservoir, "unheard_ms", -1))});
    Table sluices({{"SLUICE"}, {"AREA"}, {"UNHEARD", Table::Align::right}});
    for (const auto& sluice : listIn(answer, "sluices")) sluices.add({textIn(sluice, "address"), textIn(sluice, "area"), spanText(numberIn(sluice, "unheard_ms", -1))});
    return "epoch " + numberText(numberIn(answer, "epoch")) + ", committed " + numberText(numberIn(answer, "commit")) + " of " + numberText(last) + ", setup " +
           numberText(numberIn(answer, "setup")) + ", cluster time " + timeText(numberIn(answer, "cluster_time_ms")) + "\n" + attention(reservoirs) + "\n" +
           members.render() + (sluices.size() ? "\n" + sluices.render() : "");
}

std::string countersView(const picojson::value& answer) {
    Table table({{"COUNTER"}, {"VALUE", Table::Align::right}});
    if (answer.is<picojson::object>())
        for (const auto& [name, value] : answer.get<picojson::object>()) table.add({name, value.is<double>() ? numberText(value.get<double>()) : value.to_str()});
    return table.render();
}

}  // namespace aniseline
