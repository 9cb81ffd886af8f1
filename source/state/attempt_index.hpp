// Indexes over the attempts of the cluster state. They are not serialized, but rebuilt when a state
// is deserialized. docs/design.md 4.7, 5.1.
#ifndef ANISELINE_STATE_ATTEMPT_INDEX_HPP
#define ANISELINE_STATE_ATTEMPT_INDEX_HPP
#include "state/attempt.hpp"

namespace aniseline {

/// Owned by ClusterTables, which updates it together with its attempts. The job and worker of an
/// attempt never change, so entries need no update. Numbers are returned in ascending order.
class AttemptIndex {
 public:
  void add(const Attempt& attempt);
  void remove(const Attempt& attempt);
  /// Must be called for each attempt that is suspended after it was added.
  void markSuspended(AttemptNumber number) { everSuspendedNumbers.insert(number); }

  const std::set<AttemptNumber>& ofJob(const JobId& job) const;
  const std::set<AttemptNumber>& onWorker(const WorkerId& worker) const;
  /// Returns the attempts that are suspended now or have been at some time.
  const std::set<AttemptNumber>& everSuspended() const { return everSuspendedNumbers; }

 private:
  std::map<JobId, std::set<AttemptNumber>> byJob;
  std::map<WorkerId, std::set<AttemptNumber>> byWorker;
  std::set<AttemptNumber> everSuspendedNumbers;
};

}  // namespace aniseline

#endif  // ANISELINE_STATE_ATTEMPT_INDEX_HPP
