// The core of a worker that is called rather than calls: starts, stops, looks, its hold, numbered
// endings. Sans-IO. docs/api.md 5. WorkerSession is its fellow for workers that call.
#pragma once
#include "agent/worker_session.hpp"
#include "agent/node_agent.hpp"

namespace aniseline {

class CalledWorkerSession {
 public:
  struct Options {
    Capacity capacity;
    Duration longestHold{6000};
    std::size_t endingsAtOnce = 500;  // of one look
    std::size_t remembered =
        100'000;  // tasks whose latest run is remembered against starts that come late
  };
  CalledWorkerSession(Options options, WorkerId life)
      : options(std::move(options)), life(std::move(life)) {}

  // Carries a call out; the answer of a look may be asked for again by the same call while its wait
  // lasts.
  WorkerReply take(const WorkerCall& call, WorkerTime now);
  // Kills all when the hold is over, and ends trials that have used their time.
  void tick(WorkerTime now);
  void ended(AttemptNumber attempt, bool well, WorkerTime now);
  void leave() { leaving = true; }
  // Another life begins: nothing of this one runs on.
  void replaced(WorkerId next);

  std::vector<HandEffect> takeEffects() { return std::exchange(effects, {}); }
  std::vector<std::pair<Order, EndingKind>> takeConfirmed() { return std::exchange(confirmed, {}); }
  bool idle() const { return running.empty(); }
  bool empty() const { return running.empty() && endings.empty(); }
  const WorkerId& currentLife() const { return life; }

 private:
  struct Running {
    RunName name;
    Order order;
    WorkerTime since;
  };
  struct Ended {
    std::uint64_t number;
    RunName name;
    Order order;
    EndingKind kind;
  };
  WorkerReply start(const WorkerCall& call, WorkerTime now);
  WorkerReply stop(const WorkerCall& call);
  WorkerReply look(const WorkerCall& call, WorkerTime now);
  void extend(const std::optional<WorkerTime>& deadline, WorkerTime now);
  void end(std::map<AttemptNumber, Running>::iterator task, EndingKind kind, bool byItself);
  bool fits(const Order& order) const;
  bool remember(
      const RunName& name);  // false: this run or a later one of the task is known already

  Options options;
  WorkerId life;
  Term fence;
  WorkerTime hold{0};
  bool leaving = false;
  std::map<AttemptNumber, Running> running;
  std::deque<Ended> endings;
  std::uint64_t lastEnding = 0;
  std::map<RunName, std::uint32_t> latest;  // by task: the latest run begun or stopped
  std::deque<RunName> known;                // the tasks of `latest`, the oldest first
  std::vector<HandEffect> effects;
  std::vector<std::pair<Order, EndingKind>> confirmed;
};

}  // namespace aniseline
