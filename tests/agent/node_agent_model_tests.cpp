// An agent, a worker that keeps the platform's promises and breaks none, and a leader, in virtual
// time with one seed: calls are lost, late and done all the same, the leader goes away, the agent
// is killed. docs/design.md 5.5, 5.8.
#include "agent/node_agent.hpp"
#include <CppUTest/TestHarness.h>

using namespace aniseline;

namespace {

using CallKind = WorkerCall::Kind;
using ReplyKind = WorkerReply::Status;

struct Broken {
  std::string text;
  void note(std::int64_t now, const std::string& what, const TaskRunId& name) {
    if (text.empty())
      text = what + ": " + name.job.value + "/" + std::to_string(name.runNumber) + " at " +
             std::to_string(now);
  }
};

// What the platform says of its workers: fences, holds, runs that rise, endings that come until
// they are passed.
struct WorkerModel {
  Random& random;
  Broken& broken;
  double rate;
  std::int64_t now = 0;
  std::uint64_t fence = 0, lastNumber = 0;
  std::int64_t deadline = 0;
  struct Active {
    std::int64_t endAt;
    AttemptOutcome kind;
  };
  struct Over {
    std::uint64_t number;
    TaskRunId name;
    AttemptOutcome kind;
    bool isVoid;
  };
  std::map<TaskRunId, Active> active;
  std::vector<Over> over;
  std::map<JobId, std::uint32_t> highest;       // a run that is not above it is turned away
  std::map<JobId, std::uint32_t> noted;         // the run whose clean ending was taken note of
  std::map<TaskRunId, AttemptOutcome> endings;  // all that ever ended
  std::set<TaskRunId> begun;

  WorkerModel(Random& random, Broken& broken, double rate)
      : random(random), broken(broken), rate(rate) {}
  std::int64_t clock() const { return 1'000'000 + std::int64_t(double(now) * rate); }
  void end(const TaskRunId& name, AttemptOutcome kind) {
    highest[name.job] = std::max(highest[name.job], name.runNumber);
    over.push_back({++lastNumber, name, kind, false});
    endings[name] = kind;
  }
  void step(std::int64_t time) {
    now = time;
    if (clock() >= deadline) {
      for (const auto& [name, run] : active)
        end(name, AttemptOutcome::stopped);
      active.clear();
      for (auto& row : over)
        row.isVoid = true;
    }
    for (auto run = active.begin(); run != active.end();)
      if (run->second.endAt <= now) {
        end(run->first, run->second.kind);
        run = active.erase(run);
      } else
        ++run;
  }
  WorkerReply take(const WorkerCall& call) {
    WorkerReply reply;
    if (random.chance(0.03)) {
      reply.status = ReplyKind::unavailable;
      return reply;
    }
    reply.clockReading = WorkerTime{clock()};
    if (call.fencingTerm.value < fence) {
      reply.status = ReplyKind::fenced;
      return reply;
    }
    fence = call.fencingTerm.value;
    if (call.leaseDeadline && call.kind != CallKind::stop)
      deadline = std::max(deadline, std::min(call.leaseDeadline->milliseconds, clock() + 6000));
    reply.status = ReplyKind::ok;
    if (call.kind == CallKind::start) {
      if (active.count(call.runId))
        return reply;
      const bool another = std::any_of(active.begin(), active.end(), [&](const auto& run) {
        return run.first.job == call.runId.job;
      });
      if (another || call.runId.runNumber <= highest[call.runId.job])
        reply.status = ReplyKind::staleRun;
      else if (!call.leaseDeadline || call.leaseDeadline->milliseconds <= clock())
        reply.status = ReplyKind::deadlineExceeded;
      else if (active.size() >= 6)
        reply.status = ReplyKind::insufficientCapacity;
      else {
        if (noted.count(call.runId.job))
          broken.note(now, "started after a clean ending was noted", call.runId);
        begun.insert(call.runId);
        active[call.runId] = {now + random.between(50, 4000), random.chance(0.8)
                                                                  ? AttemptOutcome::succeeded
                                                                  : AttemptOutcome::failed};
      }
    } else if (call.kind == CallKind::stop) {
      if (auto run = active.find(call.runId); run != active.end())
        run->second = {std::min(run->second.endAt, now + random.between(1, 400)),
                       run->second.endAt <= now ? run->second.kind : AttemptOutcome::stopped};
      else
        highest[call.runId.job] = std::max(highest[call.runId.job], call.runId.runNumber);
    } else {
      std::erase_if(over, [&](const Over& row) {
        if (row.number > call.confirmedUpTo)
          return false;
        if (row.kind == AttemptOutcome::succeeded && !row.isVoid) {
          noted[row.name.job] = row.name.runNumber;
          for (const auto& name : begun)
            if (name.job == row.name.job && name.runNumber > row.name.runNumber)
              broken.note(now, "noted though started again", row.name);
        }
        return true;
      });
      for (const auto& [name, run] : active)
        reply.runningTasks.push_back({name, ""});
      for (const auto& row : over)
        reply.results.push_back({row.number, row.name, row.kind, ""});
    }
    return reply;
  }
};

struct World {
  Random random;
  Broken broken;
  std::int64_t now = 1000;
  WorkerModel worker;
  NodeAgent agent{NodeAgentOptions{}};
  // The leader: each job one task, ordered again until a run of it ended well.
  std::uint64_t term = 1, lastOrder = 0, applied = 0;
  std::deque<Order> orders;
  std::map<JobId, std::uint32_t> running;  // the run that is open
  std::set<TaskRunId> stopped, closed;
  std::set<JobId> finished;
  std::int64_t awayUntil = 0;
  struct Flight {
    std::int64_t at;
    std::function<void()> then;
  };
  std::vector<Flight> flights;
  std::uint64_t process = 0;  // an answer to a killed process goes nowhere
  bool syncing = false;

  World(std::uint64_t seed, double rate) : random(seed), worker(random, broken, rate) {}

  void later(std::int64_t span, std::function<void()> then) {
    flights.push_back({now + span, std::move(then)});
  }
  void order(OrderKind kind, const TaskRunId& name) {
    Order made;
    made.number = OrderNumber{++lastOrder};
    made.kind = kind;
    made.job = name.job;
    made.runNumber = name.runNumber;
    orders.push_back(made);
  }
  void begin(const JobId& job, std::uint32_t run) {
    running[job] = run;
    order(OrderKind::start, TaskRunId{job, 0, 0, 0, run});
  }
  // What the leader folds of a report, and what it answers.
  SyncResponse hear(const SyncReport& report) {
    if (report.lastAppliedOrder.value > applied)
      applied = std::min(report.lastAppliedOrder.value, lastOrder);
    while (!orders.empty() && orders.front().number.value <= applied)
      orders.pop_front();
    SyncResponse answer;
    answer.term = Term{term};
    answer.lease = Duration{6000};
    for (const auto& ending : report.runResults) {
      ++answer.finalResultCount;
      const TaskRunId& name = ending.runId;
      for (auto& order : orders)  // what ended is not started when a new process gets it again
        if (TaskRunId::of(order) == name)
          order.kind = OrderKind::stop;
      if (!closed.insert(name).second)
        continue;
      const bool never = ending.outcome == AttemptOutcome::neverStarted ||
                         ending.outcome == AttemptOutcome::rejected;
      if (never && worker.begun.count(name))
        broken.note(now, "told as never begun, but it had", name);
      if (!never && !worker.endings.count(name))
        broken.note(now, "told as ended, but it had not", name);
      if (ending.outcome == AttemptOutcome::succeeded &&
          worker.endings[name] != AttemptOutcome::succeeded)
        broken.note(now, "told as clean, but it was not", name);
      auto open = running.find(name.job);
      if (open == running.end() || open->second != name.runNumber)
        continue;
      running.erase(open);
      if (ending.outcome == AttemptOutcome::succeeded)
        finished.insert(name.job);
      else
        begin(name.job, name.runNumber + 1);
    }
    for (const auto& order : orders)
      if (order.number.value >
          std::max(report.lastAppliedOrder.value, report.lastReceivedOrder.value))
        answer.orders.push_back(order);
    return answer;
  }
  void sync(bool calm) {
    if (!agent.mayReport() || syncing)
      return;
    syncing = true;
    const auto report = agent.makeSyncReport(MonotonicTime{now});
    const std::int64_t sentAt = now;
    const auto asker = process;
    const bool lost = !calm && random.chance(0.1);
    later(random.between(1, 30), [=, this] {
      if (now < awayUntil) {
        later(200, [=, this] {
          if (asker == process)
            syncing = false;
        });
        return;
      }
      const auto answer = hear(report);
      later(random.between(1, 30), [=, this] {
        if (asker != process)
          return;
        syncing = false;
        if (!lost)
          agent.onSyncResponse(report, answer, MonotonicTime{sentAt}, MonotonicTime{now});
      });
    });
  }
  void call(const WorkerCall& call, bool calm) {
    const auto asker = process;
    auto reply = [this, asker, call](const WorkerReply& reply) {
      if (asker == process)
        agent.onWorkerReply(call, reply, MonotonicTime{now});
    };
    if (!calm &&
        random.chance(0.15)) {  // no answer: it is never done, or done, or done seconds later
      if (random.chance(0.6))
        later(random.between(1, random.chance(0.5) ? 100 : 4000),
              [this, call] { worker.take(call); });
      later(500, [reply] { reply(WorkerReply{}); });
      return;
    }
    later(random.between(1, 20), [this, call, reply] {
      const auto made = worker.take(call);
      later(random.between(1, 20), [reply, made] { reply(made); });
    });
  }
  void beat() {
    WorkerRegistration account;
    account.workerInstance = WorkerId{"life"};
    account.clockReading = WorkerTime{worker.clock()};
    agent.onRegistration(account, MonotonicTime{now});
  }
  std::string run(std::int64_t trouble) {
    beat();
    for (int count = 0; count < 5; ++count)
      begin(JobId{"job" + std::to_string(count)}, 1);
    std::int64_t nextBeat = now + 1500;
    const std::int64_t until = now + trouble, last = until + 40'000;
    while (now < last) {
      now += 5;
      const bool calm = now >= until;
      worker.step(now);
      if (!calm) {
        if (random.chance(0.0004))
          awayUntil = now + random.between(100, 9000);
        if (random.chance(0.0004))
          ++term;
        if (random.chance(0.0006)) {  // killed; a new one knows nothing
          ++process;
          syncing = false;
          agent = NodeAgent{NodeAgentOptions{}};
          beat();
        }
        if (random.chance(0.003) && !running.empty()) {
          auto open = std::next(running.begin(), std::ptrdiff_t(random.next() % running.size()));
          const TaskRunId name{open->first, 0, 0, 0, open->second};
          if (stopped.insert(name).second)
            order(OrderKind::stop, name);
        }
        if (random.chance(0.004))
          begin(JobId{"more" + std::to_string(now)}, 1);
      }
      for (std::size_t place = 0; place < flights.size();) {
        if (flights[place].at > now) {
          ++place;
          continue;
        }
        auto then = std::move(flights[place].then);
        flights.erase(flights.begin() + std::ptrdiff_t(place));
        then();
      }
      if (now >= nextBeat) {
        beat();
        nextBeat += 1500;
      }
      for (const auto& made : agent.takeCalls(MonotonicTime{now}))
        call(made, calm);
      if (agent.hasUrgentReport(MonotonicTime{now}) || random.chance(0.02))
        sync(calm);
      if (!broken.text.empty())
        return broken.text;
    }
    for (const auto& name : worker.begun)
      if (!closed.count(name))
        return "began and was never told to have ended: " + name.job.value + "/" +
               std::to_string(name.runNumber);
    if (!running.empty())
      return "never ended well: " + running.begin()->first.value + "/" +
             std::to_string(running.begin()->second);
    for (const auto& name : closed)
      if (!worker.begun.count(name))
        continue;
      else if (!worker.endings.count(name))
        return "closed, yet not ended: " + name.job.value;
    return "";
  }
};

}  // namespace

TEST_GROUP(AgentWorld){};

TEST(AgentWorld, keepsItsPromisesUnderFaults) {
  for (std::uint64_t seed = 1; seed <= 100; ++seed) {
    World world(seed, 1.0);
    const std::string broken = world.run(30'000);
    CHECK_TEXT(broken.empty(), ("seed " + std::to_string(seed) + ": " + broken).c_str());
    CHECK(world.finished.size() > 5);
  }
}
