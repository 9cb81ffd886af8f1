#include "cli/views.hpp"

namespace aniseline {

namespace {

std::string share(const std::string& used, double cap, const std::string& formattedCap) {
  return used + "/" + (cap > 0 ? formattedCap : "-");
}

std::string coresShare(const picojson::value& tenant) {
  const double cap = numberField(tenant, "cores_cap");
  return share(formatNumber(numberField(tenant, "cores_used")), cap, formatNumber(cap));
}
std::string memoryShare(const picojson::value& tenant) {
  const double cap = numberField(tenant, "memory_cap_mb");
  return share(formatMemory(numberField(tenant, "memory_used_mb")), cap, formatMemory(cap));
}
std::string acceleratorsShare(const picojson::value& tenant) {
  const double cap = numberField(tenant, "accelerators_cap");
  return share(formatNumber(numberField(tenant, "accelerators_used")), cap, formatNumber(cap));
}

bool isAbove(const picojson::value& tenant, const char* used, const char* cap) {
  return numberField(tenant, cap) > 0 && numberField(tenant, used) > numberField(tenant, cap);
}

std::string notesOf(const picojson::value& tenant) {
  std::string notes;
  if (numberField(tenant, "api_keys") == 0)
    notes = "no keys";
  if (isAbove(tenant, "cores_used", "cores_cap") ||
      isAbove(tenant, "memory_used_mb", "memory_cap_mb") ||
      isAbove(tenant, "accelerators_used", "accelerators_cap"))
    notes += notes.empty() ? "above its cap" : ", above its cap";
  return notes;
}

}  // namespace

std::string tenantsView(const picojson::value& answer) {
  Table table({{"TENANT"},
               {"KEYS", Table::Align::right},
               {"WEIGHT", Table::Align::right},
               {"OPEN", Table::Align::right},
               {"RUNS", Table::Align::right},
               {"CORES", Table::Align::right},
               {"MEMORY", Table::Align::right},
               {"ACCELERATORS", Table::Align::right},
               {"NOTES"}});
  for (const auto& tenant : listField(answer, "tenants"))
    table.add({textField(tenant, "name"), formatNumber(numberField(tenant, "api_keys")),
               formatNumber(numberField(tenant, "weight")),
               formatNumber(numberField(tenant, "open")),
               formatNumber(numberField(tenant, "attempts")), coresShare(tenant),
               memoryShare(tenant), acceleratorsShare(tenant), notesOf(tenant)});
  return "config " + formatNumber(numberField(answer, "version")) + "\n\n" + table.render();
}

}  // namespace aniseline
