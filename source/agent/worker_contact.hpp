// Whether the worker answers its agent, and what has been reported to the leader of that. An
// unresponsive worker gets no leader's lease; nothing is started there again before the leader has
// heard that it answers. Owned and called by NodeAgent. docs/design.md 5.8.
#ifndef ANISELINE_AGENT_WORKER_CONTACT_HPP
#define ANISELINE_AGENT_WORKER_CONTACT_HPP
#include "agent/node_agent_options.hpp"

namespace aniseline {

class WorkerContact {
 public:
  explicit WorkerContact(const NodeAgentOptions& options) : options(options) {}

  // Something of the worker came, be it late.
  void noteContact(MonotonicTime now) { lastContactAt = std::max(lastContactAt, now); }
  void noteReply(MonotonicTime now);
  void noteUnanswered() { callUnanswered = true; }

  // The latest call that is over got no reply.
  bool lastCallUnanswered() const { return callUnanswered; }
  bool unresponsive(MonotonicTime now) const;

  // A report is made now: true if it says that the worker is unresponsive.
  bool makeReport(MonotonicTime now);
  // The leader has answered a report of that time, which said that the worker answers.
  void onReportAcknowledged(MonotonicTime reportedAt, MonotonicTime now);
  // The latest report says something else than what is known now.
  bool reportOutdated(MonotonicTime now) const { return unresponsive(now) != reportedUnresponsive; }
  // A leader may still take the worker for unresponsive and start its work elsewhere.
  bool startsBlocked() const { return blocked; }
  // The worker becomes unresponsive then if nothing of it comes; nothing if no call is unanswered,
  // or if it is reported already.
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
