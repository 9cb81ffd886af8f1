// Holds the history variables of the model: facts about past steps that the invariants of later
// steps need. They are part of a model state, because two states that differ only in them may be
// judged differently later.
#ifndef ANISELINE_CHECKER_MODEL_HISTORY_VARIABLES_HPP
#define ANISELINE_CHECKER_MODEL_HISTORY_VARIABLES_HPP
#include "checker/model/model_node.hpp"

namespace aniseline::model {

struct CommittedEntry {
  Term term;
  bool isMembership = false;
  std::string payload;
  Term committedInTerm;  // the term of the leader that committed it
  std::uint64_t digest;  // digest of the log up to and including this entry
  template <class Archive>
  void serialize(Archive& archive, unsigned) {
    archive& term& isMembership& payload& committedInTerm;
  }
};

struct PendingRead {
  ControllerId reader;
  Term term;
  RoundNumber round;
  LogIndex lastIndexAtStart;  // the last log index of the reader when the read started
  LogIndex committedAtStart;  // the highest index committed on any node when the read started
  template <class Archive>
  void serialize(Archive& archive, unsigned) {
    archive& reader& term& round& lastIndexAtStart& committedAtStart;
  }
};

struct HistoryVariables {
  std::vector<CommittedEntry> committed;  // the entry with index 1 is first
  std::map<Term, ControllerId> leaders;
  std::map<std::pair<ControllerId, Term>, ControllerId> votes;
  std::vector<PendingRead> pendingReads;
  std::map<ControllerId, DiskImage> lostDisks;  // the contents at the time of the loss

  LogIndex lastIndex() const { return LogIndex{committed.size()}; }
  const CommittedEntry& entryAt(LogIndex index) const { return committed[index.value - 1]; }
  void commit(const LogEntry& entry, Term in);
  std::uint64_t digestAt(LogIndex index) const;
  // Returns the newest committed membership, in the whole log or up to an index.
  Membership committedMembers() const { return committedMembersAt(lastIndex()); }
  Membership committedMembersAt(LogIndex index) const;
  std::uint64_t hash() const;
};

}  // namespace aniseline::model

#endif  // ANISELINE_CHECKER_MODEL_HISTORY_VARIABLES_HPP
