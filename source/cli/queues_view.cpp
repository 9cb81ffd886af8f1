// Renders the queues with their open jobs, and the configuration.
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
      {"name", json(queue.name.value)},        {"urgency", json(queue.priority)},
      {"open_limit", json(queue.maxOpenJobs)}, {"reserved", json(queue.reservedOpenJobs)},
      {"retries", json(queue.maxRetries)},     {"trial_ms", json(queue.trial.quantum.milliseconds)},
      {"policy", json(queue.policy)}};
}

}  // namespace

picojson::value queuesWithOpenJobs(const picojson::value& config, const picojson::value& openJobs) {
  std::map<std::string, double> open;
  for (const auto& job : listField(openJobs, "jobs"))
    ++open[textField(job, "queue")];
  picojson::array queues;
  if (auto parsed = ClusterConfig::parse(jsonField(config, "config").serialize())) {
    for (const auto& [name, options] : parsed.value().queues) {
      auto queue = queueObject(options);
      if (openJobs.is<picojson::object>())
        queue["open"] = json(open[name.value]);
      open.erase(name.value);
      queues.push_back(json(queue));
    }
  }
  // The remaining queues are no longer in the configuration: they are closed to new jobs.
  // docs/design.md 6.4.
  for (const auto& [name, count] : open)
    queues.push_back(json(
        picojson::object{{"name", json(name)}, {"open", json(count)}, {"closed", json(true)}}));
  const double listed = double(listField(openJobs, "jobs").size());
  return json(
      picojson::object{{"version", json(numberField(config, "version"))},
                       {"queues", json(queues)},
                       {"uncounted", json(std::max(0.0, numberField(openJobs, "open") - listed))}});
}

std::string queuesView(const picojson::value& queues) {
  Table table = queueTable();
  for (const auto& queue : listField(queues, "queues")) {
    const std::string open =
        jsonField(queue, "open").is<double>() ? formatNumber(numberField(queue, "open")) : "-";
    if (flagField(queue, "closed"))
      table.add({textField(queue, "name"), "-", open, "closed", "-", "-", "-", "-"});
    else
      table.add({textField(queue, "name"), formatNumber(numberField(queue, "urgency")), open,
                 formatNumber(numberField(queue, "open_limit")),
                 formatNumber(numberField(queue, "reserved")),
                 formatNumber(numberField(queue, "retries")),
                 numberField(queue, "trial_ms") > 0 ? formatDuration(numberField(queue, "trial_ms"))
                                                    : "-",
                 textField(queue, "policy")});
  }
  const double uncounted = numberField(queues, "uncounted");
  return "config " + formatNumber(numberField(queues, "version")) + "\n\n" + table.render() +
         (uncounted > 0 ? "only the first 1000 open jobs are counted; " + formatNumber(uncounted) +
                              " more are open or timed\n"
                        : "");
}

std::string configView(const picojson::value& answer) {
  const auto config = jsonField(answer, "config");
  if (!config.is<picojson::object>())
    return "config " + formatNumber(numberField(answer, "version")) + "\n";
  const auto queues = queuesWithOpenJobs(answer, picojson::value());
  std::string text = queuesView(queues);
  Table policies({{"POLICY"}, {"RANK"}, {"MAY HOLD"}});
  if (const auto configured = jsonField(config, "policies"); configured.is<picojson::object>())
    for (const auto& [name, policy] : configured.get<picojson::object>())
      policies.add({name, textField(policy, "rank"), textField(policy, "may_hold")});
  if (policies.size())
    text += "\n" + policies.render();
  Table planner({{"PLANNER"}, {"VALUE", Table::Align::right}});
  if (const auto configured = jsonField(config, "planner"); configured.is<picojson::object>())
    for (const auto& [name, value] : configured.get<picojson::object>())
      planner.add(
          {name, value.is<double>() ? formatNumber(value.get<double>()) : value.serialize()});
  if (planner.size())
    text += "\n" + planner.render();
  return text;
}

}  // namespace aniseline
