// Checks the invariants of the model after each step of a node.
#ifndef ANISELINE_CHECKER_MODEL_STEP_INVARIANTS_HPP
#define ANISELINE_CHECKER_MODEL_STEP_INVARIANTS_HPP
#include "checker/model/model_cluster.hpp"

namespace aniseline::model {

// Checks one step of one node and updates the history variables. Keeps the first violation.
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

  // Checks a message as the node sends it.
  void checkSentMessage(const PeerMessage& message);
  // Checks the state of the node after the step.
  void checkState();
  const std::optional<std::string>& violation() const { return brokenRule; }

 private:
  void reportViolation(const std::string& rule, const std::string& detail);
  void checkMatchIndex(const AppendEntriesReply& reply);
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
  bool restarted;  // the step restarted the process, which knows only what was on its disk
  std::optional<std::string> brokenRule;
};

}  // namespace aniseline::model

#endif  // ANISELINE_CHECKER_MODEL_STEP_INVARIANTS_HPP
