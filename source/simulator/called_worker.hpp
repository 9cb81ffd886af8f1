// A stand-in for a worker that is called rather than calls: it holds what runs there until a
// deadline on its own clock, and gangs assemble themselves at such workers. Sans-IO.
// docs/design.md 12.4.
#pragma once
#include "agent/node_agent.hpp"
#include "checker/history.hpp"

namespace aniseline {

// Where the members of one run of a gang find each other.
struct GangMeeting {
  std::set<std::uint32_t> present;
  std::set<std::string> racks;
  std::optional<std::int64_t> assembledAt;
  std::string over;  // how it ended, once it has
};
using GangMeetings = std::map<std::tuple<JobId, std::uint32_t, std::uint32_t, std::uint32_t>,
                              GangMeeting>;  // job, occurrence, step, run

struct CalledWorkerOptions {
  WorkerId life;
  Capacity capacity;
  double clockRate = 1.0;  // its steady clock against a true one
  std::int64_t clockBase = 0;
  Duration longestHold{6000}, stopTakes{250}, gangWait{3000}, saveEvery{1000}, restoreTakes{150};
  std::size_t endingsAtOnce = 500;
  double far = 2.0;
};

class CalledWorker {
 public:
  enum class Sickness : std::uint8_t { none, stalled, refusing, mute, failing };
  using Book = std::function<const JobSubmission*(const JobId&)>;  // what the callers asked for
  using Tell = std::function<void(HistoryEvent)>;
  CalledWorker(CalledWorkerOptions options, GangMeetings& meetings, std::uint64_t seed, Book book,
               Tell tell, std::int64_t now);

  // Of a look the lists are read when it is answered, which may be later.
  WorkerReply take(const WorkerCall& call, std::int64_t now, bool late);
  bool hasEnding(std::uint64_t lastSeen) const {
    return !endings.empty() && endings.back().number > lastSeen;
  }
  void list(WorkerReply& reply, std::int64_t now) const;
  void tick(std::int64_t now);
  void vanish();  // its process ends, with all that runs there

  WorkerAccount account(std::int64_t now) const;
  Sickness sickness = Sickness::none;
  bool leaving = false;
  Duration leaveWithin{0};
  const WorkerId& life() const { return options.life; }
  std::size_t running() const { return runs.size(); }

 private:
  struct Run {
    std::string payload, saved;
    const JobSubmission* job = nullptr;
    const StepRequest* step = nullptr;
    TaskRequest request;
    std::int64_t startedAt = 0, restoredAt = 0, length = 0, done = 0, savedAt = 0;
    std::optional<std::int64_t> stoppedBy;  // the stop is under way until then
    bool fails = false;
    bool gang() const { return step && step->gang; }
  };
  struct Ended {
    std::uint64_t number = 0;
    RunName name;
    std::string how, saved;
    bool lapsed = false;  // the hold ran out before anybody took note of it
  };
  WorkerTime clock(std::int64_t now) const {
    return WorkerTime{options.clockBase + std::int64_t(double(now - bornAt) * options.clockRate)};
  }
  void hold(const std::optional<WorkerTime>& deadline, std::int64_t now);
  void start(const WorkerCall& call, WorkerReply& reply, std::int64_t now, bool late);
  void stop(const WorkerCall& call, std::int64_t now);
  void forget(std::uint64_t lastSeen);
  void save(const RunName& name, Run& run);
  void end(RunName name, const std::string& how);
  bool hasRoom(const TaskRequest& request) const;
  HistoryEvent witness(HistoryEvent::Kind kind, const RunName& name) const;
  GangMeeting& meeting(const RunName& name) {
    return meetings[{name.job, name.occurrence, name.step, name.run}];
  }
  static RunName task(RunName name) {
    name.run = 0;
    return name;
  }

  CalledWorkerOptions options;
  GangMeetings& meetings;
  Random random;
  Book book;
  Tell tell;
  std::int64_t bornAt, tickedAt;
  Term fence;
  std::optional<WorkerTime> heldUntil;
  std::map<RunName, Run> runs;
  std::map<RunName, std::uint32_t> fenced;  // by task: the highest run stopped or ended here
  std::deque<Ended> endings;
  std::uint64_t lastEnding = 0;
};

}  // namespace aniseline
