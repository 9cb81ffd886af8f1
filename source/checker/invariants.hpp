// history_check's core: the never-rules, checked from what callers and workers witnessed.
// docs/design.md 11.
#ifndef ANISELINE_CHECKER_INVARIANTS_HPP
#define ANISELINE_CHECKER_INVARIANTS_HPP
#include "checker/history.hpp"
#include "checker/linearizability.hpp"

namespace aniseline {

struct InvariantViolation {
  int rule =
      0;  // 1 to 12 in the brief's order, then those of workers that are called; docs/design.md 11
  std::int64_t timestamp = 0;
  std::string description;
};
// Limits are what no scheduler could have kept, each with its cause; they are counted apart.
// docs/promises.md.
struct CheckReport {
  std::vector<InvariantViolation> violations, unavoidableViolations;
  SearchStatistics searchStatistics;  // for linearizations
};

struct InvariantOptions {
  std::map<std::string, std::uint32_t> retriesByQueue;  // by queue
  std::map<std::string, std::uint32_t>
      maxAttemptsByQueue;  // by queue: of those that count failures instead
  std::map<std::string, std::set<std::string>>
      poolsByQueue;  // by queue: the pools that any config sent it to; none known: not judged
  std::int64_t finishedRetentionMs = 3'600'000;  // ms for which jobs that are over are kept, up to
  std::size_t retainedJobsLimit = 300'000;       // so many jobs
  std::int64_t clockSlackMs = 300;  // ms, for what the witness' own clock reading may be late
};

// The submissions are those of the callers' history; they carry what a job's steps and gangs are.
CheckReport checkInvariants(std::vector<HistoryEvent> history,
                            const std::map<std::string, JobSubmission>& submissions,
                            const InvariantOptions& options);

}  // namespace aniseline

#endif  // ANISELINE_CHECKER_INVARIANTS_HPP
