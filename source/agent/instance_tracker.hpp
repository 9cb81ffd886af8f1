// Which instance of the worker stands at its address, and whether it drains. A worker that restarts
// is another instance, of which nothing that ran at the former one is known. Registrations may come
// late and out of order, so another instance counts only once a call that names it was answered
// there. Owned and called by NodeAgent. docs/design.md 5.7, 5.8.
#ifndef ANISELINE_AGENT_INSTANCE_TRACKER_HPP
#define ANISELINE_AGENT_INSTANCE_TRACKER_HPP
#include "agent/node_agent_options.hpp"
#include "agent/worker_messages.hpp"

namespace aniseline {

class InstanceTracker {
 public:
  explicit InstanceTracker(const NodeAgentOptions& options) : options(options) {}

  // What a message of an instance is about, by what is known.
  enum class InstanceState : std::uint8_t { unknown, current, candidate, former };

  const WorkerRegistration& current() const { return registration; }
  bool known() const { return !registration.workerInstance.value.empty(); }
  bool isFormer(const WorkerId& instance) const { return formerInstances.count(instance) != 0; }

  // This tracker as it is when the instance of the registration has become the current one.
  // `confirmed`: a call that names it was answered there.
  InstanceTracker withCurrent(const WorkerRegistration& incoming, bool confirmed) &&;
  // A newer registration of the current instance. False: a newer one has come before, and nothing
  // is changed.
  bool update(const WorkerRegistration& incoming);
  // Another instance registers while one is current.
  void considerCandidate(const WorkerRegistration& incoming, MonotonicTime now);
  // An instance says that it is about to end. Nothing takes that back.
  InstanceState onDrainNotice(const WorkerId& instance, Duration drainTimeout);

  // The poll that asks whether the candidate stands at the address, when one is due. Its id and
  // fencing term are the caller's to set.
  std::optional<WorkerCall> takeCandidateProbe(MonotonicTime now);
  // The reply to a call that names another instance than the current one. The registration of the
  // candidate if that has been shown to stand at the address.
  std::optional<WorkerRegistration> onCandidateReply(const WorkerCall& call,
                                                     WorkerReply::Status status, MonotonicTime now);
  // The reply to a call that names the current instance.
  void onCurrentReply(const WorkerCall& call, WorkerReply::Status status);
  // The next probe of the candidate, if there is one to be made.
  std::optional<MonotonicTime> nextCandidateProbeAt() const;

  // Replies have shown that the current instance stands at the address, and none since that another
  // does.
  bool confirmed() const { return instanceConfirmed; }
  // A poll that asks whether the current instance stands there is allowed now.
  bool confirmationProbeDue(Duration sinceLastPoll) const;
  void consumeConfirmationProbe() { --probesLeft; }

  // The leader has declared the current instance gone. It is used again under the next incarnation
  // from then on, or never if it drains.
  void retireUntil(MonotonicTime until);
  // Ends a retirement whose time is over.
  void tick(MonotonicTime now) { retired = retired && now < retirementEnd; }
  // Calls for the current instance may be made.
  bool usable(MonotonicTime now) const { return known() && !ended && now >= retirementEnd; }
  // The current instance may be reported to the leader.
  bool reportable() const { return instanceConfirmed && !ended && !retired; }
  bool retirementOver(MonotonicTime now) const { return now >= retirementEnd; }
  // The current instance has drained and is never used again.
  bool hasEnded() const { return ended; }
  Incarnation incarnation() const { return currentIncarnation; }

  void noteDrainReported() { drainReported = true; }
  bool drainUnreported() const { return registration.draining && !drainReported; }
  bool drainKnownToLeader() const { return registration.draining && drainReported; }
  // The leader has logged that this instance drains, or the instance is over.
  bool drainAcknowledged(const WorkerId& instance) const;

 private:
  // An instance that registered while another one is current, until a poll shows which stands.
  struct Candidate {
    WorkerRegistration registration;
    std::uint32_t probesLeft = 0;
    MonotonicTime nextProbeAt{0};
    bool probeInFlight = false;
  };
  void storeEarlyDrainNotice(const WorkerId& instance, Duration drainTimeout);
  void endIfRetiredAndDraining() { ended = ended || (retired && registration.draining); }

  NodeAgentOptions options;
  WorkerRegistration registration;
  std::set<WorkerId> formerInstances;
  // Instances that announced their end before they registered, with their drain timeouts.
  std::map<WorkerId, Duration> earlyDrainNotices;
  std::optional<Candidate> candidate;
  Incarnation currentIncarnation{1};
  bool instanceConfirmed = false;
  std::uint32_t probesLeft = 0;
  bool ended = false;
  bool retired = false;
  MonotonicTime retirementEnd{0};
  bool drainReported = false;
};

}  // namespace aniseline

#endif  // ANISELINE_AGENT_INSTANCE_TRACKER_HPP
