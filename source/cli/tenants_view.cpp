// Renders tenants with their usage and caps.
#include "cli/views.hpp"

namespace aniseline {

namespace {

std::string usageText(const std::string& used, double cap, const std::string& formattedCap) {
  return used + "/" + (cap > 0 ? formattedCap : "-");
}

std::string coresUsage(const picojson::value& tenant) {
  const double cap = numberField(tenant, "cores_cap");
  return usageText(formatNumber(numberField(tenant, "cores_used")), cap, formatNumber(cap));
}
std::string memoryUsage(const picojson::value& tenant) {
  const double cap = numberField(tenant, "memory_cap_mb");
  return usageText(formatMemory(numberField(tenant, "memory_used_mb")), cap, formatMemory(cap));
}
std::string acceleratorsUsage(const picojson::value& tenant) {
  const double cap = numberField(tenant, "accelerators_cap");
  return usageText(formatNumber(numberField(tenant, "accelerators_used")), cap, formatNumber(cap));
}

bool exceedsCap(const picojson::value& tenant, const char* used, const char* cap) {
  return numberField(tenant, cap) > 0 && numberField(tenant, used) > numberField(tenant, cap);
}

std::string tenantNotes(const picojson::value& tenant) {
  std::string notes;
  if (numberField(tenant, "api_keys") == 0)
    notes = "no keys";
  if (exceedsCap(tenant, "cores_used", "cores_cap") ||
      exceedsCap(tenant, "memory_used_mb", "memory_cap_mb") ||
      exceedsCap(tenant, "accelerators_used", "accelerators_cap"))
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
               formatNumber(numberField(tenant, "attempts")), coresUsage(tenant),
               memoryUsage(tenant), acceleratorsUsage(tenant), tenantNotes(tenant)});
  return "config " + formatNumber(numberField(answer, "version")) + "\n\n" + table.render();
}

}  // namespace aniseline
