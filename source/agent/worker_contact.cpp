// Derives from calls and reports whether starts at the worker are blocked.
#include "agent/worker_contact.hpp"

namespace aniseline {

void WorkerContact::noteReply(MonotonicTime now) {
  callUnanswered = false;
  lastContactAt = now;
}

bool WorkerContact::unresponsive(MonotonicTime now) const {
  return callUnanswered && now - lastContactAt > options.unresponsiveAfter;
}

bool WorkerContact::makeReport(MonotonicTime now) {
  reportedUnresponsive = unresponsive(now);
  if (reportedUnresponsive) {
    blocked = true;
    reportedUnresponsiveAt = now;
  }
  return reportedUnresponsive;
}

// Only a report made after the last report of unresponsiveness counts: until a leader has received
// such a report, the earlier one remains in force.
void WorkerContact::onReportAcknowledged(MonotonicTime reportedAt, MonotonicTime now) {
  if (!unresponsive(now) && reportedAt > reportedUnresponsiveAt)
    blocked = false;
}

std::optional<MonotonicTime> WorkerContact::becomesUnresponsiveAt() const {
  if (!callUnanswered || reportedUnresponsive)
    return std::nullopt;
  return lastContactAt + options.unresponsiveAfter + Duration{1};
}

}  // namespace aniseline
