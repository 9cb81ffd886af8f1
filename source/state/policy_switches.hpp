// Switches for scheduling policies. All policies are enabled by default; experiments disable some
// to measure their effect, with the `--without` option of the controllers.
// docs/decisions-under-load.md.
#ifndef ANISELINE_STATE_POLICY_SWITCHES_HPP
#define ANISELINE_STATE_POLICY_SWITCHES_HPP
#include <algorithm>
#include <array>
#include <bitset>
#include <cstdint>
#include <optional>
#include <sstream>
#include <string>

namespace aniseline {

enum class Policy : std::uint8_t {
  urgentHeadroom,  // design.md 7.8
  latencyOrder,  // design.md 7.8: jobs that can be in time first, those too late to be of use last
  boundedWaiting,        // design.md 7.9
  checkpointPreemption,  // design.md 7.10
  rackBalance,           // design.md 7.11
  localityWait,          // design.md 7.11
  redundantCopies,       // design.md 7.7
  slowWorkers,           // design.md 5.6: detected by their speed
  failingWorkers,        // design.md 5.6: detected by results of attempts
  reservedStart,         // paper.md 3, including the limits on backfill
  backlogAdmission,      // design.md 10: rejects jobs whose wait would be too long to be of use
  shortestRemainingWork  // design.md 7.12
};
inline constexpr std::size_t policyCount = 12;
/// The names of the policies for `--without`.
inline constexpr std::array<const char*, policyCount> policyNames = {
    "urgent-headroom", "latency-order",  "bounded-waiting",   "checkpoint-preemption",
    "rack-balance",    "locality-wait",  "redundant-copies",  "slow-workers",
    "failing-workers", "reserved-start", "backlog-admission", "shortest-remaining-work"};

class PolicySwitches {
 public:
  bool isOn(Policy policy) const { return !disabled.test(std::size_t(policy)); }
  void turnOff(Policy policy) { disabled.set(std::size_t(policy)); }
  /// Turns off the policies in a comma-separated list of names. Returns the first unknown name, or
  /// nothing.
  std::optional<std::string> turnOffAll(const std::string& names) {
    std::istringstream stream(names);
    for (std::string name; std::getline(stream, name, ',');) {
      const auto found = std::find(policyNames.begin(), policyNames.end(), name);
      if (found == policyNames.end())
        return name;
      turnOff(Policy(found - policyNames.begin()));
    }
    return std::nullopt;
  }

 private:
  std::bitset<policyCount> disabled;
};

}  // namespace aniseline

#endif  // ANISELINE_STATE_POLICY_SWITCHES_HPP
