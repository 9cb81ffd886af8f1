// One seeded run of a simulated cluster: a workload, a random schedule of faults, and the checks of
// the recorded history. Called by the simulate program, the tests and the measurements; each run
// uses one thread. docs/design.md 12.3.
#ifndef ANISELINE_SIMULATOR_CAMPAIGN_HPP
#define ANISELINE_SIMULATOR_CAMPAIGN_HPP
#include "simulator/simulated_cluster.hpp"

namespace aniseline {

struct CampaignOptions {
  std::uint64_t seed = 1;
  std::int64_t duration = 60'000;  // ms of virtual time until all faults are lifted
  std::size_t faults = 12;
  std::size_t calledWorkers = 0;  // in addition to the workers that sync themselves
  std::size_t voters = 3;
  std::size_t controllers = 3;
  std::vector<std::size_t> keptFaults;  // the indices of the faults to keep; empty: all
  // Lets two operators change the configuration during the whole run, and kills leaders meanwhile.
  bool operators = false;
  // Ends every run with the loss of disks while all other machines lose power. The faults drawn
  // from a seed are the same with and without this option.
  bool lastFaultEverywhere = false;
  bool verbose = false;  // writes a trace of the run to the standard error stream
};

struct CampaignResult {
  std::vector<InvariantViolation> violations;
  std::vector<InvariantViolation> unavoidableViolations;
  SearchStatistics searchStatistics;
  std::vector<std::string> unfinished;                // what did not complete, as readable text
  std::vector<std::string> faults;                    // the schedule, as readable text
  std::map<std::string, std::size_t> effectsByFault;  // how often each kind of fault took effect
  std::uint64_t transcriptHash = 0;                   // of the history
  std::uint64_t durableDigest = 0;                    // of all durable writes and the final states
  std::size_t jobs = 0;
  std::size_t starts = 0;
  // Virtual time in ms from the lifting of all faults until a job is served.
  std::int64_t recoveryTime = 0;
  std::map<std::string, double> counters;
  bool passed() const { return violations.empty() && unfinished.empty(); }
};

CampaignResult runCampaign(const CampaignOptions& options);

}  // namespace aniseline

#endif  // ANISELINE_SIMULATOR_CAMPAIGN_HPP
