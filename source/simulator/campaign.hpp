// One seeded run of a simulated cluster: load, a drawn schedule of faults, and the checks of all
// that was seen. Called by the simulate program, the tests and the measurements, each run on one
// thread. docs/design.md 12.3.
#ifndef ANISELINE_SIMULATOR_CAMPAIGN_HPP
#define ANISELINE_SIMULATOR_CAMPAIGN_HPP
#include "simulator/simulated_cluster.hpp"

namespace aniseline {

struct CampaignOptions {
  std::uint64_t seed = 1;
  std::int64_t duration = 60'000;  // ms of virtual time until all is healed
  std::size_t faults = 12;
  std::size_t calledWorkers = 0;  // beside the others
  std::size_t voters = 3;
  std::size_t controllers = 3;
  std::vector<std::size_t> keptFaults;  // the indices of the faults to keep; empty: all
  bool operators = false;               // two operators at work all the time, and leaders lost
  // Ends every run with the loss of disks while all other machines lose power. The faults that are
  // drawn from a seed stay as they are without it.
  bool lastFaultEverywhere = false;
  bool verbose = false;  // traces all that happens to the standard error stream
};

struct CampaignResult {
  std::vector<InvariantViolation> violations;
  std::vector<InvariantViolation> unavoidableViolations;
  SearchStatistics searchStatistics;
  std::vector<std::string> unfinished;  // what never came to its end, in words for people
  std::vector<std::string> faults;      // the schedule, in words for people
  std::map<std::string, std::size_t> effectsByFault;  // how often each kind took effect
  std::uint64_t transcriptHash = 0;                   // of the history
  std::uint64_t durableDigest = 0;                    // of all durable writes and the final states
  std::size_t jobs = 0;
  std::size_t starts = 0;
  std::int64_t recoveryTime = 0;  // ms of virtual time from healed to served
  std::map<std::string, double> counters;
  bool passed() const { return violations.empty() && unfinished.empty(); }
};

CampaignResult runCampaign(const CampaignOptions& options);

}  // namespace aniseline

#endif  // ANISELINE_SIMULATOR_CAMPAIGN_HPP
