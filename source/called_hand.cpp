#include "called_hand.hpp"

namespace aniseline {

namespace {

MinionReply reply(MinionReply::Kind kind, MinionTime now) {
    MinionReply made;
    made.kind = kind;
    made.clock = now;
    return made;
}

}  // namespace

MinionReply CalledHand::take(const MinionCall& call, MinionTime now) {
    if (call.life != life) return reply(MinionReply::Kind::otherLife, now);
    if (call.fence < fence) return reply(MinionReply::Kind::fenced, now);
    fence = call.fence;
    tick(now);
    auto made = call.kind == MinionCall::Kind::start ? start(call, now) : call.kind == MinionCall::Kind::stop ? stop(call) : look(call, now);
    made.clock = now;
    return made;
}

MinionReply CalledHand::start(const MinionCall& call, MinionTime now) {
    RunName task = call.name;
    task.run = 0;
    if (auto found = latest.find(task); found != latest.end() && found->second >= call.name.run) return reply(MinionReply::Kind::old, now);
    if (!call.deadline || *call.deadline <= now) return reply(MinionReply::Kind::late, now);
    if (leaving || !fits(call.order)) return reply(MinionReply::Kind::room, now);
    remember(call.name);
    extend(call.deadline, now);
    running[call.order.attempt] = Running{call.name, call.order, now};
    effects.push_back({HandEffect::Kind::start, call.order.attempt, call.order});
    return reply(MinionReply::Kind::done, now);
}

// A stop of what is not there is remembered: a start of it that comes late is turned away.
MinionReply CalledHand::stop(const MinionCall& call) {
    remember(call.name);
    for (auto task = running.begin(); task != running.end(); ++task)
        if (task->second.name == call.name) {
            end(task, EndingKind::stopped, false);
            break;
        }
    return reply(MinionReply::Kind::done, MinionTime{});
}

MinionReply CalledHand::look(const MinionCall& call, MinionTime now) {
    while (!endings.empty() && endings.front().number <= call.lastSeen) {
        confirmed.emplace_back(endings.front().order, endings.front().kind);
        endings.pop_front();
    }
    extend(call.deadline, now);
    auto made = reply(MinionReply::Kind::done, now);
    for (const auto& [attempt, task] : running) made.active.push_back({task.name, ""});
    for (const auto& ended : endings) {
        if (made.ended.size() >= options.endingsAtOnce) {
            made.whole = false;
            break;
        }
        made.ended.push_back({ended.number, ended.name, ended.kind, ""});
    }
    return made;
}

void CalledHand::extend(const std::optional<MinionTime>& deadline, MinionTime now) {
    if (deadline) hold = std::max(hold, std::min(*deadline, now + options.longestHold));
}

void CalledHand::tick(MinionTime now) {
    if (now >= hold) {
        // What had ended well and was not confirmed may be started elsewhere from now on: it is void. docs/design.md 5.5.
        for (auto& ended : endings)
            if (ended.kind == EndingKind::finished) ended.kind = EndingKind::stopped;
        while (!running.empty()) end(running.begin(), EndingKind::stopped, false);
    }
    for (auto task = running.begin(); task != running.end();) {
        const auto present = task++;
        const Span quantum = present->second.order.quantum;
        if (quantum.milliseconds > 0 && now - present->second.since >= quantum) end(present, EndingKind::ranOut, false);
    }
}

void CalledHand::ended(AttemptNumber attempt, bool well, MinionTime now) {
    tick(now);
    if (auto task = running.find(attempt); task != running.end()) end(task, well ? EndingKind::finished : EndingKind::failed, true);
}

void CalledHand::end(std::map<AttemptNumber, Running>::iterator task, EndingKind kind, bool byItself) {
    if (!byItself) effects.push_back({HandEffect::Kind::stop, task->first, task->second.order});
    endings.push_back({++lastEnding, task->second.name, task->second.order, kind});
    running.erase(task);
}

void CalledHand::replaced(MinionId next) {
    while (!running.empty()) end(running.begin(), EndingKind::stopped, false);
    const auto stops = std::move(effects);
    *this = CalledHand(options, std::move(next));
    effects = stops;
}

bool CalledHand::fits(const Order& order) const {
    if (!options.capacity.guardsRoom) return true;
    std::uint64_t cores = order.cores, memory = order.memory;
    for (const auto& [attempt, task] : running) cores += task.order.cores, memory += task.order.memory;
    return cores <= options.capacity.cores && memory <= options.capacity.memory;
}

bool CalledHand::remember(const RunName& name) {
    RunName task = name;
    task.run = 0;
    auto [found, isNew] = latest.try_emplace(task, name.run);
    if (!isNew && found->second >= name.run) return false;
    found->second = name.run;
    if (!isNew) return true;
    known.push_back(task);
    if (known.size() > options.remembered) {
        latest.erase(known.front());
        known.pop_front();
    }
    return true;
}

}  // namespace aniseline
