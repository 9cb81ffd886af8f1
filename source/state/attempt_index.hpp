// Indexes over the attempts of the cluster state. They are derived: they are
// not serialized, but rebuilt when a state is read. docs/design.md 4.7, 5.1.
#ifndef ANISELINE_STATE_ATTEMPT_INDEX_HPP
#define ANISELINE_STATE_ATTEMPT_INDEX_HPP
#include "state/attempt.hpp"

namespace aniseline {

/// Owned by ClusterTables, which keeps it in step with its attempts. An
/// attempt's job and worker never change, so that an entry needs no update.
/// Numbers are in rising order.
class AttemptIndex {
 public:
  void add(const Attempt& attempt);
  void remove(const Attempt& attempt);
  /// To be called for each attempt that is suspended after it was added.
  void markSuspended(AttemptNumber number) { everSuspendedNumbers.insert(number); }

  const std::set<AttemptNumber>& ofJob(const JobId& job) const;
  const std::set<AttemptNumber>& onWorker(const WorkerId& worker) const;
  /// Attempts that are suspended now or were at some time.
  const std::set<AttemptNumber>& everSuspended() const { return everSuspendedNumbers; }

 private:
  std::map<JobId, std::set<AttemptNumber>> byJob;
  std::map<WorkerId, std::set<AttemptNumber>> byWorker;
  std::set<AttemptNumber> everSuspendedNumbers;
};

}  // namespace aniseline

#endif  // ANISELINE_STATE_ATTEMPT_INDEX_HPP
