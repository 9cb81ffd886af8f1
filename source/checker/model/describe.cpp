// Formats each kind of Raft message and log entry.
#include "checker/model/describe.hpp"

namespace aniseline::model {

namespace {

std::string number(const auto& strongId) {
  return std::to_string(strongId.value);
}

std::string describeEntry(const LogEntry& entry) {
  if (!entry.isMembership)
    return number(entry.term) + ":'" + entry.payload + "'";
  std::string text = number(entry.term) + ":{";
  const Membership members = unpack<Membership>(entry.payload).value();
  for (const auto& member : members)
    text += (text.back() == '{' ? "" : " ") + member.id.value + (member.voter ? "" : "?");
  return text + "}";
}

std::string describeEntries(const std::vector<LogEntry>& entries) {
  std::string text = "[";
  for (const auto& entry : entries)
    text += (text.size() > 1 ? ", " : "") + describeEntry(entry);
  return text + "]";
}

struct BodyText {
  using result_type = std::string;
  std::string operator()(const RequestVote& body) const {
    return std::string(body.preVote ? "pre-vote" : "RequestVote") + " term " + number(body.term) +
           ", last " + number(body.lastLogIndex) + " of term " + number(body.lastLogTerm) +
           (body.leaderTransfer ? ", by transfer" : "");
  }
  std::string operator()(const RequestVoteReply& body) const {
    return std::string(body.preVote ? "pre-vote" : "vote") +
           (body.voteGranted ? " given" : " refused") + ", term " + number(body.term);
  }
  std::string operator()(const AppendEntries& body) const {
    return "AppendEntries term " + number(body.term) + ", after " + number(body.previousLogIndex) +
           " of term " + number(body.previousLogTerm) + " " + describeEntries(body.entries) +
           ", commit " + number(body.leaderCommit) + ", round " + number(body.round);
  }
  std::string operator()(const AppendEntriesReply& body) const {
    return std::string("AppendEntriesReply term ") + number(body.term) +
           (body.success ? ", match " : ", mismatch, try ") + number(body.matchIndex) + ", last " +
           number(body.lastLogIndex) + ", round " + number(body.round);
  }
  std::string operator()(const TimeoutNow& body) const {
    return "TimeoutNow term " + number(body.term);
  }
  std::string operator()(const JoinRequest& body) const {
    return "Join of " + body.member.id.value;
  }
  std::string operator()(const RemovedFromCluster& body) const {
    return summarize("RemovedFromCluster", body);
  }
  std::string operator()(const InstallSnapshot& body) const {
    return summarize("InstallSnapshot", body);
  }
  // Covers all other kinds of message.
  template <class Body>
  std::string operator()(const Body& body) const {
    return summarize("message", body);
  }
  template <class Body>
  static std::string summarize(std::string text, const Body& body) {
    if constexpr (requires { body.term; })
      text += " term " + number(body.term);
    if constexpr (requires { body.round; })
      text += ", round " + number(body.round);
    return text + ", " + std::to_string(pack(PeerBody{body}).size()) + " bytes";
  }
};

}  // namespace

const char* name(ActionKind kind) {
  static const char* const names[] = {"deliver",        "duplicate",
                                      "lose",           "start write",
                                      "complete write", "heartbeat",
                                      "time out",       "silence",
                                      "restart",        "restart, write kept",
                                      "lose disk",      "renew",
                                      "join",           "propose",
                                      "read",           "remove member",
                                      "promote",        "transfer leadership",
                                      "compact"};
  static_assert(std::size(names) == actionKindCount);
  return names[std::size_t(kind)];
}

std::string describe(const PeerMessage& message) {
  const auto to = message.to.value.empty() ? message.toAddress.value : message.to.value;
  return message.from.value + " -> " + to + ": " + boost::apply_visitor(BodyText{}, message.body);
}

std::string describe(const ModelNode& node) {
  std::vector<LogEntry> log;
  for (LogIndex index = node.raft.logBaseIndex().next(); index <= node.raft.lastIndex();
       index = index.next())
    log.push_back(node.raft.entry(index));
  std::string text = node.self.id.value + ": " + aniseline::name(node.raft.role()) + ", term " +
                     number(node.raft.term()) + ", commit " + number(node.raft.commitIndex()) +
                     ", log after " + number(node.raft.logBaseIndex()) + " " +
                     describeEntries(log) + ", disk term " + number(node.diskImage.term) + " to " +
                     number(node.diskImage.lastIndex());
  if (node.raft.removedFromCluster())
    text += ", removed";
  return text;
}

}  // namespace aniseline::model
