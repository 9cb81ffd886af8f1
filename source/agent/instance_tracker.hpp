// Tracks which instance of the worker runs at its address, and whether it drains. A restarted
// worker is a new instance without any knowledge of its predecessor's runs. Registrations may
// arrive late and out of order, so a different instance is accepted only after it has answered a
// call addressed to it. Owned and called by NodeAgent. docs/design.md 5.7, 5.8.
#ifndef ANISELINE_AGENT_INSTANCE_TRACKER_HPP
#define ANISELINE_AGENT_INSTANCE_TRACKER_HPP
#include "agent/node_agent_options.hpp"
#include "agent/worker_messages.hpp"

namespace aniseline {

class InstanceTracker {
 public:
  explicit InstanceTracker(const NodeAgentOptions& options) : options(options) {}

  // The relation of a message's sender to the known instances.
  enum class InstanceState : std::uint8_t { unknown, current, candidate, former };

  const WorkerRegistration& current() const { return registration; }
  bool known() const { return !registration.workerInstance.value.empty(); }
  bool isFormer(const WorkerId& instance) const { return formerInstances.count(instance) != 0; }

  // Returns this tracker with the instance of the registration as the current one. `confirmed`
  // states whether that instance has answered a call addressed to it.
  InstanceTracker withCurrent(const WorkerRegistration& incoming, bool confirmed) &&;
  // Applies a registration of the current instance. Returns false, without any change, if a newer
  // one has arrived before.
  bool update(const WorkerRegistration& incoming);
  // Handles the registration of a different instance while one is current.
  void considerCandidate(const WorkerRegistration& incoming, MonotonicTime now);
  // Handles an instance's notice that it is shutting down. Later messages cannot revoke the notice.
  InstanceState onDrainNotice(const WorkerId& instance, Duration drainTimeout);

  // Returns the poll that checks whether the candidate runs at the address, if one is due. The
  // caller sets its call id and fencing term.
  std::optional<WorkerCall> takeCandidateProbe(MonotonicTime now);
  // Handles the reply to a call addressed to an instance other than the current one. Returns the
  // candidate's registration if the reply proves that the candidate runs at the address.
  std::optional<WorkerRegistration> onCandidateReply(const WorkerCall& call,
                                                     WorkerReply::Status status, MonotonicTime now);
  // Handles the reply to a call addressed to the current instance.
  void onCurrentReply(const WorkerCall& call, WorkerReply::Status status);
  // Returns the time of the next probe of the candidate, if one is pending.
  std::optional<MonotonicTime> nextCandidateProbeAt() const;

  // Reports whether replies have shown that the current instance runs at the address, and no later
  // reply has shown another instance there.
  bool confirmed() const { return instanceConfirmed; }
  // Reports whether a poll may now check that the current instance runs at the address.
  bool confirmationProbeDue(Duration sinceLastPoll) const;
  void consumeConfirmationProbe() { --probesLeft; }

  // Handles the leader's declaration that the current instance is gone. From `until` on the
  // instance is used again under the next incarnation, or never if it drains.
  void retireUntil(MonotonicTime until);
  // Ends a retirement whose time has elapsed.
  void tick(MonotonicTime now) { retired = retired && now < retirementEnd; }
  // Reports whether the current instance may be called.
  bool usable(MonotonicTime now) const { return known() && !ended && now >= retirementEnd; }
  // Reports whether the current instance may be reported to the leader.
  bool reportable() const { return instanceConfirmed && !ended && !retired; }
  bool retirementOver(MonotonicTime now) const { return now >= retirementEnd; }
  // Reports whether the current instance has drained and is never used again.
  bool hasEnded() const { return ended; }
  Incarnation incarnation() const { return currentIncarnation; }

  void noteDrainReported() { drainReported = true; }
  bool drainUnreported() const { return registration.draining && !drainReported; }
  bool drainKnownToLeader() const { return registration.draining && drainReported; }
  // Reports whether the leader has logged that this instance drains, or the instance has ended.
  bool drainAcknowledged(const WorkerId& instance) const;

 private:
  // An instance that registered while another one is current, until a poll shows which of them runs
  // at the address.
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
  // Instances that sent a drain notice before they registered, with their drain timeouts.
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
