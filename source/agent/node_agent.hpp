// The worker agent: carries the leader's orders out at ONE worker that is called rather than calls,
// and tells of what it sees there. Sans-IO. docs/design.md 5.8.
#pragma once
#include "state/api_request.hpp"

namespace aniseline {

// Milliseconds on a worker's own steady clock, which may run a little slow.
using WorkerTime = TimePoint<struct WorkerClock>;

// What a worker says of itself when it makes itself known.
struct WorkerAccount {
  WorkerId life;  // another one each time it starts
  Capacity capacity;
  bool leaving = false;
  Duration leaveWithin{0};
  std::optional<WorkerTime> clock;
  std::uint64_t sequence = 0;  // rises with each account of one life; 0: it is not counted
};

struct WorkerCall {
  enum class Kind : std::uint8_t { start, stop, look } kind = Kind::look;
  std::uint64_t number = 0;
  WorkerId life;
  RunName name;
  std::string payload, saved;
  Order order{};                       // of a start: all that the leader said
  std::optional<WorkerTime> deadline;  // until when all that runs there is held
  Term fence;
  std::uint64_t lastSeen = 0;  // of a look: endings up to here are final
  Duration wait{0};            // of a look: how long the answer may wait for an ending
  Duration within{300};
};

struct WorkerReply {
  enum class Kind : std::uint8_t {
    done,
    fenced,
    old,
    late,
    room,
    sick,
    invalid,
    otherLife,
    lost
  } kind = Kind::lost;
  std::optional<WorkerTime> clock;
  struct Active {
    RunName name;
    std::string saved;
  };
  struct Ended {
    std::uint64_t number = 0;  // counted by the worker in each of its lives
    RunName name;
    EndingKind kind = EndingKind::stopped;
    std::string saved;
  };
  std::vector<Active> active;
  std::vector<Ended> ended;
  bool whole = true;  // of a look: no ending was left out for want of room
};

struct NodeAgentOptions {
  Duration longestHold{6000};  // what the worker grants at most
  Duration hold{
      6000};  // what is asked of it at a time: renewed from here, within the leader's lease
  Duration longestLook{2000};
  Duration unresponsiveAfter{700};  // unanswered for so long it is taken for unresponsive
  Duration lookAgain{200};          // between looks while something is to be found out
  Duration lookAtLeaving{1000};     // between looks at one that leaves and runs nothing any more
  std::uint32_t proofTries = 8;     // unanswered looks for the life that an account names
  std::size_t callsAtOnce = 6;
  double slowest = 0.98;  // the worker's clock against a true one
};

class NodeAgent {
 public:
  explicit NodeAgent(NodeAgentOptions options) : options(options) {}

  // A worker makes itself known. False: it is an earlier life, which is over. Accounts may come
  // seconds late: one that a newer one of its life has overtaken changes nothing, and one of
  // another life counts once a look shows that this life stands at the worker's address.
  bool known(const WorkerAccount& account, MonotonicTime now);
  // A worker says that it is about to end. It serves on for a while: a notice, no proof that
  // nothing runs there. False: this life is not the one that stands here by what the agent knows.
  bool leaves(const WorkerId& life, Duration within, MonotonicTime now);
  // The leader has logged that this life leaves, or the life is over: nothing more is placed there.
  bool leavingTold(const WorkerId& life) const;

  // Towards the leader.
  bool mayReport() const { return standing && !over && !retired; }
  SyncReport report(MonotonicTime now);
  bool unresponsive(MonotonicTime now) const;  // the worker leaves calls unanswered
  bool urgent(MonotonicTime now) const;        // there is something to tell without delay
  void answered(const SyncReport& asked, const SyncResponse& answer, MonotonicTime sentAt,
                MonotonicTime now);
  void replaced(MonotonicTime now);  // the leader holds this life for gone

  // Towards the worker.
  std::vector<WorkerCall> takeCalls(MonotonicTime now);
  void replied(const WorkerCall& call, const WorkerReply& reply, MonotonicTime now);
  // The earliest time at which something is due with nothing coming in.
  MonotonicTime nextDue(MonotonicTime now) const;

  std::size_t running() const { return works.size(); }
  const WorkerId& life() const { return account.life; }

 private:
  struct Work {
    Order order;
    bool wanted = true;    // false: to be stopped
    bool staged = false;   // a gang's part that waits here for its `go`
    bool calling = false;  // a call for it is under way
    bool unsure = false;   // a start got no answer: it may be carried out later
    bool running = false;
    bool stopped = false;  // a stop was answered: later starts of it are turned away
    bool looked = true;    // false: what became of it is seen in a look begun from now on
    std::uint64_t lookFrom = 0;
    bool failed = false;  // turned away for good
    bool refused = false;
    std::uint32_t sick = 0;
    MonotonicTime notBefore{0};
    std::vector<OrderNumber> orders;
  };
  struct Told {
    std::uint64_t number = 0;  // 0: the worker never began it
    NamedEnding ending;
    bool told = false;
  };
  // A life that made itself known while another one stands, until a look tells which of them does.
  struct Candidate {
    WorkerAccount account;
    std::uint32_t triesLeft = 0;
    MonotonicTime lookAt{0};
    bool looking = false;
  };
  void begin(const WorkerAccount& given, bool shown, MonotonicTime now);
  void renew(const WorkerAccount& given, MonotonicTime now);
  void propose(const WorkerAccount& given, MonotonicTime now);
  std::optional<WorkerCall> lookForCandidate(MonotonicTime now);
  void candidateReplied(const WorkerCall& call, const WorkerReply& reply, MonotonicTime now);
  void noteProof(const WorkerCall& call, const WorkerReply& reply);
  void takeOrders(const SyncResponse& answer, MonotonicTime now);
  void take(const Order& order, MonotonicTime now);
  void go(const Order& order, const RunName& name, MonotonicTime now);
  void finish(const RunName& name, EndingKind kind, std::uint64_t number, std::string saved);
  void settleOrders(Work& work);
  void lookAfter(Work& work);
  std::optional<WorkerTime> deadline(MonotonicTime now) const;
  Duration heldFor(MonotonicTime now) const;
  enum class ClockSource : std::uint8_t { account, answer };
  void hear(const std::optional<WorkerTime>& clock, ClockSource source, MonotonicTime now);
  void noteLeaving();
  void recordLapse(MonotonicTime now);
  WorkerTime surelyRead(MonotonicTime now) const;
  bool mayLapse(MonotonicTime now) const;
  void looked(const WorkerCall& call, const WorkerReply& reply, MonotonicTime now);
  OrderNumber applied() const;
  bool toFindOut() const;                   // what became of some run is to be seen in a look
  bool unconfirmed() const;                 // the worker's own endings that are not final yet
  bool hasTold(const RunName& name) const;  // its ending waits to be confirmed
  bool wantsLook(MonotonicTime now) const;
  Duration renewAfter() const;  // the hold is asked for anew after that long, at the latest
  Duration lookWait(MonotonicTime now) const;  // how long a look may wait for an ending

  NodeAgentOptions options;
  WorkerAccount account;
  std::set<WorkerId> formerLives;
  std::map<WorkerId, Duration>
      announcedLeaving;  // lives that said so before they made themselves known
  std::optional<Candidate> candidate;
  Incarnation incarnation{1};
  bool over = false;      // this life has left
  bool standing = false;  // an answer of this life came, and none of another one since
  std::uint32_t proofTriesLeft = 0;
  MonotonicTime retiredUntil{0};
  bool retired = false;  // until then
  Term term;
  MonotonicTime leaseUntil{0};
  Duration lease{0};
  std::optional<WorkerTime> clock,
      granted;  // granted: the furthest deadline that may have been taken
  MonotonicTime clockAt;
  std::optional<WorkerTime> answeredClock;  // of an answer to a call, which is never old
  MonotonicTime answeredClockAt;
  MonotonicTime heardAt{0};
  bool unanswered = false;  // a call since then got no answer
  bool toldUnresponsive = false;
  MonotonicTime unresponsiveToldAt{-1'000'000};
  bool outOfTouch =
      false;  // it was unresponsive: nothing is started before a leader has heard that it is not
  bool overNoted = false;  // that the hold has run out is known
  bool lapsed = false;     // the hold may have run out: nothing is started before a look tells
  OrderNumber received;    // all up to here have come
  OrderNumber knownTo;  // there are orders up to here; while some are missing nothing is started: a
                        // stop may be among them
  std::map<OrderNumber, OrderNumber> ahead;  // spans beyond that have come too: after, up to
  std::set<OrderNumber> openOrders;
  OrderNumber toldApplied;
  MonotonicTime appliedAt{0};
  bool toldLeaving = false;
  std::map<RunName, Work> works;
  std::deque<Told> told;  // endings by number, those of no number behind them
  std::map<RunName, std::string> saves;
  std::map<RunName, std::string> lastSaved;
  std::uint64_t lastSeen = 0, highestEnding = 0, nextCall = 1, callsUnderWay = 0;
  bool looking = false, everLooked = false, answeredOnce = false,
       moreEnded = false;  // moreEnded: a look left endings out
  MonotonicTime lookedAt{-1'000'000};
  std::uint64_t looksBegun = 0, lapseSeenFrom = 0;
};

}  // namespace aniseline
