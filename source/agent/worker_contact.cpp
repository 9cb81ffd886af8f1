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

// Only a report made after the last one of unresponsiveness counts: until a leader has heard that,
// the earlier one still stands.
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
