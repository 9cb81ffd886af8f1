// Tracks whether the worker answers its agent, and what the leader has been told about it. The
// leader grants no lease to an unresponsive worker, and no run is started there until the leader
// has been told that the worker answers again. Owned and called by NodeAgent. docs/design.md 5.8.
#ifndef ANISELINE_AGENT_WORKER_CONTACT_HPP
#define ANISELINE_AGENT_WORKER_CONTACT_HPP
#include "agent/node_agent_options.hpp"

namespace aniseline {

class WorkerContact {
 public:
  explicit WorkerContact(const NodeAgentOptions& options) : options(options) {}

  // Records that a message from the worker arrived, even if it arrived late.
  void noteContact(MonotonicTime now) { lastContactAt = std::max(lastContactAt, now); }
  void noteReply(MonotonicTime now);
  void noteUnanswered() { callUnanswered = true; }

  // Reports whether the latest completed call got no reply.
  bool lastCallUnanswered() const { return callUnanswered; }
  bool unresponsive(MonotonicTime now) const;

  // Records that a report is made now. Returns true if the report states that the worker is
  // unresponsive.
  bool makeReport(MonotonicTime now);
  // Handles the leader's response to a report made at `reportedAt` that described the worker as
  // responsive.
  void onReportAcknowledged(MonotonicTime reportedAt, MonotonicTime now);
  // Reports whether the latest report differs from the current state.
  bool reportOutdated(MonotonicTime now) const { return unresponsive(now) != reportedUnresponsive; }
  // Reports whether a leader may still consider the worker unresponsive and start its work
  // elsewhere.
  bool startsBlocked() const { return blocked; }
  // Returns the time at which the worker becomes unresponsive if no message arrives from it;
  // nothing if no call is unanswered or its unresponsiveness has been reported.
  std::optional<MonotonicTime> becomesUnresponsiveAt() const;

 private:
  NodeAgentOptions options;
  MonotonicTime lastContactAt{0};
  bool callUnanswered = false;
  bool reportedUnresponsive = false;
  MonotonicTime reportedUnresponsiveAt{-1'000'000};
  bool blocked = false;
};

}  // namespace aniseline

#endif  // ANISELINE_AGENT_WORKER_CONTACT_HPP
