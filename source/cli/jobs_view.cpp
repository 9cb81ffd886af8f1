#include "cli/views.hpp"

namespace aniseline {

std::string jobsView(const picojson::value& answer) {
  Table table({{"JOB"}, {"QUEUE"}, {"STATE"}});
  for (const auto& job : listIn(answer, "jobs"))
    table.add({textIn(job, "id"), textIn(job, "queue"), textIn(job, "state")});
  return table.render() + "\n" + std::to_string(table.size()) + " shown, " +
         numberText(numberIn(answer, "open")) + " open, " + numberText(numberIn(answer, "kept")) +
         " kept\n";
}

std::string jobView(const picojson::value& answer) {
  std::string text = "job " + printable(textIn(answer, "id")) + ", queue " +
                     printable(textIn(answer, "queue")) + ", " +
                     printable(textIn(answer, "state")) + "\n";
  const std::string reason = textIn(answer, "reason", "");
  if (!reason.empty())
    text += "because: " + printable(reason) + "\n";
  text += "accepted " + timeText(numberIn(answer, "allowed_at_ms"));
  if (const double ended = numberIn(answer, "ended_at_ms"); ended > 0)
    text += ", ended " + timeText(ended);
  if (fieldIn(answer, "fired").is<double>())
    text += ", " + numberText(numberIn(answer, "fired")) + " occurrences begun";
  text += "\n";
  std::string counts;
  double total = 0;
  const auto byState = fieldIn(answer, "tasks_by_state");
  if (byState.is<picojson::object>())
    for (const auto& [state, count] : byState.get<picojson::object>()) {
      const double number = count.is<double>() ? count.get<double>() : 0;
      counts += (counts.empty() ? "" : ", ") + numberText(number) + " " + printable(state);
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
  for (const auto& task : listIn(answer, "tasks"))
    table.add({numberText(numberIn(task, "task")), textIn(task, "step"), textIn(task, "state"),
               textIn(task, "worker"), numberText(numberIn(task, "starts")),
               flagIn(task, "trial") ? "trial" : ""});
  if (table.size())
    text += "\n" + table.render();
  if (table.size() && total > double(table.size()))
    text += "and " + numberText(total - double(table.size())) + " more\n";
  return text;
}

}  // namespace aniseline
