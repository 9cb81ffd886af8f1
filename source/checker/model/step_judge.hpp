// The invariants, judged after each step of one node.
#pragma once
#include "checker/model/world.hpp"

namespace aniseline::model {

// Judges what a node's step did and writes the ghost's part of it. The first broken rule is kept.
class StepJudge {
 public:
  StepJudge(const ModelWorld& world, const ModelNode& before, const ModelNode& after, Ghost& ghost,
            bool outcomesOnly, bool restarted)
      : world(world),
        before(before),
        after(after),
        ghost(ghost),
        outcomesOnly(outcomesOnly),
        restarted(restarted) {}

  // What leaves the node, as it leaves it.
  void sent(const PeerMessage& message);
  // What the node's state says after the step.
  void state();
  const std::optional<std::string>& verdict() const { return broken; }

 private:
  void breaks(const std::string& rule, const std::string& detail);
  void claim(const AppendEntriesReply& reply);
  void grant(const ControllerId& candidate, const RequestVoteReply& reply);
  void leadership();
  void completeness();
  void commitIndex();
  void commits(LogIndex index);
  void keptOnDisk();
  void onMajorityOfDisks(LogIndex index);
  void membership(const Members& earlier, const Members& later);
  void logMatching(const ModelNode& other);
  void pendingChanges();
  void reads();
  void removal();
  void installed();
  const DiskImage* imageOf(const ControllerId& id) const;

  const ModelWorld& world;
  const ModelNode& before;
  const ModelNode& after;
  Ghost& ghost;
  bool outcomesOnly;
  bool restarted;  // the step began another life, which knows only what its disk held
  std::optional<std::string> broken;
};

}  // namespace aniseline::model
