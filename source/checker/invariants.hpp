// history_check's core: the never-rules, checked from what callers and workers witnessed.
// docs/design.md 11.
#pragma once
#include "checker/history.hpp"
#include "checker/linearizability.hpp"

namespace aniseline {

struct InvariantViolation {
  int rule =
      0;  // 1 to 12 in the brief's order, then those of workers that are called; docs/design.md 11
  std::int64_t at = 0;
  std::string text;
};
// Limits are what no scheduler could have kept, each with its cause; they are counted apart.
// docs/promises.md.
struct CheckReport {
  std::vector<InvariantViolation> broken, limits;
  SearchStatistics searched;  // for linearizations
};

struct InvariantOptions {
  std::map<std::string, std::uint32_t> retriesOf;  // by queue
  std::map<std::string, std::uint32_t> triesOf;    // by queue: of those that count failures instead
  std::map<std::string, std::set<std::string>>
      poolsOf;  // by queue: the pools that any config sent it to; none known: not judged
  std::int64_t keepFinished = 3'600'000;  // ms for which jobs that are over are kept, up to
  std::size_t keepLimit = 300'000;        // so many jobs
  std::int64_t slack = 300;               // ms, for what the witness' own clock reading may be late
};

// The submissions are those of the callers' history; they carry what a job's steps and gangs are.
CheckReport checkInvariants(std::vector<HistoryEvent> history,
                            const std::map<std::string, JobSubmission>& submissions,
                            const InvariantOptions& options);

}  // namespace aniseline
