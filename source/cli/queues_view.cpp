#include "cli/views.hpp"
#include "state/cluster_config.hpp"

namespace aniseline {

namespace {

Table queueTable() {
  return Table({{"QUEUE"},
                {"URGENCY", Table::Align::right},
                {"OPEN", Table::Align::right},
                {"LIMIT", Table::Align::right},
                {"RESERVED", Table::Align::right},
                {"RETRIES", Table::Align::right},
                {"TRIAL", Table::Align::right},
                {"POLICY"}});
}
picojson::object queueObject(const QueueOptions& queue) {
  return {
      {"name", json(queue.name.value)},      {"urgency", json(queue.urgency)},
      {"open_limit", json(queue.openLimit)}, {"reserved", json(queue.reserved)},
      {"retries", json(queue.retries)},      {"trial_ms", json(queue.trial.quantum.milliseconds)},
      {"policy", json(queue.policy)}};
}

}  // namespace

picojson::value queuesOf(const picojson::value& config, const picojson::value& openJobs) {
  std::map<std::string, double> open;
  for (const auto& job : listIn(openJobs, "jobs"))
    ++open[textIn(job, "queue")];
  picojson::array queues;
  if (auto parsed = ClusterConfig::parse(fieldIn(config, "config").serialize())) {
    for (const auto& [name, options] : parsed.value().queues) {
      auto queue = queueObject(options);
      if (openJobs.is<picojson::object>())
        queue["open"] = json(open[name.value]);
      open.erase(name.value);
      queues.push_back(json(queue));
    }
  }
  // Named by no config any more: closed to new jobs. docs/design.md 6.4.
  for (const auto& [name, count] : open)
    queues.push_back(json(
        picojson::object{{"name", json(name)}, {"open", json(count)}, {"closed", json(true)}}));
  const double listed = double(listIn(openJobs, "jobs").size());
  return json(
      picojson::object{{"version", json(numberIn(config, "version"))},
                       {"queues", json(queues)},
                       {"uncounted", json(std::max(0.0, numberIn(openJobs, "open") - listed))}});
}

std::string queuesView(const picojson::value& queues) {
  Table table = queueTable();
  for (const auto& queue : listIn(queues, "queues")) {
    const std::string open =
        fieldIn(queue, "open").is<double>() ? numberText(numberIn(queue, "open")) : "-";
    if (flagIn(queue, "closed"))
      table.add({textIn(queue, "name"), "-", open, "closed", "-", "-", "-", "-"});
    else
      table.add({textIn(queue, "name"), numberText(numberIn(queue, "urgency")), open,
                 numberText(numberIn(queue, "open_limit")), numberText(numberIn(queue, "reserved")),
                 numberText(numberIn(queue, "retries")),
                 numberIn(queue, "trial_ms") > 0 ? spanText(numberIn(queue, "trial_ms")) : "-",
                 textIn(queue, "policy")});
  }
  const double uncounted = numberIn(queues, "uncounted");
  return "config " + numberText(numberIn(queues, "version")) + "\n\n" + table.render() +
         (uncounted > 0 ? "counted are the first 1000 open jobs; " + numberText(uncounted) +
                              " more are open or timed\n"
                        : "");
}

std::string configView(const picojson::value& answer) {
  const auto config = fieldIn(answer, "config");
  if (!config.is<picojson::object>())
    return "config " + numberText(numberIn(answer, "version")) + "\n";
  const auto queues = queuesOf(answer, picojson::value());
  std::string text = queuesView(queues);
  Table policies({{"POLICY"}, {"RANK"}, {"MAY HOLD"}});
  if (const auto given = fieldIn(config, "policies"); given.is<picojson::object>())
    for (const auto& [name, policy] : given.get<picojson::object>())
      policies.add({name, textIn(policy, "rank"), textIn(policy, "may_hold")});
  if (policies.size())
    text += "\n" + policies.render();
  Table planner({{"PLANNER"}, {"VALUE", Table::Align::right}});
  if (const auto given = fieldIn(config, "planner"); given.is<picojson::object>())
    for (const auto& [name, value] : given.get<picojson::object>())
      planner.add({name, value.is<double>() ? numberText(value.get<double>()) : value.serialize()});
  if (planner.size())
    text += "\n" + planner.render();
  return text;
}

}  // namespace aniseline
