// What an onlooker who sees everything remembers, so that each step can be judged against the
// past. Part of a state: two worlds that differ here may be judged differently later.
#ifndef ANISELINE_CHECKER_MODEL_HISTORY_VARIABLES_HPP
#define ANISELINE_CHECKER_MODEL_HISTORY_VARIABLES_HPP
#include "checker/model/model_node.hpp"

namespace aniseline::model {

struct CommittedEntry {
  Term term;
  bool isMembership = false;
  std::string payload;
  Term committedInTerm;  // the term of the leader that committed it
  std::uint64_t digest;  // of the log up to here
  template <class Archive>
  void serialize(Archive& archive, unsigned) {
    archive& term& isMembership& payload& committedInTerm;
  }
};

struct PendingRead {
  ControllerId reader;
  Term term;
  RoundNumber round;
  LogIndex lastIndexAtStart;  // the reader's last entry when it began
  LogIndex committedAtStart;  // what was committed anywhere when it began
  template <class Archive>
  void serialize(Archive& archive, unsigned) {
    archive& reader& term& round& lastIndexAtStart& committedAtStart;
  }
};

struct HistoryVariables {
  std::vector<CommittedEntry> committed;  // from index 1
  std::map<Term, ControllerId> leaders;
  std::map<std::pair<ControllerId, Term>, ControllerId> votes;
  std::vector<PendingRead> pendingReads;
  std::map<ControllerId, DiskImage> lostDisks;  // as they were when their machines lost them

  LogIndex lastIndex() const { return LogIndex{committed.size()}; }
  const CommittedEntry& entryAt(LogIndex index) const { return committed[index.value - 1]; }
  void commit(const LogEntry& entry, Term in);
  std::uint64_t digestAt(LogIndex index) const;
  // The newest committed membership, of all or up to an index.
  Membership committedMembers() const { return committedMembersAt(lastIndex()); }
  Membership committedMembersAt(LogIndex index) const;
  std::uint64_t hash() const;
};

}  // namespace aniseline::model

#endif  // ANISELINE_CHECKER_MODEL_HISTORY_VARIABLES_HPP
