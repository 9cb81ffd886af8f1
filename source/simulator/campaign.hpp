// One seeded run with faults of every kind the brief names. docs/design.md 12.3.
#ifndef ANISELINE_SIMULATOR_CAMPAIGN_HPP
#define ANISELINE_SIMULATOR_CAMPAIGN_HPP
#include "simulator/simulated_cluster.hpp"

namespace aniseline {

struct CampaignOptions {
  std::uint64_t seed = 1;
  std::int64_t duration = 60'000;
  std::size_t faults = 12;
  std::size_t calledWorkers = 0;  // workers that are called, beside the others
  std::size_t voters = 3, controllers = 3;
  std::vector<std::size_t> keptFaults;  // the places of the faults to keep; empty: all
  bool operators = false;  // two operators at work all the time, and leaders lost meanwhile
  bool verbose = false;
};
struct CampaignResult {
  std::vector<InvariantViolation> violations, unavoidableViolations;
  SearchStatistics searchStatistics;
  std::vector<std::string> unfinished;
  std::vector<std::string> faults;
  std::map<std::string, std::size_t> effectsByFault;  // by kind of fault: how often it took effect
  std::uint64_t transcriptHash = 0;                   // of the history
  std::uint64_t durableDigest = 0;                    // of all durable writes and the final states
  std::size_t jobs = 0, starts = 0;
  std::int64_t recoveryTime = 0;  // virtual ms from whole to served
  std::map<std::string, double> counters;
  bool passed() const { return violations.empty() && unfinished.empty(); }
};
CampaignResult runCampaign(const CampaignOptions& options);

std::string standardConfig(const std::string& change = "");
// With queues, pools and policies for workers that are called, too.
std::string calledConfig(const std::string& change = "");

}  // namespace aniseline

#endif  // ANISELINE_SIMULATOR_CAMPAIGN_HPP
