// An agent, a worker that keeps the platform's promises and breaks none, and a leader, in virtual
// time with one seed: calls are lost, late and done all the same, the leader goes away, the agent
// is killed. docs/design.md 5.5, 5.8.
#include "agent/node_agent.hpp"
#include <CppUTest/TestHarness.h>

using namespace aniseline;

namespace {

using CallKind = WorkerCall::Kind;
using ReplyKind = WorkerReply::Kind;

struct Broken {
  std::string text;
  void note(std::int64_t now, const std::string& what, const RunName& name) {
    if (text.empty())
      text = what + ": " + name.job.value + "/" + std::to_string(name.run) + " at " +
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
    EndingKind kind;
  };
  struct Over {
    std::uint64_t number;
    RunName name;
    EndingKind kind;
    bool isVoid;
  };
  std::map<RunName, Active> active;
  std::vector<Over> over;
  std::map<JobId, std::uint32_t> highest;  // a run that is not above it is turned away
  std::map<JobId, std::uint32_t> noted;    // the run whose clean ending was taken note of
  std::map<RunName, EndingKind> endings;   // all that ever ended
  std::set<RunName> begun;

  WorkerModel(Random& random, Broken& broken, double rate)
      : random(random), broken(broken), rate(rate) {}
  std::int64_t clock() const { return 1'000'000 + std::int64_t(double(now) * rate); }
  void end(const RunName& name, EndingKind kind) {
    highest[name.job] = std::max(highest[name.job], name.run);
    over.push_back({++lastNumber, name, kind, false});
    endings[name] = kind;
  }
  void step(std::int64_t time) {
    now = time;
    if (clock() >= deadline) {
      for (const auto& [name, run] : active)
        end(name, EndingKind::stopped);
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
      reply.kind = ReplyKind::sick;
      return reply;
    }
    reply.clock = WorkerTime{clock()};
    if (call.fence.value < fence) {
      reply.kind = ReplyKind::fenced;
      return reply;
    }
    fence = call.fence.value;
    if (call.deadline && call.kind != CallKind::stop)
      deadline = std::max(deadline, std::min(call.deadline->milliseconds, clock() + 6000));
    reply.kind = ReplyKind::done;
    if (call.kind == CallKind::start) {
      if (active.count(call.name))
        return reply;
      const bool another = std::any_of(active.begin(), active.end(), [&](const auto& run) {
        return run.first.job == call.name.job;
      });
      if (another || call.name.run <= highest[call.name.job])
        reply.kind = ReplyKind::old;
      else if (!call.deadline || call.deadline->milliseconds <= clock())
        reply.kind = ReplyKind::late;
      else if (active.size() >= 6)
        reply.kind = ReplyKind::room;
      else {
        if (noted.count(call.name.job))
          broken.note(now, "started after a clean ending was noted", call.name);
        begun.insert(call.name);
        active[call.name] = {now + random.between(50, 4000),
                             random.chance(0.8) ? EndingKind::finished : EndingKind::failed};
      }
    } else if (call.kind == CallKind::stop) {
      if (auto run = active.find(call.name); run != active.end())
        run->second = {std::min(run->second.endAt, now + random.between(1, 400)),
                       run->second.endAt <= now ? run->second.kind : EndingKind::stopped};
      else
        highest[call.name.job] = std::max(highest[call.name.job], call.name.run);
    } else {
      std::erase_if(over, [&](const Over& row) {
        if (row.number > call.lastSeen)
          return false;
        if (row.kind == EndingKind::finished && !row.isVoid) {
          noted[row.name.job] = row.name.run;
          for (const auto& name : begun)
            if (name.job == row.name.job && name.run > row.name.run)
              broken.note(now, "noted though started again", row.name);
        }
        return true;
      });
      for (const auto& [name, run] : active)
        reply.active.push_back({name, ""});
      for (const auto& row : over)
        reply.ended.push_back({row.number, row.name, row.kind, ""});
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
  std::set<RunName> stopped, closed;
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
  void order(OrderKind kind, const RunName& name) {
    Order made;
    made.number = OrderNumber{++lastOrder};
    made.kind = kind;
    made.job = name.job;
    made.run = name.run;
    orders.push_back(made);
  }
  void begin(const JobId& job, std::uint32_t run) {
    running[job] = run;
    order(OrderKind::start, RunName{job, 0, 0, 0, run});
  }
  // What the leader folds of a report, and what it answers.
  SyncResponse hear(const SyncReport& report) {
    if (report.lastOrder.value > applied)
      applied = std::min(report.lastOrder.value, lastOrder);
    while (!orders.empty() && orders.front().number.value <= applied)
      orders.pop_front();
    SyncResponse answer;
    answer.term = Term{term};
    answer.lease = Duration{6000};
    for (const auto& ending : report.namedEndings) {
      ++answer.closed;
      const RunName& name = ending.name;
      for (auto& order : orders)  // what ended is not started when a new process gets it again
        if (RunName::of(order) == name)
          order.kind = OrderKind::stop;
      if (!closed.insert(name).second)
        continue;
      const bool never = ending.kind == EndingKind::unstarted || ending.kind == EndingKind::refused;
      if (never && worker.begun.count(name))
        broken.note(now, "told as never begun, but it had", name);
      if (!never && !worker.endings.count(name))
        broken.note(now, "told as ended, but it had not", name);
      if (ending.kind == EndingKind::finished && worker.endings[name] != EndingKind::finished)
        broken.note(now, "told as clean, but it was not", name);
      auto open = running.find(name.job);
      if (open == running.end() || open->second != name.run)
        continue;
      running.erase(open);
      if (ending.kind == EndingKind::finished)
        finished.insert(name.job);
      else
        begin(name.job, name.run + 1);
    }
    for (const auto& order : orders)
      if (order.number.value > std::max(report.lastOrder.value, report.received.value))
        answer.orders.push_back(order);
    return answer;
  }
  void sync(bool calm) {
    if (!agent.mayReport() || syncing)
      return;
    syncing = true;
    const auto report = agent.report(MonotonicTime{now});
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
          agent.answered(report, answer, MonotonicTime{sentAt}, MonotonicTime{now});
      });
    });
  }
  void call(const WorkerCall& call, bool calm) {
    const auto asker = process;
    auto reply = [this, asker, call](const WorkerReply& reply) {
      if (asker == process)
        agent.replied(call, reply, MonotonicTime{now});
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
    WorkerAccount account;
    account.life = WorkerId{"life"};
    account.clock = WorkerTime{worker.clock()};
    agent.known(account, MonotonicTime{now});
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
          const RunName name{open->first, 0, 0, 0, open->second};
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
      if (agent.urgent(MonotonicTime{now}) || random.chance(0.02))
        sync(calm);
      if (!broken.text.empty())
        return broken.text;
    }
    for (const auto& name : worker.begun)
      if (!closed.count(name))
        return "began and was never told to have ended: " + name.job.value + "/" +
               std::to_string(name.run);
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
