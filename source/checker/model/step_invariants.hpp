// The invariants, judged after each step of one node.
#ifndef ANISELINE_CHECKER_MODEL_STEP_INVARIANTS_HPP
#define ANISELINE_CHECKER_MODEL_STEP_INVARIANTS_HPP
#include "checker/model/model_cluster.hpp"

namespace aniseline::model {

// Judges what a node's step did and writes the ghost's part of it. The first broken rule is kept.
class StepInvariantChecker {
 public:
  StepInvariantChecker(const ModelCluster& cluster, const ModelNode& before, const ModelNode& after,
                       HistoryVariables& history, bool outcomesOnly, bool restarted)
      : cluster(cluster),
        before(before),
        after(after),
        history(history),
        outcomesOnly(outcomesOnly),
        restarted(restarted) {}

  // What leaves the node, as it leaves it.
  void checkSentMessage(const PeerMessage& message);
  // What the node's state says after the step.
  void checkState();
  const std::optional<std::string>& violation() const { return brokenRule; }

 private:
  void reportViolation(const std::string& rule, const std::string& detail);
  void checkMatchClaim(const AppendEntriesReply& reply);
  void checkVote(const ControllerId& candidate, const RequestVoteReply& reply);
  void checkLeadership();
  void checkLeaderCompleteness();
  void checkCommitIndex();
  void checkCommittedEntry(LogIndex index);
  void checkDurability();
  void checkOnMajorityOfDisks(LogIndex index);
  void checkMembershipChange(const Membership& earlier, const Membership& later);
  void checkLogMatching(const ModelNode& other);
  void checkPendingChanges();
  void checkReads();
  void checkRemoval();
  void checkInstalledSnapshot();
  const DiskImage* findDiskImage(const ControllerId& id) const;

  const ModelCluster& cluster;
  const ModelNode& before;
  const ModelNode& after;
  HistoryVariables& history;
  bool outcomesOnly;
  bool restarted;  // the step began another life, which knows only what its disk held
  std::optional<std::string> brokenRule;
};

}  // namespace aniseline::model

#endif  // ANISELINE_CHECKER_MODEL_STEP_INVARIANTS_HPP
