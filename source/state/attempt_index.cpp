// Maintenance and lookup of the indexes over attempts.
#include "state/attempt_index.hpp"

namespace aniseline {

namespace {

template <class Key>
const std::set<AttemptNumber>& lookUp(const std::map<Key, std::set<AttemptNumber>>& index,
                                      const Key& key) {
  static const std::set<AttemptNumber> none;
  auto found = index.find(key);
  return found == index.end() ? none : found->second;
}

template <class Key>
void removeFrom(std::map<Key, std::set<AttemptNumber>>& index, const Key& key,
                AttemptNumber number) {
  auto found = index.find(key);
  found->second.erase(number);
  if (found->second.empty())
    index.erase(found);
}

}  // namespace

void AttemptIndex::add(const Attempt& attempt) {
  byJob[attempt.job].insert(attempt.number);
  byWorker[attempt.worker].insert(attempt.number);
  if (attempt.state == AttemptState::suspended)
    markSuspended(attempt.number);
}

void AttemptIndex::remove(const Attempt& attempt) {
  removeFrom(byJob, attempt.job, attempt.number);
  removeFrom(byWorker, attempt.worker, attempt.number);
  everSuspendedNumbers.erase(attempt.number);
}

const std::set<AttemptNumber>& AttemptIndex::ofJob(const JobId& job) const {
  return lookUp(byJob, job);
}

const std::set<AttemptNumber>& AttemptIndex::onWorker(const WorkerId& worker) const {
  return lookUp(byWorker, worker);
}

}  // namespace aniseline
