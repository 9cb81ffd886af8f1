// Renders lists of jobs, and one job with its tasks.
#include "cli/views.hpp"

namespace aniseline {

std::string jobsView(const picojson::value& answer) {
  Table table({{"JOB"}, {"QUEUE"}, {"STATE"}});
  for (const auto& job : listField(answer, "jobs"))
    table.add({textField(job, "id"), textField(job, "queue"), textField(job, "state")});
  return table.render() + "\n" + std::to_string(table.size()) + " shown, " +
         formatNumber(numberField(answer, "open")) + " open, " +
         formatNumber(numberField(answer, "kept")) + " kept\n";
}

std::string jobView(const picojson::value& answer) {
  std::string text = "job " + printable(textField(answer, "id")) + ", queue " +
                     printable(textField(answer, "queue")) + ", " +
                     printable(textField(answer, "state")) + "\n";
  const std::string reason = textField(answer, "reason", "");
  if (!reason.empty())
    text += "because: " + printable(reason) + "\n";
  text += "accepted " + formatTime(numberField(answer, "allowed_at_ms"));
  if (const double ended = numberField(answer, "ended_at_ms"); ended > 0)
    text += ", ended " + formatTime(ended);
  if (jsonField(answer, "fired").is<double>())
    text += ", " + formatNumber(numberField(answer, "fired")) + " occurrences begun";
  text += "\n";
  std::string counts;
  double total = 0;
  const auto byState = jsonField(answer, "tasks_by_state");
  if (byState.is<picojson::object>())
    for (const auto& [state, count] : byState.get<picojson::object>()) {
      const double number = count.is<double>() ? count.get<double>() : 0;
      counts += (counts.empty() ? "" : ", ") + formatNumber(number) + " " + printable(state);
      total += number;
    }
  if (!counts.empty())
    text += "tasks: " + counts + "\n";
  Table table({{"TASK", Table::Align::right},
               {"STEP"},
               {"STATE"},
               {"WORKER"},
               {"STARTS", Table::Align::right},
               {"NOTES"}});
  for (const auto& task : listField(answer, "tasks"))
    table.add({formatNumber(numberField(task, "task")), textField(task, "step"),
               textField(task, "state"), textField(task, "worker"),
               formatNumber(numberField(task, "starts")), flagField(task, "trial") ? "trial" : ""});
  if (table.size())
    text += "\n" + table.render();
  if (table.size() && total > double(table.size()))
    text += "and " + formatNumber(total - double(table.size())) + " more\n";
  return text;
}

}  // namespace aniseline
